//! The calls that the command-line tool makes to a node.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::http::Method;

use crate::cell::view::JobView;
use crate::cli::exit::CliError;
use crate::http::api::{Accepted, PolicyChange, PolicyVersion, PolicyView};
use crate::http::client::{CallError, FullResponse, HttpClient};
use crate::http::operator::TOKEN_HEADER;
use crate::http::response::ErrorBody;
use crate::node::status::NodeStatus;

/// The time-out of a call.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The header that carries a workspace's key.
const KEY_HEADER: &str = "authorization";
/// The path of the policy.
const POLICY: &str = "/v1/operator/policy";

/// A node's own interface, with the credentials of the caller.
pub struct Endpoint {
    http: HttpClient,
    address: String,
    headers: Vec<(&'static str, String)>,
}

impl Endpoint {
    /// Creates an endpoint for the node at `address`, an IP address and a port.  Calls carry the
    /// operators' token, a workspace's key, both or neither.
    pub fn new(address: String, token: Option<String>, key: Option<String>) -> Self {
        let token = token.map(|token| (TOKEN_HEADER, token.trim().to_owned()));
        let key = key.map(|key| (KEY_HEADER, format!("Bearer {}", key.trim())));
        Self {
            http: HttpClient::new(),
            address,
            headers: token.into_iter().chain(key).collect(),
        }
    }

    /// Submits a job; the body is [`crate::http::api::Submission`] as JSON.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn submit(&self, body: Vec<u8>) -> Result<Accepted, CliError> {
        self.json(Method::POST, "/v1/jobs", body).await
    }

    /// Fetches the state of a job and of its steps.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn job(&self, id: &str) -> Result<JobView, CliError> {
        let path = format!("/v1/jobs/{id}");
        self.json(Method::GET, &path, Vec::new()).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn cancel(&self, id: &str) -> Result<Accepted, CliError> {
        let path = format!("/v1/jobs/{id}");
        self.json(Method::DELETE, &path, Vec::new()).await
    }

    /// Fetches the node's status.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn status(&self) -> Result<NodeStatus, CliError> {
        self.json(Method::GET, "/v1/status", Vec::new()).await
    }

    /// Fetches the policy in force.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn policy(&self) -> Result<PolicyView, CliError> {
        self.json(Method::GET, POLICY, Vec::new()).await
    }

    /// Sets a policy if `change.expected` is the version in force.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn set_policy(&self, change: &PolicyChange) -> Result<PolicyVersion, CliError> {
        self.json(Method::PUT, POLICY, to_json(change)?).await
    }

    /// Fetches the body of a path as text, whatever the status code is.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn text(&self, path: &str) -> Result<String, CliError> {
        let response = self.raw(Method::GET, path, Vec::new()).await?;
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    /// Makes a call and decodes the JSON of a successful response.
    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, CliError> {
        let response = self.raw(method, path, body).await?;
        if !response.status.is_success() {
            return Err(self.error_response(&response));
        }
        response.json().map_err(|source| self.call_error(source))
    }

    /// Makes a call and returns the response, also one that reports an error.
    async fn raw(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<FullResponse, CliError> {
        let url = format!("http://{}{path}", self.address);
        let response = self.http.call(method, &url, &self.headers, body, TIMEOUT);
        let response = response.await;
        response.map_err(|source| self.call_error(source))
    }

    /// Decodes the error that a response holds.
    fn error_response(&self, response: &FullResponse) -> CliError {
        match response.json::<ErrorBody>() {
            Ok(body) => CliError::ErrorResponse { body },
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

/// Encodes a request body as JSON.
///
/// # Errors
/// Returns [`CliError::Encode`].
pub fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, CliError> {
    serde_json::to_vec(value).map_err(|source| CliError::Encode { source })
}
