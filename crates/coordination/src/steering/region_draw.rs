//! Draws the region in which a new object gets its home.
//!
//! Choosing the server with the fewest objects would fill a region in order: the first objects of
//! callers near few servers would all stay near, and all further ones would go far. Nearly all of
//! their requests would then change their region within seconds of the start. So the region is
//! drawn by a hash of the object, with shares that do not depend on the objects placed so far, and
//! the requests run in the same regions from the first one on.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_state::{ids::RegionName, time::Instant};

use super::{fleet::Fleet, request::Request, server::Server};
use crate::membership::hash::mix;

/// Objects on a server with three slots that are assumed until more are known. The cost of
/// a distance counts in proportion to them.
const MIN_EXPECTED_OBJECTS: f64 = 4.0;

/// Makes the draw of a region independent of other hashes of the object.
const REGION_SALT: u64 = 0x7265_6769_6f6e_0000;

impl Fleet {
    /// Draws the region of a new object among those of `servers`, alike in all instances of a
    /// region. Returns `None` without servers.
    ///
    /// Each region is assumed to send an equal part of the requests and to run its own first. What
    /// exceeds its servers goes to regions with servers to spare.
    pub(super) fn draw_region<'a>(
        &'a self,
        object: u64,
        request: &Request<'_>,
        servers: impl Iterator<Item = &'a Server> + Clone,
        now: Instant,
    ) -> Option<RegionName> {
        let own = self.regions.get(&self.failure_domain)?;
        let mut slots: BTreeMap<&RegionName, f64> = BTreeMap::new();
        for server in servers.clone() {
            *slots.entry(&server.region).or_default() += f64::from(server.record.slots);
        }
        let total: f64 = slots.values().sum();
        let region_count = self.regions.values().collect::<BTreeSet<_>>().len();
        let demand = total / region_count as f64;
        let own_slots = slots.remove(own).unwrap_or(0.0);
        let own_share = self.own_share(request, own_slots / demand, total, servers, now);
        let uniform = mix(object ^ REGION_SALT) as f64 / u64::MAX as f64;
        if uniform < own_share || slots.is_empty() {
            return (own_slots > 0.0).then(|| own.clone());
        }
        let left = (uniform - own_share) / (1.0 - own_share);
        Some(draw_other(&slots, demand, left).clone())
    }

    /// Returns the share of a region's objects that get their homes there. `capacity` is the ratio
    /// of its slots to those that its requests need, `total_slots` is the sum over all regions.
    fn own_share<'a>(
        &self,
        request: &Request<'_>,
        capacity: f64,
        total_slots: f64,
        servers: impl Iterator<Item = &'a Server> + Clone,
        now: Instant,
    ) -> f64 {
        let own = self.regions.get(&self.failure_domain);
        let others = servers.clone().filter(|server| Some(&server.region) != own);
        let distances = others.map(|server| self.distance_cost(server, request));
        let distance = distances.min_by(f64::total_cmp).unwrap_or(0.0);
        let objects: f64 = servers
            .map(|s| {
                let scaled = self.scaled_objects(&s.record.name, s, request, now);
                scaled * f64::from(s.record.slots)
            })
            .sum();
        let expected = (objects / total_slots).max(MIN_EXPECTED_OBJECTS);
        (capacity * (1.0 + distance / expected)).min(1.0)
    }
}

/// Returns the region at the position `uniform`, from 0 to 1, in a row of regions whose lengths are
/// the slots that they have beyond `demand`, or all their slots if none has more.
fn draw_other<'a>(
    slots: &BTreeMap<&'a RegionName, f64>,
    demand: f64,
    uniform: f64,
) -> &'a RegionName {
    let has_spare = slots.values().any(|slots| *slots > demand);
    let weight = |slots: f64| if has_spare { (slots - demand).max(0.0) } else { slots };
    let total: f64 = slots.values().map(|slots| weight(*slots)).sum();
    let mut left = uniform * total;
    let mut drawn = None;
    for (region, slots) in slots {
        if drawn.is_none() || left >= 0.0 {
            drawn = Some(*region);
        }
        left -= weight(*slots);
    }
    drawn.expect("there are other regions")
}
