//! All backend servers that an instance knows, and the requests that its peers run on them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pollenshed_state::{
    ids::{BackendServerName, FailureDomainName, InstanceName, RegionName, ServiceName},
    routes::ServerRecord,
    time::Instant,
};

use super::{
    assignments::Assignments, homes::Homes, object_load::ObjectLoads, rank::WideningBudget,
    rate_limit::PeerReports, room::Rooms, run_time::RunTimes, server::Server,
    statements::FormerStatements,
};
use crate::membership::hash::stable_hash;

/// Time after which the request counts of a peer expire unless the peer sends new ones.
const PEER_COUNTS_TTL_MS: u64 = 1_500;

/// One-way delay within the failure domain that is assumed until one was measured.
const SAME_DOMAIN_LINK_MS: f64 = 0.2;

/// One-way delay to another failure domain of the region that is assumed until one was measured.
const SAME_REGION_LINK_MS: f64 = 2.0;

/// One-way delay to another region that is assumed until one was measured.
const OTHER_REGION_LINK_MS: f64 = 30.0;

/// Weight of a new measurement in the moving average of the delay of a link.
const LINK_WEIGHT: f64 = 0.2;

/// Identifies a backend server in messages between instances in four bytes: a hash of its name.
pub type ServerKey = u32;

/// Returns the key of a backend server, the same in all instances.
pub fn server_key(name: &BackendServerName) -> ServerKey {
    (stable_hash(&[b"server", name.as_str().as_bytes()]) >> 32) as u32
}

#[derive(Debug, Clone)]
struct PeerCounts {
    at: Instant,
    counts: Vec<(ServerKey, u32)>,
}

/// All backend servers that an instance knows, with what is needed to choose among them.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub(super) failure_domain: FailureDomainName,
    pub(super) regions: BTreeMap<FailureDomainName, RegionName>,
    pub(super) servers: BTreeMap<BackendServerName, Server>,
    pub(super) by_service: HashMap<ServiceName, Vec<BackendServerName>>,
    pub(super) evacuated: BTreeSet<FailureDomainName>,
    /// Run time estimates by route and service.
    pub run_times: RunTimes,
    /// Home of each object.
    pub homes: Homes,
    /// When this instance last moved an object away from a home that is busy or has too many
    /// objects.
    pub(super) moved_at: Option<Instant>,
    /// Number of live instances, each of which moves objects.
    pub(super) instance_count: usize,
    pub(super) object_loads: ObjectLoads,
    /// Requests that this instance assigned to servers, for itself and for other instances.
    pub(super) assignments: Assignments,
    /// When the requests of an object last got a further server, and which.
    pub(super) widened: HashMap<u64, (Instant, ServerKey)>,
    pub(super) widening_budget: WideningBudget,
    link_delays_ms: HashMap<FailureDomainName, f64>,
    pub(super) by_key: HashMap<ServerKey, BackendServerName>,
    peer_counts: HashMap<InstanceName, PeerCounts>,
    pub(super) peer_reports: HashMap<InstanceName, PeerReports>,
    pub(super) former_statements: FormerStatements,
    /// Tells the draws of this instance from those of others.
    pub(super) seed: u64,
    /// How short of room each service is.
    pub(super) rooms: Rooms,
}

impl Fleet {
    /// Creates a fleet without servers for an instance in `failure_domain`. `regions` gives the
    /// region of each failure domain.
    pub fn new(
        failure_domain: FailureDomainName,
        regions: BTreeMap<FailureDomainName, RegionName>,
    ) -> Fleet {
        Fleet {
            failure_domain,
            regions,
            servers: BTreeMap::new(),
            by_service: HashMap::new(),
            evacuated: BTreeSet::new(),
            run_times: RunTimes::default(),
            homes: Homes::default(),
            moved_at: None,
            instance_count: 1,
            object_loads: ObjectLoads::default(),
            assignments: Assignments::default(),
            widened: HashMap::new(),
            widening_budget: WideningBudget::default(),
            link_delays_ms: HashMap::new(),
            by_key: HashMap::new(),
            peer_counts: HashMap::new(),
            peer_reports: HashMap::new(),
            former_statements: FormerStatements::default(),
            seed: 0,
            rooms: Rooms::default(),
        }
    }

    /// Adds a server or applies a newer announcement of a known one. Returns whether the server was
    /// added: its name was unknown or belonged to another service. An announcement from an unknown
    /// failure domain is ignored.
    pub fn announce(&mut self, record: ServerRecord, now: Instant) -> bool {
        let Some(region) = self.regions.get(&record.failure_domain).cloned() else { return false };
        match self.servers.get_mut(&record.name) {
            Some(server) if server.record.service == record.service => {
                server.announce(record, now);
                false
            }
            _ => {
                self.remove(&record.name.clone(), now);
                let names = self.by_service.entry(record.service.clone()).or_default();
                names.push(record.name.clone());
                self.by_key.insert(server_key(&record.name), record.name.clone());
                let statements = self.former_statements.take(&record.name, now);
                let server = Server::new(record, region, statements, now);
                self.servers.insert(server.record.name.clone(), server);
                true
            }
        }
    }

    /// Removes a server that has left, and returns its last announcement.
    pub fn remove(&mut self, name: &BackendServerName, now: Instant) -> Option<ServerRecord> {
        let server = self.servers.remove(name)?;
        self.former_statements.keep(name.clone(), server.statements, now);
        self.by_key.remove(&server_key(name));
        if let Some(names) = self.by_service.get_mut(&server.record.service) {
            names.retain(|known| known != name);
        }
        Some(server.record)
    }

    /// Sets the evacuated failure domains, whose servers get no requests. Servers of a failure
    /// domain that is no longer evacuated may have restarted meanwhile, so they count as cold for
    /// `cold_start_ms`.
    pub fn set_evacuated(
        &mut self,
        evacuated: BTreeSet<FailureDomainName>,
        cold_start_ms: impl Fn(&ServiceName) -> u64,
        now: Instant,
    ) {
        for server in self.servers.values_mut() {
            let domain = &server.record.failure_domain;
            if self.evacuated.contains(domain) && !evacuated.contains(domain) {
                server.extend_cold_until(now.plus_ms(cold_start_ms(&server.record.service)));
                server.warm.clear();
            }
        }
        self.evacuated = evacuated;
    }

    /// Returns the evacuated failure domains, whose servers get no requests.
    pub fn evacuated(&self) -> &BTreeSet<FailureDomainName> {
        &self.evacuated
    }

    /// Sets the seed of the draws in which instances must differ from each other.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Sets the number of live instances, this one included.
    pub fn set_instance_count(&mut self, instance_count: usize) {
        self.instance_count = instance_count;
    }

    /// Returns a server by its key in messages.
    pub fn server_by_key(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(self.by_key.get(&key)?)
    }

    /// Returns a server by its key in messages.
    pub(super) fn server_by_key_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(self.by_key.get(&key)?)
    }

    /// Returns a server by its name.
    pub fn server(&self, name: &BackendServerName) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Returns all servers in the order of their names.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the number of requests that this instance has sent to each server and that have not
    /// ended. Servers without any are left out.
    pub fn own_counts(&self) -> Vec<(ServerKey, u32)> {
        let busy = self.servers.iter().filter(|(_, server)| server.own_requests > 0);
        busy.map(|(name, server)| (server_key(name), server.own_requests)).collect()
    }

    /// Replaces the request counts of a peer by newer ones.
    pub fn set_peer_counts(
        &mut self,
        peer: &InstanceName,
        counts: Vec<(ServerKey, u32)>,
        now: Instant,
    ) {
        let old =
            self.peer_counts.insert(peer.clone(), PeerCounts { at: now, counts: counts.clone() });
        self.add_counts(&old.map(|old| old.counts).unwrap_or_default(), false);
        self.add_counts(&counts, true);
    }

    /// Drops the request counts of peers that sent none recently.
    pub fn expire_peer_counts(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .peer_counts
            .iter()
            .filter(|(_, counts)| now.since_ms(counts.at) >= PEER_COUNTS_TTL_MS)
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in expired {
            if let Some(old) = self.peer_counts.remove(&peer) {
                self.add_counts(&old.counts, false);
            }
        }
    }

    fn add_counts(&mut self, counts: &[(ServerKey, u32)], add: bool) {
        for (key, count) in counts {
            let Some(server) = self.by_key.get(key).and_then(|name| self.servers.get_mut(name))
            else {
                continue;
            };
            server.peer_requests = if add {
                server.peer_requests.saturating_add(*count)
            } else {
                server.peer_requests.saturating_sub(*count)
            };
        }
    }

    /// Updates the average one-way delay to a failure domain from a measurement.
    pub fn record_link_delay(&mut self, domain: &FailureDomainName, one_way_ms: f64) {
        let known = self.link_delays_ms.entry(domain.clone()).or_insert(one_way_ms);
        *known += LINK_WEIGHT * (one_way_ms - *known);
    }

    /// Returns the one-way delay to a failure domain in milliseconds: the measured average, or a
    /// default.
    pub fn link_delay_ms(&self, domain: &FailureDomainName) -> f64 {
        if let Some(known) = self.link_delays_ms.get(domain) {
            return *known;
        }
        if *domain == self.failure_domain {
            SAME_DOMAIN_LINK_MS
        } else if self.regions.get(domain) == self.regions.get(&self.failure_domain) {
            SAME_REGION_LINK_MS
        } else {
            OTHER_REGION_LINK_MS
        }
    }
}
