//! This entry's part of the byte budget of the links between regions.

use std::collections::BTreeMap;

use pollenshed_state::{config::Network, ids::RegionName, time::Instant, units::ByteSize};

use super::bucket::{Bucket, PER_SECOND, TOKEN};

/// Limits how much this entry may send to and receive from each other region.
///
/// A message larger than the bucket passes when the bucket is full and makes the level negative. So
/// over any period of a second or longer an entry exceeds its rate by one message at most.
#[derive(Debug, Clone)]
pub struct LinkBudget {
    units_per_us: i128,
    size_units: i128,
    started_at: Instant,
    links: BTreeMap<RegionName, Link>,
}

#[derive(Debug, Clone)]
struct Link {
    requests: Bucket,
    answers: Bucket,
}

impl LinkBudget {
    /// Splits the share of the links that the configuration grants among `entries`, the live
    /// entries of this entry's region.
    pub fn new(network: &Network, entries: u64, now: Instant) -> LinkBudget {
        let (units_per_us, size_units) = entry_rate_and_size(network, entries);
        LinkBudget { units_per_us, size_units, started_at: now, links: BTreeMap::new() }
    }

    /// Applies a change of the configuration or of the number of live entries of this entry's
    /// region.
    pub fn set_share(&mut self, network: &Network, entries: u64, now: Instant) {
        (self.units_per_us, self.size_units) = entry_rate_and_size(network, entries);
        self.started_at = now;
        for link in self.links.values_mut() {
            link.requests.set_rate(self.units_per_us, self.size_units, now);
            link.answers.set_rate(self.units_per_us, self.size_units, now);
        }
    }

    /// Returns whether a request and its expected answer fit on the link to `region`.
    pub fn has_room(
        &mut self,
        region: &RegionName,
        request: ByteSize,
        answer: ByteSize,
        now: Instant,
    ) -> bool {
        let size_units = self.size_units;
        // Sizes are capped at the bucket size below, so a bucket of size 0 would pass all messages.
        if size_units == 0 {
            return false;
        }
        let link = self.link(region);
        link.requests.has(bit_units(request).min(size_units), now)
            && link.answers.has(bit_units(answer).min(size_units), now)
    }

    /// Takes the sizes of a request and its expected answer from the budget. Call it only after
    /// [`LinkBudget::has_room`] returned `true`.
    pub fn spend(&mut self, region: &RegionName, request: ByteSize, answer: ByteSize) {
        let link = self.link(region);
        link.requests.take(bit_units(request));
        link.answers.take(bit_units(answer));
    }

    /// Replaces the expected size of an answer by its actual size.
    pub fn adjust_answer(&mut self, region: &RegionName, expected: ByteSize, actual: ByteSize) {
        self.link(region).answers.take(bit_units(actual) - bit_units(expected));
    }

    fn link(&mut self, region: &RegionName) -> &mut Link {
        let bucket = Bucket::new(self.units_per_us, self.size_units, self.started_at);
        let link = || Link { requests: bucket.clone(), answers: bucket };
        self.links.entry(region.clone()).or_insert_with(link)
    }
}

/// Converts a size to bucket units, with one token per bit.
fn bit_units(size: ByteSize) -> i128 {
    i128::from(size.0) * 8 * TOKEN
}

/// Returns the refill rate and the size of the bucket of each direction, with one token per bit.
fn entry_rate_and_size(network: &Network, entries: u64) -> (i128, i128) {
    let share = i128::from(network.region_link_share_percent.0.min(100));
    let link = i128::from(network.region_link_bits_per_s.0) * PER_SECOND * share / 100;
    let rate = link / 2 / i128::from(entries.max(1));
    // The bucket size and the refill of one second add up to the rate.
    let burst = rate / 5;
    (rate - burst, burst * (TOKEN / PER_SECOND))
}
