//! Measures how a configuration scales with its number of backend servers: its size, the time to
//! read it, the time to compute all owners, and the size and time of one change as a delta.
//!
//! `cargo run --release -p pollenshed-coordination --example config_size`

use std::time::Instant;

use pollenshed_coordination::{
    ownership::{Assignment, LiveEntry},
    replication::{Change, apply, diff},
};
use pollenshed_state::{
    config::{
        BackendServer, Config, Drain, Network, Operation, Rank, RankPolicy, Region, Service,
        ShiftPolicy,
    },
    ids::{ConfigVersion, Digest, Incarnation},
    units::{BitRate, ByteSize, Percent, Slots},
};

const REGIONS: usize = 16;
const DOMAINS: usize = 40;
/// Live entries in the table of one instance: 167 of its own failure domain and 4 of each other
/// one.
const ENTRIES: usize = 323;
const REPEATS: u32 = 20;
const SERVERS: [usize; 5] = [48, 480, 500, 1_700, 6_800];

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

/// Returns typical changes by operators, with the name that is printed for each.
fn changes(config: &Config) -> Vec<(&'static str, Config)> {
    let changed = |change: &dyn Fn(&mut Config)| {
        let mut config = config.clone();
        change(&mut config);
        config
    };
    let servers = |config: &mut Config| std::mem::take(&mut config.services[1].backend_servers);
    let drained = config.services[2].backend_servers[3].name.clone();
    vec![
        ("slots", changed(&|c| c.services[1].backend_servers[5].slots = Slots(3))),
        ("drain", changed(&|c| c.drains.push(Drain::BackendServer(drained.clone())))),
        (
            "slots_and_drain",
            changed(&|c| {
                c.services[1].backend_servers[5].slots = Slots(3);
                c.drains.push(Drain::BackendServer(drained.clone()));
            }),
        ),
        (
            "replaced_server",
            changed(&|c| {
                let server = &mut c.services[1].backend_servers[5];
                server.name = name("service-1-replacement".to_owned());
                server.address.set_port(9_001);
            }),
        ),
        (
            "removed_server",
            changed(&|c| {
                c.services[1].backend_servers.remove(5);
            }),
        ),
        (
            "slots_of_a_service",
            changed(&|c| {
                let all = servers(c).into_iter();
                let halved = all.map(|s| BackendServer { slots: Slots(2), ..s });
                c.services[1].backend_servers = halved.collect();
            }),
        ),
    ]
}

fn measure_deltas(servers: usize, config: &Config) {
    let old = config.canonical_json();
    for (what, changed) in changes(config) {
        let new = changed.canonical_json();
        let splices = diff(old.as_bytes(), new.as_bytes());
        assert_eq!(apply(old.as_bytes(), &splices).as_deref(), Ok(new.as_bytes()));
        let diff_ms = time_ms(|| {
            std::hint::black_box(diff(old.as_bytes(), new.as_bytes()));
        });
        let apply_ms = time_ms(|| {
            let new = apply(old.as_bytes(), &splices);
            std::hint::black_box(Digest::of(&new.unwrap_or_default()));
        });
        let stamp = (ConfigVersion(1), Digest::of(old.as_bytes()));
        let delta_bytes = Change { from: stamp, to: stamp, splices }.size_bytes();
        println!("{servers} {what} {} {delta_bytes} {diff_ms:.2} {apply_ms:.2}", new.len());
    }
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
    for servers in SERVERS {
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
    println!("backend_servers change document_B delta_B diff_ms apply_and_digest_ms");
    for servers in SERVERS {
        measure_deltas(servers, &config(servers));
    }
}
