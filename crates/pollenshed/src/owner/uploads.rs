//! Sends uploads to backend servers, reading their parts from the object store one by one.

use std::{thread, time::Duration};

use pollenshed_protocol::peer::UploadPart;
use pollenshed_state::time::Instant;
use pollenshed_transport::backend::{
    BackendOutcome, BackendRequest, BodyPart, PartError, PartsBody,
};

use crate::{entry, instance::Shared, wire};

/// Pause before a failed read of a part is retried.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sends a request and blocks the thread until its outcome. If there are `parts`, they form the
/// body and are read from the object store.
pub fn send(
    shared: &Shared,
    send: &BackendRequest<'_>,
    parts: &[UploadPart],
    deadline: Instant,
) -> BackendOutcome {
    if parts.is_empty() {
        return shared.backend_client.send(send);
    }
    let Some(digest) = entry::upload_digest(send.request) else {
        return BackendOutcome::BodyUnavailable("the upload has no digest".to_owned());
    };
    let parts: Option<Vec<BodyPart>> = parts.iter().map(part_from_wire).collect();
    let Some(parts) = parts else {
        return BackendOutcome::BodyUnavailable("a part's digest can't be read".to_owned());
    };
    match PartsBody::open(&parts, digest, |part| fetch(shared, part, deadline)) {
        Ok(body) => shared.backend_client.send_parts(send, body),
        Err(PartError(e)) => BackendOutcome::BodyUnavailable(e),
    }
}

fn part_from_wire(part: &UploadPart) -> Option<BodyPart> {
    Some(BodyPart {
        object_key: part.object_key.clone(),
        length_bytes: part.length_bytes,
        digest: wire::digest_from_wire(&part.digest)?,
    })
}

/// Reads a part and retries failed reads until the deadline. A missing part fails at once.
fn fetch(shared: &Shared, part: &BodyPart, deadline: Instant) -> Result<Vec<u8>, PartError> {
    loop {
        match shared.platform.get_object(&part.object_key) {
            Ok(Some(bytes)) => return Ok(bytes),
            Ok(None) => return Err(PartError(format!("{} is missing", part.object_key))),
            Err(e) if shared.clock.now() >= deadline => return Err(PartError(e.to_string())),
            Err(_) => thread::sleep(STORE_RETRY_PAUSE),
        }
    }
}
