//! Summarises samples and prints them as table rows.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use super::{fleet::RANKS, generator::Sample};

/// Longest latency that a histogram holds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Figures of one rank in one run.
#[derive(Debug, Default, Clone)]
pub struct RankFigures {
    /// Offered requests per second.
    pub offered: f64,
    /// Requests per second that were done within the deadline.
    pub goodput: f64,
    /// Median latency of the requests within the deadline.
    pub p50_ms: f64,
    /// 99th percentile of the same latencies.
    pub p99_ms: f64,
    /// Counts by outcome.
    pub outcomes: BTreeMap<String, u64>,
}

/// Returns the samples that started between `from` and `to`.
pub fn between(samples: &[Sample], from: Duration, to: Duration) -> Vec<Sample> {
    samples.iter().filter(|s| s.at >= from && s.at < to).cloned().collect()
}

/// Returns the figures of each rank for samples of a time span of `seconds`.
pub fn by_rank(samples: &[Sample], seconds: f64) -> [RankFigures; 3] {
    [0, 1, 2].map(|rank| {
        let mut histogram = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).unwrap();
        let mut figures = RankFigures::default();
        for sample in samples.iter().filter(|s| s.rank == rank) {
            figures.offered += 1.0 / seconds;
            *figures.outcomes.entry(sample.outcome.clone()).or_default() += 1;
            if sample.is_done() {
                figures.goodput += 1.0 / seconds;
                let latency_us = sample.latency.as_micros() as u64;
                histogram.record(latency_us.clamp(1, MAX_LATENCY_US)).unwrap();
            }
        }
        figures.p50_ms = histogram.value_at_quantile(0.5) as f64 / 1000.0;
        figures.p99_ms = histogram.value_at_quantile(0.99) as f64 / 1000.0;
        figures
    })
}

/// Prints a row for each rank that had requests.
pub fn print(title: &str, figures: &[RankFigures; 3]) {
    for (rank, f) in figures.iter().enumerate().filter(|(_, f)| f.offered > 0.0) {
        let outcomes: Vec<_> = f.outcomes.iter().map(|(o, n)| format!("{o} {n}")).collect();
        println!(
            "| {title} | {} | {:.0} | {:.0} | {:.1} | {:.1} | {} |",
            RANKS[rank],
            f.offered,
            f.goodput,
            f.p50_ms,
            f.p99_ms,
            outcomes.join(", ")
        );
    }
}

/// Prints the header of the table whose rows [`print`] prints.
pub fn print_head() {
    println!("| run | rank | offered/s | goodput/s | p50 ms | p99 ms | outcomes |");
    println!("|---|---|---:|---:|---:|---:|---|");
}
