//! Chooses the instances of a failure domain that poll the platform.
//!
//! Two readers are chosen by rendezvous hash over the running members of the failure domain, so all
//! members agree without a message and the next in order takes over from a dead one. The third one is
//! drawn by lot: in each period every other member polls with a probability that makes one poll per
//! failure domain and period. If the chosen readers run but are cut off from the platform, a change
//! still arrives through the third, without a failure detector for the link to the platform.

use pollenshed_state::{ids::InstanceName, time::Instant};

use crate::membership::{Membership, hash::stable_hash};

/// Readers chosen by rendezvous hash in each failure domain.
pub const READERS_PER_DOMAIN: usize = 2;

/// Longest gap between polls while the platform fails, in poll periods. Readers of 40 failure
/// domains that come back then see a change within half of the 20 s that it may take.
const MAX_BACKOFF_PERIODS: u64 = 8;

/// How an instance polls the platform in this period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollPlan {
    /// It is a chosen reader and polls.
    Reader,
    /// It was drawn for this period and polls.
    Drawn,
    /// It knows no running peer and no configuration can reach it otherwise, so it polls.
    Alone,
    /// It does not poll in this period.
    Skip,
}

impl PollPlan {
    /// Returns whether the platform is polled in this period.
    pub fn polls(self) -> bool {
        self != PollPlan::Skip
    }
}

/// Decides whether this instance polls in this period. `random` is drawn for each period.
pub fn poll_plan(membership: &Membership, now: Instant, random: u64) -> PollPlan {
    let own = membership.own();
    let mut running_elsewhere = false;
    let mut domain: Vec<&InstanceName> = Vec::new();
    for (record, state) in membership.members(now) {
        let is_own = record.instance == own.instance;
        // A stopping instance hands its place over before it ends.
        if record.failure_domain == own.failure_domain && state.is_live() {
            domain.push(&record.instance);
        }
        running_elsewhere |= !is_own && state.is_running();
    }
    if !running_elsewhere {
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

/// Returns the time until the next poll, in milliseconds.
///
/// It doubles with each failure in a row up to a bound and is spread over half of its length on
/// either side, so that readers do not poll in step after an outage.
pub fn poll_delay_ms(period_ms: u64, failures: u32, random: u64) -> u64 {
    let factor = 1u64.checked_shl(failures).unwrap_or(u64::MAX).min(MAX_BACKOFF_PERIODS);
    let gap_ms = period_ms.saturating_mul(factor);
    gap_ms / 2 + random % gap_ms.max(1)
}
