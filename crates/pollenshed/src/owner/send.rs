//! Sends an attempt to a backend server and reports the outcome to the scheduler.

use std::{sync::Arc, time::Duration};

use pollenshed_coordination::limits::{LoadReport, RunOutcome, WorkId};
use pollenshed_protocol::peer::{AnswerReply, NotRunReason, UnknownReason};
use pollenshed_state::{
    config::BackendServer,
    ids::{BackendServerName, Digest},
    time::Instant,
};
use pollenshed_transport::{
    backend::{BackendOutcome, BackendRequest},
    metrics::{Counter, Timing},
};

use super::{
    ANSWERED_DRAINING_TTL_MS,
    cancel::{self, Abandoned},
    dispatch::Attempt,
    uploads,
};
use crate::{gossip, instance::Shared, util::lock, wire};

/// Sends an attempt that already has a slot of the server, and waits for its outcome.
pub(super) async fn send(
    shared: &Arc<Shared>,
    attempt: Attempt,
    id: WorkId,
    server: BackendServer,
) -> AnswerReply {
    let name = server.name.clone();
    let mut running = Running {
        shared: shared.clone(),
        id,
        request_id: attempt.id.clone(),
        server: server.clone(),
        is_over: false,
    };
    let task_shared = shared.clone();
    // The client blocks its thread. The task itself reports the outcome to the scheduler, because
    // this future may be dropped before the request ends.
    let task =
        shared.work_runtime.spawn_blocking(move || call(&task_shared, &attempt, id, &server));
    let outcome = task.await;
    running.is_over = true;
    if let Ok(BackendOutcome::ConnectionLost(_)) = &outcome {
        // Peers must know of the crash before the caller's retry reaches them. The call runs on the
        // control runtime, which holds the connections to peers.
        let control_shared = shared.clone();
        let notification = shared.control_runtime.spawn(async move {
            gossip::notify_peers(&control_shared, gossip::MAX_NOTIFIED_PEERS).await;
        });
        let _ = notification.await;
    }
    match outcome {
        Ok(outcome) => reply_of(outcome, &name),
        Err(e) => wire::unknown(UnknownReason::ConnectionLost, e.to_string()),
    }
}

fn call(
    shared: &Arc<Shared>,
    attempt: &Attempt,
    id: WorkId,
    server: &BackendServer,
) -> BackendOutcome {
    let began = shared.clock.now();
    let Some(request) = &attempt.request.request else {
        return BackendOutcome::ConnectFailed("the dispatch carries no request".to_owned());
    };
    log_start(attempt, id, server, began);
    let send = BackendRequest {
        address: server.address,
        request,
        request_id: &attempt.id,
        timeout: Duration::from_micros(attempt.deadline.since_us(began)),
        idempotent: attempt.idempotent,
        max_answer_bytes: attempt.max_answer_bytes,
    };
    let outcome = uploads::send(shared, &send, &attempt.request.upload_parts, attempt.deadline);
    let latency_us = shared.clock.now().since_us(began);
    report(shared, attempt, id, server, &outcome, latency_us);
    outcome
}

fn log_start(attempt: &Attempt, id: WorkId, server: &BackendServer, began: Instant) {
    log::info!(
        service = attempt.service(),
        rank:% = attempt.rank,
        attempt = attempt.id,
        work_id = id.0,
        backend_server:% = server.name,
        waited_us = began.since_us(attempt.arrived),
        deadline_left_us = attempt.deadline.since_us(began);
        "dispatch: sent to a backend server"
    );
}

/// Reports the outcome of an attempt to metrics, scheduler and log, and starts cancel calls after a
/// timeout.
fn report(
    shared: &Arc<Shared>,
    attempt: &Attempt,
    id: WorkId,
    server: &BackendServer,
    outcome: &BackendOutcome,
    latency_us: u64,
) {
    let finished = match outcome {
        BackendOutcome::Answered { .. } | BackendOutcome::AnswerTooLarge => {
            RunOutcome::Answered { latency_us }
        }
        BackendOutcome::Shed { .. } => RunOutcome::Shed,
        BackendOutcome::ConnectFailed(_) | BackendOutcome::BodyUnavailable(_) => RunOutcome::Failed,
        BackendOutcome::ConnectionLost(_) => RunOutcome::Crashed,
        BackendOutcome::TimedOut => RunOutcome::Abandoned,
    };
    let now = shared.clock.now();
    match outcome {
        BackendOutcome::Answered { .. } => {
            shared.metrics.record_time(
                Timing::Backend,
                attempt.rank,
                Duration::from_micros(latency_us),
            );
        }
        BackendOutcome::Shed { .. } => shared.metrics.count(Counter::Shed, 1),
        _ => {}
    }
    {
        let mut state = lock(&shared.owner.state);
        state.scheduler.finish(id, finished, now);
        match outcome {
            BackendOutcome::ConnectFailed(_) => {
                state.scheduler.mark_down(&server.name);
                state.failed_at.insert(server.name.clone(), now);
            }
            BackendOutcome::ConnectionLost(_) => {
                state.failed_at.insert(server.name.clone(), now);
            }
            BackendOutcome::Answered { draining: true, .. }
            | BackendOutcome::Shed { draining: true } => {
                let report = LoadReport { in_use: 0, slots: server.slots.0, draining: true };
                let until = now.plus_ms(ANSWERED_DRAINING_TTL_MS);
                state.answered_draining_until.insert(server.name.clone(), until);
                state.scheduler.apply_report(&server.name, report, now);
            }
            _ => {}
        }
    }
    shared.owner.wake_dispatcher();
    log_end(&attempt.content, attempt, server, outcome, latency_us);
    if let BackendOutcome::TimedOut = outcome {
        cancel::spawn(
            shared,
            Abandoned { id, request_id: attempt.id.clone(), server: server.clone() },
        );
    }
}

fn log_end(
    content: &Digest,
    attempt: &Attempt,
    server: &BackendServer,
    outcome: &BackendOutcome,
    latency_us: u64,
) {
    let (id, backend_server) = (&attempt.id, &server.name);
    match outcome {
        BackendOutcome::Answered { answer, .. } => {
            let status = answer.status;
            log::debug!(
                attempt = id, backend_server:%, status, latency_us;
                "dispatch: the backend server answered"
            );
        }
        BackendOutcome::Shed { draining } => {
            log::info!(
                attempt = id, backend_server:%, draining, latency_us;
                "dispatch: shed by the backend server"
            );
        }
        BackendOutcome::ConnectionLost(error) => log::warn!(
            attempt = id, backend_server:%, content:%, latency_us, error;
            "dispatch: the connection to the backend server was lost"
        ),
        BackendOutcome::ConnectFailed(error) => log::warn!(
            attempt = id, backend_server:%, latency_us, error;
            "dispatch: no connection to the backend server"
        ),
        BackendOutcome::BodyUnavailable(error) => log::warn!(
            attempt = id, backend_server:%, latency_us, error;
            "dispatch: the body of the request could not be read"
        ),
        BackendOutcome::TimedOut => {
            log::warn!(
                attempt = id, backend_server:%, latency_us;
                "dispatch: the deadline passed at the backend server"
            );
        }
        BackendOutcome::AnswerTooLarge => log::warn!(
            attempt = id, backend_server:%, latency_us, max_answer_bytes = attempt.max_answer_bytes;
            "dispatch: the answer exceeds the service's limit"
        ),
    }
}

/// A request that runs at a backend server. Dropping the value before the end, for example when the
/// caller disconnects, cancels the request.
struct Running {
    shared: Arc<Shared>,
    id: WorkId,
    request_id: String,
    server: BackendServer,
    is_over: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let now = self.shared.clock.now();
        lock(&self.shared.owner.state).scheduler.finish(self.id, RunOutcome::Abandoned, now);
        let request_id = std::mem::take(&mut self.request_id);
        let server = self.server.clone();
        cancel::spawn(&self.shared, Abandoned { id: self.id, request_id, server });
    }
}

fn reply_of(outcome: BackendOutcome, server: &BackendServerName) -> AnswerReply {
    let mut reply = match outcome {
        BackendOutcome::Answered { answer, .. } => return wire::done(answer, server.as_str()),
        BackendOutcome::Shed { .. } => {
            wire::not_run_retry_after(NotRunReason::Shed, SHED_RETRY_AFTER_MS, "the server shed it")
        }
        BackendOutcome::ConnectFailed(e) => wire::not_run(NotRunReason::ConnectFailed, e),
        BackendOutcome::BodyUnavailable(e) => wire::not_run(NotRunReason::StoreUnavailable, e),
        BackendOutcome::ConnectionLost(e) => wire::unknown(UnknownReason::ConnectionLost, e),
        BackendOutcome::TimedOut => {
            wire::unknown(UnknownReason::Timeout, "the deadline passed at the backend server")
        }
        BackendOutcome::AnswerTooLarge => {
            wire::unknown(UnknownReason::AnswerTooLarge, "the answer is larger than declared")
        }
    };
    reply.backend_server = server.to_string();
    reply
}

/// Delay that callers are asked to keep before they retry a request that a backend server shed.
const SHED_RETRY_AFTER_MS: u64 = 500;
