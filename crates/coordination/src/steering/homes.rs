//! The home of each object: the backend server that its requests prefer.
//!
//! A server runs a request several times faster if it handled the same object recently. The
//! instance that first sees an object assigns it to a server that is the home of few objects, and
//! tells its peers. Hashing alone would assign several times as many objects to some servers as to
//! others, and those servers would be full while the rest are idle. Two instances that assign the
//! same object at the same time converge on one home, because both use the same order of claims.

use std::collections::{HashMap, VecDeque};

use pollenshed_state::time::Instant;

use super::fleet::ServerKey;
use crate::membership::hash::mix;

/// Largest number of objects whose homes are kept. The least recently used ones are evicted first.
const MAX_OBJECTS: usize = 16_384;

/// Time for which the claims of this instance are kept for sending them to peers.
const RECENT_CLAIM_TTL_MS: u64 = 8_000;

/// An assignment of an object to a home, as instances exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Key of the object, see [`object_key`](super::object_key).
    pub object: u64,
    /// Key of its home.
    pub server: ServerKey,
    /// Number of times that the object has moved. The claim with the higher number wins.
    pub moves: u32,
}

impl Claim {
    /// Returns the rank of a claim, by which all instances choose among claims of one object: the
    /// number of moves, then a hash.
    fn precedence(&self) -> (u32, u64) {
        (self.moves, mix(self.object ^ u64::from(self.server)))
    }
}

#[derive(Debug, Clone, Copy)]
struct Home {
    claim: Claim,
    used_at: Instant,
}

/// The homes of all objects that this instance knows.
#[derive(Debug, Clone, Default)]
pub struct Homes {
    by_object: HashMap<u64, Home>,
    object_counts: HashMap<ServerKey, u32>,
    recent_claims: VecDeque<(Instant, Claim)>,
}

impl Homes {
    /// Returns the home of an object and records the use, which protects it from eviction.
    pub fn home(&mut self, object: u64, now: Instant) -> Option<ServerKey> {
        let home = self.by_object.get_mut(&object)?;
        home.used_at = now;
        Some(home.claim.server)
    }

    /// Assigns an object to a home in place of any earlier one. The claim is sent to peers.
    pub fn assign(&mut self, object: u64, server: ServerKey, now: Instant) {
        let moves = self.by_object.get(&object).map_or(0, |home| home.claim.moves + 1);
        let claim = Claim { object, server, moves };
        self.insert(claim, now);
        self.recent_claims.push_back((now, claim));
    }

    /// Applies claims of a peer, except those that lose against a known claim.
    pub fn merge(&mut self, claims: impl IntoIterator<Item = Claim>, now: Instant) {
        for claim in claims {
            let known = self.by_object.get(&claim.object);
            if known.is_none_or(|home| claim.precedence() > home.claim.precedence()) {
                self.insert(claim, now);
            }
        }
    }

    /// Returns the claims that this instance made in the last `age_ms`, which peers may not know.
    pub fn recent_claims(&mut self, age_ms: u64, now: Instant) -> Vec<Claim> {
        while self
            .recent_claims
            .front()
            .is_some_and(|(at, _)| now.since_ms(*at) >= RECENT_CLAIM_TTL_MS)
        {
            self.recent_claims.pop_front();
        }
        let recent = self.recent_claims.iter().filter(|(at, _)| now.since_ms(*at) < age_ms);
        recent.map(|(_, claim)| *claim).collect()
    }

    /// Returns all claims in no particular order, for instances that have just started and for
    /// storage.
    pub fn all_claims(&self) -> Vec<Claim> {
        self.by_object.values().map(|home| home.claim).collect()
    }

    /// Returns the number of objects whose home is a server.
    pub fn objects_on(&self, server: ServerKey) -> u32 {
        self.object_counts.get(&server).copied().unwrap_or(0)
    }

    fn insert(&mut self, claim: Claim, now: Instant) {
        let old = self.by_object.insert(claim.object, Home { claim, used_at: now });
        if let Some(old) = old {
            self.decrement_count(old.claim.server);
        }
        *self.object_counts.entry(claim.server).or_default() += 1;
        if self.by_object.len() > MAX_OBJECTS {
            self.evict_unused();
        }
    }

    fn decrement_count(&mut self, server: ServerKey) {
        if let Some(count) = self.object_counts.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.object_counts.remove(&server);
            }
        }
    }

    /// Evicts the least recently used half of the objects.
    fn evict_unused(&mut self) {
        let mut used: Vec<_> = self.by_object.values().map(|home| home.used_at).collect();
        used.sort_unstable();
        let median = used[used.len() / 2];
        let old: Vec<Claim> = self
            .by_object
            .values()
            .filter(|home| home.used_at <= median)
            .map(|home| home.claim)
            .collect();
        for claim in old {
            self.by_object.remove(&claim.object);
            self.decrement_count(claim.server);
        }
    }
}
