//! State that all connections of a stand-in share.

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

/// Changes of the load that are kept for lagging reports.
const MAX_HISTORY: usize = 10_000;

/// Faults that can be switched at run time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// The server crashes when a request runs whose first 64 KiB of body contain these bytes.
    pub crash_marker: Option<Vec<u8>>,
    /// The connection is cut after this many bytes of an answer's body.
    pub cut_answers_after_bytes: Option<usize>,
    /// Answers are sent this long after their work has ended and its slot is free again.
    pub answer_delay: Duration,
    /// Connections that are open at the same time; more are closed at once. Nothing is no limit.
    pub max_connections: Option<usize>,
    /// The server ignores cancel calls, though it still counts them.
    pub ignore_cancel: bool,
    /// The server runs requests beyond their deadline.
    pub ignore_deadline: bool,
}

/// Counters of what happened besides whole runs.
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
    /// Requests whose body did not arrive whole; they did not run.
    pub incomplete: u64,
    /// Crashes, by mark or by call.
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
    pub reports: ReportMode,
    pub frozen: Report,
    pub history: VecDeque<(Instant, Report)>,
    pub up: bool,
    pub address: Option<SocketAddr>,
    /// Raised by each crash, so that work from before it ends without an answer.
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
            reports: ReportMode::Live,
            frozen: report,
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
        state.remember_load();
    }

    pub fn set_report_mode(&self, reports: ReportMode) {
        let mut state = self.lock();
        state.frozen = state.true_report();
        state.reports = reports;
    }

    /// Cuts all connections, gives up all running work and makes the accepting thread end.
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
        state.remember_load();
        for stream in state.connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.connections.clear();
        let address = state.address;
        drop(state);
        self.changed.notify_all();
        // The accepting thread notices the crash when it accepts the next connection, so it gets one.
        if let Some(address) = address {
            let _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
        }
    }
}

impl State {
    pub fn true_report(&self) -> Report {
        Report {
            in_use: self.in_use,
            slots: self.behaviour.slots,
            draining: self.draining_since.is_some(),
        }
    }

    pub fn remember_load(&mut self) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        let report = self.true_report();
        self.history.push_back((Instant::now(), report));
    }

    /// Returns what the health and load endpoints say now; nothing if they do not answer.
    pub fn report(&self) -> Option<Report> {
        match self.reports {
            ReportMode::Live => Some(self.true_report()),
            ReportMode::Lagging(lag) => {
                let now = Instant::now();
                let old = self.history.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
                old.or(self.history.front()).map(|(_, report)| *report)
            }
            ReportMode::Frozen => Some(self.frozen),
            ReportMode::Fixed(report) => Some(report),
            ReportMode::Failing => None,
        }
    }
}
