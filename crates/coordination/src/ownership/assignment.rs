//! The owner of every backend server in one consistent view.

use std::collections::BTreeMap;

use pollenshed_state::{
    config::Config,
    ids::{BackendServerName, FailureDomainName, Incarnation, InstanceName},
    time::Instant,
};

use super::rendezvous::score;
use crate::membership::Membership;

/// An entry that can own backend servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LiveEntry {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Run of the instance that a dispatch must name.
    pub incarnation: Incarnation,
    /// Failure domain that the instance is in.
    pub failure_domain: FailureDomainName,
}

/// Returns the members that can own backend servers, in the order of their names.
pub fn live_entries(membership: &Membership, now: Instant) -> Vec<LiveEntry> {
    let live = membership.members(now).filter(|(_, state)| state.is_live());
    let mut entries: Vec<_> = live
        .map(|(record, _)| LiveEntry {
            instance: record.instance.clone(),
            incarnation: record.incarnation,
            failure_domain: record.failure_domain.clone(),
        })
        .collect();
    entries.sort_unstable();
    entries
}

/// Returns the failure domains that may own servers of `domain`: itself, then the others of its
/// region in the order of the configuration, starting after it.
pub fn failover_order<'a>(
    config: &'a Config,
    domain: &'a FailureDomainName,
) -> Vec<&'a FailureDomainName> {
    for region in &config.regions {
        if let Some(start) = region.failure_domains.iter().position(|d| d == domain) {
            let (before, from) = region.failure_domains.split_at(start);
            return from.iter().chain(before).collect();
        }
    }
    vec![domain]
}

/// Owner of each backend server. A server without an owner is not in it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    owners: BTreeMap<BackendServerName, LiveEntry>,
}

impl Assignment {
    /// Computes the owners of all backend servers of `config`.
    pub fn compute(config: &Config, entries: &[LiveEntry]) -> Assignment {
        let mut by_domain: BTreeMap<&FailureDomainName, Vec<&LiveEntry>> = BTreeMap::new();
        for entry in entries {
            by_domain.entry(&entry.failure_domain).or_default().push(entry);
        }
        let mut candidates: BTreeMap<&FailureDomainName, Vec<&LiveEntry>> = BTreeMap::new();
        let mut owners = BTreeMap::new();
        for server in config.services.iter().flat_map(|s| &s.backend_servers) {
            let entries = candidates.entry(&server.failure_domain).or_insert_with(|| {
                let order = failover_order(config, &server.failure_domain);
                order.into_iter().find_map(|d| by_domain.get(d)).cloned().unwrap_or_default()
            });
            let owner = entries.iter().max_by_key(|e| (score(&server.name, &e.instance), *e));
            if let Some(owner) = owner {
                owners.insert(server.name.clone(), (*owner).clone());
            }
        }
        Assignment { owners }
    }

    /// Returns the owner of `server`.
    pub fn owner(&self, server: &BackendServerName) -> Option<&LiveEntry> {
        self.owners.get(server)
    }

    /// Returns all servers with their owners.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendServerName, &LiveEntry)> {
        self.owners.iter()
    }
}
