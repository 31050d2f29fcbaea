//! A stand-in for a backend server with a fixed number of slots.
//!
//! The wire format is described in `pollenshed_protocol::backend`. Each request that runs is
//! recorded, so that tests can count runs. Faults are switched on and off at run time.
//!
//! It is built on `std::net` instead of `rouille`, because its faults cut single connections and
//! stop the listener, which `rouille` does not allow.

pub(crate) mod http;
mod reports;
mod server;
mod state;
mod work;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr};
use pollenshed_state::ids::Digest;

pub use reports::{Report, ReportMode};
use server::Listening;
use state::Shared;
pub use state::{Counts, Faults};

/// Longest body that is recorded in full; of longer ones only length and digest are kept.
pub const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;

/// Initial configuration of a stand-in.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Name used in answers.
    pub name: String,
    /// Requests that run at the same time at most; others are shed.
    pub slots: u64,
    /// Time that one request takes.
    pub service_time: Duration,
}

/// One request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id that pollenshed gave the request.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body as it arrived; empty if it is longer than [`MAX_RECORDED_BODY_BYTES`].
    pub body: Vec<u8>,
    /// Length of the body.
    pub body_bytes: u64,
    /// Digest of the body.
    pub body_digest: Digest,
}

/// A cold start: requests take longer at first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Time that the first request takes in addition.
    pub extra: Duration,
    /// Requests after which the server is warm; the extra time shrinks evenly until then.
    pub requests: u64,
}

/// A running backend server stand-in. It stops when dropped.
pub struct Backend {
    shared: Arc<Shared>,
    listening: Listening,
}

impl Backend {
    /// Listens on `address`; port 0 means any free port.
    pub fn bind(address: SocketAddr, behaviour: Behaviour) -> Result<Backend> {
        let shared = Arc::new(Shared::new(behaviour));
        let listening = Listening::bind(address, shared.clone())
            .wrap_err_with(|| format!("backend server stand-in cannot listen on {address}"))?;
        Ok(Backend { shared, listening })
    }

    /// Starts `count` stand-ins on free ports and appends a number, from 1, to the name of each.
    pub fn bind_many(count: usize, behaviour: &Behaviour) -> Result<Vec<Backend>> {
        let bind = |number| {
            let name = format!("{}-{number}", behaviour.name);
            Backend::bind(([127, 0, 0, 1], 0).into(), Behaviour { name, ..behaviour.clone() })
        };
        (1..=count).map(bind).collect()
    }

    /// Returns the address that the stand-in listens on, also while it is down.
    pub fn address(&self) -> SocketAddr {
        self.listening.address()
    }

    /// Returns the requests that ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns the number of requests that run now.
    pub fn in_use(&self) -> u64 {
        self.shared.lock().in_use
    }

    /// Returns the largest number of requests that ran at the same time.
    pub fn max_in_use(&self) -> u64 {
        self.shared.lock().max_in_use
    }

    /// Returns counters of events other than completed runs.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Returns the arrival times of requests that came while the stand-in was draining, without
    /// health, load and cancel calls.
    pub fn received_while_draining(&self) -> Vec<Instant> {
        self.shared.lock().received_while_draining.clone()
    }

    /// Returns when the drain that is under way began.
    pub fn draining_since(&self) -> Option<Instant> {
        self.shared.lock().draining_since
    }

    /// Starts or ends a drain, which answers and health reports announce.
    pub fn set_draining(&self, draining: bool) {
        self.shared.set_draining(draining);
    }

    /// Changes the number of requests that can run at the same time.
    pub fn set_slots(&self, slots: u64) {
        self.shared.lock().behaviour.slots = slots;
    }

    /// Changes the time that one request takes.
    pub fn set_service_time(&self, service_time: Duration) {
        let mut state = self.shared.lock();
        state.behaviour.service_time = service_time;
        state.service_time_of = None;
    }

    /// Computes the service time of each request with a closure.
    pub fn set_service_time_by(
        &self,
        service_time: impl Fn(&Run) -> Duration + Send + Sync + 'static,
    ) {
        self.shared.lock().service_time_of = Some(Arc::new(service_time));
    }

    /// Computes status and body of each answer with a closure.
    pub fn set_answer_by(&self, answer: impl Fn(&Run) -> (u16, Vec<u8>) + Send + Sync + 'static) {
        self.shared.lock().answer_of = Some(Arc::new(answer));
    }

    /// Starts a cold start now.
    pub fn start_cold(&self, cold: ColdStart) {
        let mut state = self.shared.lock();
        state.cold = Some(cold);
        state.runs_since_cold = 0;
    }

    /// Changes the faults in place, so that those `change` does not touch stay in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Changes how the health and load endpoints report.
    pub fn set_report_mode(&self, report_mode: ReportMode) {
        self.shared.set_report_mode(report_mode);
    }

    /// Drops all connections with the requests on them and stops listening, like a crashed process.
    pub fn crash(&mut self) {
        self.shared.crash();
        self.listening.stop();
    }

    /// Tells whether the stand-in accepts connections.
    pub fn is_up(&self) -> bool {
        self.shared.lock().up
    }

    /// Listens again on the same port after a crash. Runs and counters are kept.
    pub fn restart(&mut self) -> Result<()> {
        self.listening.stop();
        self.listening = Listening::bind(self.address(), self.shared.clone())
            .wrap_err("backend server stand-in cannot listen again")?;
        Ok(())
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.crash();
    }
}
