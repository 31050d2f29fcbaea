//! Handles a `Dispatch` call: validates, queues and runs one attempt and returns its outcome.

use std::{sync::Arc, time::Duration};

use pollenshed_coordination::{
    ledger::ArrivalDecision,
    limits::{
        QuarantineEntry, Refusal, RefusalReason, RunOutcome, SchedulerPolicy, SubmitResult, Work,
        WorkId,
    },
};
use pollenshed_protocol::peer::{
    AnswerReply, DispatchRequest, HttpRequest, NotRunReason, UnknownReason,
};
use pollenshed_state::{
    config::{BackendServer, Operation, Rank, Service},
    ids::{BackendServerName, CallerName, Digest},
    time::Instant,
    units::ByteSize,
};
use pollenshed_transport::metrics::{Counter, Timing};
use tokio::sync::oneshot;

use super::{QueueOutcome, dispatch_queued, send};
use crate::{config::ActiveConfig, instance::Shared, util::lock, wire};

/// Caller name under which requests without a valid caller name are queued.
const ANONYMOUS: &str = "anonymous";

/// A `Dispatch` request that passed all checks.
pub(super) struct Attempt {
    pub(super) id: String,
    pub(super) idempotent: bool,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) max_answer_bytes: u64,
    pub(super) content: Digest,
    pub(super) rank: Rank,
    pub(super) request: DispatchRequest,
}

impl Attempt {
    /// Returns the service's name for log lines, or an empty text if the message has no request.
    pub(super) fn service(&self) -> &str {
        self.request.request.as_ref().map_or("", |request| &request.service)
    }
}

/// Runs one attempt at a backend server that this instance owns.
pub async fn dispatch(shared: &Arc<Shared>, request: DispatchRequest) -> AnswerReply {
    let (attempt, work) = match read_dispatch(shared, request) {
        Ok(checked) => checked,
        Err(refused) => return *refused,
    };
    if attempt.idempotent {
        return run(shared, attempt, work).await;
    }
    let id = attempt.id.clone();
    if let Some(refused) = register_attempt(shared, &id) {
        return refused;
    }
    // The attempt runs in its own task, so that it continues when the entry's call breaks off and a
    // later `Settle` call finds the outcome.
    let task_shared = shared.clone();
    let task = shared.work_runtime.spawn(async move {
        let id = attempt.id.clone();
        let reply = run(&task_shared, attempt, work).await;
        lock(&task_shared.attempts).record_outcome(&id, reply.clone(), task_shared.clock.now());
        reply
    });
    task.await.unwrap_or_else(|e| wire::unknown(UnknownReason::ConnectionLost, e.to_string()))
}

/// Registers a non-idempotent attempt. Returns a reply if the attempt must not be queued.
fn register_attempt(shared: &Shared, id: &str) -> Option<AnswerReply> {
    let now = shared.clock.now();
    match lock(&shared.attempts).register_arrival(id, now) {
        ArrivalDecision::Queue => None,
        ArrivalDecision::Forbidden => {
            Some(wire::not_run(NotRunReason::Forbidden, "the attempt was given up"))
        }
        ArrivalDecision::Duplicate => {
            Some(wire::unknown(UnknownReason::Duplicate, "the attempt arrived before"))
        }
        ArrivalDecision::Full => {
            Some(wire::not_run(NotRunReason::Overloaded, "too many attempts are remembered"))
        }
    }
}

fn read_dispatch(
    shared: &Shared,
    request: DispatchRequest,
) -> Result<(Attempt, Work), Box<AnswerReply>> {
    let refuse = |reason, detail: &str| Box::new(wire::not_run(reason, detail));
    if request.owner_incarnation != shared.incarnation.0 {
        return Err(refuse(NotRunReason::WrongIncarnation, "the owner has restarted"));
    }
    let now = shared.clock.now();
    let current = shared
        .config
        .get()
        .ok_or_else(|| refuse(NotRunReason::NotOwner, "the owner has no configuration"))?;
    let http = request
        .request
        .as_ref()
        .ok_or_else(|| refuse(NotRunReason::Invalid, "the dispatch carries no request"))?;
    let (service, operation) = classify(&current, http)
        .ok_or_else(|| refuse(NotRunReason::Invalid, "the service declares no such operation"))?;
    if request.idempotent != operation.idempotent {
        let detail = "entry and owner disagree about whether the operation is idempotent";
        return Err(refuse(NotRunReason::NotOwner, detail));
    }
    let is_remote = request.from_failure_domain != shared.settings.failure_domain.as_str();
    if is_remote && !admit_remote(shared, service, &request, now) {
        return Err(refuse(NotRunReason::Overloaded, "more than the advertised headroom"));
    }
    let deadline = now.plus_us(request.deadline_left_us);
    let content = wire::digest_from_wire(&request.content_digest)
        .unwrap_or_else(|| wire::content_digest(http));
    merge_crashes(shared, content, &request, now);
    let work = Work {
        id: shared.owner.new_id(),
        service: service.name.clone(),
        rank: operation.rank,
        caller: caller_name(&http.caller),
        deadline,
        excluded: excluded(&request),
        content,
        body_bytes: ByteSize(http.body.len() as u64),
        remote: is_remote,
    };
    let attempt = Attempt {
        id: request.attempt_id.clone(),
        idempotent: operation.idempotent,
        arrived: now,
        deadline,
        max_answer_bytes: service.max_answer_bytes.0,
        content,
        rank: operation.rank,
        request,
    };
    Ok((attempt, work))
}

fn classify<'a>(
    current: &'a ActiveConfig,
    http: &HttpRequest,
) -> Option<(&'a Service, &'a Operation)> {
    let service = current.config.services.iter().find(|s| s.name.as_str() == http.service)?;
    let operation = service.operation(&http.method, &http.path)?;
    Some((service, operation))
}

/// Decides whether a request from another failure domain fits into the advertised rate, which all
/// entries share.
fn admit_remote(
    shared: &Shared,
    service: &Service,
    request: &DispatchRequest,
    now: Instant,
) -> bool {
    let Ok(domain) = request.failure_domain.parse() else { return false };
    let mut state = lock(&shared.owner.state);
    // `advertisements` creates the record of senders before any entry can know of the headroom.
    if let Some(senders) = state.senders.get_mut(&service.name)
        && let Ok(from) = request.from_failure_domain.parse()
    {
        senders.record(&from, now);
    }
    let limiter = state.inbound_limiters.get_mut(&(service.name.clone(), domain));
    limiter.is_some_and(|limiter| limiter.admit(now))
}

/// Adds the crashes that the entry reports for this content to the quarantine. The entry's report
/// can arrive before gossip does.
fn merge_crashes(shared: &Shared, content: Digest, request: &DispatchRequest, now: Instant) {
    let crashed_servers: Vec<BackendServerName> =
        request.crashed_backend_servers.iter().filter_map(|name| name.parse().ok()).collect();
    if crashed_servers.is_empty() {
        return;
    }
    let ttl_left_ms = SchedulerPolicy::default().quarantine_ms;
    let entry = QuarantineEntry { content, crashed_servers, ttl_left_ms };
    shared.owner.with_scheduler(|scheduler| scheduler.merge_quarantine(&[entry], now));
}

fn caller_name(text: &str) -> CallerName {
    text.parse().or_else(|_| ANONYMOUS.parse()).expect("`ANONYMOUS` is a valid caller name")
}

fn excluded(request: &DispatchRequest) -> Vec<BackendServerName> {
    request.excluded_backend_servers.iter().filter_map(|name| name.parse().ok()).collect()
}

/// Queues the attempt, waits for a slot and sends the request to the assigned backend server.
async fn run(shared: &Arc<Shared>, attempt: Attempt, work: Work) -> AnswerReply {
    let id = work.id;
    let (sender, receiver) = oneshot::channel();
    let now = shared.clock.now();
    {
        let mut state = lock(&shared.owner.state);
        if state.is_stopped {
            return wire::not_run(NotRunReason::Stopping, "the owner is stopping");
        }
        if let SubmitResult::Refused(refusal) = state.scheduler.submit(work, now, fastrand::u64(..))
        {
            log_refusal("dispatch: refused on arrival", shared, &attempt, &refusal);
            if refusal.reason == RefusalReason::Quarantined {
                shared.metrics.count(Counter::Quarantined, 1);
            }
            return refusal_reply(&refusal);
        }
        state.outcome_senders.insert(id, sender);
    }
    let mut queued = Queued { shared, id, receiver: Some(receiver) };
    dispatch_queued(shared, now);
    match queued.wait().await {
        Some(QueueOutcome::Refused(refusal)) => {
            log_refusal("dispatch: refused in the queue", shared, &attempt, &refusal);
            refusal_reply(&refusal)
        }
        Some(QueueOutcome::Server(server)) => {
            let waited = Duration::from_micros(shared.clock.now().since_us(now));
            shared.metrics.record_time(Timing::Queue, attempt.rank, waited);
            start_attempt(shared, attempt, id, server).await
        }
        None => wire::not_run(NotRunReason::Stopping, "the owner gave its backend servers up"),
    }
}

fn log_refusal(text: &str, shared: &Shared, attempt: &Attempt, refusal: &Refusal) {
    let now = shared.clock.now();
    log::info!(
        service = attempt.service(),
        rank:% = attempt.rank,
        attempt = attempt.id,
        reason:% = refusal.reason,
        waited_us = now.since_us(attempt.arrived),
        deadline_left_us = attempt.deadline.since_us(now),
        retry_after_ms = refusal.retry_after_ms;
        "{text}"
    );
}

/// A queued request. Dropping the value, for example when the caller disconnects, removes the
/// request from the queue.
struct Queued<'a> {
    shared: &'a Shared,
    id: WorkId,
    receiver: Option<oneshot::Receiver<QueueOutcome>>,
}

impl Queued<'_> {
    async fn wait(&mut self) -> Option<QueueOutcome> {
        let outcome = self.receiver.as_mut()?.await.ok();
        self.receiver = None;
        outcome
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else { return };
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared.owner.state);
        state.outcome_senders.remove(&self.id);
        // An assignment that was sent but not received has taken a slot, which must be freed.
        match receiver.try_recv() {
            Ok(QueueOutcome::Server(_)) => {
                state.scheduler.finish(self.id, RunOutcome::Failed, now);
            }
            _ => {
                state.scheduler.cancel(self.id, now);
            }
        }
    }
}

async fn start_attempt(
    shared: &Arc<Shared>,
    attempt: Attempt,
    id: WorkId,
    server: BackendServerName,
) -> AnswerReply {
    let now = shared.clock.now();
    if let Err(reply) = check_start(shared, &attempt, now) {
        lock(&shared.owner.state).scheduler.finish(id, RunOutcome::Failed, now);
        shared.owner.wake_dispatcher();
        return *reply;
    }
    match find_server(shared, &server) {
        Some(server) => send::send(shared, attempt, id, server).await,
        None => {
            lock(&shared.owner.state).scheduler.finish(id, RunOutcome::Failed, now);
            wire::not_run(NotRunReason::NotOwner, "the backend server was removed")
        }
    }
}

/// Repeats the checks right before sending, because the process may have been paused since the slot
/// was assigned.
fn check_start(shared: &Shared, attempt: &Attempt, now: Instant) -> Result<(), Box<AnswerReply>> {
    if now >= attempt.deadline {
        let reply = wire::not_run(NotRunReason::Deadline, "the deadline passed before dispatch");
        return Err(Box::new(reply));
    }
    if !lock(&shared.fence).may_dispatch(now) {
        let reply = wire::not_run(NotRunReason::NotOwner, "the owner was paused");
        return Err(Box::new(reply));
    }
    if !attempt.idempotent && !lock(&shared.attempts).try_start(&attempt.id) {
        let reply = wire::not_run(NotRunReason::Forbidden, "the attempt was given up");
        return Err(Box::new(reply));
    }
    Ok(())
}

fn find_server(shared: &Shared, name: &BackendServerName) -> Option<BackendServer> {
    let current = shared.config.get()?;
    let mut servers = current.config.services.iter().flat_map(|s| &s.backend_servers);
    servers.find(|s| s.name == *name).cloned()
}

fn refusal_reply(refusal: &Refusal) -> AnswerReply {
    let (reason, detail) = match refusal.reason {
        RefusalReason::Deadline => {
            (NotRunReason::Deadline, "the request cannot finish before its deadline")
        }
        RefusalReason::Overloaded => (NotRunReason::Overloaded, "the queue is full"),
        RefusalReason::Quarantined => {
            (NotRunReason::Quarantined, "the request is suspected to crash backend servers")
        }
        RefusalReason::NoBackendServer => {
            (NotRunReason::NoBackendServer, "no owned backend server may run the request")
        }
        RefusalReason::Duplicate => (NotRunReason::Invalid, "the request was queued twice"),
    };
    wire::not_run_retry_after(reason, refusal.retry_after_ms, detail)
}
