//! Uploads in parts.
//!
//! The parts and the `OpenedUpload` of an upload are kept in the platform's object store, so that
//! any entry can handle the next call. The final call carries the list of parts. It is a
//! non-idempotent request whose body is this list; the owner of a backend server replaces it by the
//! parts' bytes when it sends the request. `docs/callers.md` describes the calls.

mod claim;
mod complete;
mod manifest;
mod open;
mod parts;
mod store;

use std::sync::Arc;

use hyper::{
    Request, Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use pollenshed_protocol::caller::Outcome;
use pollenshed_transport::edge::{RequestBody, ResponseBody};

pub use manifest::{parts_of, upload_digest};

use super::{
    answer::refusal,
    http::{RefusalResponse, refuse},
};
use crate::instance::Shared;
use store::UploadId;

/// Prefix of the paths of all calls about uploads.
pub const PREFIX: &str = "/v1/uploads/";

/// Handles one call of a caller about an upload.
pub async fn handle(shared: Arc<Shared>, request: Request<RequestBody>) -> Response<ResponseBody> {
    match route(shared, request).await {
        Ok(answer) => answer,
        Err(refused) => *refused,
    }
}

async fn route(
    shared: Arc<Shared>,
    request: Request<RequestBody>,
) -> Result<Response<ResponseBody>, RefusalResponse> {
    let uri = request.uri().clone();
    let target = uri.path_and_query().map_or("", |p| p.as_str());
    let rest = target.strip_prefix(PREFIX).unwrap_or_default();
    let segments: Vec<&str> = rest.split('/').collect();
    // Ids start with `u.` and service names contain no dot, so the first segment tells them apart.
    let id = segments.first().and_then(|segment| segment.parse::<UploadId>().ok());
    match (request.method().as_str(), id, &segments[1..]) {
        ("GET", Some(id), []) => parts::status(&shared, id).await,
        ("PUT", Some(id), ["parts", number]) => parts::put(&shared, id, number, request).await,
        ("POST", Some(id), ["complete"]) => complete::run(&shared, id, request).await,
        ("POST", None, _) => open::run(&shared, rest, &request).await,
        _ => Err(refuse(StatusCode::NOT_FOUND, "no such upload call; see docs/callers.md")),
    }
}

/// Builds the refusal for a call that the platform's store failed. The caller may retry.
fn store_unavailable(detail: &str) -> RefusalResponse {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut answer = refusal(status, Outcome::NotRun, "store-unavailable", detail);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    Box::new(answer)
}
