//! Looks up the entries of services and caches the answers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use pollenshed_protocol::caller::LookupAnswer;
use ureq::Agent;

use crate::{Failure, exchange::Exchange};

/// Largest answer to a lookup. It lists the entries of one service.
const MAX_LOOKUP_BYTES: u64 = 1024 * 1024;

/// A lookup answer and its expiry time.
#[derive(Clone)]
struct Cached {
    answer: Arc<LookupAnswer>,
    expires_at: Instant,
}

/// Caches the last lookup answer of each service. Asks the seeds for a new one after it expires.
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

    /// Returns the cached answer if it has not expired, or else the answer of a new lookup.
    pub fn find(
        &self,
        agent: &Agent,
        service: &str,
        timeout: Duration,
    ) -> Result<Arc<LookupAnswer>, Failure> {
        let cached = self.lock().get(service).cloned();
        match &cached {
            Some(cached) if Instant::now() < cached.expires_at => Ok(cached.answer.clone()),
            _ => self.look_up(agent, service, cached.map(|c| c.answer), timeout),
        }
    }

    /// Returns the last answer, even if it has expired.
    pub fn last(&self, service: &str) -> Option<Arc<LookupAnswer>> {
        self.lock().get(service).map(|c| c.answer.clone())
    }

    /// Makes the next [`LookupCache::find`] look up again. Used after the entries of the answer
    /// failed.
    pub fn expire(&self, service: &str) {
        if let Some(cached) = self.lock().get_mut(service) {
            cached.expires_at = Instant::now();
        }
    }

    fn look_up(
        &self,
        agent: &Agent,
        service: &str,
        last: Option<Arc<LookupAnswer>>,
        timeout: Duration,
    ) -> Result<Arc<LookupAnswer>, Failure> {
        let started = Instant::now();
        let mut failure = Failure::local("unreachable", "no seed answered the lookup");
        for source in self.sources(last) {
            let remaining = timeout.saturating_sub(started.elapsed());
            if remaining.is_zero() {
                break;
            }
            match request_lookup(agent, source, service, remaining) {
                Ok(answer) => {
                    // The time to live counts from the start of the lookup.
                    let expires_at = started + Duration::from_millis(answer.ttl_ms);
                    let answer = Arc::new(answer);
                    let cached = Cached { answer: answer.clone(), expires_at };
                    self.lock().insert(service.to_owned(), cached);
                    return Ok(answer);
                }
                Err(e) => failure = e,
            }
        }
        Err(failure)
    }

    /// Returns the addresses to ask, in order: first the seeds, then the entries of the last
    /// answer. The first seed is random, so that callers spread over all seeds.
    fn sources(&self, last: Option<Arc<LookupAnswer>>) -> Vec<SocketAddr> {
        let mut sources = self.seeds.clone();
        let first = fastrand::usize(..sources.len());
        sources.rotate_left(first);
        if let Some(last) = last {
            let more = last.entries.iter().map(|e| e.address);
            let more: Vec<_> = more.filter(|a| !sources.contains(a)).collect();
            sources.extend(more);
        }
        sources
    }
}

fn request_lookup(
    agent: &Agent,
    source: SocketAddr,
    service: &str,
    timeout: Duration,
) -> Result<LookupAnswer, Failure> {
    let path = format!("/v1/lookup?service={service}");
    let exchange = Exchange {
        method: "GET",
        entry: source,
        path: &path,
        headers: &[],
        body: None,
        timeout,
        max_answer_bytes: MAX_LOOKUP_BYTES,
    };
    let raw = exchange
        .send(agent)
        .map_err(|e| Failure::local("unreachable", format!("{source}: {}", e.into_text())))?;
    if raw.status != 200 {
        return Err(raw.failure());
    }
    let answer: LookupAnswer = serde_json::from_slice(&raw.body)
        .map_err(|e| Failure::local("unreachable", format!("{source}: {e}")))?;
    if answer.entries.is_empty() {
        return Err(Failure::local("no-entry", "the lookup answer lists no entries"));
    }
    Ok(answer)
}
