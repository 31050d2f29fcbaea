//! Records, states and parameters of members.

use std::net::SocketAddr;

use pollenshed_state::{
    ids::{ConfigVersion, FailureDomainName, Incarnation, InstanceName},
    settings::Timing,
};
use serde::{Deserialize, Serialize};

use super::hash::stable_hash;

/// What an instance states about itself. Other instances pass it on unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the instance, which stays the same over restarts.
    pub instance: InstanceName,
    /// Failure domain of the instance, which decides who keeps its record.
    pub failure_domain: FailureDomainName,
    /// Random number of this run of the instance's process.
    pub incarnation: Incarnation,
    /// Orders the incarnations of one instance: the one with the highest generation is current.
    pub generation: u64,
    /// Heartbeat counter, which the instance raises by 1 in each gossip period.
    pub counter: u64,
    /// Whether the instance is stopping. It is never reset within an incarnation.
    pub leaving: bool,
    /// Address at which other instances connect for control messages.
    pub peer_address: SocketAddr,
    /// Address at which other instances connect to relay requests.
    pub relay_address: SocketAddr,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Version of the configuration that the instance applies.
    pub config_version: ConfigVersion,
    /// Time on the instance's own monotonic clock when it last raised the counter.
    pub stamp_ms: u64,
}

impl MemberRecord {
    /// Returns the key that identifies this incarnation in a [`Heartbeat`].
    pub fn key(&self) -> u64 {
        let incarnation = self.incarnation.0.to_le_bytes();
        stable_hash(&[self.instance.as_str().as_bytes(), &incarnation])
    }
}

/// Counter of a member, for receivers that have its record. It is much smaller than the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// [`MemberRecord::key`] of the member.
    pub key: u64,
    /// Heartbeat counter of the member.
    pub counter: u64,
    /// Time on the member's own clock when it last raised the counter.
    pub stamp_ms: u64,
}

/// An instance on the platform's list. It may be gone, or the list may be wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Instance name on the list.
    pub instance: InstanceName,
    /// Address at which other instances would connect for control messages.
    pub peer_address: SocketAddr,
}

/// State of a member in this instance's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Its counter advanced less than `suspect_after_ms` ago.
    Alive,
    /// Its counter has not advanced for `suspect_after_ms`.
    Suspect,
    /// It is running and has announced that it stops.
    Leaving,
    /// It is known only from other members' messages, and its counter was not seen to advance, so
    /// the information may be stale.
    Unconfirmed,
    /// Its counter has not advanced for `dead_after_ms`.
    Dead,
}

impl MemberState {
    /// Returns whether the member can own backend servers: it is running and not stopping.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns whether the member is expected to answer peers, which it also does while stopping.
    pub fn is_running(self) -> bool {
        self.is_live() || self == MemberState::Leaving
    }
}

/// Timeouts and limits of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Params {
    /// Time without an advance of its counter after which a member is suspect.
    pub suspect_after_ms: u64,
    /// Time without an advance of its counter after which a member is dead.
    pub dead_after_ms: u64,
    /// Longest gap between two own ticks that counts as silence of others. Time beyond it is a
    /// pause of this process.
    pub pause_after_ms: u64,
    /// Time for which a dead member is remembered, so that stale gossip about it is recognized.
    pub tombstone_ms: u64,
    /// Number of members kept of each other failure domain.
    pub representatives_per_domain: usize,
    /// Number of peers that are contacted in one gossip period.
    pub peers_per_period: usize,
    /// Maximum number of keyed counters in an answer to a peer whose buckets differ.
    pub max_heartbeats: usize,
    /// Maximum number of full records in an answer to a peer whose buckets differ.
    pub max_records: usize,
}

impl Params {
    /// Takes the timeouts from the settings and uses fixed limits.
    ///
    /// A dead member is remembered for the lifetime of a binding, because a ticket can name the
    /// dead incarnation for that long. With four representatives, a failure domain stays reachable
    /// when a rack fails, and all members of today's failure domains are visible.
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
