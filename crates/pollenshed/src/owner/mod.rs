//! Owner: dispatches to the backend servers that this instance owns.

mod uploads;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use pollenshed_coordination::ledger::Begin;
use pollenshed_protocol::peer::{
    AnswerReply, DispatchRequest, HttpRequest, NotRunReason, UnknownReason,
};
use pollenshed_state::{config::BackendServer, ids::BackendServerName, time::Instant};
use pollenshed_transport::backend::{BackendOutcome, BackendRequest};
use tokio::sync::Notify;

use crate::{config::InForce, instance::Shared, util::lock, wire};

/// Slots in use per owned backend server.
#[derive(Default)]
pub struct Owner {
    in_use: Mutex<HashMap<BackendServerName, u64>>,
    changed: Notify,
}

impl Owner {
    /// Lets waiting requests look for a slot again.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }
}

/// Keeps the owner's state up to date until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    loop {
        tokio::time::sleep(period).await;
        shared.owner.wake();
    }
}

/// Runs one attempt at a backend server that this instance owns.
pub async fn dispatch(shared: &Arc<Shared>, request: DispatchRequest) -> AnswerReply {
    let now = shared.clock.now();
    let deadline = now.plus_us(request.deadline_left_us);
    if request.owner_incarnation != shared.incarnation.0 {
        return wire::not_run(NotRunReason::WrongIncarnation, "the owner has restarted");
    }
    let Some(http) = request.request.clone() else {
        return wire::not_run(NotRunReason::Invalid, "the dispatch carries no request");
    };
    let Some(current) = shared.config.get() else {
        return wire::not_run(NotRunReason::NotOwner, "the owner has no configuration");
    };
    if !request.idempotent {
        match lock(&shared.attempts).begin(&request.attempt_id, now) {
            Begin::Queue => {}
            Begin::Forbidden => {
                return wire::not_run(NotRunReason::Forbidden, "the attempt was given up");
            }
            Begin::Duplicate => {
                return wire::unknown(UnknownReason::Duplicate, "the attempt arrived before");
            }
            Begin::Full => {
                return wire::not_run(NotRunReason::Overloaded, "too many attempts are kept");
            }
        }
    }
    let reply = queue_and_send(shared, &request, http, &current, deadline).await;
    if !request.idempotent {
        lock(&shared.attempts).end(&request.attempt_id, reply.clone());
    }
    reply
}

async fn queue_and_send(
    shared: &Arc<Shared>,
    request: &DispatchRequest,
    http: HttpRequest,
    current: &InForce,
    deadline: Instant,
) -> AnswerReply {
    loop {
        let changed = shared.owner.changed.notified();
        let now = shared.clock.now();
        if now >= deadline {
            return wire::not_run(NotRunReason::Deadline, "the deadline passed in the queue");
        }
        match take_slot(shared, request, current, now) {
            Slot::Taken(server) => {
                return send(shared, request, http, server, deadline).await;
            }
            Slot::NoServer => {
                return wire::not_run(NotRunReason::NotOwner, "no backend server is owned here");
            }
            Slot::Forbidden => {
                return wire::not_run(NotRunReason::Forbidden, "the attempt was given up");
            }
            Slot::Busy => {
                let left = Duration::from_micros(deadline.since_us(now));
                let _ = tokio::time::timeout(left, changed).await;
            }
        }
    }
}

enum Slot {
    Taken(BackendServer),
    Busy,
    NoServer,
    Forbidden,
}

fn take_slot(shared: &Shared, request: &DispatchRequest, current: &InForce, now: Instant) -> Slot {
    let service = request.request.as_ref().map_or("", |r| r.service.as_str());
    let servers = current
        .config
        .services
        .iter()
        .filter(|s| s.name.as_str() == service)
        .flat_map(|s| &s.backend_servers);
    let ownership = lock(&shared.ownership);
    let owned: Vec<&BackendServer> = servers.filter(|s| ownership.owns(&s.name)).collect();
    if owned.is_empty() {
        return Slot::NoServer;
    }
    let usable: Vec<_> = owned.into_iter().filter(|s| ownership.is_usable(&s.name, now)).collect();
    drop(ownership);
    if !lock(&shared.fence).may_dispatch(now) {
        return Slot::Busy;
    }
    let mut in_use = lock(&shared.owner.in_use);
    let used = |s: &BackendServer, in_use: &HashMap<_, u64>| *in_use.get(&s.name).unwrap_or(&0);
    let Some(server) = usable
        .into_iter()
        .filter(|s| used(s, &in_use) < s.slots.0)
        .min_by_key(|s| used(s, &in_use))
    else {
        return Slot::Busy;
    };
    if !request.idempotent && !lock(&shared.attempts).dispatch(&request.attempt_id) {
        return Slot::Forbidden;
    }
    *in_use.entry(server.name.clone()).or_default() += 1;
    Slot::Taken(server.clone())
}

async fn send(
    shared: &Arc<Shared>,
    request: &DispatchRequest,
    http: HttpRequest,
    server: BackendServer,
    deadline: Instant,
) -> AnswerReply {
    let id = request.attempt_id.clone();
    let idempotent = request.idempotent;
    let sender = shared.clone();
    let name = server.name.clone();
    let parts = request.upload_parts.clone();
    let task = shared.work.spawn_blocking(move || {
        let now = sender.clock.now();
        log::info!("dispatch: {} {} to {}", http.service, id, server.name);
        let send = BackendRequest {
            address: server.address,
            request: &http,
            request_id: &id,
            timeout: Duration::from_micros(deadline.since_us(now)),
            idempotent,
            max_answer_bytes: u64::from(u32::MAX),
        };
        let outcome = uploads::send(&sender, &send, &parts, deadline);
        *lock(&sender.owner.in_use).entry(server.name.clone()).or_insert(1) -= 1;
        sender.owner.wake();
        outcome
    });
    match task.await {
        Ok(outcome) => reply_of(outcome, &name),
        Err(e) => wire::unknown(UnknownReason::ConnectionLost, e.to_string()),
    }
}

fn reply_of(outcome: BackendOutcome, server: &BackendServerName) -> AnswerReply {
    match outcome {
        BackendOutcome::Answered { answer, .. } => wire::done(answer, server.as_str()),
        BackendOutcome::Shed { .. } => wire::not_run(NotRunReason::Shed, "the server shed it"),
        BackendOutcome::ConnectFailed(e) => wire::not_run(NotRunReason::ConnectFailed, e),
        BackendOutcome::ConnectionLost(e) => wire::unknown(UnknownReason::ConnectionLost, e),
        BackendOutcome::TimedOut => wire::unknown(UnknownReason::Timeout, "the server is late"),
        BackendOutcome::BodyUnavailable(e) => wire::not_run(NotRunReason::StoreUnavailable, e),
        BackendOutcome::AnswerTooLarge => {
            wire::unknown(UnknownReason::AnswerTooLarge, "the answer is too large")
        }
    }
}
