//! State shared by all connections of a stand-in.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{
    Behaviour, ColdStart, Run,
    reports::{Report, ReportMode},
};

/// Timeout of the connection that wakes the accepting thread.
pub(super) const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of past reports that are kept for [`ReportMode::Lagging`].
const MAX_REPORT_HISTORY: usize = 10_000;

/// Faults that can be switched at run time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// The server crashes when a request runs whose first 64 KiB of body contain these bytes.
    pub crash_marker: Option<Vec<u8>>,
    /// The connection is cut after this many bytes of an answer's body.
    pub cut_answers_after_bytes: Option<usize>,
    /// Answers are sent this long after their request has ended and its slot is free again.
    pub answer_delay: Duration,
    /// Connections that are open at the same time at most; others are closed at once. `None` means
    /// no limit.
    pub max_connections: Option<usize>,
    /// The server ignores cancel calls, though it still counts them.
    pub ignore_cancel: bool,
    /// The server runs requests beyond their deadline.
    pub ignore_deadline: bool,
}

/// Counters of events other than completed runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were shed.
    pub shed: u64,
    /// Requests whose deadline had passed on arrival; they did not run.
    pub expired: u64,
    /// Runs that stopped at their deadline.
    pub stopped_at_deadline: u64,
    /// Cancel calls.
    pub cancel_calls: u64,
    /// Runs that a cancel call stopped.
    pub cancelled: u64,
    /// Requests whose body arrived incomplete; they did not run.
    pub incomplete: u64,
    /// Crashes, caused by a marked request or by a call of the test.
    pub crashes: u64,
    /// Connections that were accepted.
    pub connections: u64,
    /// Connections that were closed at once because of the limit.
    pub refused_connections: u64,
}

pub(super) type ServiceTimeOf = Arc<dyn Fn(&Run) -> Duration + Send + Sync>;
pub(super) type AnswerOf = Arc<dyn Fn(&Run) -> (u16, Vec<u8>) + Send + Sync>;

pub(super) struct State {
    pub behaviour: Behaviour,
    pub service_time_of: Option<ServiceTimeOf>,
    pub answer_of: Option<AnswerOf>,
    pub cold: Option<ColdStart>,
    pub runs_since_cold: u64,
    pub faults: Faults,
    pub report_mode: ReportMode,
    pub frozen_report: Report,
    pub history: VecDeque<(Instant, Report)>,
    pub up: bool,
    pub address: Option<SocketAddr>,
    /// Incremented by each crash, so that requests from before it end without an answer.
    pub epoch: u64,
    pub in_use: u64,
    pub max_in_use: u64,
    pub draining_since: Option<Instant>,
    pub received_while_draining: Vec<Instant>,
    pub runs: Vec<Run>,
    pub running: HashMap<String, u64>,
    pub cancelled: HashSet<String>,
    pub counts: Counts,
    pub connections: HashMap<u64, TcpStream>,
}

pub(super) struct Shared {
    state: Mutex<State>,
    /// Wakes running requests after a cancel call or a crash.
    pub changed: Condvar,
}

impl Shared {
    pub fn new(behaviour: Behaviour) -> Shared {
        let report = Report { in_use: 0, slots: behaviour.slots, draining: false };
        let state = State {
            behaviour,
            service_time_of: None,
            answer_of: None,
            cold: None,
            runs_since_cold: 0,
            faults: Faults::default(),
            report_mode: ReportMode::Live,
            frozen_report: report,
            history: VecDeque::from([(Instant::now(), report)]),
            up: false,
            address: None,
            epoch: 0,
            in_use: 0,
            max_in_use: 0,
            draining_since: None,
            received_while_draining: Vec::new(),
            runs: Vec::new(),
            running: HashMap::new(),
            cancelled: HashSet::new(),
            counts: Counts::default(),
            connections: HashMap::new(),
        };
        Shared { state: Mutex::new(state), changed: Condvar::new() }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_draining(&self, draining: bool) {
        let mut state = self.lock();
        state.draining_since = draining.then(|| state.draining_since.unwrap_or_else(Instant::now));
        state.record_report();
    }

    pub fn set_report_mode(&self, report_mode: ReportMode) {
        let mut state = self.lock();
        state.frozen_report = state.actual_report();
        state.report_mode = report_mode;
    }

    /// Cuts all connections, abandons all running requests and makes the accepting thread end.
    pub fn crash(&self) {
        let mut state = self.lock();
        if !state.up {
            return;
        }
        state.up = false;
        state.epoch += 1;
        state.in_use = 0;
        state.running.clear();
        state.cancelled.clear();
        state.counts.crashes += 1;
        state.record_report();
        for stream in state.connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.connections.clear();
        let address = state.address;
        drop(state);
        self.changed.notify_all();
        // The accepting thread blocks in `accept` and notices the crash only at the next
        // connection.
        if let Some(address) = address {
            let _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
        }
    }
}

impl State {
    pub fn actual_report(&self) -> Report {
        Report {
            in_use: self.in_use,
            slots: self.behaviour.slots,
            draining: self.draining_since.is_some(),
        }
    }

    pub fn record_report(&mut self) {
        if self.history.len() == MAX_REPORT_HISTORY {
            self.history.pop_front();
        }
        let report = self.actual_report();
        self.history.push_back((Instant::now(), report));
    }

    /// Returns what the health and load endpoints report now; `None` if they fail.
    pub fn report(&self) -> Option<Report> {
        match self.report_mode {
            ReportMode::Live => Some(self.actual_report()),
            ReportMode::Lagging(lag) => {
                let now = Instant::now();
                let old = self.history.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
                old.or(self.history.front()).map(|(_, report)| *report)
            }
            ReportMode::Frozen => Some(self.frozen_report),
            ReportMode::Fixed(report) => Some(report),
            ReportMode::Failing => None,
        }
    }
}
