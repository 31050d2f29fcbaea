//! Load measurements of complete deployments on one machine; see docs/measurements.md.
//!
//! Usage: `cargo bench -p pollenshed --bench load -- MODE [SCENARIO] [--seed N]`. Each mode starts
//! its processes itself, takes at most a few minutes and stops them.

mod client;
mod compare;
mod fleet;
mod generator;
mod levels;
mod lookups;
mod loss;
mod report;
#[path = "../../tests/support/mod.rs"]
mod support;

use tokio::runtime::{Builder, Runtime};

/// Threads that send requests and read answers.
const GENERATOR_THREADS: usize = 3;

const USAGE: &str = "usage: load levels|floods cali|tokachi|shared
       load loss cali|tokachi
       load read|lookups
options: --seed N";

fn main() {
    let mut arguments: Vec<String> = std::env::args().skip(1).filter(|w| w != "--bench").collect();
    let seed = match arguments.iter().position(|w| w == "--seed") {
        Some(at) => arguments.drain(at..).nth(1).and_then(|w| w.parse().ok()).expect(USAGE),
        None => fastrand::u64(..),
    };
    println!("seed {seed}");
    fastrand::seed(seed);
    let runtime = Builder::new_multi_thread()
        .worker_threads(GENERATOR_THREADS)
        .enable_all()
        .build()
        .expect("cannot start the threads of the load generator");
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    dispatch(&runtime, &arguments);
}

fn dispatch(runtime: &Runtime, arguments: &[&str]) {
    match arguments {
        ["levels", scenario] => levels::levels(runtime, scenario),
        ["floods", scenario] => levels::floods(runtime, scenario),
        ["loss", scenario] => loss::loss(runtime, scenario),
        ["read"] => compare::read(runtime),
        ["lookups"] => lookups::lookups(runtime),
        _ => println!("{USAGE}"),
    }
}
