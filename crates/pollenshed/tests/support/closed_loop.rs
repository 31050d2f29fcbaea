//! Closed-loop load: callers that send requests until they are stopped, each with one in flight.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use pollenshed_protocol::caller::{DEADLINE_HEADER, OUTCOME_HEADER, TICKET_HEADER};
use ureq::{Agent, http::Request};

use super::{Daemon, wait_for};

/// Pause after a request that was not done, like that of a caller that is told to retry later.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Requests that one group of callers sends.
#[derive(Debug, Clone)]
pub struct Work {
    /// `GET` or `POST`; a `POST` carries a new ticket.
    pub method: &'static str,
    /// Path below the service.
    pub path: &'static str,
    /// Deadline of each request.
    pub deadline_ms: u64,
    /// Number of callers, spread over the entries in turn.
    pub callers: usize,
}

/// A running group of callers. It stops when dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    done: Arc<AtomicU64>,
    reasons: Arc<Mutex<BTreeMap<String, u64>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the callers of `work` at the service `ledger`.
    pub fn start(daemons: &[&Daemon], work: &Work) -> Load {
        let mut load = Load {
            stop: Arc::default(),
            sent: Arc::default(),
            done: Arc::default(),
            reasons: Arc::default(),
            threads: Vec::new(),
        };
        let bindings: Vec<_> = daemons.iter().map(|d| (d.caller_endpoint, binding(d))).collect();
        let callers = bindings.iter().cycle().take(work.callers).cloned().enumerate();
        let shared =
            (load.stop.clone(), load.sent.clone(), load.done.clone(), load.reasons.clone());
        let threads = callers.map(|(number, (address, binding))| {
            let (stop, sent, done, reasons) = shared.clone();
            let work = work.clone();
            thread::spawn(move || {
                let agent = Agent::config_builder().http_status_as_error(false).build().new_agent();
                while !stop.load(Ordering::SeqCst) {
                    let ticket = format!("{binding}/{number}-{}", fastrand::u64(..));
                    sent.fetch_add(1, Ordering::SeqCst);
                    match send(&agent, address, &work, &ticket) {
                        Ok(()) => {
                            done.fetch_add(1, Ordering::SeqCst);
                        }
                        Err(reason) => {
                            *reasons.lock().unwrap().entry(reason).or_default() += 1;
                            thread::sleep(RETRY_PAUSE);
                        }
                    }
                }
            })
        });
        load.threads = threads.collect();
        load
    }

    /// Returns how many requests were done so far.
    pub fn done(&self) -> u64 {
        self.done.load(Ordering::SeqCst)
    }

    /// Waits until `more` further requests are done.
    pub fn wait_until_done(&self, more: u64) {
        let goal = self.done() + more;
        wait_for("requests to be done", || (self.done() >= goal).then_some(()));
    }

    /// Returns the reasons of requests that were not done, with their counts.
    pub fn reasons(&self) -> String {
        format!("{:?}", self.reasons.lock().unwrap())
    }

    /// Returns how many requests were sent and how many were done so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.sent.load(Ordering::SeqCst), self.done())
    }

    /// Stops the callers and returns how many requests were sent and how many were done.
    pub fn finish(&mut self) -> (u64, u64) {
        self.join();
        self.counts()
    }

    fn join(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.join();
    }
}

/// Returns a binding that names the current incarnation of an instance.
fn binding(daemon: &Daemon) -> String {
    let status = wait_for("a status", || daemon.status());
    // A stamp of 1 ms is younger than the lifetime of bindings in all tests.
    format!("{}.{}.1", daemon.name, status.incarnation)
}

/// Sends one request; the error says why it was not done.
fn send(agent: &Agent, address: SocketAddr, work: &Work, ticket: &str) -> Result<(), String> {
    let url = format!("http://{address}/v1/run/ledger{}", work.path);
    let mut request = Request::builder().method(work.method).uri(url);
    request = request.header(DEADLINE_HEADER, work.deadline_ms);
    if work.method == "POST" {
        request = request.header(TICKET_HEADER, ticket);
    }
    let mut answer = agent.run(request.body(()).unwrap()).map_err(|e| e.to_string())?;
    let body = answer.body_mut().read_to_string().map_err(|e| e.to_string())?;
    let is_done = answer.headers().get(OUTCOME_HEADER).is_some_and(|v| v == "done");
    if is_done && answer.status() == 200 { Ok(()) } else { Err(body) }
}
