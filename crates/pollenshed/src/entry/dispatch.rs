//! Hands requests to owners: chooses a target, sends, and decides about another attempt.

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
    attempts::{Next, Tried},
    http::Classified,
    settle::{SETTLE_GRACE_MS, settle},
    uploads,
};
use crate::{instance::Shared, owner, util::lock, wire};

/// Attempts of one request, so that it can't circle among refusing owners.
const MAX_ATTEMPTS: usize = 4;

/// How long a request waits for an owner while backend servers change hands. A planned change takes
/// a few gossip periods; after a failure the request is refused rather than held for
/// `dead_after_ms`.
const WAIT_FOR_OWNER_MS: u64 = 1_500;

/// Period in which a waiting request looks for an owner.
const OWNER_LOOK_PERIOD: Duration = Duration::from_millis(25);

/// Answer size that a request is expected to put on a link before its real size is known.
const EXPECTED_ANSWER_BYTES: u64 = 16 * 1024;

/// Longest time after which a refused caller is told to try again.
const MAX_RETRY_AFTER_MS: u64 = 4_000;

/// What one attempt at an owner came to.
enum Attempt {
    /// The owner answered.
    Replied(AnswerReply),
    /// The call failed, so the request may have run.
    Lost(String),
}

/// Runs a request at a backend server.
///
/// `name` identifies the attempts. A non-idempotent request goes to another owner only after the
/// former one has promised not to run it. An idempotent request is also repeated after a failure,
/// within the service's retry budget.
pub async fn run(shared: &Arc<Shared>, work: &Classified, name: &str) -> AnswerReply {
    let mut tried = Tried::default();
    let mut last = None;
    let first_try = shared.clock.now();
    record_first_try(shared, work, first_try);
    let (mut number, mut counted) = (0, 0);
    while counted < MAX_ATTEMPTS {
        let target = match find_target(shared, work, &mut tried, first_try).await {
            Ok(target) => target,
            Err(refused) => return tried.outcome(last.unwrap_or(refused)),
        };
        let reply = match attempt(shared, work, &target, &tried, &format!("{name}#{number}")).await
        {
            Attempt::Replied(reply) => reply,
            Attempt::Lost(e) if work.operation.idempotent => {
                wire::unknown(UnknownReason::ConnectionLost, e)
            }
            Attempt::Lost(e) => settle(shared, work, &target, &format!("{name}#{number}"), e).await,
        };
        note_load(shared, work, &target, &reply);
        let next = tried.note(&target, &reply);
        let now = shared.clock.now();
        if now >= work.deadline || !may_go_on(shared, work, next, now) {
            return tried.outcome(reply);
        }
        number += 1;
        // An owner that is about to be ready would use up the attempts within a few looks.
        let is_not_ready = next == Next::AskAnother && is_changing_hands(shared, now);
        counted += usize::from(!is_not_ready || now >= wait_until(work, first_try));
        last = Some(reply);
    }
    tried.outcome(last.unwrap_or_else(|| wire::not_run(NotRunReason::NoBackendServer, "no owner")))
}

/// Returns until when a request waits for an owner.
fn wait_until(work: &Classified, first_try: Instant) -> Instant {
    first_try.plus_ms(WAIT_FOR_OWNER_MS).min(work.deadline)
}

/// Tells whether ownership changed a moment ago, so that a new owner may not be ready yet.
fn is_changing_hands(shared: &Shared, now: Instant) -> bool {
    let changed_at = lock(&shared.ownership).view().changed_at;
    now.since_ms(changed_at) < WAIT_FOR_OWNER_MS
}

fn record_first_try(shared: &Shared, work: &Classified, now: Instant) {
    if let Some(service) = work.service() {
        lock(&shared.routing).retry_budget(service).record_first_attempt(now);
    }
}

fn may_go_on(shared: &Shared, work: &Classified, next: Next, now: Instant) -> bool {
    match next {
        Next::Stop => false,
        Next::AskAnother => true,
        Next::Retry => work.service().is_some_and(|service| {
            let is_idempotent = work.operation.idempotent;
            let may = lock(&shared.routing).retry_budget(service).try_retry(is_idempotent, now);
            shared.metrics.count(Counter::Retries, u64::from(may));
            may
        }),
    }
}

/// Chooses a target; waits a little if no owner is ready, as while backend servers change hands.
async fn find_target(
    shared: &Shared,
    work: &Classified,
    tried: &mut Tried,
    first_try: Instant,
) -> Result<Target, AnswerReply> {
    let until = wait_until(work, first_try);
    loop {
        let chosen = choose(shared, work, tried);
        tried.is_arrival_counted = true;
        let reason = match chosen {
            Ok(target) => {
                log_target(work, &target);
                return Ok(target);
            }
            Err(reason) => reason,
        };
        let now = shared.clock.now();
        // While its servers change hands, the home failure domain counts as lost, and the cap allows
        // little elsewhere.
        let may_wait = reason == Some(NoCapacity::NoBackendServer)
            || reason.is_some() && is_changing_hands(shared, now);
        if !may_wait || now >= until {
            log_no_target(shared, work, reason, first_try);
            return Err(refusal(shared, reason));
        }
        // An owner that refused a moment ago may be ready now.
        tried.owners.clear();
        tokio::time::sleep(OWNER_LOOK_PERIOD).await;
    }
}

/// Returns the reason of a refusal, or no reason if the service was removed.
fn choose(shared: &Shared, work: &Classified, tried: &Tried) -> Result<Target, Option<NoCapacity>> {
    let now = shared.clock.now();
    let service = work.service().ok_or(None)?;
    let owners = lock(&shared.ownership).view();
    let request = RouteRequest {
        rank: work.operation.rank,
        request_bytes: ByteSize(body_bytes(work)),
        answer_bytes: ByteSize(service.max_answer_bytes.0.min(EXPECTED_ANSWER_BYTES)),
        excluded: &tried.owners,
        counted_domain: tried.counted_domain.as_ref(),
        is_arrival_counted: tried.is_arrival_counted,
        random: fastrand::u64(..),
    };
    let view = RouteView {
        config: &work.current.config,
        service,
        assignment: &owners.assignment,
        entries: &owners.entries,
    };
    lock(&shared.routing).choose(&request, view, now).map_err(Some)
}

/// Returns the size of a request on a link. The body of an upload is fetched by the owner.
fn body_bytes(work: &Classified) -> u64 {
    let parts: u64 = uploads::parts_of(&work.request).iter().map(|p| p.length_bytes).sum();
    parts.max(work.request.body.len() as u64)
}

fn log_target(work: &Classified, target: &Target) {
    log::info!(
        service = work.request.service,
        rank:% = work.operation.rank,
        method = work.request.method,
        reason:% = target.reason,
        owner:% = target.owner,
        failure_domain:% = target.failure_domain,
        share_ppm = target.share_ppm,
        lost_ppm = target.lost_ppm;
        "route: sent to an owner"
    );
}

fn log_no_target(
    shared: &Shared,
    work: &Classified,
    reason: Option<NoCapacity>,
    first_try: Instant,
) {
    let position = match work.service() {
        Some(service) => lock(&shared.routing).ramp_position(&service.name),
        None => Shares::all_home(),
    };
    let now = shared.clock.now();
    log::info!(
        service = work.request.service,
        rank:% = work.operation.rank,
        method = work.request.method,
        reason:% = reason.map_or("service-removed".to_owned(), |reason| reason.to_string()),
        home:% = shared.settings.failure_domain,
        position_ppm:% = position,
        waited_us = now.since_us(first_try),
        deadline_left_us = work.deadline.since_us(now);
        "route: refused"
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

/// Tells steering and link budgets what an attempt came to.
fn note_load(shared: &Shared, work: &Classified, target: &Target, reply: &AnswerReply) {
    let Some(service) = work.service() else { return };
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

async fn attempt(
    shared: &Arc<Shared>,
    work: &Classified,
    target: &Target,
    tried: &Tried,
    id: &str,
) -> Attempt {
    let now = shared.clock.now();
    let left_us = work.deadline.since_us(now);
    let request = DispatchRequest {
        attempt_id: id.to_owned(),
        owner_incarnation: target.incarnation.0,
        request: Some(work.request.clone()),
        deadline_left_us: left_us,
        idempotent: work.operation.idempotent,
        excluded_backend_servers: tried.backend_servers.clone(),
        content_digest: Bytes::copy_from_slice(wire::content_digest(&work.request).as_bytes()),
        failure_domain: target.failure_domain.to_string(),
        from_failure_domain: shared.settings.failure_domain.to_string(),
        upload_parts: uploads::parts_of(&work.request),
        crashed_backend_servers: tried.crashed.clone(),
    };
    if target.owner == shared.settings.instance {
        return Attempt::Replied(owner::dispatch(shared, request).await);
    }
    let Some(address) = relay_address(shared, &target.owner) else {
        return Attempt::Replied(wire::not_run(NotRunReason::NotOwner, "the owner left"));
    };
    let timeout = Duration::from_micros(left_us) + Duration::from_millis(SETTLE_GRACE_MS);
    let mut client = shared.work_peers.work(address);
    match tokio::time::timeout(timeout, client.dispatch(request)).await {
        Ok(Ok(reply)) => Attempt::Replied(reply.into_inner()),
        Ok(Err(status)) => Attempt::Lost(format!("owner {}: {}", target.owner, status.message())),
        Err(_) => Attempt::Lost(format!("owner {} did not answer in time", target.owner)),
    }
}

/// Returns where an instance accepts requests of peers.
pub(super) fn relay_address(shared: &Shared, instance: &InstanceName) -> Option<SocketAddr> {
    lock(&shared.membership).record_of(instance).map(|r| r.relay_address)
}
