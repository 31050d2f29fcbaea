//! Dispatches requests to owners: chooses a target, sends the request and decides on further
//! attempts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use pollenshed_coordination::{
    routing::{NoCapacity, RouteRequest, RouteView, Target},
    shift::Shares,
};
use pollenshed_protocol::peer::{
    AnswerReply, DispatchRequest, NotRunReason, UnknownReason, answer_reply,
};
use pollenshed_state::{ids::InstanceName, time::Instant, units::ByteSize};
use pollenshed_transport::metrics::Counter;

use super::{
    attempts::{FailedAttempts, NextStep},
    http::ClassifiedRequest,
    settle::{SETTLE_GRACE_MS, settle},
    uploads,
};
use crate::{instance::Shared, owner, util::lock, wire};

/// Limit of attempts of one request, so that owners that refuse it don't keep it going round.
const MAX_ATTEMPTS: usize = 4;

/// How long a request waits for an owner while the ownership of backend servers changes. A planned
/// change takes a few gossip periods. After a failure, the request is refused rather than held for
/// `dead_after_ms`.
const WAIT_FOR_OWNER_MS: u64 = 1_500;

/// Interval at which a waiting request looks for an owner again.
const OWNER_POLL_PERIOD: Duration = Duration::from_millis(25);

/// Answer size that is charged to a link budget until the real size is known.
const EXPECTED_ANSWER_BYTES: u64 = 16 * 1024;

const MAX_RETRY_AFTER_MS: u64 = 4_000;

/// Result of sending one attempt to an owner.
enum AttemptResult {
    /// The owner answered.
    Replied(AnswerReply),
    /// The call failed with this error, so the request may have run.
    Lost(String),
}

/// Runs a request at a backend server.
///
/// `request_id` is the prefix of the attempt ids. A non-idempotent request goes to another owner
/// only after the former one has promised not to run it. An idempotent request is also repeated
/// after a failure, within the service's retry budget.
pub async fn run(
    shared: &Arc<Shared>,
    classified: &ClassifiedRequest,
    request_id: &str,
) -> AnswerReply {
    let mut failed = FailedAttempts::default();
    let mut last = None;
    let started_at = shared.clock.now();
    count_in_retry_budget(shared, classified, started_at);
    let (mut attempt_number, mut counted_attempts) = (0, 0);
    while counted_attempts < MAX_ATTEMPTS {
        let target = match find_target(shared, classified, &mut failed, started_at).await {
            Ok(target) => target,
            Err(refused) => return failed.outcome(last.unwrap_or(refused)),
        };
        let reply = match send_attempt(
            shared,
            classified,
            &target,
            &failed,
            &format!("{request_id}#{attempt_number}"),
        )
        .await
        {
            AttemptResult::Replied(reply) => reply,
            AttemptResult::Lost(e) if classified.operation.idempotent => {
                wire::unknown(UnknownReason::ConnectionLost, e)
            }
            AttemptResult::Lost(e) => {
                settle(shared, classified, &target, &format!("{request_id}#{attempt_number}"), e)
                    .await
            }
        };
        record_load(shared, classified, &target, &reply);
        let next = failed.record(&target, &reply);
        let now = shared.clock.now();
        if now >= classified.deadline || !may_try_again(shared, classified, next, now) {
            return failed.outcome(reply);
        }
        attempt_number += 1;
        // An owner that becomes ready soon would otherwise use up the attempts within a few polls.
        let is_not_ready =
            next == NextStep::AskAnotherOwner && has_ownership_just_changed(shared, now);
        counted_attempts +=
            usize::from(!is_not_ready || now >= owner_wait_end(classified, started_at));
        last = Some(reply);
    }
    failed.outcome(last.unwrap_or_else(|| wire::not_run(NotRunReason::NoBackendServer, "no owner")))
}

/// Returns the time at which a request stops waiting for an owner.
fn owner_wait_end(classified: &ClassifiedRequest, started_at: Instant) -> Instant {
    started_at.plus_ms(WAIT_FOR_OWNER_MS).min(classified.deadline)
}

/// Tells whether ownership changed so recently that a new owner may not be ready yet.
fn has_ownership_just_changed(shared: &Shared, now: Instant) -> bool {
    let changed_at = lock(&shared.ownership).view().changed_at;
    now.since_ms(changed_at) < WAIT_FOR_OWNER_MS
}

fn count_in_retry_budget(shared: &Shared, classified: &ClassifiedRequest, now: Instant) {
    if let Some(service) = classified.service() {
        lock(&shared.routing).retry_budget(service).record_first_attempt(now);
    }
}

fn may_try_again(
    shared: &Shared,
    classified: &ClassifiedRequest,
    next: NextStep,
    now: Instant,
) -> bool {
    match next {
        NextStep::Stop => false,
        NextStep::AskAnotherOwner => true,
        NextStep::Retry => classified.service().is_some_and(|service| {
            let is_idempotent = classified.operation.idempotent;
            let may = lock(&shared.routing).retry_budget(service).try_retry(is_idempotent, now);
            shared.metrics.count(Counter::Retries, u64::from(may));
            may
        }),
    }
}

/// Chooses a target. Waits up to [`WAIT_FOR_OWNER_MS`] if no owner is ready, for example while the
/// ownership of backend servers changes.
async fn find_target(
    shared: &Shared,
    classified: &ClassifiedRequest,
    failed: &mut FailedAttempts,
    started_at: Instant,
) -> Result<Target, AnswerReply> {
    let until = owner_wait_end(classified, started_at);
    loop {
        let chosen = choose_target(shared, classified, failed);
        failed.is_arrival_counted = true;
        let reason = match chosen {
            Ok(target) => {
                log_target(classified, &target);
                return Ok(target);
            }
            Err(reason) => reason,
        };
        let now = shared.clock.now();
        // While ownership changes, the home failure domain counts as lost, and the cap of a shift
        // lets little traffic go elsewhere, so a lack of capacity may also pass.
        let may_wait = reason == Some(NoCapacity::NoBackendServer)
            || reason.is_some() && has_ownership_just_changed(shared, now);
        if !may_wait || now >= until {
            log_no_target(shared, classified, reason, started_at);
            return Err(refusal(shared, reason));
        }
        // Owners that refused earlier may be ready now.
        failed.owners.clear();
        tokio::time::sleep(OWNER_POLL_PERIOD).await;
    }
}

/// Chooses the owner for the next attempt. The error is the reason of a refusal, or `None` if the
/// service was removed from the configuration.
fn choose_target(
    shared: &Shared,
    classified: &ClassifiedRequest,
    failed: &FailedAttempts,
) -> Result<Target, Option<NoCapacity>> {
    let now = shared.clock.now();
    let service = classified.service().ok_or(None)?;
    let owners = lock(&shared.ownership).view();
    let request = RouteRequest {
        rank: classified.operation.rank,
        request_bytes: ByteSize(body_bytes(classified)),
        answer_bytes: ByteSize(service.max_answer_bytes.0.min(EXPECTED_ANSWER_BYTES)),
        excluded: &failed.owners,
        counted_domain: failed.counted_domain.as_ref(),
        is_arrival_counted: failed.is_arrival_counted,
        random: fastrand::u64(..),
    };
    let view = RouteView {
        config: &classified.current.config,
        service,
        assignment: &owners.assignment,
        entries: &owners.entries,
    };
    lock(&shared.routing).choose(&request, view, now).map_err(Some)
}

/// Returns the bytes that a request puts on a link. For an upload these are the bytes of its parts,
/// which the owner fetches, because the body is only the list of parts.
fn body_bytes(classified: &ClassifiedRequest) -> u64 {
    let parts: u64 = uploads::parts_of(&classified.request).iter().map(|p| p.length_bytes).sum();
    parts.max(classified.request.body.len() as u64)
}

fn log_target(classified: &ClassifiedRequest, target: &Target) {
    log::info!(
        service = classified.request.service,
        rank:% = classified.operation.rank,
        method = classified.request.method,
        reason:% = target.reason,
        owner:% = target.owner,
        failure_domain:% = target.failure_domain,
        share_ppm = target.share_ppm,
        lost_ppm = target.lost_ppm;
        "route: request sent to an owner"
    );
}

fn log_no_target(
    shared: &Shared,
    classified: &ClassifiedRequest,
    reason: Option<NoCapacity>,
    started_at: Instant,
) {
    let position = match classified.service() {
        Some(service) => lock(&shared.routing).ramp_position(&service.name),
        None => Shares::all_home(),
    };
    let now = shared.clock.now();
    log::info!(
        service = classified.request.service,
        rank:% = classified.operation.rank,
        method = classified.request.method,
        reason:% = reason.map_or("service-removed".to_owned(), |reason| reason.to_string()),
        home:% = shared.settings.failure_domain,
        position_ppm:% = position,
        waited_us = now.since_us(started_at),
        deadline_left_us = classified.deadline.since_us(now);
        "route: request refused; no owner can take it"
    );
}

fn refusal(shared: &Shared, reason: Option<NoCapacity>) -> AnswerReply {
    let retry_after_ms = fastrand::u64(shared.settings.timing.gossip_period_ms..MAX_RETRY_AFTER_MS);
    match reason {
        None => wire::not_run(NotRunReason::Invalid, "the service was removed"),
        Some(NoCapacity::NoBackendServer) => wire::not_run_retry_after(
            NotRunReason::NoBackendServer,
            retry_after_ms,
            "no backend server of the service can be reached",
        ),
        Some(other) => wire::not_run_retry_after(
            NotRunReason::Overloaded,
            retry_after_ms,
            format!("no capacity: {other}"),
        ),
    }
}

/// Records the result of an attempt for steering and for the budget of the link.
fn record_load(
    shared: &Shared,
    classified: &ClassifiedRequest,
    target: &Target,
    reply: &AnswerReply,
) {
    let Some(service) = classified.service() else { return };
    let mut routing = lock(&shared.routing);
    if let Some(region) = &target.link_region {
        let expected = ByteSize(service.max_answer_bytes.0.min(EXPECTED_ANSWER_BYTES));
        let real = ByteSize(wire::reply_bytes(reply) as u64);
        routing.router.links.adjust_answer(region, expected, real);
    }
    if target.failure_domain == shared.settings.failure_domain {
        let was_refused = match &reply.outcome {
            Some(answer_reply::Outcome::NotRun(not_run)) => matches!(
                not_run.reason(),
                NotRunReason::Overloaded | NotRunReason::Deadline | NotRunReason::Shed
            ),
            _ => false,
        };
        routing.record_home_attempt(&service.name, was_refused);
    }
}

async fn send_attempt(
    shared: &Arc<Shared>,
    classified: &ClassifiedRequest,
    target: &Target,
    failed: &FailedAttempts,
    id: &str,
) -> AttemptResult {
    let now = shared.clock.now();
    let left_us = classified.deadline.since_us(now);
    let request = DispatchRequest {
        attempt_id: id.to_owned(),
        owner_incarnation: target.incarnation.0,
        request: Some(classified.request.clone()),
        deadline_left_us: left_us,
        idempotent: classified.operation.idempotent,
        excluded_backend_servers: failed.backend_servers.clone(),
        content_digest: Bytes::copy_from_slice(
            wire::content_digest(&classified.request).as_bytes(),
        ),
        failure_domain: target.failure_domain.to_string(),
        from_failure_domain: shared.settings.failure_domain.to_string(),
        upload_parts: uploads::parts_of(&classified.request),
        crashed_backend_servers: failed.crashed.clone(),
    };
    if target.owner == shared.settings.instance {
        return AttemptResult::Replied(owner::dispatch(shared, request).await);
    }
    let Some(address) = relay_address(shared, &target.owner) else {
        return AttemptResult::Replied(wire::not_run(NotRunReason::NotOwner, "the owner left"));
    };
    let timeout = Duration::from_micros(left_us) + Duration::from_millis(SETTLE_GRACE_MS);
    let mut client = shared.work_peers.work(address);
    match tokio::time::timeout(timeout, client.dispatch(request)).await {
        Ok(Ok(reply)) => AttemptResult::Replied(reply.into_inner()),
        Ok(Err(status)) => {
            AttemptResult::Lost(format!("owner {}: {}", target.owner, status.message()))
        }
        Err(_) => AttemptResult::Lost(format!("owner {} did not answer in time", target.owner)),
    }
}

/// Returns the address at which an instance accepts requests that peers relay or dispatch.
pub(super) fn relay_address(shared: &Shared, instance: &InstanceName) -> Option<SocketAddr> {
    lock(&shared.membership).record_of(instance).map(|r| r.relay_address)
}
