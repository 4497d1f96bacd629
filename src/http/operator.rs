//! Telling operators from callers by a shared token.

use std::path::Path;

use subtle::ConstantTimeEq;
use volo_http::http::HeaderMap;

use crate::error::{Error, Result};

/// The header that carries the operators' token.
pub const TOKEN_HEADER: &str = "x-operator-token";

/// The operators' token.  It is never logged: the type has no way to show it.
pub struct OperatorToken {
    token: Option<Vec<u8>>,
}

impl OperatorToken {
    /// Reads the token from a file; without a file nobody is an operator.
    ///
    /// # Errors
    /// Fails if the file is named and cannot be read.
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

    /// Tells whether the headers carry the token; takes the same time for any wrong one.
    pub fn admits(&self, headers: &HeaderMap) -> bool {
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
