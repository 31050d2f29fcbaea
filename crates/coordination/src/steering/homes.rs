//! Which backend server each object lives on.
//!
//! A server runs a request several times faster if it handled the same object lately. The instance
//! that first sees an object gives it a home where few objects live, and tells its peers. Hashing
//! alone would give some servers several times the objects of others, and those servers would be
//! full while the rest are idle. Two instances that give the same object a home at the same time
//! end up with the same one, because both follow the same order of claims.

use std::collections::{HashMap, VecDeque};

use pollenshed_state::time::Instant;

use super::fleet::ServerKey;
use crate::membership::hash::mix;

/// Objects whose homes are kept. Those that were not used for longest are forgotten first.
const MAX_OBJECTS: usize = 16_384;

/// Time for which claims are kept to tell peers.
const ANNOUNCE_MS: u64 = 8_000;

/// A claim that an object lives on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The object.
    pub object: u64,
    /// Its home.
    pub server: ServerKey,
    /// Number of moves; a later claim replaces an earlier one.
    pub moves: u32,
}

impl Claim {
    /// Orders claims of one object alike in all instances.
    fn order(&self) -> (u32, u64) {
        (self.moves, mix(self.object ^ u64::from(self.server)))
    }
}

#[derive(Debug, Clone, Copy)]
struct Home {
    claim: Claim,
    used_at: Instant,
}

/// Homes of objects.
#[derive(Debug, Clone, Default)]
pub struct Homes {
    by_object: HashMap<u64, Home>,
    objects: HashMap<ServerKey, u32>,
    recent: VecDeque<(Instant, Claim)>,
}

impl Homes {
    /// Returns the home of an object and records its use.
    pub fn home(&mut self, object: u64, now: Instant) -> Option<ServerKey> {
        let home = self.by_object.get_mut(&object)?;
        home.used_at = now;
        Some(home.claim.server)
    }

    /// Gives an object a home, in place of any that it has, and tells peers.
    pub fn assign(&mut self, object: u64, server: ServerKey, now: Instant) {
        let moves = self.by_object.get(&object).map_or(0, |home| home.claim.moves + 1);
        let claim = Claim { object, server, moves };
        self.put(claim, now);
        self.recent.push_back((now, claim));
    }

    /// Takes claims of a peer.
    pub fn merge(&mut self, claims: impl IntoIterator<Item = Claim>, now: Instant) {
        for claim in claims {
            let known = self.by_object.get(&claim.object);
            if known.is_none_or(|home| claim.order() > home.claim.order()) {
                self.put(claim, now);
            }
        }
    }

    /// Returns the claims of this instance in the last `age_ms`, which peers may not know.
    pub fn recent_claims(&mut self, age_ms: u64, now: Instant) -> Vec<Claim> {
        while self.recent.front().is_some_and(|(at, _)| now.since_ms(*at) >= ANNOUNCE_MS) {
            self.recent.pop_front();
        }
        let young = self.recent.iter().filter(|(at, _)| now.since_ms(*at) < age_ms);
        young.map(|(_, claim)| *claim).collect()
    }

    /// Returns all claims, for an instance that has just started.
    pub fn all_claims(&self) -> Vec<Claim> {
        self.by_object.values().map(|home| home.claim).collect()
    }

    /// Returns the number of objects that live on a server.
    pub fn objects_on(&self, server: ServerKey) -> u32 {
        self.objects.get(&server).copied().unwrap_or(0)
    }

    fn put(&mut self, claim: Claim, now: Instant) {
        let old = self.by_object.insert(claim.object, Home { claim, used_at: now });
        if let Some(old) = old {
            self.leave(old.claim.server);
        }
        *self.objects.entry(claim.server).or_default() += 1;
        if self.by_object.len() > MAX_OBJECTS {
            self.forget_unused();
        }
    }

    fn leave(&mut self, server: ServerKey) {
        if let Some(count) = self.objects.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.objects.remove(&server);
            }
        }
    }

    /// Forgets the half of the objects that was not used for longest.
    fn forget_unused(&mut self) {
        let mut used: Vec<_> = self.by_object.values().map(|home| home.used_at).collect();
        used.sort_unstable();
        let middle = used[used.len() / 2];
        let old: Vec<Claim> = self
            .by_object
            .values()
            .filter(|home| home.used_at <= middle)
            .map(|home| home.claim)
            .collect();
        for claim in old {
            self.by_object.remove(&claim.object);
            self.leave(claim.server);
        }
    }
}
