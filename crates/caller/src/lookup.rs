//! Looks up entries and caches the answers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use pollenshed_protocol::caller::LookupAnswer;
use ureq::Agent;

use crate::{Failure, exchange::Exchange};

/// A lookup answer and until when it may be used.
#[derive(Clone)]
struct Cached {
    answer: Arc<LookupAnswer>,
    until: Instant,
}

/// Knows the seeds and the answers that are still fresh.
pub(crate) struct LookupCache {
    seeds: Vec<SocketAddr>,
    cache: Mutex<HashMap<String, Cached>>,
}

impl LookupCache {
    pub fn new(seeds: Vec<SocketAddr>) -> LookupCache {
        LookupCache { seeds, cache: Mutex::new(HashMap::new()) }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Cached>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a fresh answer, from the cache or from an entry.
    pub fn find(
        &self,
        agent: &Agent,
        service: &str,
        timeout: Duration,
    ) -> Result<Arc<LookupAnswer>, Failure> {
        let cached = self.lock().get(service).cloned();
        match &cached {
            Some(cached) if Instant::now() < cached.until => Ok(cached.answer.clone()),
            _ => self.ask(agent, service, cached.map(|c| c.answer), timeout),
        }
    }

    /// Returns the last answer, also when it is no longer fresh.
    pub fn last(&self, service: &str) -> Option<Arc<LookupAnswer>> {
        self.lock().get(service).map(|c| c.answer.clone())
    }

    /// Makes the next [`LookupCache::find`] ask again, because the entries of the answer failed.
    pub fn expire(&self, service: &str) {
        if let Some(cached) = self.lock().get_mut(service) {
            cached.until = Instant::now();
        }
    }

    fn ask(
        &self,
        agent: &Agent,
        service: &str,
        last: Option<Arc<LookupAnswer>>,
        timeout: Duration,
    ) -> Result<Arc<LookupAnswer>, Failure> {
        let started = Instant::now();
        let mut failure = Failure::local("unreachable", "no seed answered");
        for source in self.sources(last) {
            let left = timeout.saturating_sub(started.elapsed());
            if left.is_zero() {
                break;
            }
            match ask_one(agent, source, service, left) {
                Ok(answer) => {
                    // The time to live counts from when the question was sent.
                    let until = started + Duration::from_millis(answer.ttl_ms);
                    let answer = Arc::new(answer);
                    let cached = Cached { answer: answer.clone(), until };
                    self.lock().insert(service.to_owned(), cached);
                    return Ok(answer);
                }
                Err(e) => failure = e,
            }
        }
        Err(failure)
    }

    /// Returns whom to ask: the seeds from a random one on, so that callers spread over them, then
    /// the entries of the last answer.
    fn sources(&self, last: Option<Arc<LookupAnswer>>) -> Vec<SocketAddr> {
        let mut sources = self.seeds.clone();
        let middle = fastrand::usize(..sources.len());
        sources.rotate_left(middle);
        if let Some(last) = last {
            let more = last.entries.iter().map(|e| e.address);
            let more: Vec<_> = more.filter(|a| !sources.contains(a)).collect();
            sources.extend(more);
        }
        sources
    }
}

fn ask_one(
    agent: &Agent,
    source: SocketAddr,
    service: &str,
    timeout: Duration,
) -> Result<LookupAnswer, Failure> {
    let path = format!("/v1/lookup?service={service}");
    let exchange =
        Exchange { method: "GET", entry: source, path: &path, headers: &[], body: None, timeout };
    let raw = exchange.send(agent).map_err(|e| match e {
        crate::exchange::NoAnswer::Unreachable(e) | crate::exchange::NoAnswer::Lost(e) => {
            Failure::local("unreachable", format!("{source}: {e}"))
        }
    })?;
    if raw.status != 200 {
        return Err(raw.failure());
    }
    let answer: LookupAnswer = serde_json::from_slice(&raw.body)
        .map_err(|e| Failure::local("unreachable", format!("{source}: {e}")))?;
    if answer.entries.is_empty() {
        return Err(Failure::local("no-entry", "the lookup answer names no entry"));
    }
    Ok(answer)
}
