//! Runs requests: slots, service time, cancellation, deadlines and the crash marker.

use std::{
    thread,
    time::{Duration, Instant},
};

use pollenshed_protocol::backend::{DEADLINE_HEADER, REQUEST_ID_HEADER, SHED_HEADER};
use pollenshed_state::ids::Digest;
use sha2::{Digest as _, Sha256};

use super::{
    MAX_RECORDED_BODY_BYTES, Run,
    http::{Answer, Head},
    state::{Shared, State},
};

/// The part of a request body that has arrived so far.
#[derive(Default)]
pub(super) struct Body {
    start: Vec<u8>,
    bytes: u64,
    hash: Sha256,
}

impl Body {
    pub fn add(&mut self, piece: &[u8]) {
        let room = MAX_RECORDED_BODY_BYTES - self.start.len();
        self.start.extend_from_slice(&piece[..room.min(piece.len())]);
        self.bytes += piece.len() as u64;
        self.hash.update(piece);
    }
}

/// How a run ended.
enum RunEnd {
    Finished,
    Cancelled,
    Deadline,
    Crashed,
}

/// Longest time that a cancel call waits for the end of the run.
const MAX_CANCEL_WAIT: Duration = Duration::from_millis(500);

/// Runs one request; `None` means that the server crashed and the connection is gone.
pub(super) fn run(shared: &Shared, head: &Head, body: Body, epoch: u64) -> Option<Answer> {
    let arrived = Instant::now();
    let request_id = head.header(REQUEST_ID_HEADER).unwrap_or_default().to_owned();
    let left = head.header(DEADLINE_HEADER).and_then(|v| v.parse().ok());
    let mut state = shared.lock();
    if state.epoch != epoch {
        return None;
    }
    if state.draining_since.is_some() {
        state.received_while_draining.push(arrived);
    }
    let deadline = left.filter(|_| !state.faults.ignore_deadline).map(Duration::from_millis);
    if let Some(refused) = refuse(&mut state, deadline) {
        return Some(refused);
    }
    let crashes = contains_marker(&body.start, state.faults.crash_marker.as_deref());
    let run = Run {
        request_id: request_id.clone(),
        method: head.method.clone(),
        path: head.target.clone(),
        body: if body.bytes > body.start.len() as u64 { Vec::new() } else { body.start },
        body_bytes: body.bytes,
        body_digest: Digest::from_bytes(body.hash.finalize().into()),
    };
    begin(&mut state, &run);
    let service_time = service_time(&mut state, &run);
    let answer_of = state.answer_of.clone();
    let name = state.behaviour.name.clone();
    drop(state);
    if crashes {
        shared.crash();
        return None;
    }
    let end = wait(shared, &run.request_id, arrived, service_time, deadline, epoch);
    let delay = finish(shared, &run.request_id, &end)?;
    thread::sleep(delay);
    let answer = match end {
        RunEnd::Finished => match answer_of {
            Some(answer_of) => {
                let (status, body) = answer_of(&run);
                Answer { status, headers: Vec::new(), body }
            }
            None => Answer::text(
                200,
                &format!("{name} ran {} {} with {} bytes\n", run.method, run.path, run.body_bytes),
            ),
        },
        RunEnd::Cancelled => Answer::text(503, "cancelled"),
        RunEnd::Deadline => Answer::text(504, "deadline"),
        RunEnd::Crashed => return None,
    };
    Some(answer.with_header(REQUEST_ID_HEADER, &request_id))
}

fn refuse(state: &mut State, deadline: Option<Duration>) -> Option<Answer> {
    if deadline.is_some_and(|left| left.is_zero()) {
        state.counts.expired += 1;
    } else if state.in_use >= state.behaviour.slots {
        state.counts.shed += 1;
    } else {
        return None;
    }
    Some(Answer::text(503, "shed").with_header(SHED_HEADER, "1"))
}

fn contains_marker(body: &[u8], marker: Option<&[u8]>) -> bool {
    marker
        .is_some_and(|marker| !marker.is_empty() && body.windows(marker.len()).any(|w| w == marker))
}

fn begin(state: &mut State, run: &Run) {
    state.in_use += 1;
    state.max_in_use = state.max_in_use.max(state.in_use);
    state.runs.push(run.clone());
    *state.running.entry(run.request_id.clone()).or_default() += 1;
    state.record_report();
}

fn service_time(state: &mut State, run: &Run) -> Duration {
    let base = match &state.service_time_of {
        Some(service_time_of) => service_time_of(run),
        None => state.behaviour.service_time,
    };
    let Some(cold) = state.cold else { return base };
    let left = cold.requests.saturating_sub(state.runs_since_cold);
    state.runs_since_cold += 1;
    if left == 0 {
        state.cold = None;
        return base;
    }
    base + cold.extra.mul_f64(left as f64 / cold.requests as f64)
}

/// Waits until the request has run for its service time or something stops it.
fn wait(
    shared: &Shared,
    id: &str,
    arrived: Instant,
    service_time: Duration,
    deadline: Option<Duration>,
    epoch: u64,
) -> RunEnd {
    let stops = deadline.filter(|left| *left < service_time);
    let until = arrived + stops.unwrap_or(service_time);
    let mut state = shared.lock();
    loop {
        if state.epoch != epoch {
            return RunEnd::Crashed;
        }
        if state.cancelled.contains(id) {
            return RunEnd::Cancelled;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return if stops.is_some() { RunEnd::Deadline } else { RunEnd::Finished };
        }
        let waited = shared.changed.wait_timeout(state, left);
        state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
    }
}

/// Frees the slot and returns how long the answer is delayed; `None` after a crash, which has freed
/// all slots.
fn finish(shared: &Shared, id: &str, end: &RunEnd) -> Option<Duration> {
    let mut state = shared.lock();
    match end {
        RunEnd::Finished => {}
        RunEnd::Cancelled => state.counts.cancelled += 1,
        RunEnd::Deadline => state.counts.stopped_at_deadline += 1,
        RunEnd::Crashed => return None,
    }
    state.in_use = state.in_use.saturating_sub(1);
    let left = state.running.get(id).copied().unwrap_or_default().saturating_sub(1);
    if left == 0 {
        state.running.remove(id);
        state.cancelled.remove(id);
    } else {
        state.running.insert(id.to_owned(), left);
    }
    state.record_report();
    shared.changed.notify_all();
    Some(state.faults.answer_delay)
}

/// Cancels a running request and answers 200 once its slot is free.
pub(super) fn cancel(shared: &Shared, id: &str) -> Answer {
    let mut state = shared.lock();
    state.counts.cancel_calls += 1;
    // Callers replace the characters of an id that are special in paths by '_'.
    let same = |running: &&String| running.replace(['/', '#', '?', '%'], "_") == id;
    let Some(running) = state.running.keys().find(same).cloned() else {
        return Answer::text(404, "no such request");
    };
    if state.faults.ignore_cancel {
        return Answer::text(202, "still running");
    }
    state.cancelled.insert(running.clone());
    shared.changed.notify_all();
    let is_running = |state: &mut State| state.running.contains_key(&running);
    let waited = shared.changed.wait_timeout_while(state, MAX_CANCEL_WAIT, is_running);
    let (_state, timeout) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
    if timeout.timed_out() {
        return Answer::text(202, "still running");
    }
    Answer::text(200, "")
}
