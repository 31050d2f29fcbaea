//! Hands requests to owners: chooses a target, sends, and settles what a failed call left open.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pollenshed_coordination::{
    ownership::live_entries,
    routing::{NoCapacity, RouteRequest, RouteView, Target},
};
use pollenshed_protocol::peer::{
    AnswerReply, DispatchRequest, NotRunReason, SettleRequest, UnknownReason, answer_reply,
    settle_reply,
};
use pollenshed_state::{
    ids::{FailureDomainName, InstanceName},
    units::ByteSize,
};

use super::http::Classified;
use crate::{instance::Shared, owner, util::lock, wire};

/// Owners that are tried for one request, so that a request can't circle among refusing owners.
const MAX_OWNERS: usize = 3;

/// Time beyond the deadline in which an owner can still say what became of a request.
const SETTLE_GRACE_MS: u64 = 1_000;

/// Period in which a running attempt is asked about again.
const SETTLE_PERIOD: Duration = Duration::from_millis(50);

/// Timeout of one settle call.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// What one attempt at an owner came to.
enum Attempt {
    /// The owner answered.
    Replied(AnswerReply),
    /// The call failed, so the request may have run.
    Lost(String),
}

/// Runs an idempotent request. An attempt that failed is repeated elsewhere, within the budget.
pub async fn run_idempotent(shared: &Arc<Shared>, work: &Classified) -> AnswerReply {
    let mut tried = Tried::default();
    let mut last = wire::not_run(NotRunReason::NoBackendServer, "no owner was tried");
    for _ in 0..MAX_OWNERS {
        let target = match choose(shared, work, &tried) {
            Ok(target) => target,
            Err(refused) if tried.is_empty() => return refused,
            Err(_) => return last,
        };
        let id = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
        last = match attempt(shared, work, &target, &tried, &id).await {
            Attempt::Replied(reply) => reply,
            Attempt::Lost(e) => wire::unknown(UnknownReason::ConnectionLost, e),
        };
        note_home(shared, work, &target, &last);
        if shared.clock.now() >= work.deadline || !tried.may_repeat(&target, &last) {
            return last;
        }
    }
    last
}

/// Runs a non-idempotent request. `ticket` names the attempts.
///
/// Another owner is tried only after the former one has promised that the request will not run.
pub async fn run_once(shared: &Arc<Shared>, work: &Classified, ticket: &str) -> AnswerReply {
    let mut tried = Tried::default();
    let mut last = wire::not_run(NotRunReason::NoBackendServer, "no owner was tried");
    for number in 0..MAX_OWNERS {
        let target = match choose(shared, work, &tried) {
            Ok(target) => target,
            Err(refused) if tried.is_empty() => return refused,
            Err(_) => return last,
        };
        let id = format!("{ticket}#{number}");
        last = match attempt(shared, work, &target, &tried, &id).await {
            Attempt::Replied(reply) => reply,
            Attempt::Lost(e) => settle(shared, work, &target, &id, e).await,
        };
        note_home(shared, work, &target, &last);
        let is_not_run = matches!(last.outcome, Some(answer_reply::Outcome::NotRun(_)));
        if !is_not_run || shared.clock.now() >= work.deadline || !tried.may_repeat(&target, &last) {
            return last;
        }
    }
    last
}

#[derive(Default)]
struct Tried {
    owners: Vec<InstanceName>,
    backend_servers: Vec<String>,
    counted_for: Option<FailureDomainName>,
}

impl Tried {
    fn is_empty(&self) -> bool {
        self.owners.is_empty() && self.backend_servers.is_empty()
    }

    /// Takes note of a failed attempt. Returns whether another one may have more luck.
    ///
    /// An owner that has nothing for the request is not asked again. A backend server that failed is
    /// excluded, but its owner may have others.
    fn may_repeat(&mut self, target: &Target, reply: &AnswerReply) -> bool {
        self.counted_for = Some(target.failure_domain.clone());
        let excludes_owner = match &reply.outcome {
            Some(answer_reply::Outcome::NotRun(not_run)) => match not_run.reason() {
                NotRunReason::NotOwner
                | NotRunReason::WrongIncarnation
                | NotRunReason::NoBackendServer
                | NotRunReason::Overloaded
                | NotRunReason::Stopping => true,
                NotRunReason::Shed | NotRunReason::ConnectFailed => reply.backend_server.is_empty(),
                _ => return false,
            },
            Some(answer_reply::Outcome::Unknown(unknown)) => match unknown.reason() {
                UnknownReason::ConnectionLost => reply.backend_server.is_empty(),
                _ => return false,
            },
            _ => return false,
        };
        if excludes_owner {
            self.owners.push(target.owner.clone());
        } else {
            self.backend_servers.push(reply.backend_server.clone());
        }
        true
    }
}

/// Tells the steering whether the home failure domain could serve the request.
fn note_home(shared: &Shared, work: &Classified, target: &Target, reply: &AnswerReply) {
    if target.failure_domain != shared.settings.failure_domain {
        return;
    }
    let Some(service) = work.service() else { return };
    let was_refused = match &reply.outcome {
        Some(answer_reply::Outcome::NotRun(not_run)) => matches!(
            not_run.reason(),
            NotRunReason::Overloaded | NotRunReason::Deadline | NotRunReason::Shed
        ),
        _ => false,
    };
    lock(&shared.routing).note_home(&service.name, was_refused);
}

fn choose(shared: &Shared, work: &Classified, tried: &Tried) -> Result<Target, AnswerReply> {
    let now = shared.clock.now();
    let service = work
        .service()
        .ok_or_else(|| wire::not_run(NotRunReason::Invalid, "the service was removed"))?;
    let entries = live_entries(&lock(&shared.membership), now);
    let assignment = lock(&shared.ownership).assignment().clone();
    let request = RouteRequest {
        rank: work.operation.rank,
        request_bytes: ByteSize(work.request.body.len() as u64),
        answer_bytes: ByteSize(service.max_answer_bytes.0.min(EXPECTED_ANSWER_BYTES)),
        excluded: &tried.owners,
        counted_for: tried.counted_for.as_ref(),
        random: fastrand::u64(..),
    };
    let view = RouteView {
        config: &work.current.config,
        service,
        assignment: &assignment,
        entries: &entries,
    };
    let chosen = lock(&shared.routing).choose(&request, view, now);
    match &chosen {
        Ok(target) => log::info!(
            "route: {} {} {} to {} of {} ({:?})",
            work.request.service,
            work.operation.rank,
            work.request.method,
            target.owner,
            target.failure_domain,
            target.reason
        ),
        Err(reason) => log::info!(
            "route: {} {} {} refused ({reason:?})",
            work.request.service,
            work.operation.rank,
            work.request.method
        ),
    }
    chosen.map_err(|reason| refusal(shared, reason))
}

/// Answer size that a request is expected to put on a link before its real size is known.
const EXPECTED_ANSWER_BYTES: u64 = 16 * 1024;

/// Longest time after which a refused caller is told to try again.
const MAX_RETRY_AFTER_MS: u64 = 4_000;

fn refusal(shared: &Shared, reason: NoCapacity) -> AnswerReply {
    let retry_after_ms = fastrand::u64(shared.settings.timing.gossip_period_ms..MAX_RETRY_AFTER_MS);
    match reason {
        NoCapacity::NoBackendServer => wire::not_run_retry(
            NotRunReason::NoBackendServer,
            retry_after_ms,
            "no backend server of the service can be reached",
        ),
        other => wire::not_run_retry(
            NotRunReason::Overloaded,
            retry_after_ms,
            format!("no capacity: {other:?}"),
        ),
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
        upload_parts: Vec::new(),
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

fn relay_address(shared: &Shared, instance: &InstanceName) -> Option<std::net::SocketAddr> {
    lock(&shared.membership).record_of(instance).map(|r| r.relay_address)
}

/// Asks the owner what became of an attempt whose call failed.
async fn settle(
    shared: &Shared,
    work: &Classified,
    target: &Target,
    id: &str,
    error: String,
) -> AnswerReply {
    let until = work.deadline.plus_ms(SETTLE_GRACE_MS);
    loop {
        let now = shared.clock.now();
        if now >= until {
            return wire::unknown(UnknownReason::ConnectionLost, error);
        }
        if let Some(reply) = settle_once(shared, target, id).await {
            return reply;
        }
        tokio::time::sleep(SETTLE_PERIOD).await;
    }
}

/// Returns the final outcome, or nothing while it is open.
async fn settle_once(shared: &Shared, target: &Target, id: &str) -> Option<AnswerReply> {
    let address = relay_address(shared, &target.owner)?;
    let request =
        SettleRequest { attempt_id: id.to_owned(), owner_incarnation: target.incarnation.0 };
    let mut client = shared.work_peers.work(address);
    let reply = tokio::time::timeout(SETTLE_TIMEOUT, client.settle(request)).await.ok()?.ok()?;
    let reply = reply.into_inner();
    match reply.state() {
        settle_reply::State::NotRun => Some(wire::not_run(
            NotRunReason::ConnectFailed,
            "the owner was not reached in time and has promised not to run the request",
        )),
        settle_reply::State::Ended => reply.reply,
        settle_reply::State::Unknown => {
            Some(wire::unknown(UnknownReason::ConnectionLost, "the owner restarted"))
        }
        settle_reply::State::Running | settle_reply::State::Unspecified => None,
    }
}
