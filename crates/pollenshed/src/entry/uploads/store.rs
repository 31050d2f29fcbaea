//! Ids of uploads, and their objects in the platform's store.

use std::{fmt, str::FromStr, sync::Arc, thread, time::Duration};

use pollenshed_protocol::caller::UploadPart;
use pollenshed_state::ids::{Digest, ServiceName, Ticket};
use pollenshed_transport::platform::{Platform, PlatformError};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{RefusalResponse, store_unavailable};
use crate::instance::Shared;

const ID_DIGITS: usize = 32;

/// Id of an upload, written as `u.` and 32 hexadecimal digits.
///
/// It is a digest of the ticket that opened the upload, so that opening it again gives the same id
/// and the id doesn't reveal the ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UploadId(String);

impl UploadId {
    /// Returns the id of the upload that `ticket` opens.
    pub fn of(ticket: &Ticket) -> UploadId {
        let mut digits = Digest::of(ticket.to_string().as_bytes()).hex();
        digits.truncate(ID_DIGITS);
        UploadId(digits)
    }

    /// Returns the key of the object that holds the [`OpenedUpload`].
    pub fn opened_key(&self) -> String {
        format!("upload-{}-opened", self.0)
    }

    /// Returns the key of the object that holds a part's number, length and digest.
    pub fn part_key(&self, number: u32) -> String {
        format!("upload-{}-{number}", self.0)
    }

    /// Returns the key of the object that holds a part's bytes.
    pub fn bytes_key(&self, part: &UploadPart) -> String {
        format!("upload-{}-{}-{}", self.0, part.number, part.digest.hex())
    }

    /// Returns the key of the row that names the ticket that may complete the upload.
    pub fn claim_key(&self) -> String {
        format!("upload-{}", self.0)
    }
}

impl fmt::Display for UploadId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "u.{}", self.0)
    }
}

/// The text is not `u.` and 32 lower-case hexadecimal digits.
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

/// What the call that opened an upload said about it; stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OpenedUpload {
    /// Service whose backend server receives the upload.
    pub service: ServiceName,
    /// Path and query of the request to the backend server.
    pub path: String,
    /// Ticket of the call that opened the upload.
    pub ticket: String,
    /// Headers of the opening call that are forwarded to the backend server.
    pub headers: Vec<(String, String)>,
}

/// Runs a blocking call to the platform on a thread for blocking tasks. An error becomes a refusal
/// with the reason `store-unavailable`.
pub async fn call_platform<T: Send + 'static>(
    shared: &Arc<Shared>,
    call: impl FnOnce(&Platform) -> Result<T, PlatformError> + Send + 'static,
) -> Result<T, RefusalResponse> {
    let platform = shared.platform.clone();
    match tokio::task::spawn_blocking(move || call(&platform)).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(e)) => Err(store_unavailable(&e.to_string())),
        Err(e) => Err(store_unavailable(&e.to_string())),
    }
}

/// Number of tries of a call that may be repeated.
const MAX_TRIES: u32 = 3;

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Like [`call_platform`] for a call that may be repeated without harm. A single reply that is lost
/// or late does not fail the caller's request then.
pub async fn call_platform_again<T: Send + 'static>(
    shared: &Arc<Shared>,
    call: impl Fn(&Platform) -> Result<T, PlatformError> + Send + 'static,
) -> Result<T, RefusalResponse> {
    call_platform(shared, move |platform| {
        let mut tries = 1;
        loop {
            match call(platform) {
                Err(PlatformError::Unavailable(error)) if tries < MAX_TRIES => {
                    log::info!(tries, error; "upload: the store failed, the call is repeated");
                    tries += 1;
                    thread::sleep(RETRY_DELAY);
                }
                result => return result,
            }
        }
    })
    .await
}

/// Reads an object and parses it as JSON. Returns `None` if the object doesn't exist.
pub fn get_json<T: DeserializeOwned>(
    platform: &Platform,
    key: &str,
) -> Result<Option<T>, PlatformError> {
    let Some(bytes) = platform.get_object(key)? else { return Ok(None) };
    let value = serde_json::from_slice(&bytes);
    value.map(Some).map_err(|e| PlatformError::Malformed(format!("{key}: {e}")))
}

/// Writes `value` as JSON to an object.
pub fn put_json(
    platform: &Platform,
    key: &str,
    value: &impl Serialize,
) -> Result<(), PlatformError> {
    let bytes = serde_json::to_vec(value).map_err(|e| PlatformError::Malformed(e.to_string()))?;
    platform.put_object(key, &bytes)
}
