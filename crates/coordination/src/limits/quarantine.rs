//! Content that crashes backend servers.

use std::collections::HashMap;

use pollenshed_state::{
    ids::{BackendServerName, Digest},
    time::Instant,
};

/// One content's crashes, as exchanged between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Digest of the content.
    pub content: Digest,
    /// Backend servers that crashed while running it, at most two.
    pub crashed: Vec<BackendServerName>,
    /// Time until the entry is forgotten.
    pub ttl_left_ms: u64,
}

/// Tracks content that may crash backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Digest, (Vec<BackendServerName>, Instant)>,
}

impl Quarantine {
    /// Takes over a peer's entries.
    pub fn merge(&mut self, entries: &[QuarantineEntry], now: Instant) {
        for entry in entries {
            let until = now.plus_ms(entry.ttl_left_ms);
            self.suspects.insert(entry.content, (entry.crashed.clone(), until));
        }
    }
}
