//! Overhead of the system: latency of reads through it compared with direct reads.

use std::time::Duration;

use tokio::runtime::Runtime;

use super::{
    fleet::{ScaledFleet, config},
    generator::{self, Stream},
    report,
};

/// Service time of a read. It is short, so that mostly the path to the backend server is measured.
const READ_TIME: Duration = Duration::from_millis(1);
/// Rate of reads, low enough that none waits for another.
const READS_PER_S: f64 = 200.0;
/// How often both paths are measured, in turn.
const ROUNDS: usize = 3;
/// Length of one measurement.
const LENGTH: Duration = Duration::from_secs(5);

/// Compares reads through the system with reads straight from the backend servers.
pub fn read(runtime: &Runtime) {
    let scaled = ScaledFleet::start(config("cali"), READ_TIME);
    let streams = [Stream {
        service: "tavole".to_owned(),
        method: "GET",
        path: "/1582".to_owned(),
        rank: 0,
        requests_per_s: READS_PER_S,
        deadline_ms: 1_000,
    }];
    report::print_head();
    for _ in 0..ROUNDS {
        for (title, destinations) in [("system", scaled.entries()), ("direct", scaled.backends())] {
            let samples = runtime.block_on(generator::run(&streams, &destinations, LENGTH));
            report::print(title, &report::by_rank(&samples, LENGTH.as_secs_f64()));
        }
    }
}
