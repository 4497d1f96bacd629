//! Identifies operators by a shared token.

use std::path::Path;

use subtle::ConstantTimeEq;
use volo_http::http::HeaderMap;

use crate::error::{Error, Result};

/// The header that carries the operators' token.
pub const TOKEN_HEADER: &str = "x-operator-token";

/// The operators' token.  It implements neither `Debug` nor `Display`, so it cannot be logged.
pub struct OperatorToken {
    /// None if no token file is configured.
    token: Option<Vec<u8>>,
}

impl OperatorToken {
    /// Reads the token from a file.  Without a file, or with an empty one, nobody is an operator.
    ///
    /// # Errors
    /// Fails if a file is named and cannot be read.
    pub fn load(path: Option<&Path>) -> Result<Self> {
        let Some(path) = path else {
            return Ok(Self { token: None });
        };
        let token = std::fs::read_to_string(path).map_err(|source| Error::Token {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self {
            token: Some(token.trim().as_bytes().to_vec()),
        })
    }

    /// Tells whether the headers carry the token.  The time this takes does not depend on how much
    /// of a wrong token is right, so nobody can guess the token from it.
    pub fn is_in(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(TOKEN_HEADER)
            .map(|value| value.as_bytes())
            .unwrap_or_default();
        match &self.token {
            Some(token) if !token.is_empty() => bool::from(token.as_slice().ct_eq(given)),
            _ => false,
        }
    }
}
