//! Uploads that are sent in parts.

use std::io::{self, Read};

use pollenshed_protocol::caller::{
    DIGEST_HEADER, MAX_PART_BYTES, TICKET_HEADER, UploadComplete, UploadOpened, UploadPart,
    UploadStatus,
};
use pollenshed_state::ids::Digest;
use serde::de::DeserializeOwned;
use sha2::{Digest as _, Sha256};

use crate::{
    Caller, Failure, Outcome,
    exchange::{Exchange, RawAnswer},
    submit::{self, Post},
    wait::RetryTimer,
};

/// An open upload. It stays valid if the entry that opened it stops.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upload {
    /// Id that the opening entry assigned.
    pub id: String,
    /// Service that the upload is for.
    pub service: String,
}

/// An idempotent HTTP call of an upload. Any entry can answer it.
struct UploadCall<'a> {
    method: &'a str,
    path: &'a str,
    headers: Vec<(&'a str, String)>,
    body: Option<&'a [u8]>,
}

/// Opens an upload to `path` of a service.
pub(crate) fn open(caller: &Caller, service: &str, path: &str) -> Result<Upload, Failure> {
    let mut timer = RetryTimer::new(&caller.options);
    let answer = submit::find_entries(caller, service, &mut timer)?;
    let ticket = submit::new_ticket(&answer);
    let path = format!("/v1/uploads/{service}/{}", path.trim_start_matches('/'));
    let headers = vec![(TICKET_HEADER, ticket)];
    let call = UploadCall { method: "POST", path: &path, headers, body: Some(b"") };
    let opened: UploadOpened = call_any_entry(caller, service, &call, &mut timer)?;
    Ok(Upload { id: opened.upload, service: service.to_owned() })
}

/// Sends the parts that are not stored yet and completes the upload.
pub(crate) fn send(
    caller: &Caller,
    upload: &Upload,
    reader: &mut dyn Read,
    length_bytes: u64,
) -> Outcome {
    let complete = match send_parts(caller, upload, reader, length_bytes) {
        Ok(complete) => complete,
        // No backend server has received anything yet.
        Err(failure) => return Outcome::NotRun(failure),
    };
    match serde_json::to_vec(&complete) {
        Ok(body) => {
            let path = format!("/v1/uploads/{}/complete", upload.id);
            submit::run_post(caller, &Post { service: &upload.service, path: &path, body: &body })
        }
        Err(e) => Outcome::NotRun(Failure::local("invalid", e.to_string())),
    }
}

fn send_parts(
    caller: &Caller,
    upload: &Upload,
    reader: &mut dyn Read,
    length_bytes: u64,
) -> Result<UploadComplete, Failure> {
    let stored = stored_parts(caller, upload)?;
    let mut hasher = Sha256::new();
    let mut parts = Vec::new();
    let mut remaining_bytes = length_bytes;
    let mut number = 1;
    while remaining_bytes > 0 {
        let bytes = read_part(reader, remaining_bytes.min(MAX_PART_BYTES))
            .map_err(|e| Failure::local("read-failed", e.to_string()))?;
        hasher.update(&bytes);
        let length_bytes = bytes.len() as u64;
        let part = UploadPart { number, length_bytes, digest: Digest::of(&bytes) };
        if !stored.contains(&part) {
            put_part(caller, upload, &part, &bytes)?;
        }
        remaining_bytes -= length_bytes;
        number += 1;
        parts.push(part);
    }
    let digest = Digest::from_bytes(hasher.finalize().into());
    Ok(UploadComplete { digest, length_bytes, parts })
}

fn stored_parts(caller: &Caller, upload: &Upload) -> Result<Vec<UploadPart>, Failure> {
    let path = format!("/v1/uploads/{}", upload.id);
    let call = UploadCall { method: "GET", path: &path, headers: Vec::new(), body: None };
    let mut timer = RetryTimer::new(&caller.options);
    let status: UploadStatus = call_any_entry(caller, &upload.service, &call, &mut timer)?;
    Ok(status.parts)
}

fn put_part(
    caller: &Caller,
    upload: &Upload,
    part: &UploadPart,
    bytes: &[u8],
) -> Result<(), Failure> {
    let path = format!("/v1/uploads/{}/parts/{}", upload.id, part.number);
    let headers = vec![(DIGEST_HEADER, part.digest.to_string())];
    let call = UploadCall { method: "PUT", path: &path, headers, body: Some(bytes) };
    let mut timer = RetryTimer::new(&caller.options);
    call_any_entry::<UploadPart>(caller, &upload.service, &call, &mut timer).map(drop)
}

/// Reads exactly `length` bytes.
fn read_part(reader: &mut dyn Read, length: u64) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
    reader.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Sends a call to one entry after the other until one accepts or rejects it or the deadline
/// passes. Connection failures and statuses 408 and 503 are retried.
fn call_any_entry<T: DeserializeOwned>(
    caller: &Caller,
    service: &str,
    call: &UploadCall<'_>,
    timer: &mut RetryTimer<'_>,
) -> Result<T, Failure> {
    let mut last = Failure::local("unreachable", "no entry could be reached");
    loop {
        let answer = submit::find_entries(caller, service, timer)?;
        let mut retry_after = None;
        for entry in &answer.entries {
            let Some(timeout) = timer.attempt_timeout() else { return Err(last) };
            let mut headers = caller.headers(timer);
            headers.extend(call.headers.iter().cloned());
            let exchange = Exchange {
                method: call.method,
                entry: entry.address,
                path: call.path,
                headers: &headers,
                body: call.body,
                timeout,
                max_answer_bytes: caller.options.max_answer_bytes,
            };
            match exchange.send(&caller.pooled_agent) {
                Ok(raw) if (200..300).contains(&raw.status) => return parse_json(&raw),
                Ok(raw) if raw.status == 503 || raw.status == 408 => last = raw.failure(),
                Ok(raw) => return Err(raw.failure()),
                Err(e) => last = Failure::local("unreachable", e.into_text()),
            }
            retry_after = last.retry_after;
        }
        caller.lookup_cache.expire(service);
        if !timer.back_off(retry_after) {
            return Err(last);
        }
    }
}

fn parse_json<T: DeserializeOwned>(raw: &RawAnswer) -> Result<T, Failure> {
    serde_json::from_slice(&raw.body)
        .map_err(|e| Failure::local("invalid", format!("cannot parse the answer: {e}")))
}
