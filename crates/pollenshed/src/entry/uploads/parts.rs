//! `PUT /v1/uploads/{id}/parts/{n}` takes a part and `GET /v1/uploads/{id}` lists the parts.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode};
use pollenshed_protocol::caller::{
    DIGEST_HEADER, MAX_PART_BYTES, MAX_PARTS, Outcome, UploadPart, UploadStatus,
};
use pollenshed_state::ids::Digest;
use pollenshed_transport::edge::{RequestBody, ResponseBody};

use super::store::{self, Opened, UploadId};
use crate::{
    entry::{
        answer::{json, refusal},
        http::{Refused, body_error, header, refuse},
    },
    instance::Shared,
};

/// What storing a part came to.
enum Stored {
    Whole,
    NotOpened,
    WrongDigest,
}

/// Stores one part. Sending a part again, to any entry, replaces it.
pub async fn put(
    shared: &Arc<Shared>,
    id: UploadId,
    number: &str,
    request: Request<RequestBody>,
) -> Result<Response<ResponseBody>, Refused> {
    let number: u32 = number.parse().unwrap_or(0);
    if !(1..=MAX_PARTS).contains(&number) {
        let detail = format!("parts have numbers from 1 to {MAX_PARTS}");
        return Err(refuse(StatusCode::BAD_REQUEST, &detail));
    }
    let digest = header(&request, DIGEST_HEADER).and_then(|v| v.parse::<Digest>().ok());
    let digest = digest.ok_or_else(|| {
        refuse(StatusCode::BAD_REQUEST, "expected pollenshed-digest: sha256: and 64 digits")
    })?;
    let bytes = request.into_body().read_whole(MAX_PART_BYTES).await.map_err(|e| body_error(&e))?;
    let part = UploadPart { number, length_bytes: bytes.len() as u64, digest };
    let answer = part.clone();
    let stored = store::call(shared, move |platform| {
        if Digest::of(&bytes) != part.digest {
            return Ok(Stored::WrongDigest);
        }
        if store::get_json::<Opened>(platform, &id.opened_key())?.is_none() {
            return Ok(Stored::NotOpened);
        }
        platform.put_object(&id.bytes_key(&part), &bytes)?;
        // The description follows the bytes, so that it never names bytes that are not there.
        store::put_json(platform, &id.part_key(number), &part)?;
        Ok(Stored::Whole)
    })
    .await?;
    match stored {
        Stored::Whole => Ok(json(StatusCode::OK, &answer)),
        Stored::NotOpened => Err(not_found()),
        Stored::WrongDigest => Err(Box::new(refusal(
            StatusCode::BAD_REQUEST,
            Outcome::NotRun,
            "digest-mismatch",
            "the part's bytes have another digest",
        ))),
    }
}

/// Lists the parts from the first up to the first gap.
pub async fn status(shared: &Arc<Shared>, id: UploadId) -> Result<Response<ResponseBody>, Refused> {
    let status = store::call(shared, move |platform| {
        let Some(opened) = store::get_json::<Opened>(platform, &id.opened_key())? else {
            return Ok(None);
        };
        let mut parts = Vec::new();
        for number in 1..=MAX_PARTS {
            match store::get_json::<UploadPart>(platform, &id.part_key(number))? {
                Some(part) => parts.push(part),
                None => break,
            }
        }
        let Opened { service, path, .. } = opened;
        Ok(Some(UploadStatus { upload: id.to_string(), service, path, parts }))
    })
    .await?;
    status.map(|status| json(StatusCode::OK, &status)).ok_or_else(not_found)
}

/// Builds the answer to a call about an upload that was never opened.
pub fn not_found() -> Refused {
    refuse(StatusCode::NOT_FOUND, "no such upload")
}
