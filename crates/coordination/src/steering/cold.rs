//! Rate limit for requests to a cold backend server.
//!
//! A server that has just started tolerates few requests a second from all instances together and
//! crashes above that. Instances do not coordinate single requests, so only a few of them may send
//! to a cold server at all, and each of those has its own share of the rate. This protects a server
//! that comes back while all requests for its objects are waiting for it.

use pollenshed_state::{
    ids::{BackendServerName, InstanceName},
    time::Instant,
};

use crate::membership::hash::stable_hash;

/// Largest number of instances that send to one cold server, so that each of them has a useful
/// share.
const MAX_SENDERS: usize = 4;

/// Returns which of `instances`, the live instances of the server's region, may send to `server`
/// while it is cold. Instances that know the same instances choose the same ones, by rendezvous
/// hash. `burst` is the number of requests that the server tolerates at once.
pub fn cold_senders<'a>(
    server: &BackendServerName,
    instances: impl IntoIterator<Item = &'a InstanceName>,
    burst: f64,
) -> Vec<&'a InstanceName> {
    let max_senders = (burst as usize).saturating_sub(1).clamp(1, MAX_SENDERS);
    let mut scored: Vec<_> = instances
        .into_iter()
        .map(|i| (stable_hash(&[b"cold", server.as_str().as_bytes(), i.as_str().as_bytes()]), i))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().take(max_senders).map(|(_, instance)| instance).collect()
}

/// Limits the requests of one instance to a cold server: the first is sent at once, further ones at
/// a fixed rate.
#[derive(Debug, Clone, Default)]
pub struct ColdRate {
    next_at: Option<Instant>,
}

impl ColdRate {
    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Instant) -> bool {
        self.next_at.is_none_or(|at| now >= at)
    }

    /// Records that a request was sent, and delays the next one. `rate_per_s` is this instance's
    /// share of the rate; at 0 the delay is a minute.
    pub fn record_sent_request(&mut self, rate_per_s: f64, now: Instant) {
        let delay_ms =
            if rate_per_s > 0.0 { (1_000.0 / rate_per_s).min(60_000.0) } else { 60_000.0 };
        self.next_at = Some(now.plus_ms(delay_ms as u64));
    }
}
