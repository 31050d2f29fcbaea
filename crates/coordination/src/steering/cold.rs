//! The rate of requests to a cold backend server.
//!
//! A server that has just started bears few requests a second from all instances together and
//! crashes above that. Instances do not agree on who sends next, so only a few of them may send to
//! a cold server at all, and each of those spends its own share. This answers a server that returns
//! while the whole traffic of its objects waits for it.

use pollenshed_state::{
    ids::{BackendServerName, InstanceName},
    time::Instant,
};

use crate::membership::hash::stable_hash;

/// Most instances that send to one cold server, so that each of them has a useful share.
const MAX_SENDERS: usize = 4;

/// Returns the instances that may send to `server` while it is cold, out of those that live in its
/// region. `burst` is the number of requests that the server bears at once.
pub fn cold_senders<'a>(
    server: &BackendServerName,
    instances: impl IntoIterator<Item = &'a InstanceName>,
    burst: f64,
) -> Vec<&'a InstanceName> {
    let most = (burst as usize).saturating_sub(1).clamp(1, MAX_SENDERS);
    let mut scored: Vec<_> = instances
        .into_iter()
        .map(|i| (stable_hash(&[b"cold", server.as_str().as_bytes(), i.as_str().as_bytes()]), i))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().take(most).map(|(_, instance)| instance).collect()
}

/// Spends one instance's share of the requests to a cold server: one at once, then a fixed rate.
#[derive(Debug, Clone, Default)]
pub struct ColdRate {
    next_at: Option<Instant>,
}

impl ColdRate {
    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Instant) -> bool {
        self.next_at.is_none_or(|at| now >= at)
    }

    /// Records that a request was sent. `rate_per_s` is this instance's share of the rate.
    pub fn sent(&mut self, rate_per_s: f64, now: Instant) {
        let pause_ms =
            if rate_per_s > 0.0 { (1_000.0 / rate_per_s).min(60_000.0) } else { 60_000.0 };
        self.next_at = Some(now.plus_ms(pause_ms as u64));
    }
}
