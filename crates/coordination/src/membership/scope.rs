//! Selects the members of other failure domains that a table keeps, so that tables stay small.
//!
//! Every instance selects the same members of a failure domain, because the preference depends only
//! on their names. The selected members, the representatives, exchange gossip between failure
//! domains.

use pollenshed_state::ids::{FailureDomainName, InstanceName};

use super::{hash::stable_hash, record::MemberRecord};

/// Returns the preference for an instance as a representative. Those with the highest values are
/// selected.
pub(super) fn preference(instance: &InstanceName) -> u64 {
    stable_hash(&[b"representative", instance.as_str().as_bytes()])
}

/// Returns up to `count` representatives among the members of one failure domain.
pub fn representatives<'a>(
    members: impl Iterator<Item = &'a InstanceName>,
    count: usize,
) -> Vec<&'a InstanceName> {
    let mut ranked: Vec<_> = members.map(|m| (preference(m), m)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, m)| m).collect()
}

/// Returns whether an instance of `own_domain` keeps `record` in its table.
///
/// `others` are the running members of the record's failure domain that the table already has.
pub fn is_in_scope<'a>(
    record: &MemberRecord,
    own_domain: &FailureDomainName,
    others: impl Iterator<Item = &'a InstanceName>,
    representatives_per_domain: usize,
) -> bool {
    if record.failure_domain == *own_domain {
        return true;
    }
    let own = (preference(&record.instance), &record.instance);
    let preferred = others.filter(|o| (preference(o), *o) > own).count();
    preferred < representatives_per_domain
}
