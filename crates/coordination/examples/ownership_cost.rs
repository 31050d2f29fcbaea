//! Measures the cost of ownership for several numbers of backend servers and entries: a
//! recomputation, an update without a change, a copy of the assignment, and a reference to the
//! shared view. It also prints how evenly the servers are distributed.

use std::{hint::black_box, time::Instant as Clock};

use pollenshed_coordination::ownership::{Assignment, LiveEntry, OwnershipMap};
use pollenshed_state::{
    config::{BackendServer, Config, Network, Region, Service, ShiftPolicy},
    ids::{ConfigVersion, FailureDomainName, Incarnation},
    settings::Timing,
    time::Instant,
    units::{BitRate, ByteSize, Percent, Slots},
};

const REPEATS: u32 = 5;
const CHEAP_REPEATS: u32 = 1_000;

fn main() {
    println!(
        "domains servers entries us/recomputation us/unchanged us/copy us/view most_servers/entry mean"
    );
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
    let us = us_per_call(REPEATS, || {
        black_box(Assignment::compute(&config, &live));
    });
    let assignment = Assignment::compute(&config, &live);
    let owned = |entry: &LiveEntry| assignment.iter().filter(|(_, o)| *o == entry).count();
    let most = live.iter().map(owned).max().unwrap_or(0);
    let mean = servers as f64 / entries as f64;
    let mut map = OwnershipMap::new(live[0].instance.clone(), &Timing::default());
    let mut update = || {
        let now = Instant::from_ms(0);
        black_box(map.update(ConfigVersion(1), &config, &live, |_| None, now));
    };
    update();
    let unchanged_us = us_per_call(CHEAP_REPEATS, update);
    let copy_us = us_per_call(CHEAP_REPEATS, || {
        black_box(assignment.clone());
    });
    let view_us = us_per_call(CHEAP_REPEATS, || {
        black_box(map.view());
    });
    println!(
        "{domains:7} {servers:7} {entries:7} {us:16.0} {unchanged_us:12.2} {copy_us:7.2} \
         {view_us:7.3} {most:20} {mean:4.1}"
    );
}

fn us_per_call(repeats: u32, mut call: impl FnMut()) -> f64 {
    let began = Clock::now();
    (0..repeats).for_each(|_| call());
    began.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}
