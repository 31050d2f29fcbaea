//! Uploads in parts.
//!
//! Parts and what is needed to complete an upload are in the platform's object store, so that any
//! entry can take the next call. The list of parts comes with the final call. That call is a
//! non-idempotent request like any other, with the list in place of its body; the owner of a backend
//! server puts the parts in when it sends the request. `docs/callers.md` describes the calls.

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
    http::{Refused, refuse},
};
use crate::instance::Shared;
use store::UploadId;

/// Start of the paths of uploads.
pub const PREFIX: &str = "/v1/uploads/";

/// Answers one call about an upload.
pub async fn handle(shared: Arc<Shared>, request: Request<RequestBody>) -> Response<ResponseBody> {
    match route(shared, request).await {
        Ok(answer) => answer,
        Err(refused) => *refused,
    }
}

async fn route(
    shared: Arc<Shared>,
    request: Request<RequestBody>,
) -> Result<Response<ResponseBody>, Refused> {
    let uri = request.uri().clone();
    let target = uri.path_and_query().map_or("", |p| p.as_str());
    let rest = target.strip_prefix(PREFIX).unwrap_or_default();
    let words: Vec<&str> = rest.split('/').collect();
    // Ids start with `u.` and service names contain no dot, so the first word tells them apart.
    let id = words.first().and_then(|word| word.parse::<UploadId>().ok());
    match (request.method().as_str(), id, &words[1..]) {
        ("GET", Some(id), []) => parts::status(&shared, id).await,
        ("PUT", Some(id), ["parts", number]) => parts::put(&shared, id, number, request).await,
        ("POST", Some(id), ["complete"]) => complete::run(&shared, id, request).await,
        ("POST", None, _) => open::run(&shared, rest, &request).await,
        _ => Err(refuse(StatusCode::NOT_FOUND, "no such upload call; see docs/callers.md")),
    }
}

/// Builds the answer while the platform's store does not answer.
fn store_unavailable(detail: &str) -> Refused {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut answer = refusal(status, Outcome::NotRun, "store-unavailable", detail);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    Box::new(answer)
}
