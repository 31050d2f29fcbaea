//! `POST /v1/uploads/{id}/complete` sends a whole upload to a backend server at most once.

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
    store::{self, OpenedUpload, UploadId},
};
use crate::{
    config::ActiveConfig,
    entry::{
        answer::{from_reply, refusal},
        http::{
            ClassifiedRequest, RefusalResponse, body_error, header, read_deadline, read_ticket,
            refuse,
        },
        ticketed,
    },
    instance::Shared,
};

const MAX_MANIFEST_BYTES: u64 = 1024 * 1024;

const PART_CHECK_THREADS: usize = 8;

/// Limit of the other tickets whose outcome one call asks for.
const MAX_FORMER_TICKETS: usize = 4;

/// Handles the call that completes an upload. Without a ticket of its own, the call uses the ticket
/// that opened the upload.
pub async fn run(
    shared: &Arc<Shared>,
    id: UploadId,
    request: Request<RequestBody>,
) -> Result<Response<ResponseBody>, RefusalResponse> {
    let key = id.opened_key();
    let opened = store::call_platform_again(shared, move |platform| {
        store::get_json::<OpenedUpload>(platform, &key)
    });
    let opened = opened.await?.ok_or_else(parts::not_found)?;
    let ticket = match read_ticket(&request)? {
        Some(ticket) => ticket,
        None => opened.ticket.parse().map_err(|_| parts::not_found())?,
    };
    let classified = classify(shared, &id, &opened, request).await?;
    let complete: UploadComplete = read_manifest(&classified.request.body)?;
    check_parts(shared, &id, complete.parts).await?;
    run_under_claim(shared, &id, ticket, classified).await
}

/// Returns the configuration in force, or a refusal if none has reached this instance.
pub fn current_config(shared: &Shared) -> Result<Arc<ActiveConfig>, RefusalResponse> {
    shared.config.get().ok_or_else(|| {
        Box::new(refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            Outcome::NotRun,
            "no-configuration",
            "no configuration has reached this instance yet",
        ))
    })
}

fn read_manifest(bytes: &[u8]) -> Result<UploadComplete, RefusalResponse> {
    serde_json::from_slice(bytes)
        .map_err(|e| refuse(StatusCode::BAD_REQUEST, &format!("the list of parts: {e}")))
}

async fn classify(
    shared: &Arc<Shared>,
    id: &UploadId,
    opened: &OpenedUpload,
    request: Request<RequestBody>,
) -> Result<ClassifiedRequest, RefusalResponse> {
    let current = current_config(shared)?;
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
    let body =
        request.into_body().read_whole(MAX_MANIFEST_BYTES).await.map_err(|e| body_error(&e))?;
    let complete = read_manifest(&body)?;
    manifest::check(&complete, max_upload_bytes)
        .map_err(|e| refuse(StatusCode::UNPROCESSABLE_ENTITY, &e))?;
    let request = manifest::build_request(id, opened, &complete, caller)
        .map_err(|e| refuse(StatusCode::BAD_REQUEST, &e.to_string()))?;
    Ok(ClassifiedRequest { request, operation, deadline, current })
}

/// Refuses the call if a part in the store is missing or differs from the list.
async fn check_parts(
    shared: &Arc<Shared>,
    id: &UploadId,
    parts: Vec<UploadPart>,
) -> Result<(), RefusalResponse> {
    let id = id.clone();
    let missing =
        store::call_platform_again(shared, move |platform| find_missing(platform, &id, &parts))
            .await?;
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

/// Returns the number of a part that is missing in the store or differs from the list.
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
        let threads = PART_CHECK_THREADS.min(parts.len());
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
/// If another ticket claimed the upload earlier, the request runs under that ticket. Only if its
/// outcome is `not-run` can this ticket replace it and complete the upload.
async fn run_under_claim(
    shared: &Arc<Shared>,
    id: &UploadId,
    ticket: Ticket,
    classified: ClassifiedRequest,
) -> Result<Response<ResponseBody>, RefusalResponse> {
    let mut expected_revision = 0;
    for _ in 0..MAX_FORMER_TICKETS {
        let (upload_id, asking) = (id.clone(), ticket.clone());
        // A claim that took effect although its reply was lost is found again.
        let claim = store::call_platform_again(shared, move |platform| {
            claim(platform, &upload_id, &asking, expected_revision)
        });
        let (holder, revision) = match claim.await? {
            Claim::Own => {
                log::info!(
                    upload:% = id, ticket:%;
                    "upload: claimed by the ticket that completes it"
                );
                return Ok(from_reply(ticketed::run(shared, ticket, classified).await));
            }
            Claim::Other { ticket, revision } => (ticket, revision),
        };
        let holder: Ticket = holder.parse().map_err(|_| super::store_unavailable("a bad claim"))?;
        let reply = ticketed::run(shared, holder, clone_request(&classified)).await;
        if !did_not_run(&reply) {
            return Ok(from_reply(reply));
        }
        expected_revision = revision;
    }
    Err(super::store_unavailable("too many tickets claim the upload"))
}

fn clone_request(classified: &ClassifiedRequest) -> ClassifiedRequest {
    ClassifiedRequest {
        request: classified.request.clone(),
        operation: classified.operation.clone(),
        deadline: classified.deadline,
        current: classified.current.clone(),
    }
}

/// Tells whether the reply is the ticket's recorded outcome and says that it did not run.
fn did_not_run(reply: &AnswerReply) -> bool {
    match &reply.outcome {
        // `Invalid` is returned before the named entry checks the ticket, so it shows nothing.
        Some(answer_reply::Outcome::NotRun(not_run)) => not_run.reason() != NotRunReason::Invalid,
        _ => false,
    }
}
