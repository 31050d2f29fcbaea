//! Dispatches requests to the backend servers that this instance owns.
//!
//! [`Scheduler`] makes the decisions. This module passes it events and sends the requests that it
//! assigns. See `docs/design.md`, "One owner per backend server" and "Limits".

mod cancel;
mod dispatch;
mod headroom;
mod probe;
mod release;
mod send;
mod servers;
mod uploads;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use pollenshed_coordination::{
    limits::{Assignment, CancelResult, Refusal, RunOutcome, Scheduler, SchedulerPolicy, WorkId},
    routing::{InboundLimiter, SendingDomains},
};
use pollenshed_state::{
    ids::{BackendServerName, FailureDomainName, ServiceName},
    time::Instant,
};
use tokio::sync::{Notify, oneshot};

pub use dispatch::dispatch;
pub use headroom::advertisements;
pub use release::{release, run as run_releases};
pub use servers::update_servers;

use self::headroom::LastAdvertised;
use crate::{instance::Shared, util::lock};

/// Longest time between two checks of the queues. Concurrency limits rise with time, which no event
/// announces.
const MAX_DISPATCH_WAIT: Duration = Duration::from_millis(50);

/// Time for which a server counts as draining after an answer said so, while its health endpoint
/// does not. A draining server gets no requests and so sends no further answers, so this must
/// outlast a drain. If the server still drains afterwards, its next answer starts the time again.
const ANSWERED_DRAINING_TTL_MS: u64 = 60_000;

/// The scheduler's decision about a queued request.
enum QueueOutcome {
    /// The request has a slot of this server.
    Server(BackendServerName),
    /// The request is not run.
    Refused(Refusal),
}

/// State of the owner role: queues and slots of the owned backend servers, and signals to its
/// loops.
pub struct Owner {
    state: Mutex<State>,
    dispatch_wake: Notify,
    probe_wake: Notify,
    release_wake: Notify,
    next_id: AtomicU64,
}

struct State {
    is_stopped: bool,
    scheduler: Scheduler,
    /// Channels to the tasks whose requests are queued.
    outcome_senders: HashMap<WorkId, oneshot::Sender<QueueOutcome>>,
    inbound_limiters: HashMap<(ServiceName, FailureDomainName), InboundLimiter>,
    advertisement_sequence: u64,
    /// When all advertisements were last refreshed.
    refreshed_at: Option<Instant>,
    last_advertised: HashMap<(ServiceName, FailureDomainName), LastAdvertised>,
    /// Failure domains that recently sent requests, by service.
    senders: HashMap<ServiceName, SendingDomains>,
    /// When each server last failed. A probe that began before the failure does not count.
    failed_at: HashMap<BackendServerName, Instant>,
    /// Until when each server counts as draining because one of its answers said so.
    answered_draining_until: HashMap<BackendServerName, Instant>,
}

impl Owner {
    /// Creates an owner without backend servers.
    pub fn new() -> Owner {
        Owner {
            state: Mutex::new(State {
                is_stopped: false,
                scheduler: Scheduler::new(SchedulerPolicy::default()),
                outcome_senders: HashMap::new(),
                inbound_limiters: HashMap::new(),
                advertisement_sequence: 0,
                refreshed_at: None,
                last_advertised: HashMap::new(),
                senders: HashMap::new(),
                failed_at: HashMap::new(),
                answered_draining_until: HashMap::new(),
            }),
            dispatch_wake: Notify::new(),
            probe_wake: Notify::new(),
            release_wake: Notify::new(),
            next_id: AtomicU64::new(1),
        }
    }

    /// Runs `f` with the scheduler locked. Gossip and the status page use it as well.
    pub fn with_scheduler<T>(&self, f: impl FnOnce(&mut Scheduler) -> T) -> T {
        f(&mut lock(&self.state).scheduler)
    }

    /// Makes the dispatch loop check the queues now, because a slot or a server may have become
    /// free.
    pub fn wake_dispatcher(&self) {
        self.dispatch_wake.notify_one();
    }

    /// Stops dispatching permanently. Queued requests are refused as not run, so that their entries
    /// retry at the next owner. Dispatched requests continue.
    pub fn stop(&self, now: Instant) {
        let mut state = lock(&self.state);
        state.is_stopped = true;
        let queued: Vec<WorkId> = state.outcome_senders.keys().copied().collect();
        remove_from_queue(&mut state, queued, now);
    }

    /// Returns the number of requests that hold a slot of a backend server.
    pub fn running_requests(&self, now: Instant) -> u64 {
        self.with_scheduler(|scheduler| scheduler.snapshot(now).iter().map(|s| s.in_use).sum())
    }

    /// Starts the next round of probes now. A gained server gets requests only after its first load
    /// report.
    pub fn probe_now(&self) {
        self.probe_wake.notify_one();
    }

    /// Makes the release loop ask former owners now, without waiting for its next period.
    pub fn request_releases(&self) {
        self.release_wake.notify_one();
    }

    /// Returns whether a server drains, given the state that its health endpoint reports.
    ///
    /// Once the health endpoint has reported the drain, it also decides when the drain ends.
    fn is_draining(
        &self,
        server: &BackendServerName,
        health_is_draining: bool,
        now: Instant,
    ) -> bool {
        let draining_until = &mut lock(&self.state).answered_draining_until;
        if health_is_draining {
            draining_until.remove(server);
        }
        health_is_draining || draining_until.get(server).is_some_and(|until| now < *until)
    }

    fn new_id(&self) -> WorkId {
        WorkId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }
}

impl Default for Owner {
    fn default() -> Owner {
        Owner::new()
    }
}

/// Runs the dispatch loop and the probes until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    tokio::spawn(probe::run(shared.clone()));
    loop {
        let now = shared.clock.now();
        dispatch_queued(&shared, now);
        let next = shared.owner.with_scheduler(|scheduler| scheduler.next_expiry());
        let wait = next.map_or(MAX_DISPATCH_WAIT, |at| Duration::from_micros(at.since_us(now)));
        let _ = tokio::time::timeout(
            wait.min(MAX_DISPATCH_WAIT),
            shared.owner.dispatch_wake.notified(),
        )
        .await;
    }
}

/// Assigns free slots to queued requests and delivers refusals.
fn dispatch_queued(shared: &Shared, now: Instant) {
    let may_dispatch = lock(&shared.fence).may_dispatch(now);
    servers::end_holds(shared, now);
    let mut state = lock(&shared.owner.state);
    while may_dispatch
        && !state.is_stopped
        && let Some(assignment) = state.scheduler.next(now)
    {
        deliver_assignment(&mut state, assignment, now);
    }
    let without_server = state.scheduler.queued_without_server();
    remove_from_queue(&mut state, without_server, now);
    for (id, refusal) in state.scheduler.expire(now) {
        if let Some(sender) = state.outcome_senders.remove(&id) {
            let _ = sender.send(QueueOutcome::Refused(refusal));
        }
    }
}

/// Removes requests from the queue, so that their entries retry at other owners.
fn remove_from_queue(state: &mut State, ids: Vec<WorkId>, now: Instant) {
    for id in ids {
        if state.scheduler.cancel(id, now) == CancelResult::Removed {
            // Dropping the sender ends the wait of the request's task.
            state.outcome_senders.remove(&id);
        }
    }
}

fn deliver_assignment(state: &mut State, assignment: Assignment, now: Instant) {
    let sender = state.outcome_senders.remove(&assignment.id);
    let is_taken = sender.is_some_and(|s| s.send(QueueOutcome::Server(assignment.server)).is_ok());
    if !is_taken {
        // The request's task has ended, so the request was never sent and its slot is free.
        state.scheduler.finish(assignment.id, RunOutcome::Failed, now);
    }
}
