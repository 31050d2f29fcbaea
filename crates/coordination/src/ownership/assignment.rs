//! Computes the owner of each backend server from the configuration and the live entries.

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
    /// Instance name; its hash with the server's name decides ownership.
    pub instance: InstanceName,
    /// Incarnation that a dispatch to this entry must name.
    pub incarnation: Incarnation,
    /// Failure domain of the instance, which decides the servers that it can own.
    pub failure_domain: FailureDomainName,
}

/// Returns the members that can own backend servers, sorted by name.
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

/// Returns the failure domains whose entries may own the servers of `domain`, most preferred first.
///
/// `domain` itself comes first. The others of its region follow in the order of the configuration,
/// starting after `domain` and wrapping around.
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

/// Owner of each backend server. Servers that no live entry can own are absent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    owners: BTreeMap<BackendServerName, LiveEntry>,
}

impl Assignment {
    /// Assigns each backend server of `config` to one of `entries` by rendezvous hash.
    ///
    /// The candidates are the entries of the first failure domain in [`failover_order`] that has
    /// any. The order of `entries` does not matter.
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

    /// Returns the owner of `server`, or `None` if no live entry can own it.
    pub fn owner(&self, server: &BackendServerName) -> Option<&LiveEntry> {
        self.owners.get(server)
    }

    /// Returns all owned servers with their owners, sorted by server name.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendServerName, &LiveEntry)> {
        self.owners.iter()
    }
}
