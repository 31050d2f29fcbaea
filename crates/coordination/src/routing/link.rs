//! Byte budget of the links between regions, this entry's part of it.

use std::collections::BTreeMap;

use pollenshed_state::{config::Network, ids::RegionName, time::Instant, units::ByteSize};

use super::bucket::{Bucket, PER_SECOND, TOKEN};

/// What this entry may send to and receive from each other region.
///
/// A message that is larger than the bucket passes when the bucket is full and leaves a debt. So in
/// any second or longer an entry stays within its rate, but for the excess of one message.
#[derive(Debug, Clone)]
pub struct LinkBudget {
    rate: i128,
    size: i128,
    started: Instant,
    links: BTreeMap<RegionName, Link>,
}

#[derive(Debug, Clone)]
struct Link {
    requests: Bucket,
    answers: Bucket,
}

impl LinkBudget {
    /// Splits the network's share among `entries` live entries of the own region.
    pub fn new(network: &Network, entries: u64, now: Instant) -> LinkBudget {
        let (rate, size) = entry_rate(network, entries);
        LinkBudget { rate, size, started: now, links: BTreeMap::new() }
    }

    /// Follows a change of the configuration or of the number of live entries of the own region.
    pub fn set_share(&mut self, network: &Network, entries: u64, now: Instant) {
        (self.rate, self.size) = entry_rate(network, entries);
        self.started = now;
        for link in self.links.values_mut() {
            link.requests.set_rate(self.rate, self.size, now);
            link.answers.set_rate(self.rate, self.size, now);
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
        let size = self.size;
        // Without this, a budget of nothing would let everything pass, because nothing fills it.
        if size == 0 {
            return false;
        }
        let link = self.link(region);
        link.requests.has(bits(request).min(size), now)
            && link.answers.has(bits(answer).min(size), now)
    }

    /// Spends a request and its expected answer. Call it only after [`LinkBudget::has_room`].
    pub fn spend(&mut self, region: &RegionName, request: ByteSize, answer: ByteSize) {
        let link = self.link(region);
        link.requests.take(bits(request));
        link.answers.take(bits(answer));
    }

    /// Corrects the expected size of an answer once the real one is known.
    pub fn adjust_answer(&mut self, region: &RegionName, expected: ByteSize, real: ByteSize) {
        self.link(region).answers.take(bits(real) - bits(expected));
    }

    fn link(&mut self, region: &RegionName) -> &mut Link {
        let bucket = Bucket::new(self.rate, self.size, self.started);
        let link = || Link { requests: bucket.clone(), answers: bucket };
        self.links.entry(region.clone()).or_insert_with(link)
    }
}

fn bits(size: ByteSize) -> i128 {
    i128::from(size.0) * 8 * TOKEN
}

/// Returns refill rate and bucket size in bits for each of requests and answers.
fn entry_rate(network: &Network, entries: u64) -> (i128, i128) {
    let share = i128::from(network.region_link_share_percent.0.min(100));
    let link = i128::from(network.region_link_bits_per_s.0) * PER_SECOND * share / 100;
    let rate = link / 2 / i128::from(entries.max(1));
    // Bucket and refill of one second add up to the rate.
    let burst = rate / 5;
    (rate - burst, burst * (TOKEN / PER_SECOND))
}
