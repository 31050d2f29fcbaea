//! The other instances: where they are, and which of them live.

use std::{collections::BTreeMap, net::SocketAddr};

use pollenshed_state::{
    ids::{FailureDomainName, Incarnation, InstanceName, RegionName},
    time::Instant,
};
use serde::{Deserialize, Serialize};

/// Heartbeats that may be lost before an instance counts as silent.
const LOST_HEARTBEATS: u64 = 3;

/// Time that a heartbeat may be late beyond that, with two transfers between regions.
const LATE_MS: u64 = 450;

/// Longest pause that a peer can announce.
const MAX_PAUSE_MS: u64 = 2_000;

/// Silence after which the entry of an instance in the store is removed.
pub const GONE_MS: u64 = 20_000;

/// An instance as it announces itself in the store and to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberRecord {
    /// The instance.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Failure domain that it is in.
    pub failure_domain: FailureDomainName,
    /// Where callers send requests.
    pub callers_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
}

/// A peer and what was heard of it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its announcement.
    pub record: MemberRecord,
    /// When it was heard last.
    pub heard_at: Option<Instant>,
    /// When its announcement became known.
    pub known_at: Instant,
    /// It stops as planned.
    pub leaving: bool,
    /// It has a configuration.
    pub ready: bool,
    /// The store answers its calls.
    pub steady: bool,
    /// Time for which the store has answered it.
    pub store_answered_ms: u64,
    /// Silence after which it is not named to callers any more.
    pub silent_ms: u64,
}

impl Member {
    /// Returns whether the peer was heard lately.
    pub fn is_live(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now.since_ms(at) < self.silent_ms)
    }
}

/// What a peer says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// It stops as planned.
    pub leaving: bool,
    /// It has a configuration.
    pub ready: bool,
    /// The store answers its calls.
    pub steady: bool,
    /// Time for which the store has answered it.
    pub store_answered_ms: u64,
    /// Time until its next heartbeat.
    pub pause_ms: u64,
}

/// All other instances that are known.
#[derive(Debug)]
pub struct Members {
    own: InstanceName,
    peers: BTreeMap<InstanceName, Member>,
}

impl Members {
    /// Creates an empty list for the instance `own`.
    pub fn new(own: InstanceName) -> Members {
        Members { own, peers: BTreeMap::new() }
    }

    /// Takes the announcement of a peer. An instance that started again replaces its former run.
    pub fn announce(&mut self, record: MemberRecord, now: Instant) {
        if record.instance == self.own {
            return;
        }
        match self.peers.get_mut(&record.instance) {
            Some(member) if member.record == record => {}
            known => {
                let member = Member {
                    record,
                    heard_at: None,
                    known_at: now,
                    leaving: false,
                    ready: false,
                    steady: false,
                    store_answered_ms: 0,
                    silent_ms: 0,
                };
                match known {
                    Some(known) => *known = member,
                    None => {
                        self.peers.insert(member.record.instance.clone(), member);
                    }
                }
            }
        }
    }

    /// Forgets a peer whose announcement was removed, unless it is heard.
    pub fn remove(&mut self, instance: &InstanceName, now: Instant) {
        if self.peers.get(instance).is_some_and(|member| !member.is_live(now) || member.leaving) {
            self.peers.remove(instance);
        }
    }

    /// Records that a peer was heard. Returns whether it was silent before.
    pub fn heard(&mut self, record: MemberRecord, state: PeerState, now: Instant) -> bool {
        let name = record.instance.clone();
        self.announce(record, now);
        let Some(member) = self.peers.get_mut(&name) else { return false };
        let was_live = member.is_live(now);
        member.heard_at = Some(now);
        member.leaving = state.leaving;
        member.ready = state.ready;
        member.steady = state.steady;
        member.store_answered_ms = state.store_answered_ms;
        member.silent_ms = LOST_HEARTBEATS * state.pause_ms.min(MAX_PAUSE_MS) + LATE_MS;
        !was_live
    }

    /// Returns all peers.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values()
    }

    /// Returns the peers that callers may be sent to.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.peers.values().filter(move |m| m.is_live(now) && m.ready && !m.leaving)
    }

    /// Returns the longest time for which the store has answered a live peer.
    pub fn store_answered_ms(&self, now: Instant) -> u64 {
        let live = self.peers.values().filter(|m| m.is_live(now));
        live.map(|m| m.store_answered_ms).max().unwrap_or(0)
    }

    /// Returns the instance of a region that reads the store for all. `own_steady` tells whether
    /// the store answers this instance.
    pub fn reader_of(
        &self,
        region: &RegionName,
        regions: &BTreeMap<FailureDomainName, RegionName>,
        own_steady: bool,
        now: Instant,
    ) -> InstanceName {
        let near = |m: &&Member| regions.get(&m.record.failure_domain) == Some(region);
        let peers = self.usable(now).filter(near).filter(|m| m.steady);
        let peers = peers.map(|m| &m.record.instance);
        // An instance that the store turns away reads only if there is no other.
        let own = Some(&self.own).filter(|_| own_steady);
        peers.chain(own).min().unwrap_or(&self.own).clone()
    }

    /// Returns the address of the peer to follow, one that the store answers: the reader of the
    /// region first, or, with `prefers_far`, one of another region, as the others of the region may
    /// follow the same reader.
    pub fn feeding_peer(
        &self,
        region: &RegionName,
        regions: &BTreeMap<FailureDomainName, RegionName>,
        failed: &[SocketAddr],
        prefers_far: bool,
        now: Instant,
    ) -> Option<SocketAddr> {
        let is_far = |m: &Member| regions.get(&m.record.failure_domain) != Some(region);
        self.usable(now)
            .filter(|m| m.steady && !failed.contains(&m.record.peer_address))
            .min_by_key(|m| (is_far(m) != prefers_far, &m.record.instance))
            .map(|m| m.record.peer_address)
    }

    /// Returns the number of live instances, this one included.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.peers.values().filter(|m| m.is_live(now)).count()
    }

    /// Returns the live instances of a region, this one included, in the order of their names.
    pub fn live_in(
        &self,
        region: &RegionName,
        regions: &BTreeMap<FailureDomainName, RegionName>,
        now: Instant,
    ) -> Vec<InstanceName> {
        let near = |m: &&Member| regions.get(&m.record.failure_domain) == Some(region);
        let mut names: Vec<_> = self
            .peers
            .values()
            .filter(|m| m.is_live(now) && !m.leaving)
            .filter(near)
            .map(|m| m.record.instance.clone())
            .collect();
        names.push(self.own.clone());
        names.sort_unstable();
        names
    }
}
