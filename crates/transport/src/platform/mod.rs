//! Client of the platform's table service, object store and instance list.

mod head;
mod submit;

use std::{fmt, io::Read, net::SocketAddr, time::Duration};

use pollenshed_protocol::platform::{InstanceList, PutRow, Row};
use serde::de::DeserializeOwned;
use ureq::{Agent, http::StatusCode};

pub use submit::{SubmitRequest, submit};

/// Largest object that is read; larger ones are refused, so that memory stays bounded.
const MAX_OBJECT_BYTES: u64 = 512 * 1024 * 1024;

/// Why a call to the platform gave no result.
#[derive(Debug)]
pub enum PlatformError {
    /// The service is down, too slow or not reachable. A write may have taken effect.
    Unavailable(String),
    /// The service answered with something that the client does not understand.
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
    /// The condition did not hold; the present row, if there is one.
    Refused(Option<Row>),
}

/// A client of the platform. Calls block; clones share connections.
#[derive(Debug, Clone)]
pub struct Platform {
    agent: Agent,
    base: String,
}

impl Platform {
    /// Prepares a client; no connection is made before the first call.
    pub fn open(address: SocketAddr, timeout: Duration) -> Platform {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .build();
        Platform { agent: config.into(), base: format!("http://{address}") }
    }

    /// Reads a row.
    pub fn get_row(&self, table: &str, key: &str) -> Result<Option<Row>, PlatformError> {
        let url = format!("{}/tables/{table}/{key}", self.base);
        let mut answer = self.agent.get(url).call().map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => read_json(&mut answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Writes a row if it has `expected_revision`; 0 means that it must not exist.
    pub fn put_row(
        &self,
        table: &str,
        key: &str,
        expected_revision: u64,
        value: serde_json::Value,
    ) -> Result<PutOutcome, PlatformError> {
        let url = format!("{}/tables/{table}/{key}", self.base);
        let body = PutRow { expected_revision, value };
        let mut answer = self.agent.put(url).send_json(&body).map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => read_json(&mut answer).map(PutOutcome::Written),
            StatusCode::CONFLICT => read_json(&mut answer).map(PutOutcome::Refused),
            status => Err(unexpected(status)),
        }
    }

    /// Reads an object.
    pub fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let url = format!("{}/objects/{key}", self.base);
        let mut answer = self.agent.get(url).call().map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => read_whole(&mut answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Writes an object.
    pub fn put_object(&self, key: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        let url = format!("{}/objects/{key}", self.base);
        let answer = self.agent.put(url).send(bytes).map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            status => Err(unexpected(status)),
        }
    }

    /// Reads the platform's lagging list of instances.
    pub fn instances(&self) -> Result<InstanceList, PlatformError> {
        let url = format!("{}/instances", self.base);
        let mut answer = self.agent.get(url).call().map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => read_json(&mut answer),
            status => Err(unexpected(status)),
        }
    }
}

fn unavailable(error: ureq::Error) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}

fn unexpected(status: StatusCode) -> PlatformError {
    PlatformError::Unavailable(format!("status {status}"))
}

fn read_json<T: DeserializeOwned>(
    answer: &mut ureq::http::Response<ureq::Body>,
) -> Result<T, PlatformError> {
    let bytes = read_whole(answer)?;
    serde_json::from_slice(&bytes).map_err(|e| PlatformError::Malformed(e.to_string()))
}

fn read_whole(answer: &mut ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, PlatformError> {
    let mut bytes = Vec::new();
    let mut reader = answer.body_mut().with_config().limit(MAX_OBJECT_BYTES).reader();
    reader.read_to_end(&mut bytes).map_err(|e| PlatformError::Unavailable(e.to_string()))?;
    Ok(bytes)
}
