//! Steady load from callers that cache lookup answers, with a record of the replies they got.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use pollenshed_protocol::caller::LookupAnswer;

use super::{
    callers::{Reply, get, lookup, post},
    faults::answer_to,
};

/// Deadline that callers give their filings.
const DEADLINE_MS: u64 = 4_000;

/// Time that a refused caller waits. It is far shorter than `retry-after`, so that a short time
/// without service is noticed.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// State that all callers share.
pub struct Load {
    entries: Mutex<Vec<SocketAddr>>,
    stop: AtomicBool,
    next: AtomicU64,
    done: AtomicU64,
    refused: Mutex<Vec<String>>,
    wrong: Mutex<Vec<String>>,
    filings: Mutex<Vec<(String, String, String)>>,
}

impl Load {
    /// Prepares load. Callers send their lookups to `entries`.
    pub fn new(entries: Vec<SocketAddr>) -> Load {
        Load {
            entries: Mutex::new(entries),
            stop: AtomicBool::new(false),
            next: AtomicU64::new(0),
            done: AtomicU64::new(0),
            refused: Mutex::default(),
            wrong: Mutex::default(),
            filings: Mutex::default(),
        }
    }

    /// Replaces the entries that callers send their lookups to.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *lock(&self.entries) = entries;
    }

    /// Makes the callers end after their current requests.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Returns how many requests were served.
    pub fn done(&self) -> u64 {
        self.done.load(Ordering::SeqCst)
    }

    /// Returns the reasons of refusals.
    pub fn refused(&self) -> Vec<String> {
        lock(&self.refused).clone()
    }

    /// Returns descriptions of requests that were cut off or got a wrong answer.
    pub fn wrong(&self) -> Vec<String> {
        lock(&self.wrong).clone()
    }

    /// Returns ticket, body and answer of the filings that were served.
    pub fn filings(&self) -> Vec<(String, String, String)> {
        lock(&self.filings).clone()
    }

    /// Sends requests one after the other until the load stops, reads and filings in turn.
    pub fn run_caller(&self, client: u8) {
        let mut cached: Option<(Instant, LookupAnswer)> = None;
        while !self.stop.load(Ordering::SeqCst) {
            let number = self.next.fetch_add(1, Ordering::SeqCst);
            let Some(answer) = self.cached_lookup(client, number, &mut cached) else { continue };
            self.send_one(&answer, number);
        }
    }

    fn cached_lookup(
        &self,
        client: u8,
        number: u64,
        cached: &mut Option<(Instant, LookupAnswer)>,
    ) -> Option<LookupAnswer> {
        let is_fresh = |(at, answer): &&(Instant, LookupAnswer)| {
            at.elapsed() < Duration::from_millis(answer.ttl_ms)
        };
        if let Some((_, answer)) = cached.as_ref().filter(is_fresh) {
            return Some(answer.clone());
        }
        let asked = Instant::now();
        let entries = lock(&self.entries).clone();
        let seed = entries[usize::try_from(number).unwrap() % entries.len()];
        // If the lookup fails, because the seed has stopped for example, the next request number
        // selects another seed.
        let answer = lookup(seed, client)?;
        *cached = Some((asked, answer.clone()));
        Some(answer)
    }

    fn send_one(&self, answer: &LookupAnswer, number: u64) {
        let entry = answer.entries[0].address;
        let (path, body) = (format!("/pages/{number}"), format!("load {number}"));
        let ticket = format!("{}/load-{number}", answer.binding);
        let (reply, expected) = if number.is_multiple_of(2) {
            (get(entry, &path), answer_to("GET", &path, ""))
        } else {
            (post(entry, &ticket, &body, DEADLINE_MS), answer_to("POST", "/filings", &body))
        };
        match reply {
            Reply::Done(text) if text == expected => {
                self.done.fetch_add(1, Ordering::SeqCst);
                if number % 2 == 1 {
                    lock(&self.filings).push((ticket, body, text));
                }
            }
            Reply::NotRun(reason) => {
                lock(&self.refused).push(reason);
                // A caller that retried at once would count the same outage many times.
                std::thread::sleep(REFUSED_PAUSE);
            }
            other => lock(&self.wrong).push(format!("{path} at {entry}: {other:?}")),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
