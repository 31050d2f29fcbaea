//! Entries that share an owner's headroom.

use std::collections::BTreeMap;

use pollenshed_state::{ids::FailureDomainName, time::Instant};

use crate::ownership::LiveEntry;

/// Time after its last request for which a failure domain counts as a sender.
const SENDER_MS: u64 = 4_000;

/// Failure domains that sent requests of one service to an owner in another one.
///
/// Most entries send nothing to other failure domains, and a part of the headroom for each of them
/// would be of no use to the few that have lost their own. So only the entries of failure domains
/// that send share it, with one part more for the next one to begin with. When several begin at once
/// they believe in more than there is until the next advertisement; [`super::InboundLimiter`] refuses what is
/// too much.
#[derive(Debug, Clone, Default)]
pub struct SendingDomains {
    last: BTreeMap<FailureDomainName, Instant>,
}

impl SendingDomains {
    /// Records a request from a failure domain.
    pub fn record(&mut self, domain: &FailureDomainName, now: Instant) {
        match self.last.get_mut(domain) {
            Some(last) => *last = now,
            None => {
                self.last.insert(domain.clone(), now);
            }
        }
    }

    /// Returns the number of equal parts of the headroom, given the live entries.
    pub fn parts(&mut self, entries: &[LiveEntry], now: Instant) -> u64 {
        self.last.retain(|_, last| now.since_ms(*last) < SENDER_MS);
        let sending = entries.iter().filter(|e| self.last.contains_key(&e.failure_domain)).count();
        let parts = if sending == 0 { entries.len() } else { (sending + 1).min(entries.len()) };
        parts.max(1) as u64
    }
}
