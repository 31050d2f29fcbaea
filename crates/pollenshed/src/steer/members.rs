//! Membership: the addresses of the other instances, and which of them are live.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use pollenshed_coordination::{membership::BeatRelay, steering};
use pollenshed_state::{
    ids::{FailureDomainName, Incarnation, InstanceName, RegionName},
    time::Instant,
};
use serde::{Deserialize, Serialize};

/// Consecutive heartbeats that may be lost before an instance counts as silent.
const MAX_LOST_HEARTBEATS: u64 = 3;

/// Additional delay that a heartbeat may have. It allows for two transfers between regions.
const HEARTBEAT_DELAY_MS: u64 = 450;

/// Longest heartbeat interval that a peer may announce.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 2_000;

/// Silence after which an instance of a large region is not used. Its heartbeats reach most others
/// by way of peers, which takes a few rounds.
const MAX_RELAYED_SILENCE_MS: u64 = 4_000;

/// Maximum number of heartbeats of other instances in a datagram.
const MAX_RELAYED_BEATS: usize = 150;

/// Addresses of an instance, as registered in the store and sent to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberRecord {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Run of the instance. A restart changes it.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomainName,
    /// Address for the requests of callers.
    pub callers_address: SocketAddr,
    /// Address for heartbeats and calls of peers.
    pub peer_address: SocketAddr,
}

/// A peer and its last reported state.
#[derive(Debug, Clone)]
pub struct Member {
    /// Addresses of the peer.
    pub record: MemberRecord,
    /// Time of the last heartbeat.
    pub last_heartbeat_at: Option<Instant>,
    /// When the record became known.
    pub known_at: Instant,
    /// Whether the peer is in a planned stop.
    pub leaving: bool,
    /// Whether callers may use the peer.
    pub ready: bool,
    /// Whether the store answers the calls of the peer.
    pub store_healthy: bool,
    /// How long the store has answered the peer without interruption.
    pub store_answered_ms: u64,
    /// Silence after which callers are no longer sent to the peer.
    pub max_silence_ms: u64,
    /// Number of the latest heartbeat in the run of the peer.
    pub beat: u64,
}

impl Member {
    /// Returns whether a heartbeat arrived recently enough.
    pub fn is_live(&self, now: Instant) -> bool {
        self.last_heartbeat_at.is_some_and(|at| now.since_ms(at) < self.max_silence_ms)
    }
}

/// News of a peer that an instance passes on to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedBeat {
    /// Key of the peer's process, see [`process_key`].
    pub key: u32,
    /// Number of its heartbeat.
    pub beat: u64,
    /// Whether callers may use the peer.
    pub ready: bool,
    /// Whether the peer is in a planned stop.
    pub leaving: bool,
    /// Whether the store answers the calls of the peer.
    pub store_healthy: bool,
    /// How long the store has answered the peer without interruption.
    pub store_answered_ms: u64,
}

/// Returns the key of a process in relayed heartbeats, the same in all instances. A restart changes
/// it.
fn process_key(record: &MemberRecord) -> u32 {
    (steering::assigner_rank(record.incarnation.0, &record.instance) >> 32) as u32
}

/// State that a peer reports in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// Whether the peer is in a planned stop.
    pub leaving: bool,
    /// Whether callers may use the peer.
    pub ready: bool,
    /// Whether the store answers the calls of the peer.
    pub store_healthy: bool,
    /// How long the store has answered the peer without interruption.
    pub store_answered_ms: u64,
    /// Time until the next heartbeat.
    pub heartbeat_interval_ms: u64,
    /// Number of this heartbeat in the run of the peer.
    pub beat: u64,
}

/// All known peers.
#[derive(Debug)]
pub struct Members {
    own: InstanceName,
    peers: BTreeMap<InstanceName, Member>,
    by_key: HashMap<u32, InstanceName>,
    relay: BeatRelay,
}

impl Members {
    /// Creates an empty list for the instance `own`.
    pub fn new(own: InstanceName) -> Members {
        Members { own, peers: BTreeMap::new(), by_key: HashMap::new(), relay: BeatRelay::default() }
    }

    /// Adds or updates the record of a peer. A new run of an instance replaces the earlier one.
    pub fn record_announcement(&mut self, record: MemberRecord, now: Instant) {
        if record.instance == self.own {
            return;
        }
        match self.peers.get_mut(&record.instance) {
            Some(member) if member.record == record => {}
            known => {
                let member = Member {
                    record,
                    last_heartbeat_at: None,
                    known_at: now,
                    leaving: false,
                    ready: false,
                    store_healthy: false,
                    store_answered_ms: 0,
                    max_silence_ms: 0,
                    beat: 0,
                };
                self.by_key.insert(process_key(&member.record), member.record.instance.clone());
                match known {
                    Some(known) => {
                        let former = process_key(&known.record);
                        self.by_key.remove(&former);
                        self.relay.forget(former);
                        *known = member;
                    }
                    None => {
                        self.peers.insert(member.record.instance.clone(), member);
                    }
                }
            }
        }
    }

    /// Removes a peer whose row was removed from the store, unless it still sends heartbeats and is
    /// not in a planned stop.
    pub fn remove(&mut self, instance: &InstanceName, now: Instant) {
        let is_gone = |member: &Member| !member.is_live(now) || member.leaving;
        if let Some(member) = self.peers.get(instance).filter(|member| is_gone(member)) {
            let key = process_key(&member.record);
            self.by_key.remove(&key);
            self.relay.forget(key);
            self.peers.remove(instance);
        }
    }

    /// Returns whether a heartbeat was sent before the latest known one of the same run. The network
    /// may deliver it later.
    pub fn is_late(&self, record: &MemberRecord, beat: u64) -> bool {
        let known = self.peers.get(&record.instance).filter(|member| member.record == *record);
        known.is_some_and(|member| beat < member.beat)
    }

    /// Records a heartbeat, unless it is late. Returns whether the peer was silent before.
    pub fn record_heartbeat(
        &mut self,
        record: MemberRecord,
        state: PeerState,
        now: Instant,
    ) -> bool {
        if self.is_late(&record, state.beat) {
            return false;
        }
        let name = record.instance.clone();
        self.record_announcement(record, now);
        let Some(member) = self.peers.get_mut(&name) else { return false };
        let was_live = member.is_live(now);
        member.last_heartbeat_at = Some(now);
        self.relay.record(process_key(&member.record), state.beat, now);
        member.beat = state.beat;
        // A run takes no planned stop back, and several heartbeats have the same number.
        member.leaving |= state.leaving;
        member.ready = state.ready;
        member.store_healthy = state.store_healthy;
        member.store_answered_ms = state.store_answered_ms;
        member.max_silence_ms = MAX_LOST_HEARTBEATS
            * state.heartbeat_interval_ms.min(MAX_HEARTBEAT_INTERVAL_MS)
            + HEARTBEAT_DELAY_MS;
        !was_live
    }

    /// Records heartbeats that a peer passes on. Those of unknown processes, and those that are
    /// known already, are ignored.
    pub fn record_relayed(&mut self, beats: impl IntoIterator<Item = RelayedBeat>, now: Instant) {
        for relayed in beats {
            let Some(member) =
                self.by_key.get(&relayed.key).and_then(|name| self.peers.get_mut(name))
            else {
                continue;
            };
            if !self.relay.record(relayed.key, relayed.beat, now) {
                continue;
            }
            member.last_heartbeat_at = Some(now);
            member.beat = member.beat.max(relayed.beat);
            member.leaving |= relayed.leaving;
            member.ready = relayed.ready;
            member.store_healthy = relayed.store_healthy;
            member.store_answered_ms = relayed.store_answered_ms;
            member.max_silence_ms = MAX_RELAYED_SILENCE_MS;
        }
    }

    /// Returns the heartbeats of other instances to pass on in this round.
    pub fn beats_to_relay(&mut self, now: Instant) -> Vec<RelayedBeat> {
        let beats = self.relay.next_round(MAX_RELAYED_BEATS, now).into_iter();
        let relayed = beats.filter_map(|(key, beat)| {
            let member = self.peers.get(self.by_key.get(&key)?)?;
            Some(RelayedBeat {
                key,
                beat,
                ready: member.ready,
                leaving: member.leaving,
                store_healthy: member.store_healthy,
                store_answered_ms: member.store_answered_ms,
            })
        });
        relayed.collect()
    }

    /// Returns whether heartbeats of an instance arrive.
    pub fn is_live(&self, instance: &InstanceName, now: Instant) -> bool {
        self.peers.get(instance).is_some_and(|member| member.is_live(now))
    }

    /// Returns all peers, including silent ones.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values()
    }

    /// Returns the peers that callers may use.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.peers.values().filter(move |m| m.is_live(now) && m.ready && !m.leaving)
    }

    /// Returns the longest time for which the store has answered a live peer without interruption.
    pub fn store_answered_ms(&self, now: Instant) -> u64 {
        let live = self.peers.values().filter(|m| m.is_live(now));
        live.map(|m| m.store_answered_ms).max().unwrap_or(0)
    }

    /// Returns the instance that reads the store for a region. `own_healthy` tells whether the
    /// store answers this instance.
    pub fn region_reader(
        &self,
        region: &RegionName,
        regions: &BTreeMap<FailureDomainName, RegionName>,
        own_healthy: bool,
        now: Instant,
    ) -> InstanceName {
        let is_local = |m: &&Member| regions.get(&m.record.failure_domain) == Some(region);
        let peers = self.usable(now).filter(is_local).filter(|m| m.store_healthy);
        let peers = peers.map(|m| &m.record.instance);
        // An instance that the store rejects is the reader only if there is no other.
        let own = Some(&self.own).filter(|_| own_healthy);
        peers.chain(own).min().unwrap_or(&self.own).clone()
    }

    /// Returns the address of the peer to fetch changes from, one that the store answers. The
    /// reader of the region comes first. With `prefers_other_region`, a peer of another region
    /// does, because the other peers of the region may depend on the same reader.
    pub fn sync_source(
        &self,
        region: &RegionName,
        regions: &BTreeMap<FailureDomainName, RegionName>,
        failed: &[SocketAddr],
        prefers_other_region: bool,
        now: Instant,
    ) -> Option<SocketAddr> {
        let is_remote = |m: &Member| regions.get(&m.record.failure_domain) != Some(region);
        self.usable(now)
            .filter(|m| m.store_healthy && !failed.contains(&m.record.peer_address))
            .min_by_key(|m| (is_remote(m) != prefers_other_region, &m.record.instance))
            .map(|m| m.record.peer_address)
    }

    /// Returns the address of a peer that has the tables: one of the nearest, picked by `pick` from
    /// their number. An instance that starts takes them from its own failure domain if it can, and
    /// instances that start together take them from different ones.
    pub fn snapshot_source(
        &self,
        domain: &FailureDomainName,
        regions: &BTreeMap<FailureDomainName, RegionName>,
        failed: &[SocketAddr],
        now: Instant,
        pick: impl FnOnce(usize) -> usize,
    ) -> Option<SocketAddr> {
        let distance = |m: &Member| {
            let peer_domain = &m.record.failure_domain;
            (regions.get(peer_domain) != regions.get(domain), peer_domain != domain)
        };
        let usable = || self.usable(now).filter(|m| !failed.contains(&m.record.peer_address));
        let nearest = usable().map(distance).min()?;
        let near: Vec<_> = usable().filter(|m| distance(m) == nearest).collect();
        Some(near[pick(near.len())].record.peer_address)
    }

    /// Returns the number of live instances, including this one.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.peers.values().filter(|m| m.is_live(now)).count()
    }

    /// Returns the number of instances that are known, live or not, including this one.
    pub fn known_count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Returns the live instances of a region, including this one, sorted by name.
    pub fn live_in_region(
        &self,
        region: &RegionName,
        regions: &BTreeMap<FailureDomainName, RegionName>,
        now: Instant,
    ) -> Vec<InstanceName> {
        let is_local = |m: &&Member| regions.get(&m.record.failure_domain) == Some(region);
        let mut names: Vec<_> = self
            .peers
            .values()
            .filter(|m| m.is_live(now) && !m.leaving)
            .filter(is_local)
            .map(|m| m.record.instance.clone())
            .collect();
        names.push(self.own.clone());
        names.sort_unstable();
        names
    }
}
