//! How many slots an object of a service takes in the mean.
//!
//! It tells how many objects a server bears beside those that live there: many while callers are few,
//! and hardly any on the heaviest days. Distances are weighed by it, so that objects live near their
//! callers as long as there is room. See docs/platform.md, "Placing, queueing and refusing".

use std::collections::HashMap;

use pollenshed_state::{ids::ServiceName, time::Instant};

use super::fleet::{Fleet, server_key};

/// Slots that an object takes as long as none was observed: a run of 250 ms, .7 times a second.
const UNKNOWN_SLOTS: f64 = 0.18;

/// Smallest load of an object, so that distances stay finite.
const MIN_SLOTS: f64 = 0.03;

/// Time after the first object in which loads are not observed: nearly all runs are first runs then,
/// which take several times as long as later ones.
const FIRST_RUNS_MS: u64 = 5_000;

/// Time after which an observation has lost two thirds of its weight.
const MEMORY_MS: f64 = 5_000.0;

/// Slots that an object of each service takes in the mean.
#[derive(Debug, Clone, Default)]
pub(super) struct ObjectLoads {
    by_service: HashMap<ServiceName, f64>,
    first_at: Option<Instant>,
    observed_at: Option<Instant>,
}

impl ObjectLoads {
    /// Returns the slots that an object of a service takes.
    pub(super) fn slots(&self, service: &ServiceName) -> f64 {
        self.by_service.get(service).copied().unwrap_or(UNKNOWN_SLOTS).max(MIN_SLOTS)
    }

    fn observe(&mut self, loads: Vec<(ServiceName, f64)>, now: Instant) {
        let Some(first_at) = self.first_at else {
            self.first_at = (!loads.is_empty()).then_some(now);
            return;
        };
        if now.since_ms(first_at) < FIRST_RUNS_MS {
            return;
        }
        let elapsed_ms = self.observed_at.map_or(0.0, |at| now.since_ms(at) as f64);
        self.observed_at = Some(now);
        let weight = 1.0 - (-elapsed_ms / MEMORY_MS).exp();
        for (service, slots) in loads {
            let known = self.by_service.entry(service).or_insert(UNKNOWN_SLOTS);
            *known += weight * (slots - *known);
        }
    }
}

impl Fleet {
    /// Observes the load of all objects. It is called a few times a second.
    pub fn observe_object_loads(&mut self, now: Instant) {
        let loads = self.by_service.iter().filter_map(|(service, names)| {
            let servers = names.iter().filter_map(|name| self.servers.get(name));
            let running: u32 = servers.map(|server| server.own + server.peers).sum();
            let objects: u32 = names.iter().map(|n| self.homes.objects_on(server_key(n))).sum();
            (objects > 0).then(|| (service.clone(), f64::from(running) / f64::from(objects)))
        });
        let loads = loads.collect();
        self.object_loads.observe(loads, now);
    }
}
