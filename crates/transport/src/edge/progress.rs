//! What a connection is doing and since when.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{
    head::{Framing, HeadScan},
    limits::Limits,
};

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing of a request has arrived.
    Idle,
    /// A head has begun and is not whole.
    Head,
    /// A request is being answered.
    Busy,
}

/// Why a connection is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Overdue {
    Idle,
    Head,
    /// The caller does not take its answer.
    Answer,
}

struct State {
    phase: Phase,
    since: Instant,
    write_blocked_since: Option<Instant>,
    scan: HeadScan,
}

/// Progress of one connection, shared by its stream, its requests and its timer.
pub(super) struct Progress(Mutex<State>);

impl Progress {
    pub fn new() -> Progress {
        let now = Instant::now();
        Progress(Mutex::new(State {
            phase: Phase::Idle,
            since: now,
            write_blocked_since: None,
            scan: HeadScan::default(),
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

    /// Bytes arrived.
    pub fn bytes_read(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if state.phase == Phase::Idle {
            state.phase = Phase::Head;
            state.since = Instant::now();
        }
        if state.phase == Phase::Head {
            state.scan.feed(bytes);
        }
    }

    /// A head is whole and its request is being answered. Returns what the head's bytes said about
    /// the body.
    pub fn request_begun(&self) -> Framing {
        self.enter(Phase::Busy);
        self.lock().scan.take()
    }

    /// The answer was handed to the connection.
    pub fn answer_ended(&self) {
        self.enter(Phase::Idle);
    }

    /// A write was taken or has to wait.
    pub fn wrote(&self, taken: bool) {
        let mut state = self.lock();
        if taken {
            state.write_blocked_since = None;
        } else {
            state.write_blocked_since.get_or_insert_with(Instant::now);
        }
    }

    /// Tells which limit on time the connection has exceeded.
    pub fn overdue(&self, limits: &Limits) -> Option<Overdue> {
        let state = self.lock();
        let passed = |since: Instant, limit: Duration| since.elapsed() >= limit;
        if let Some(since) = state.write_blocked_since {
            return passed(since, limits.body_pause_timeout).then_some(Overdue::Answer);
        }
        match state.phase {
            Phase::Idle => passed(state.since, limits.idle_timeout).then_some(Overdue::Idle),
            Phase::Head => passed(state.since, limits.head_timeout).then_some(Overdue::Head),
            Phase::Busy => None,
        }
    }
}
