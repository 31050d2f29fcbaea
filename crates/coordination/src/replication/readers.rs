//! Chooses the instances of a failure domain that poll the platform.
//!
//! Two readers are chosen by rendezvous hash among the live members of the failure domain. All
//! members agree on them without a message, and the next in order replaces a dead reader. In
//! addition, every other member polls in each period with a probability that yields one such poll
//! per failure domain and period on average. If the chosen readers are running but cut off from the
//! platform, a change still arrives through these random polls, without a failure detector for the
//! link to the platform.

use pollenshed_state::{ids::InstanceName, time::Instant};

use crate::membership::{Membership, hash::stable_hash};

/// Number of readers that are chosen by rendezvous hash in each failure domain.
pub const READERS_PER_DOMAIN: usize = 2;

/// Longest mean delay between polls while the platform fails, in poll periods. Once the platform is
/// back, the readers of 40 failure domains see a change within half of the 20 s that it may take.
const MAX_BACKOFF_PERIODS: u64 = 8;

/// Whether and why an instance polls the platform in one period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollPlan {
    /// It is a chosen reader and polls.
    Reader,
    /// It was selected at random for this period and polls.
    Drawn,
    /// It polls because it knows no running peer from which it could get a configuration.
    Alone,
    /// It does not poll in this period.
    Skip,
}

impl PollPlan {
    /// Returns whether the instance polls the platform in this period.
    pub fn polls(self) -> bool {
        self != PollPlan::Skip
    }
}

/// Decides whether this instance polls in this period. The caller passes a new `random` number in
/// each period.
pub fn poll_plan(membership: &Membership, now: Instant, random: u64) -> PollPlan {
    let own = membership.own();
    let mut has_running_peer = false;
    let mut domain: Vec<&InstanceName> = Vec::new();
    for (record, state) in membership.members(now) {
        let is_own = record.instance == own.instance;
        // A stopping instance gives up its place as a reader before it ends.
        if record.failure_domain == own.failure_domain && state.is_live() {
            domain.push(&record.instance);
        }
        has_running_peer |= !is_own && state.is_running();
    }
    if !has_running_peer {
        return PollPlan::Alone;
    }
    domain.sort_unstable_by_key(|name| (std::cmp::Reverse(score(name)), *name));
    match domain.iter().position(|name| **name == own.instance) {
        Some(rank) if rank < READERS_PER_DOMAIN => PollPlan::Reader,
        Some(_) if random.is_multiple_of((domain.len() - READERS_PER_DOMAIN) as u64) => {
            PollPlan::Drawn
        }
        _ => PollPlan::Skip,
    }
}

fn score(instance: &InstanceName) -> u64 {
    stable_hash(&[b"reader", instance.as_str().as_bytes()])
}

/// Returns the delay until the next poll, in milliseconds.
///
/// The mean doubles with each consecutive failure up to a limit. The delay is spread at random over
/// half of the mean on either side, so that readers do not poll in step after an outage.
pub fn poll_delay_ms(period_ms: u64, failures: u32, random: u64) -> u64 {
    let factor = 1u64.checked_shl(failures).unwrap_or(u64::MAX).min(MAX_BACKOFF_PERIODS);
    let mean_ms = period_ms.saturating_mul(factor);
    mean_ms / 2 + random % mean_ms.max(1)
}
