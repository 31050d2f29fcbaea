//! Measures the work of gossip in one instance against the size of its member table.
//!
//! `cargo run --release -p pollenshed-coordination --example membership_size`

use std::time::Instant;

use pollenshed_coordination::{
    membership::{Exchange, Heartbeat, MemberRecord, Membership, Params},
    replication::poll_plan,
};
use pollenshed_state::{
    ids::{ConfigVersion, Incarnation},
    settings::Timing,
    time::Instant as Time,
};

const PERIODS: u64 = 2_000;
/// Exchanges that an instance begins and answers in one period.
const EXCHANGES: u64 = 6;

fn record(number: usize) -> MemberRecord {
    let address = ([127, 0, 0, 1], 1).into();
    MemberRecord {
        instance: format!("palermo-a-entry-{number}").parse().expect("a valid name"),
        failure_domain: "palermo-a".parse().expect("a valid name"),
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

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}

fn main() {
    println!("members us/period bytes/member message_heartbeats message_records");
    for members in [20, 80, 160, 323, 640] {
        measure(members);
    }
}

fn measure(members: usize) {
    let params = Params::new(&Timing::default());
    // Many copies, so that the growth of the process is well above its noise.
    const COPIES: usize = 50;
    let before = resident_bytes();
    let mut tables: Vec<_> =
        (0..COPIES).map(|_| Membership::new(record(0), params, Time::START)).collect();
    for table in &mut tables {
        for other in 1..members {
            let (records, heartbeats) = (Vec::new(), Vec::new());
            let exchange =
                Exchange { sender: record(other), records, heartbeats, buckets: Vec::new() };
            table.merge(&exchange, Time::START);
        }
    }
    let bytes = resident_bytes().saturating_sub(before) / COPIES / members;
    let mut table = tables.swap_remove(0);
    let mut sent = (0, 0);
    let start = Instant::now();
    for period in 1..=PERIODS {
        let now = Time::from_ms(period * 250);
        table.tick(now);
        std::hint::black_box(table.pick_peers(now, period));
        std::hint::black_box(poll_plan(&table, now, period));
        for exchange in 0..EXCHANGES {
            let peer = record(1 + (period * EXCHANGES + exchange) as usize % (members - 1));
            let out = table.records_for(&peer.instance, None, now);
            sent = (out.heartbeats.len(), out.records.len());
            // The answer renews as many members as a message holds.
            let heartbeats = (0..out.heartbeats.len())
                .map(|n| record(1 + (period as usize * 40 + n) % (members - 1)))
                .map(|r| Heartbeat { key: r.key(), counter: 1 + period, stamp_ms: period * 250 })
                .collect();
            let answer =
                Exchange { sender: peer, records: Vec::new(), heartbeats, buckets: Vec::new() };
            table.merge(&answer, now);
        }
    }
    let us = start.elapsed().as_secs_f64() * 1e6 / PERIODS as f64;
    println!("{members} {us:.1} {bytes} {} {}", sent.0, sent.1);
}
