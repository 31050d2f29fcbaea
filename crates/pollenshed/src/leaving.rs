//! Backend servers that the platform is about to remove.
//!
//! Only readers see the platform's list, so gossip passes the names on with a time to live (TTL).

use std::collections::HashMap;

use pollenshed_state::{ids::BackendServerName, time::Instant};

/// Time for which a name is valid after a reader read it from the list. Readers poll once a second,
/// and with a mean period of up to 8 s while the platform fails, so a name that is still listed
/// does not expire between two polls.
const TTL_MS: u64 = 15_000;

/// Names of leaving backend servers with the time at which each expires.
#[derive(Debug, Default)]
pub struct LeavingServers {
    until: HashMap<BackendServerName, Instant>,
}

impl LeavingServers {
    /// Replaces all names by those of the platform's list, which was read at `now`.
    ///
    /// A name that is no longer listed is removed here at once; at peers it expires.
    pub fn set_listed(&mut self, names: impl IntoIterator<Item = BackendServerName>, now: Instant) {
        self.until = names.into_iter().map(|name| (name, now.plus_ms(TTL_MS))).collect();
    }

    /// Adds a name that a peer sent, or extends its time. The time left is capped at the TTL.
    pub fn add_from_peer(&mut self, name: BackendServerName, ttl_left_ms: u64, now: Instant) {
        let until = now.plus_ms(ttl_left_ms.min(TTL_MS));
        let known = self.until.entry(name).or_insert(until);
        *known = until.max(*known);
    }

    /// Removes expired names.
    pub fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }

    /// Returns whether a backend server is leaving.
    pub fn contains(&self, name: &BackendServerName) -> bool {
        self.until.contains_key(name)
    }

    /// Returns the names with the time to live that is left, in milliseconds.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&BackendServerName, u64)> {
        self.until.iter().map(move |(name, until)| (name, until.since_ms(now)))
    }
}
