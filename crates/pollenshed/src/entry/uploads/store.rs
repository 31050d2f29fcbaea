//! Ids and objects of uploads.

use std::{fmt, str::FromStr, sync::Arc};

use pollenshed_protocol::caller::UploadPart;
use pollenshed_state::ids::{Digest, ServiceName, Ticket};
use pollenshed_transport::platform::{Platform, PlatformError};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Refused, store_unavailable};
use crate::instance::Shared;

/// Digits of an id.
const ID_DIGITS: usize = 32;

/// Names an upload. It is written as `u.` and 32 hexadecimal digits.
///
/// It is derived from the ticket that opened the upload, so that opening it again gives the same
/// id, and does not reveal the ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UploadId(String);

impl UploadId {
    /// Returns the id of the upload that `ticket` opens.
    pub fn of(ticket: &Ticket) -> UploadId {
        let mut digits = Digest::of(ticket.to_string().as_bytes()).hex();
        digits.truncate(ID_DIGITS);
        UploadId(digits)
    }

    /// Returns the key of the object that says what the upload is for.
    pub fn opened_key(&self) -> String {
        format!("upload-{}-opened", self.0)
    }

    /// Returns the key of the object that describes a part.
    pub fn part_key(&self, number: u32) -> String {
        format!("upload-{}-{number}", self.0)
    }

    /// Returns the key of the object that holds a part's bytes.
    pub fn bytes_key(&self, part: &UploadPart) -> String {
        format!("upload-{}-{}-{}", self.0, part.number, part.digest.hex())
    }

    /// Returns the key of the row that names the ticket that completes the upload.
    pub fn claim_key(&self) -> String {
        format!("upload-{}", self.0)
    }
}

impl fmt::Display for UploadId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "u.{}", self.0)
    }
}

/// The text is not the id of an upload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUploadIdError;

impl FromStr for UploadId {
    type Err = ParseUploadIdError;

    fn from_str(text: &str) -> Result<UploadId, ParseUploadIdError> {
        let digits = text.strip_prefix("u.").ok_or(ParseUploadIdError)?;
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if digits.len() != ID_DIGITS || !digits.bytes().all(is_digit) {
            return Err(ParseUploadIdError);
        }
        Ok(UploadId(digits.to_owned()))
    }
}

/// What an upload is for, as its first call said.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Opened {
    /// Service that gets the upload.
    pub service: ServiceName,
    /// Path and query below the service's root.
    pub path: String,
    /// Ticket of the first call.
    pub ticket: String,
    /// Headers for the backend server.
    pub headers: Vec<(String, String)>,
}

/// Runs a blocking call to the platform on a thread for blocking work.
pub async fn call<T: Send + 'static>(
    shared: &Arc<Shared>,
    call: impl FnOnce(&Platform) -> Result<T, PlatformError> + Send + 'static,
) -> Result<T, Refused> {
    let platform = shared.platform.clone();
    match tokio::task::spawn_blocking(move || call(&platform)).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(e)) => Err(store_unavailable(&e.to_string())),
        Err(e) => Err(store_unavailable(&e.to_string())),
    }
}

/// Reads an object with a JSON value.
pub fn get_json<T: DeserializeOwned>(
    platform: &Platform,
    key: &str,
) -> Result<Option<T>, PlatformError> {
    let Some(bytes) = platform.get_object(key)? else { return Ok(None) };
    let value = serde_json::from_slice(&bytes);
    value.map(Some).map_err(|e| PlatformError::Malformed(format!("{key}: {e}")))
}

/// Writes an object with a JSON value.
pub fn put_json(
    platform: &Platform,
    key: &str,
    value: &impl Serialize,
) -> Result<(), PlatformError> {
    let bytes = serde_json::to_vec(value).map_err(|e| PlatformError::Malformed(e.to_string()))?;
    platform.put_object(key, &bytes)
}
