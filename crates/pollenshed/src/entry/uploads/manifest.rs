//! The list of parts, which is the body of the request that completes an upload between instances.

use bytes::Bytes;
use pollenshed_protocol::{
    caller::{MAX_PART_BYTES, MAX_PARTS, UploadComplete},
    peer::{Header, HttpRequest, UploadPart},
};
use pollenshed_state::ids::Digest;

use super::store::{OpenedUpload, UploadId};

/// Header of a request between instances whose body is the list of an upload's parts. Its value is
/// the upload's id. Callers can't set it, because headers with this prefix are not forwarded from
/// them, and it isn't sent to backend servers.
const UPLOAD_HEADER: &str = "pollenshed-upload";

/// Checks a list of parts against the limits and for consistency. The error is a message for
/// callers.
pub fn check(complete: &UploadComplete, max_upload_bytes: u64) -> Result<(), String> {
    let parts = &complete.parts;
    if parts.is_empty() || parts.len() > MAX_PARTS as usize {
        return Err(format!("an upload has 1 to {MAX_PARTS} parts"));
    }
    if !parts.iter().zip(1..).all(|(part, number)| part.number == number) {
        return Err("the parts are not numbered 1, 2, 3 and so on".to_owned());
    }
    if !parts.iter().all(|part| (1..=MAX_PART_BYTES).contains(&part.length_bytes)) {
        return Err(format!("a part has 1 to {MAX_PART_BYTES} bytes"));
    }
    if parts.iter().map(|part| part.length_bytes).sum::<u64>() != complete.length_bytes {
        return Err("the lengths of the parts do not add up to the length".to_owned());
    }
    if complete.length_bytes > max_upload_bytes {
        return Err(format!("the upload is larger than {max_upload_bytes} bytes"));
    }
    Ok(())
}

/// Builds the request that carries the list of parts between instances.
///
/// The list is the body, so that the content digest that is kept for the ticket covers it.
pub fn build_request(
    id: &UploadId,
    opened: &OpenedUpload,
    complete: &UploadComplete,
    caller: String,
) -> Result<HttpRequest, serde_json::Error> {
    let header =
        |(name, value): &(String, String)| Header { name: name.clone(), value: value.clone() };
    let mut headers: Vec<Header> = opened.headers.iter().map(header).collect();
    headers.push(Header { name: UPLOAD_HEADER.to_owned(), value: id.to_string() });
    Ok(HttpRequest {
        service: opened.service.to_string(),
        method: "POST".to_owned(),
        path: opened.path.clone(),
        headers,
        body: Bytes::from(serde_json::to_vec(complete)?),
        caller,
    })
}

/// Returns where the owner finds the parts, or an empty list if the request doesn't complete an
/// upload.
pub fn parts_of(request: &HttpRequest) -> Vec<UploadPart> {
    let Some((id, complete)) = read_manifest(request) else { return Vec::new() };
    let part = |part: &pollenshed_protocol::caller::UploadPart| UploadPart {
        object_key: id.bytes_key(part),
        length_bytes: part.length_bytes,
        digest: Bytes::copy_from_slice(part.digest.as_bytes()),
    };
    complete.parts.iter().map(part).collect()
}

/// Returns the digest of the whole body of an upload, or `None` if the request doesn't complete
/// one.
pub fn upload_digest(request: &HttpRequest) -> Option<Digest> {
    read_manifest(request).map(|(_, complete)| complete.digest)
}

fn read_manifest(request: &HttpRequest) -> Option<(UploadId, UploadComplete)> {
    let header = request.headers.iter().find(|h| h.name == UPLOAD_HEADER)?;
    let id = header.value.parse().ok()?;
    Some((id, serde_json::from_slice(&request.body).ok()?))
}
