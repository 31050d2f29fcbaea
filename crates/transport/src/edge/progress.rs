//! Tracks what a connection is doing and since when, to enforce the timeouts.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{
    head::{Framing, HeadScan},
    limits::Limits,
};

/// What a connection is doing, which decides on its timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of the next request has arrived.
    Idle,
    /// Part of a head has arrived.
    Head,
    /// A request is being processed.
    Busy,
}

/// Which timeout a connection has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TimedOut {
    Idle,
    Head,
    /// The caller does not read its response.
    Response,
}

struct State {
    phase: Phase,
    since: Instant,
    write_blocked_since: Option<Instant>,
    head: HeadScan,
}

/// Progress of one connection, shared by its stream, its responses and its timer.
pub(super) struct Progress(Mutex<State>);

impl Progress {
    pub fn new() -> Progress {
        let now = Instant::now();
        Progress(Mutex::new(State {
            phase: Phase::Idle,
            since: now,
            write_blocked_since: None,
            head: HeadScan::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(&self, phase: Phase) {
        let mut state = self.lock();
        state.phase = phase;
        state.since = Instant::now();
    }

    pub fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Records bytes that arrived.
    pub fn record_read(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if state.phase == Phase::Idle {
            state.phase = Phase::Head;
            state.since = Instant::now();
        }
        if state.phase == Phase::Head {
            state.head.scan(bytes);
        }
    }

    /// Records that a head is complete and its request is being processed. Returns what the head
    /// says about the length of the body.
    pub fn request_started(&self) -> Framing {
        self.enter(Phase::Busy);
        self.lock().head.take()
    }

    /// Records that the body of the response was passed to the connection.
    pub fn response_sent(&self) {
        self.enter(Phase::Idle);
    }

    /// Records whether the socket took a write or made it wait.
    pub fn record_write(&self, ready: bool) {
        let mut state = self.lock();
        if ready {
            state.write_blocked_since = None;
        } else {
            state.write_blocked_since.get_or_insert_with(Instant::now);
        }
    }

    /// Returns the timeout that the connection has exceeded, if any.
    pub fn timed_out(&self, limits: &Limits) -> Option<TimedOut> {
        let state = self.lock();
        let passed = |since: Instant, limit: Duration| since.elapsed() >= limit;
        if let Some(since) = state.write_blocked_since {
            return passed(since, limits.body_pause_timeout).then_some(TimedOut::Response);
        }
        match state.phase {
            Phase::Idle => passed(state.since, limits.idle_timeout).then_some(TimedOut::Idle),
            Phase::Head => passed(state.since, limits.head_timeout).then_some(TimedOut::Head),
            Phase::Busy => None,
        }
    }
}
