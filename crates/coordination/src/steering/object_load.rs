//! Estimates how many slots an object of a service occupies on average.
//!
//! The estimate tells how many more objects a server can take: many at low load, and hardly any at
//! peak load. The cost of the links to a distant home is divided by it, so that objects have their
//! homes near their callers as long as there are slots. See docs/platform.md, "Placing, queueing
//! and refusing".

use std::collections::HashMap;

use pollenshed_state::{ids::ServiceName, time::Instant};

use super::fleet::{Fleet, server_key};

/// Slots per object until an observation was made: a run of 250 ms, .7 times a second.
const DEFAULT_SLOTS: f64 = 0.18;

/// Lower bound of the slots per object, so that the cost of a distant home stays finite.
const MIN_SLOTS: f64 = 0.03;

/// Time after the first object in which loads are not observed. Nearly all runs are first runs
/// then, which take several times as long as warm runs.
const WARM_UP_MS: u64 = 5_000;

/// Time constant of the moving average: an observation loses two thirds of its weight in this time.
const TIME_CONSTANT_MS: f64 = 5_000.0;

/// Average slots per object, by service.
#[derive(Debug, Clone, Default)]
pub(super) struct ObjectLoads {
    by_service: HashMap<ServiceName, f64>,
    first_at: Option<Instant>,
    observed_at: Option<Instant>,
}

impl ObjectLoads {
    /// Returns the average slots that an object of a service occupies.
    pub(super) fn slots(&self, service: &ServiceName) -> f64 {
        self.by_service.get(service).copied().unwrap_or(DEFAULT_SLOTS).max(MIN_SLOTS)
    }

    fn observe(&mut self, loads: Vec<(ServiceName, f64)>, now: Instant) {
        let Some(first_at) = self.first_at else {
            self.first_at = (!loads.is_empty()).then_some(now);
            return;
        };
        if now.since_ms(first_at) < WARM_UP_MS {
            return;
        }
        let elapsed_ms = self.observed_at.map_or(0.0, |at| now.since_ms(at) as f64);
        self.observed_at = Some(now);
        let weight = 1.0 - (-elapsed_ms / TIME_CONSTANT_MS).exp();
        for (service, slots) in loads {
            let known = self.by_service.entry(service).or_insert(DEFAULT_SLOTS);
            *known += weight * (slots - *known);
        }
    }
}

impl Fleet {
    /// Updates the average load of an object of each service from the requests that run now. Call
    /// it a few times a second.
    pub fn observe_object_loads(&mut self, now: Instant) {
        let loads = self.by_service.iter().filter_map(|(service, names)| {
            let servers = names.iter().filter_map(|name| self.servers.get(name));
            let running: u32 =
                servers.map(|server| server.own_requests + server.peer_requests).sum();
            let objects: u32 = names.iter().map(|n| self.homes.objects_on(server_key(n))).sum();
            (objects > 0).then(|| (service.clone(), f64::from(running) / f64::from(objects)))
        });
        let loads = loads.collect();
        self.object_loads.observe(loads, now);
    }
}
