//! Calls of the command-line tool to an instance.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::http::Method;

use crate::cli::exit::CliError;
use crate::daemon::status::CellStatus;
use crate::http::answer::{self, Failure};
use crate::http::api::{Accepted, Changed, ConfigurationChange, ConfigurationView};
use crate::http::client::{Answer, CallError, HttpClient};
use crate::http::operator::TOKEN_HEADER;
use crate::placement::view::JobView;
use crate::policy::Bundle;

/// How long a call may take.
const TIMEOUT: Duration = Duration::from_secs(15);

/// An instance, and who calls it.
pub struct Endpoint {
    http: HttpClient,
    address: String,
    token: Option<String>,
}

impl Endpoint {
    /// Names an instance by `address`, an IP number and a port.
    ///
    /// # Errors
    /// Fails if the token file is named and cannot be read.
    pub fn new(address: String, token_file: Option<&Path>) -> Result<Self, CliError> {
        let token = token_file.map(read_text).transpose()?;
        Ok(Self {
            http: HttpClient::new(),
            address,
            token: token.map(|token| token.trim().to_owned()),
        })
    }

    /// Submits a job that is described as JSON.
    ///
    /// # Errors
    /// See [`CliError`]; so with all calls below.
    pub async fn submit(&self, spec: String) -> Result<Accepted, CliError> {
        self.json(Method::POST, "/v1/jobs", spec.into_bytes()).await
    }

    /// Asks how a job stands.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn job(&self, id: &str) -> Result<JobView, CliError> {
        self.json(Method::GET, &format!("/v1/jobs/{id}"), Vec::new())
            .await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn cancel(&self, id: &str) -> Result<Accepted, CliError> {
        self.json(Method::DELETE, &format!("/v1/jobs/{id}"), Vec::new())
            .await
    }

    /// Sends a short request to a service, and returns the whole answer.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn request(
        &self,
        service: &str,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<Answer, CliError> {
        let path = format!(
            "/v1/services/{service}/requests/{}",
            path.trim_start_matches('/')
        );
        let answer = self.raw(Method::POST, &path, headers, body).await?;
        let answered = answer
            .headers
            .get(answer::OUTCOME_HEADER)
            .is_some_and(|outcome| outcome == "answered");
        if answered {
            Ok(answer)
        } else {
            Err(self.failure(&answer))
        }
    }

    /// Asks how the cell stands.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn status(&self) -> Result<CellStatus, CliError> {
        self.json(Method::GET, "/v1/operator/status", Vec::new())
            .await
    }

    /// Asks for the configuration in force.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn configuration(&self) -> Result<ConfigurationView, CliError> {
        self.json(Method::GET, "/v1/operator/configuration", Vec::new())
            .await
    }

    /// Sets a configuration if `expected` is the version in force.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn configure(
        &self,
        bundle: Bundle,
        expected: u64,
        note: String,
    ) -> Result<Changed, CliError> {
        let change = ConfigurationChange {
            expected,
            note,
            bundle,
        };
        let body = to_json(&change);
        self.json(Method::PUT, "/v1/operator/configuration", body)
            .await
    }

    /// Has the instance hand over its shards and take no new work.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn drain(&self) -> Result<(), CliError> {
        let answer = self
            .raw(Method::POST, "/v1/operator/drain", &[], Vec::new())
            .await?;
        if answer.status.is_success() {
            Ok(())
        } else {
            Err(self.failure(&answer))
        }
    }

    /// Reads a page as text.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn text(&self, path: &str) -> Result<String, CliError> {
        let answer = self.raw(Method::GET, path, &[], Vec::new()).await?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, CliError> {
        let answer = self.raw(method, path, &[], body).await?;
        if !answer.status.is_success() {
            return Err(self.failure(&answer));
        }
        answer.json().map_err(|source| self.call_error(source))
    }

    async fn raw(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<Answer, CliError> {
        let url = format!("http://{}{path}", self.address);
        let mut headers = headers.to_vec();
        headers.extend(self.token.iter().map(|token| (TOKEN_HEADER, token.clone())));
        let answer = self.http.call(method, &url, &headers, body, TIMEOUT).await;
        answer.map_err(|source| self.call_error(source))
    }

    fn failure(&self, answer: &Answer) -> CliError {
        match answer.json::<Failure>() {
            Ok(failure) => CliError::Answered { failure },
            Err(source) => self.call_error(source),
        }
    }

    fn call_error(&self, source: CallError) -> CliError {
        CliError::Call {
            address: self.address.clone(),
            source,
        }
    }
}

/// Reads a file as text.
///
/// # Errors
/// Returns [`CliError::File`].
pub fn read_text(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
