//! Owner: dispatches to the backend servers that this instance owns.
//!
//! The decisions are those of [`Scheduler`]; this module feeds it with events and carries its
//! assignments out. See `docs/design.md`, "One owner per backend server" and "Limits".

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

use self::headroom::Said;
use crate::{instance::Shared, util::lock};

/// Longest time between two looks at the queues, for limits that rise with time.
const MAX_TURN: Duration = Duration::from_millis(50);

/// How long an answer that says that its server drains outweighs a health endpoint that never says
/// so. A server that drains gets no work and gives no further answer, so the sign has to last longer
/// than a drain; after it, one answer renews it.
const ANSWERED_DRAINING_MS: u64 = 60_000;

/// What the scheduler decided about a waiting request.
enum Grant {
    /// Dispatch it to this server.
    Server(BackendServerName),
    /// Do not run it.
    Refused(Refusal),
}

/// Queues and slots of the owned backend servers.
pub struct Owner {
    state: Mutex<State>,
    turn: Notify,
    probe: Notify,
    gained: Notify,
    next_id: AtomicU64,
}

struct State {
    is_stopped: bool,
    scheduler: Scheduler,
    waiting: HashMap<WorkId, oneshot::Sender<Grant>>,
    inbound_limiters: HashMap<(ServiceName, FailureDomainName), InboundLimiter>,
    advertised: u64,
    /// When all advertisements were refreshed.
    advertised_at: Option<Instant>,
    said: HashMap<(ServiceName, FailureDomainName), Said>,
    /// Failure domains that send requests, by service.
    senders: HashMap<ServiceName, SendingDomains>,
    /// When each server last failed. A probe that began earlier says nothing about it.
    failed_at: HashMap<BackendServerName, Instant>,
    /// Until when a server counts as draining because an answer of its said so.
    answered_draining: HashMap<BackendServerName, Instant>,
}

impl Owner {
    /// Starts without any server.
    pub fn new() -> Owner {
        Owner {
            state: Mutex::new(State {
                is_stopped: false,
                scheduler: Scheduler::new(SchedulerPolicy::default()),
                waiting: HashMap::new(),
                inbound_limiters: HashMap::new(),
                advertised: 0,
                advertised_at: None,
                said: HashMap::new(),
                senders: HashMap::new(),
                failed_at: HashMap::new(),
                answered_draining: HashMap::new(),
            }),
            turn: Notify::new(),
            probe: Notify::new(),
            gained: Notify::new(),
            next_id: AtomicU64::new(1),
        }
    }

    /// Gives other roles access to the scheduler, for gossip and status.
    pub fn with_scheduler<T>(&self, f: impl FnOnce(&mut Scheduler) -> T) -> T {
        f(&mut lock(&self.state).scheduler)
    }

    /// Lets the scheduler look at the queues again.
    pub fn wake_dispatcher(&self) {
        self.turn.notify_one();
    }

    /// Stops dispatching for good. Requests in the queue are refused as not run, so that their
    /// entries ask the next owner; dispatched ones go on.
    pub fn stop(&self, now: Instant) {
        let mut state = lock(&self.state);
        state.is_stopped = true;
        let waiting: Vec<WorkId> = state.waiting.keys().copied().collect();
        send_back(&mut state, waiting, now);
    }

    /// Returns the number of requests at backend servers.
    pub fn running_requests(&self, now: Instant) -> u64 {
        self.with_scheduler(|scheduler| scheduler.snapshot(now).iter().map(|s| s.in_use).sum())
    }

    /// Probes the owned backend servers soon, because a gained server is used only after a report.
    pub fn probe_now(&self) {
        self.probe.notify_one();
    }

    /// Asks former owners to release gained servers soon.
    pub fn request_releases(&self) {
        self.gained.notify_one();
    }

    /// Tells whether a server drains, given what its health endpoint says.
    ///
    /// Once the endpoint says so, too, it is trusted about the end of the draining.
    fn is_draining(&self, server: &BackendServerName, health_says_so: bool, now: Instant) -> bool {
        let answered = &mut lock(&self.state).answered_draining;
        if health_says_so {
            answered.remove(server);
        }
        health_says_so || answered.get(server).is_some_and(|until| now < *until)
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

/// Keeps queues moving and probes backend servers until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    tokio::spawn(probe::run(shared.clone()));
    loop {
        let now = shared.clock.now();
        take_turn(&shared, now);
        let next = shared.owner.with_scheduler(|scheduler| scheduler.next_expiry());
        let wait = next.map_or(MAX_TURN, |at| Duration::from_micros(at.since_us(now)));
        let _ = tokio::time::timeout(wait.min(MAX_TURN), shared.owner.turn.notified()).await;
    }
}

/// Hands out free slots and refusals.
fn take_turn(shared: &Shared, now: Instant) {
    let may_dispatch = lock(&shared.fence).may_dispatch(now);
    servers::end_holds(shared, now);
    let mut state = lock(&shared.owner.state);
    while may_dispatch
        && !state.is_stopped
        && let Some(assignment) = state.scheduler.next(now)
    {
        grant(&mut state, assignment, now);
    }
    let stranded = state.scheduler.queued_without_server();
    send_back(&mut state, stranded, now);
    for (id, refusal) in state.scheduler.expire(now) {
        if let Some(sender) = state.waiting.remove(&id) {
            let _ = sender.send(Grant::Refused(refusal));
        }
    }
}

/// Takes requests out of the queue, so that their entries ask other owners.
fn send_back(state: &mut State, waiting: Vec<WorkId>, now: Instant) {
    for id in waiting {
        if state.scheduler.cancel(id, now) == CancelResult::Removed {
            // Dropping the sender tells the waiting request.
            state.waiting.remove(&id);
        }
    }
}

fn grant(state: &mut State, assignment: Assignment, now: Instant) {
    let sender = state.waiting.remove(&assignment.id);
    let is_taken = sender.is_some_and(|s| s.send(Grant::Server(assignment.server)).is_ok());
    if !is_taken {
        // The request was given up in the meantime, so it never reached the server.
        state.scheduler.finish(assignment.id, RunOutcome::Failed, now);
    }
}
