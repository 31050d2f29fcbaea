//! Cost of the system itself: a read through it against a direct one.

use std::time::Duration;

use tokio::runtime::Runtime;

use super::{
    fleet::{Scaled, config},
    generator::{self, Stream},
    report,
};

/// Service time for the comparison of reads, so that the way there and back is what is measured.
const READ_TIME: Duration = Duration::from_millis(1);
/// Rate of reads, low enough that none waits for another.
const READS_PER_S: f64 = 200.0;
/// Times that both ways are measured in turn.
const ROUNDS: usize = 3;
/// Length of one measurement.
const LENGTH: Duration = Duration::from_secs(5);

/// Compares reads through the system with reads straight from the backend servers.
pub fn read(runtime: &Runtime) {
    let scaled = Scaled::start(config("cali"), READ_TIME);
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
