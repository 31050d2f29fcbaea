//! Chooses the heirs of a stopping entry: the entries that take over its ticket outcomes.

use std::cmp::Reverse;

use pollenshed_state::ids::{FailureDomainName, InstanceName};

use super::assignment::LiveEntry;
use crate::membership::hash::stable_hash;

/// Ranks the entries that take over the ticket outcomes of `instance`, the preferred one first.
///
/// Entries of its failure domain `domain` come first, and a hash of the names decides among equals.
/// Instances with the same view compute the same order without a message, so a resent request finds
/// the outcome.
pub fn rank_heirs(
    instance: &InstanceName,
    domain: Option<&FailureDomainName>,
    entries: &[LiveEntry],
) -> Vec<InstanceName> {
    let mut heirs: Vec<_> = entries.iter().filter(|e| e.instance != *instance).collect();
    heirs.sort_by_key(|e| {
        let is_other_domain = Some(&e.failure_domain) != domain;
        let score = stable_hash(&[instance.as_str().as_bytes(), e.instance.as_str().as_bytes()]);
        (is_other_domain, Reverse(score))
    });
    heirs.into_iter().map(|e| e.instance.clone()).collect()
}
