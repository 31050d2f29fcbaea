//! Measures the recomputation of ownership at several numbers of backend servers and entries, and how
//! evenly servers are spread.

use std::time::Instant as Clock;

use pollenshed_coordination::ownership::{Assignment, LiveEntry};
use pollenshed_state::{
    config::{BackendServer, Config, Network, Region, Service, ShiftPolicy},
    ids::{FailureDomainName, Incarnation},
    units::{BitRate, ByteSize, Percent, Slots},
};

const REPEATS: u32 = 5;

fn main() {
    println!("domains servers entries us/recomputation most_servers/entry mean");
    for (domains, servers, entries) in
        [(6, 48, 10), (6, 1_000, 10), (1, 1_700, 170), (40, 1_700, 280), (40, 6_800, 6_700)]
    {
        measure(domains, servers, entries);
    }
}

fn domain(number: usize) -> FailureDomainName {
    format!("domain-{number}").parse().expect("valid name")
}

fn config(domains: usize, servers: usize) -> Config {
    let region = |n: usize| Region {
        name: format!("region-{n}").parse().expect("valid name"),
        failure_domains: (2 * n..(2 * n + 2).min(domains)).map(domain).collect(),
    };
    let server = |n: usize| BackendServer {
        name: format!("server-{n}").parse().expect("valid name"),
        failure_domain: domain(n % domains),
        address: ([127, 0, 0, 1], 9_000).into(),
        slots: Slots(4),
        connections: 360,
    };
    let shift =
        ShiftPolicy { cap_percent: Percent(10), cold_cap_percent: Percent(5), interval_ms: 10_000 };
    Config {
        format: 1,
        user: "tokachi".parse().expect("valid name"),
        regions: (0..domains.div_ceil(2)).map(region).collect(),
        network: Network {
            between_failure_domains_us: 1_500,
            between_regions_us: 50_000,
            to_clients_us: 1_000,
            region_link_bits_per_s: BitRate(4_000_000_000),
            region_link_share_percent: Percent(50),
        },
        ranks: Vec::new(),
        services: vec![Service {
            name: "tally-view".parse().expect("valid name"),
            operations: Vec::new(),
            max_request_bytes: ByteSize(0),
            max_answer_bytes: ByteSize(0),
            max_upload_bytes: ByteSize(0),
            shift,
            retry_budget_percent: Percent(10),
            backend_servers: (0..servers).map(server).collect(),
        }],
        drains: Vec::new(),
    }
}

fn measure(domains: usize, servers: usize, entries: usize) {
    let config = config(domains, servers);
    let live: Vec<_> = (0..entries)
        .map(|n| LiveEntry {
            instance: format!("entry-{n:05}").parse().expect("valid name"),
            incarnation: Incarnation(n as u64),
            failure_domain: domain(n % domains),
        })
        .collect();
    let began = Clock::now();
    for _ in 0..REPEATS {
        std::hint::black_box(Assignment::compute(&config, &live));
    }
    let us = began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS);
    let assignment = Assignment::compute(&config, &live);
    let owned = |entry: &LiveEntry| assignment.iter().filter(|(_, o)| *o == entry).count();
    let most = live.iter().map(owned).max().unwrap_or(0);
    let mean = servers as f64 / entries as f64;
    println!("{domains:7} {servers:7} {entries:7} {us:16.0} {most:20} {mean:4.1}");
}
