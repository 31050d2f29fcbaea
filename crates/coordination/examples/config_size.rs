//! Measures a configuration against its number of backend servers: bytes, time to read it and time to
//! find all owners.
//!
//! `cargo run --release -p pollenshed-coordination --example config_size`

use std::time::Instant;

use pollenshed_coordination::ownership::{Assignment, LiveEntry};
use pollenshed_state::{
    config::{
        BackendServer, Config, Network, Operation, Rank, RankPolicy, Region, Service, ShiftPolicy,
    },
    ids::{Digest, Incarnation},
    units::{BitRate, ByteSize, Percent, Slots},
};

const REGIONS: usize = 16;
const DOMAINS: usize = 40;
/// Live entries in the table of one instance: 167 of its failure domain and 4 of each other one.
const ENTRIES: usize = 323;
const REPEATS: u32 = 20;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: String) -> T {
    text.parse().expect("a valid name")
}

fn service(number: usize, servers: usize) -> Service {
    Service {
        name: name(format!("service-{number}")),
        operations: vec![Operation {
            methods: vec!["GET".to_owned()],
            path_prefix: "/".to_owned(),
            rank: Rank::Urgent,
            idempotent: true,
        }],
        max_request_bytes: ByteSize(1 << 20),
        max_answer_bytes: ByteSize(1 << 20),
        max_upload_bytes: ByteSize(1 << 28),
        shift: ShiftPolicy {
            cap_percent: Percent(10),
            cold_cap_percent: Percent(5),
            interval_ms: 10_000,
        },
        retry_budget_percent: Percent(10),
        backend_servers: (0..servers)
            .map(|n| BackendServer {
                name: name(format!("service-{number}-server-{n}")),
                failure_domain: name(format!("region-a-{}", n % DOMAINS)),
                address: ([127, 0, 0, 1], 9_000).into(),
                slots: Slots(4),
                connections: 360,
            })
            .collect(),
    }
}

fn config(servers: usize) -> Config {
    let domain = |n: usize| name(format!("region-a-{n}"));
    let region = |r: usize| Region {
        name: name(format!("region-{r}")),
        failure_domains: (0..DOMAINS).filter(|d| d % REGIONS == r).map(domain).collect(),
    };
    let policy = |rank| RankPolicy { rank, min_share_percent: Percent(30), deadline_ms: 5_000 };
    Config {
        format: 1,
        user: name("test".to_owned()),
        regions: (0..REGIONS).map(region).collect(),
        network: Network {
            between_failure_domains_us: 1_500,
            between_regions_us: 10_000,
            to_clients_us: 10_000,
            region_link_bits_per_s: BitRate(4_000_000_000),
            region_link_share_percent: Percent(50),
        },
        ranks: Rank::ALL.map(policy).to_vec(),
        services: (0..4).map(|n| service(n, servers / 4)).collect(),
        drains: Vec::new(),
    }
}

fn time_ms(mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..REPEATS).for_each(|_| work());
    start.elapsed().as_secs_f64() * 1e3 / f64::from(REPEATS)
}

fn main() {
    println!("backend_servers document_B read_and_digest_ms owners_ms");
    let entries: Vec<_> = (0..ENTRIES)
        .map(|n| LiveEntry {
            instance: name(format!("entry-{n}")),
            incarnation: Incarnation(n as u64),
            failure_domain: name(format!("region-a-{}", if n < 167 { 0 } else { n % DOMAINS })),
        })
        .collect();
    for servers in [48, 480, 1_700, 6_800] {
        let config = config(servers);
        let text = config.canonical_json();
        let read_ms = time_ms(|| {
            std::hint::black_box(Digest::of(text.as_bytes()));
            let read: Result<Config, _> = serde_json::from_str(&text);
            std::hint::black_box(read.is_ok());
        });
        let owners_ms = time_ms(|| {
            std::hint::black_box(Assignment::compute(&config, &entries));
        });
        println!("{servers} {} {read_ms:.2} {owners_ms:.2}", text.len());
    }
}
