//! `POST /v1/uploads/{id}/complete` hands a whole upload to a backend server at most once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use hyper::{Request, Response, StatusCode};
use pollenshed_protocol::{
    caller::{CALLER_HEADER, Outcome, UploadComplete, UploadPart},
    peer::{AnswerReply, NotRunReason, answer_reply},
};
use pollenshed_state::ids::Ticket;
use pollenshed_transport::{
    edge::{RequestBody, ResponseBody},
    platform::{Platform, PlatformError},
};

use super::{
    claim::{Claim, claim},
    manifest, parts,
    store::{self, Opened, UploadId},
};
use crate::{
    config::InForce,
    entry::{
        answer::{from_reply, refusal},
        http::{Classified, Refused, body_error, header, read_deadline, read_ticket, refuse},
        ticketed,
    },
    instance::Shared,
};

/// Largest list of parts.
const MAX_LIST_BYTES: u64 = 1024 * 1024;

/// Threads that look for the parts in the store.
const CHECK_THREADS: usize = 8;

/// Former tickets of an upload that are asked about in one call.
const MAX_FORMER_TICKETS: usize = 4;

/// Completes an upload.
pub async fn run(
    shared: &Arc<Shared>,
    id: UploadId,
    request: Request<RequestBody>,
) -> Result<Response<ResponseBody>, Refused> {
    let key = id.opened_key();
    let opened = store::call(shared, move |platform| store::get_json::<Opened>(platform, &key));
    let opened = opened.await?.ok_or_else(parts::not_found)?;
    let ticket = match read_ticket(&request)? {
        Some(ticket) => ticket,
        None => opened.ticket.parse().map_err(|_| parts::not_found())?,
    };
    let work = classify(shared, &id, &opened, request).await?;
    let complete: UploadComplete = read_list(&work.request.body)?;
    check_parts(shared, &id, complete.parts).await?;
    hand_over(shared, &id, ticket, work).await
}

/// Returns the configuration in force.
pub fn config(shared: &Shared) -> Result<Arc<InForce>, Refused> {
    shared.config.get().ok_or_else(|| {
        Box::new(refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            Outcome::NotRun,
            "no-configuration",
            "no configuration has reached this instance yet",
        ))
    })
}

fn read_list(bytes: &[u8]) -> Result<UploadComplete, Refused> {
    serde_json::from_slice(bytes)
        .map_err(|e| refuse(StatusCode::BAD_REQUEST, &format!("the list of parts: {e}")))
}

async fn classify(
    shared: &Arc<Shared>,
    id: &UploadId,
    opened: &Opened,
    request: Request<RequestBody>,
) -> Result<Classified, Refused> {
    let current = config(shared)?;
    let services = &current.config.services;
    let service = services.iter().find(|s| s.name == opened.service);
    let operation = service.and_then(|s| s.operation("POST", &opened.path)).cloned();
    let (Some(service), Some(operation)) = (service, operation) else {
        let detail = "the service no longer declares the operation";
        return Err(refuse(StatusCode::METHOD_NOT_ALLOWED, detail));
    };
    let max_upload_bytes = service.max_upload_bytes.0;
    let deadline = read_deadline(shared, &request, &current, &operation)?;
    let caller = header(&request, CALLER_HEADER).unwrap_or("anonymous").to_owned();
    let body = request.into_body().read_whole(MAX_LIST_BYTES).await.map_err(|e| body_error(&e))?;
    let complete = read_list(&body)?;
    manifest::check(&complete, max_upload_bytes)
        .map_err(|e| refuse(StatusCode::UNPROCESSABLE_ENTITY, &e))?;
    let request = manifest::request(id, opened, &complete, caller)
        .map_err(|e| refuse(StatusCode::BAD_REQUEST, &e.to_string()))?;
    Ok(Classified { request, operation, deadline, current })
}

/// Refuses the call if the store does not have all parts as listed.
async fn check_parts(
    shared: &Arc<Shared>,
    id: &UploadId,
    parts: Vec<UploadPart>,
) -> Result<(), Refused> {
    let id = id.clone();
    let missing = store::call(shared, move |platform| find_missing(platform, &id, &parts)).await?;
    match missing {
        None => Ok(()),
        Some(number) => Err(Box::new(refusal(
            StatusCode::CONFLICT,
            Outcome::NotRun,
            "part-missing",
            &format!("part {number} was not uploaded as listed"),
        ))),
    }
}

/// Returns the number of a part that is not in the store as listed.
fn find_missing(
    platform: &Platform,
    id: &UploadId,
    parts: &[UploadPart],
) -> Result<Option<u32>, PlatformError> {
    let next = AtomicUsize::new(0);
    let check = || -> Result<Option<u32>, PlatformError> {
        while let Some(part) = parts.get(next.fetch_add(1, Ordering::Relaxed)) {
            let stored = store::get_json::<UploadPart>(platform, &id.part_key(part.number))?;
            if stored.as_ref() != Some(part) {
                return Ok(Some(part.number));
            }
        }
        Ok(None)
    };
    thread::scope(|scope| {
        let threads = CHECK_THREADS.min(parts.len());
        let checks: Vec<_> = (0..threads).map(|_| scope.spawn(check)).collect();
        let mut missing = None;
        for check in checks {
            let failed = || PlatformError::Unavailable("a check of parts ended early".to_owned());
            missing = missing.or(check.join().map_err(|_| failed())??);
        }
        Ok(missing)
    })
}

/// Runs the request under the ticket that may complete the upload.
///
/// When another ticket claimed the upload before, its outcome decides: only after `not-run` can the
/// upload be completed under this ticket.
async fn hand_over(
    shared: &Arc<Shared>,
    id: &UploadId,
    ticket: Ticket,
    work: Classified,
) -> Result<Response<ResponseBody>, Refused> {
    let mut expected_revision = 0;
    for _ in 0..MAX_FORMER_TICKETS {
        let (claimed, asking) = (id.clone(), ticket.clone());
        let claim = store::call(shared, move |platform| {
            claim(platform, &claimed, &asking, expected_revision)
        });
        let (holder, revision) = match claim.await? {
            Claim::Own => {
                log::info!(upload:% = id, ticket:%; "upload: handed over");
                return Ok(from_reply(ticketed::run(shared, ticket, work).await));
            }
            Claim::Other { ticket, revision } => (ticket, revision),
        };
        let holder: Ticket = holder.parse().map_err(|_| super::store_unavailable("a bad claim"))?;
        let reply = ticketed::run(shared, holder, copy(&work)).await;
        if !has_not_run(&reply) {
            return Ok(from_reply(reply));
        }
        expected_revision = revision;
    }
    Err(super::store_unavailable("too many tickets claim the upload"))
}

fn copy(work: &Classified) -> Classified {
    Classified {
        request: work.request.clone(),
        operation: work.operation.clone(),
        deadline: work.deadline,
        current: work.current.clone(),
    }
}

/// Tells whether a ticket's recorded outcome is that it did not run.
fn has_not_run(reply: &AnswerReply) -> bool {
    match &reply.outcome {
        // The named entry refuses as invalid before it looks at the ticket.
        Some(answer_reply::Outcome::NotRun(not_run)) => not_run.reason() != NotRunReason::Invalid,
        _ => false,
    }
}
