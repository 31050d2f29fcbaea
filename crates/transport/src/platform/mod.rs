//! Client of the platform's table service, object store and instance list.

mod head;
mod submit;

use std::{fmt, io::Read, net::SocketAddr, time::Duration};

use pollenshed_protocol::platform::{InstanceList, PutRow, Row};
use serde::de::DeserializeOwned;
use ureq::{Agent, http::StatusCode};

pub use submit::{SubmitRequest, submit};

/// Largest response body that is read, which bounds memory; reading a larger one fails.
const MAX_OBJECT_BYTES: u64 = 512 * 1024 * 1024;

/// Why a call to the platform failed.
#[derive(Debug)]
pub enum PlatformError {
    /// The service is down, too slow or unreachable. A write may have taken effect.
    Unavailable(String),
    /// A response or a stored value can't be decoded or lacks a part.
    Malformed(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Unavailable(e) => write!(f, "platform is not available: {e}"),
            PlatformError::Malformed(e) => write!(f, "platform sent a malformed answer: {e}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The row was written.
    Written(Row),
    /// The row has another revision than expected; the current row, if there is one.
    Refused(Option<Row>),
}

/// A client of the platform. Calls block; clones share a connection pool.
#[derive(Debug, Clone)]
pub struct Platform {
    agent: Agent,
    base: String,
}

impl Platform {
    /// Creates a client that connects with its first call. `timeout` limits each call as a whole.
    pub fn open(address: SocketAddr, timeout: Duration) -> Platform {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .build();
        Platform { agent: config.into(), base: format!("http://{address}") }
    }

    /// Reads a row; `None` if it does not exist.
    pub fn get_row(&self, table: &str, key: &str) -> Result<Option<Row>, PlatformError> {
        let url = format!("{}/tables/{table}/{key}", self.base);
        let mut response = self.agent.get(url).call().map_err(unavailable)?;
        match response.status() {
            StatusCode::OK => read_json(&mut response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    /// Writes a row if its revision is `expected_revision`; 0 means that the row must not exist.
    pub fn put_row(
        &self,
        table: &str,
        key: &str,
        expected_revision: u64,
        value: serde_json::Value,
    ) -> Result<PutOutcome, PlatformError> {
        let url = format!("{}/tables/{table}/{key}", self.base);
        let body = PutRow { expected_revision, value };
        let mut response = self.agent.put(url).send_json(&body).map_err(unavailable)?;
        match response.status() {
            StatusCode::OK => read_json(&mut response).map(PutOutcome::Written),
            StatusCode::CONFLICT => read_json(&mut response).map(PutOutcome::Refused),
            status => Err(unexpected_status(status)),
        }
    }

    /// Reads an object; `None` if it does not exist.
    pub fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let url = format!("{}/objects/{key}", self.base);
        let mut response = self.agent.get(url).call().map_err(unavailable)?;
        match response.status() {
            StatusCode::OK => read_body(&mut response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    /// Writes an object, replacing any object with the same key.
    pub fn put_object(&self, key: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        let url = format!("{}/objects/{key}", self.base);
        let response = self.agent.put(url).send(bytes).map_err(unavailable)?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(unexpected_status(status)),
        }
    }

    /// Reads the platform's list of instances, which lags behind their real state.
    pub fn instances(&self) -> Result<InstanceList, PlatformError> {
        let url = format!("{}/instances", self.base);
        let mut response = self.agent.get(url).call().map_err(unavailable)?;
        match response.status() {
            StatusCode::OK => read_json(&mut response),
            status => Err(unexpected_status(status)),
        }
    }
}

fn unavailable(error: ureq::Error) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}

fn unexpected_status(status: StatusCode) -> PlatformError {
    PlatformError::Unavailable(format!("status {status}"))
}

fn read_json<T: DeserializeOwned>(
    response: &mut ureq::http::Response<ureq::Body>,
) -> Result<T, PlatformError> {
    let bytes = read_body(response)?;
    serde_json::from_slice(&bytes).map_err(|e| PlatformError::Malformed(e.to_string()))
}

fn read_body(response: &mut ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, PlatformError> {
    let mut bytes = Vec::new();
    let mut reader = response.body_mut().with_config().limit(MAX_OBJECT_BYTES).reader();
    reader.read_to_end(&mut bytes).map_err(|e| PlatformError::Unavailable(e.to_string()))?;
    Ok(bytes)
}
