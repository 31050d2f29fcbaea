//! Counts of one sliding interval, kept in slices so that the cost does not grow with traffic.

use std::collections::{BTreeMap, VecDeque};

use pollenshed_state::{config::Rank, ids::FailureDomainName, time::Instant};

/// Slices per interval. The slice that leaves the interval is counted too cautiously, so more slices
/// waste less of a share: 1 part in 256.
const SLICES: u64 = 256;

#[derive(Debug, Clone, Default)]
pub(super) struct Totals {
    /// Arrivals of each rank.
    pub(super) arrived: [u64; 3],
    /// Requests of each rank sent to each failure domain.
    pub(super) sent: BTreeMap<FailureDomainName, [u64; 3]>,
}

impl Totals {
    pub(super) fn all_arrived(&self) -> u64 {
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

/// Arrivals and destinations of one kind of event in the last interval.
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

    /// Forgets what is older than the interval.
    ///
    /// The slice that `now - interval` falls into is kept. A time before the last slice counts as in
    /// the last slice.
    pub(super) fn expire(&mut self, now: Instant) {
        let number = self.number(now);
        while let Some((first, _)) = self.slices.front() {
            if first + SLICES >= number {
                break;
            }
            if let Some((_, slice)) = self.slices.pop_front() {
                self.totals.subtract(&slice);
            }
        }
    }

    fn number(&self, now: Instant) -> u64 {
        let last = self.slices.back().map_or(0, |(number, _)| *number);
        (now.as_us() / self.slice_us).max(last)
    }

    fn current(&mut self, now: Instant) -> &mut Totals {
        self.expire(now);
        let number = self.number(now);
        if self.slices.back().is_none_or(|(last, _)| *last < number) {
            self.slices.push_back((number, Totals::default()));
        }
        let end = self.slices.len() - 1;
        &mut self.slices[end].1
    }

    pub(super) fn arrive(&mut self, rank: Rank, now: Instant) {
        self.current(now).arrived[rank.index()] += 1;
        self.totals.arrived[rank.index()] += 1;
    }

    pub(super) fn send(&mut self, domain: &FailureDomainName, rank: Rank, now: Instant) {
        let slice = self.current(now);
        slice.sent.entry(domain.clone()).or_default()[rank.index()] += 1;
        self.totals.sent.entry(domain.clone()).or_default()[rank.index()] += 1;
    }

    /// Returns the counts of all slices that may be inside the interval.
    pub(super) fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Returns the arrivals in slices that are surely inside the interval.
    pub(super) fn sure_arrivals(&self, now: Instant) -> u64 {
        let number = self.number(now);
        let partial = self.slices.front().filter(|(first, _)| first + SLICES == number);
        self.totals.all_arrived() - partial.map_or(0, |(_, slice)| slice.all_arrived())
    }
}
