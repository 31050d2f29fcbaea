//! Measures the rate of reads at the platform for several numbers of failure domains and of members
//! in each.
//!
//! `cargo run --release -p pollenshed --example store_load`
//!
//! Every simulated instance polls by `poll_plan` and `poll_delay_ms` as the daemon does and reads
//! the head row over HTTP. One thread simulates all instances of a failure domain.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    thread,
    time::{Duration, Instant},
};

use pollenshed_coordination::{
    membership::{Exchange, MemberRecord, Membership, Params},
    replication::{poll_delay_ms, poll_plan},
};
use pollenshed_standins::platform::Platform;
use pollenshed_state::{
    ids::{ConfigVersion, Incarnation},
    settings::Timing,
    time::Instant as Time,
};
use pollenshed_transport::platform::Platform as Client;

/// Length of each measurement.
const MEASUREMENT: Duration = Duration::from_secs(8);
const PERIOD_MS: u64 = 1_000;

fn record(number: usize) -> MemberRecord {
    let address = ([127, 0, 0, 1], 1).into();
    MemberRecord {
        instance: format!("entry-{number}").parse().expect("a valid name"),
        failure_domain: "north-a".parse().expect("a valid name"),
        incarnation: Incarnation(number as u64),
        generation: 1,
        counter: 1,
        leaving: false,
        peer_address: address,
        relay_address: address,
        caller_address: address,
        config_version: ConfigVersion(0),
        stamp_ms: 0,
    }
}

fn table(own: usize, members: usize) -> Membership {
    let mut table = Membership::new(record(own), Params::new(&Timing::default()), Time::START);
    for other in (0..members).filter(|other| *other != own) {
        let (records, heartbeats) = (Vec::new(), Vec::new());
        let exchange = Exchange { sender: record(other), records, heartbeats, buckets: Vec::new() };
        table.merge(&exchange, Time::START);
    }
    table
}

fn run_domain(tables: &[Membership], client: &Client, until: Instant) {
    let start = Instant::now();
    let first = (0..tables.len()).map(|own| Reverse((fastrand::u64(..PERIOD_MS), own)));
    let mut due: BinaryHeap<_> = first.collect();
    while let Some(Reverse((due_ms, own))) = due.pop() {
        let at = start + Duration::from_millis(due_ms);
        if at >= until {
            return;
        }
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if poll_plan(&tables[own], Time::START, fastrand::u64(..)).polls() {
            let _ = client.head();
        }
        due.push(Reverse((due_ms + poll_delay_ms(PERIOD_MS, 0, fastrand::u64(..)), own)));
    }
}

fn main() -> eyre::Result<()> {
    println!("domains members_per_domain instances reads/s");
    for (domains, members) in [(5, 10), (10, 10), (20, 10), (40, 10), (10, 40), (10, 160)] {
        let platform = Platform::bind(([127, 0, 0, 1], 0).into())?;
        let client = Client::open(platform.address(), Duration::from_secs(2));
        let tables: Vec<_> = (0..members).map(|own| table(own, members)).collect();
        let until = Instant::now() + MEASUREMENT;
        thread::scope(|scope| {
            for _ in 0..domains {
                scope.spawn(|| run_domain(&tables, &client, until));
            }
        });
        let rate = platform.counts().reads as f64 / MEASUREMENT.as_secs_f64();
        println!("{domains} {members} {} {rate:.1}", domains * members);
    }
    Ok(())
}
