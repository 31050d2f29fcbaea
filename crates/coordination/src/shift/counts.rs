//! Event counts of a sliding interval, kept in time slices so that the cost doesn't grow with
//! traffic.

use std::collections::{BTreeMap, VecDeque};

use pollenshed_state::{config::Rank, ids::FailureDomainName, time::Instant};

/// Slices per interval. The slice that is only partly in the interval counts against the share, so
/// the number of slices limits how much of a share stays unused: 1 part in 256.
const SLICES: u64 = 256;

#[derive(Debug, Clone, Default)]
pub(super) struct Totals {
    /// Number of arrivals by rank, indexed by [`Rank::index`].
    pub(super) arrived: [u64; 3],
    /// Number of events sent to each failure domain, by rank.
    pub(super) sent: BTreeMap<FailureDomainName, [u64; 3]>,
}

impl Totals {
    pub(super) fn total_arrived(&self) -> u64 {
        self.arrived.iter().sum()
    }

    pub(super) fn sent_to(&self, domain: &FailureDomainName) -> u64 {
        self.sent.get(domain).map_or(0, |ranks| ranks.iter().sum())
    }

    fn subtract(&mut self, slice: &Totals) {
        for (total, count) in self.arrived.iter_mut().zip(slice.arrived) {
            *total -= count;
        }
        for (domain, ranks) in &slice.sent {
            let Some(totals) = self.sent.get_mut(domain) else { continue };
            for (total, count) in totals.iter_mut().zip(ranks) {
                *total -= count;
            }
        }
        self.sent.retain(|_, ranks| ranks.iter().any(|count| *count > 0));
    }
}

/// Arrivals and destinations of requests or of lookups in the last interval.
#[derive(Debug, Clone)]
pub(super) struct Counts {
    slice_us: u64,
    slices: VecDeque<(u64, Totals)>,
    totals: Totals,
}

impl Counts {
    pub(super) fn new(interval_ms: u64) -> Counts {
        let slice_us = interval_ms.saturating_mul(1000).div_ceil(SLICES).max(1);
        Counts { slice_us, slices: VecDeque::new(), totals: Totals::default() }
    }

    /// Removes the slices that are older than the interval.
    ///
    /// The slice that contains `now - interval` is kept. A `now` before the last slice is treated
    /// as if it were in the last slice.
    pub(super) fn expire(&mut self, now: Instant) {
        let slice_index = self.slice_index(now);
        while let Some((first, _)) = self.slices.front() {
            if first + SLICES >= slice_index {
                break;
            }
            if let Some((_, slice)) = self.slices.pop_front() {
                self.totals.subtract(&slice);
            }
        }
    }

    fn slice_index(&self, now: Instant) -> u64 {
        let last = self.slices.back().map_or(0, |(slice_index, _)| *slice_index);
        (now.as_us() / self.slice_us).max(last)
    }

    fn current_slice(&mut self, now: Instant) -> &mut Totals {
        self.expire(now);
        let slice_index = self.slice_index(now);
        if self.slices.back().is_none_or(|(last, _)| *last < slice_index) {
            self.slices.push_back((slice_index, Totals::default()));
        }
        let end = self.slices.len() - 1;
        &mut self.slices[end].1
    }

    pub(super) fn record_arrival(&mut self, rank: Rank, now: Instant) {
        self.current_slice(now).arrived[rank.index()] += 1;
        self.totals.arrived[rank.index()] += 1;
    }

    pub(super) fn record_sent(&mut self, domain: &FailureDomainName, rank: Rank, now: Instant) {
        let slice = self.current_slice(now);
        slice.sent.entry(domain.clone()).or_default()[rank.index()] += 1;
        self.totals.sent.entry(domain.clone()).or_default()[rank.index()] += 1;
    }

    /// Returns the counts of all slices that are wholly or partly in the interval.
    pub(super) fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Returns the number of arrivals in slices that are wholly in the interval.
    pub(super) fn whole_slice_arrivals(&self, now: Instant) -> u64 {
        let slice_index = self.slice_index(now);
        let partial = self.slices.front().filter(|(first, _)| first + SLICES == slice_index);
        self.totals.total_arrived() - partial.map_or(0, |(_, slice)| slice.total_arrived())
    }
}
