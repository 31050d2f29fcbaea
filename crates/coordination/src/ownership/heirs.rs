//! Heirs of a stopping entry.

use std::cmp::Reverse;

use pollenshed_state::ids::{FailureDomainName, InstanceName};

use super::assignment::LiveEntry;
use crate::membership::hash::stable_hash;

/// Orders the entries that take over the ticket outcomes of `instance`, the best first.
///
/// Entries of its own failure domain come first. Instances with the same view agree without a
/// message, so a resend finds the outcome.
pub fn rank_heirs(
    instance: &InstanceName,
    domain: Option<&FailureDomainName>,
    entries: &[LiveEntry],
) -> Vec<InstanceName> {
    let mut heirs: Vec<_> = entries.iter().filter(|e| e.instance != *instance).collect();
    heirs.sort_by_key(|e| {
        let is_far = Some(&e.failure_domain) != domain;
        let score = stable_hash(&[instance.as_str().as_bytes(), e.instance.as_str().as_bytes()]);
        (is_far, Reverse(score))
    });
    heirs.into_iter().map(|e| e.instance.clone()).collect()
}
