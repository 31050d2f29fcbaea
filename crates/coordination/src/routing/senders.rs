//! Failure domains whose entries share an owner's headroom.

use std::collections::BTreeMap;

use pollenshed_state::{ids::FailureDomainName, time::Instant};

use crate::ownership::LiveEntry;

/// Time after its last request for which a failure domain counts as sending.
const SENDING_TIMEOUT_MS: u64 = 4_000;

/// Failure domains that recently sent requests of one service to an owner in another one.
///
/// Most entries send nothing to other failure domains, so parts of the headroom reserved for them
/// would be lost to the few entries that have no usable backend servers at home. Only the entries
/// of sending failure domains share the headroom, with one additional part for the next failure
/// domain that begins to send. When several begin at once, their parts exceed the headroom until
/// the next advertisement; [`super::InboundLimiter`] refuses the excess.
#[derive(Debug, Clone, Default)]
pub struct SendingDomains {
    last_request_at: BTreeMap<FailureDomainName, Instant>,
}

impl SendingDomains {
    /// Records that a request from `domain` arrived at `now`.
    pub fn record(&mut self, domain: &FailureDomainName, now: Instant) {
        match self.last_request_at.get_mut(domain) {
            Some(last_request_at) => *last_request_at = now,
            None => {
                self.last_request_at.insert(domain.clone(), now);
            }
        }
    }

    /// Returns the number of equal parts into which the headroom is split. `entries` are the live
    /// entries of all failure domains.
    pub fn parts(&mut self, entries: &[LiveEntry], now: Instant) -> u64 {
        self.last_request_at
            .retain(|_, last_request_at| now.since_ms(*last_request_at) < SENDING_TIMEOUT_MS);
        let sending_entries =
            entries.iter().filter(|e| self.last_request_at.contains_key(&e.failure_domain)).count();
        let parts = if sending_entries == 0 {
            entries.len()
        } else {
            (sending_entries + 1).min(entries.len())
        };
        parts.max(1) as u64
    }
}
