//! What is known and sent about one member.

use std::net::SocketAddr;

use pollenshed_state::{
    ids::{ConfigVersion, FailureDomainName, Incarnation, InstanceName},
    settings::Timing,
};
use serde::{Deserialize, Serialize};

use super::hash::stable_hash;

/// What an instance says about itself and others pass on unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain that the instance is in.
    pub failure_domain: FailureDomainName,
    /// Random number of this run of the instance.
    pub incarnation: Incarnation,
    /// Orders the incarnations of one instance; the highest is current.
    pub generation: u64,
    /// Raised by the instance itself in each gossip period.
    pub counter: u64,
    /// Whether the instance is stopping; never taken back within an incarnation.
    pub leaving: bool,
    /// Where other instances connect for control messages.
    pub peer_address: SocketAddr,
    /// Where other instances connect to hand over requests.
    pub relay_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Configuration that the instance obeys.
    pub config_version: ConfigVersion,
    /// The instance's own monotonic clock when it raised the counter.
    pub stamp_ms: u64,
}

impl MemberRecord {
    /// Returns the key under which heartbeats of this incarnation are sent.
    pub fn key(&self) -> u64 {
        let incarnation = self.incarnation.0.to_le_bytes();
        stable_hash(&[self.instance.as_str().as_bytes(), &incarnation])
    }
}

/// The counter of a member whose record the receiver has, in the few bytes that each period needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// [`MemberRecord::key`] of the member.
    pub key: u64,
    /// The member's counter.
    pub counter: u64,
    /// The member's own clock when it raised the counter.
    pub stamp_ms: u64,
}

/// An instance on the platform's list; it may be gone, or the list may be wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Where other instances would reach it.
    pub peer_address: SocketAddr,
}

/// How this instance judges a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Its counter advanced lately.
    Alive,
    /// Its counter has not advanced for `suspect_after_ms`.
    Suspect,
    /// It runs and is stopping as planned.
    Leaving,
    /// Others told of it, but its counter was not seen to advance, so the news may be old.
    Unconfirmed,
    /// Its counter has not advanced for `dead_after_ms`.
    Dead,
}

impl MemberState {
    /// Returns whether the member counts as an owner: it is not stopping and not known to be dead.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns whether the member answers peers, stopping or not.
    pub fn is_running(self) -> bool {
        self.is_live() || self == MemberState::Leaving
    }
}

/// Timeouts and bounds of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Params {
    /// Silence after which a member is suspect.
    pub suspect_after_ms: u64,
    /// Silence after which a member is dead.
    pub dead_after_ms: u64,
    /// Gap between two own ticks beyond which the time is not counted as silence of others.
    pub pause_after_ms: u64,
    /// How long a dead member is remembered, so that stale gossip about it is recognized.
    pub tombstone_ms: u64,
    /// Members known of each other failure domain.
    pub representatives_per_domain: usize,
    /// Peers contacted in one period.
    pub peers_per_period: usize,
    /// Counters with keys in an answer to a peer with other buckets.
    pub max_heartbeats: usize,
    /// Whole records in an answer to a peer with other buckets.
    pub max_records: usize,
}

impl Params {
    /// Takes the timeouts from the settings and bounds the rest.
    ///
    /// A tombstone lives as long as a binding, because a ticket can name the dead incarnation for
    /// that long. Four representatives leave a failure domain reachable when a rack fails, and show
    /// all members of today's failure domains.
    pub fn new(timing: &Timing) -> Params {
        Params {
            suspect_after_ms: timing.suspect_after_ms,
            dead_after_ms: timing.dead_after_ms,
            pause_after_ms: timing.fence_after_ms,
            tombstone_ms: timing.binding_lifetime_ms,
            representatives_per_domain: 4,
            peers_per_period: 3,
            max_heartbeats: 64,
            max_records: 12,
        }
    }
}
