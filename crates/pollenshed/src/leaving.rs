//! Backend servers that the platform is about to take away.
//!
//! Only readers see the platform's list, so the names travel by gossip with a time to live.

use std::collections::HashMap;

use pollenshed_state::{ids::BackendServerName, time::Instant};

/// How long a name counts after a reader saw it. Readers poll each second and wait for at most eight
/// when the platform fails, so a name that is still listed does not lapse in between.
const TTL_MS: u64 = 15_000;

/// Names with the time at which each is forgotten.
#[derive(Debug, Default)]
pub struct LeavingServers {
    until: HashMap<BackendServerName, Instant>,
}

impl LeavingServers {
    /// Takes the names of the platform's list, which was read just now.
    ///
    /// A name that the list no longer has is forgotten here; peers forget it when its time is over.
    pub fn set_listed(&mut self, names: impl IntoIterator<Item = BackendServerName>, now: Instant) {
        self.until = names.into_iter().map(|name| (name, now.plus_ms(TTL_MS))).collect();
    }

    /// Takes a name from a peer.
    pub fn merge(&mut self, name: BackendServerName, ttl_left_ms: u64, now: Instant) {
        let until = now.plus_ms(ttl_left_ms.min(TTL_MS));
        let known = self.until.entry(name).or_insert(until);
        *known = until.max(*known);
    }

    /// Forgets names whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }

    /// Tells whether a backend server is leaving.
    pub fn contains(&self, name: &BackendServerName) -> bool {
        self.until.contains_key(name)
    }

    /// Returns the names with the time that each has left.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&BackendServerName, u64)> {
        self.until.iter().map(move |(name, until)| (name, until.since_ms(now)))
    }
}
