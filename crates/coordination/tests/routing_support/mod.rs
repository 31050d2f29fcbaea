//! Names, member records and a small configuration for the tests of routing, shifts and membership.
#![allow(dead_code, reason = "each test file uses a part of it")]

use pollenshed_coordination::{
    membership::{MemberRecord, Membership, Params},
    ownership::LiveEntry,
};
use pollenshed_state::{
    config::{BackendServer, Config, Network, Region, Service, ShiftPolicy},
    ids::{ConfigVersion, FailureDomainName, Incarnation, InstanceName},
    settings::Timing,
    time::Instant,
    units::{BitRate, ByteSize, Percent, Slots},
};
use proptest::test_runner::{Config as Proptest, RngSeed};

pub fn proptest_config(cases: u32) -> Proptest {
    let rng_seed = RngSeed::Fixed(0x706f_6c6c);
    Proptest { cases, rng_seed, failure_persistence: None, ..Proptest::default() }
}

pub fn instance(number: usize) -> InstanceName {
    format!("entry-{number}").parse().unwrap()
}

pub fn domain(name: &str) -> FailureDomainName {
    name.parse().unwrap()
}

pub fn ms(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

pub fn record(number: usize, in_domain: &str, incarnation: u64) -> MemberRecord {
    MemberRecord {
        instance: instance(number),
        failure_domain: domain(in_domain),
        incarnation: Incarnation(incarnation),
        generation: 0,
        counter: 0,
        leaving: false,
        peer_address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        relay_address: ([127, 0, 0, 1], 2_000 + number as u16).into(),
        caller_address: ([127, 0, 0, 1], 20_000 + number as u16).into(),
        config_version: ConfigVersion(1),
        stamp_ms: 0,
    }
}

pub fn membership(number: usize, in_domain: &str, incarnation: u64, now: Instant) -> Membership {
    let params = Params::new(&Timing::default());
    Membership::new(record(number, in_domain, incarnation), params, now)
}

pub fn entry(number: usize, in_domain: &str) -> LiveEntry {
    LiveEntry {
        instance: instance(number),
        incarnation: Incarnation(number as u64),
        failure_domain: domain(in_domain),
    }
}

/// Runs one gossip exchange in both directions, as the daemon does.
pub fn exchange(members: &mut [Membership], from: usize, to: usize, now: Instant) {
    let (to_name, from_name) = (members[to].own().instance.clone(), members[from].own().clone());
    let request = members[from].build_exchange(&to_name, None, now);
    members[to].merge(&request, now);
    let reply = members[to].build_exchange(&from_name.instance, Some(&request), now);
    members[from].merge(&reply, now);
}

pub fn shift_policy(cap: u64, cold: u64, interval_ms: u64) -> ShiftPolicy {
    ShiftPolicy { cap_percent: Percent(cap), cold_cap_percent: Percent(cold), interval_ms }
}

pub const DOMAINS: [&str; 4] = ["north-a", "north-b", "south-a", "south-b"];

/// Returns a configuration of two regions with two failure domains each, and one service with
/// `servers` backend servers in each failure domain.
pub fn config(servers: usize) -> Config {
    let region = |name: &str, domains: &[&str]| Region {
        name: name.parse().unwrap(),
        failure_domains: domains.iter().map(|d| domain(d)).collect(),
    };
    let server = |in_domain: &str, number: usize| BackendServer {
        name: format!("{in_domain}-{number}").parse().unwrap(),
        failure_domain: domain(in_domain),
        address: ([127, 0, 0, 1], 9_000).into(),
        slots: Slots(4),
        connections: 360,
    };
    Config {
        format: 1,
        user: "tokachi".parse().unwrap(),
        regions: vec![region("north", &DOMAINS[..2]), region("south", &DOMAINS[2..])],
        network: Network {
            between_failure_domains_us: 1_500,
            between_regions_us: 10_000,
            to_clients_us: 1_000,
            region_link_bits_per_s: BitRate(8_000_000),
            region_link_share_percent: Percent(50),
        },
        ranks: Vec::new(),
        services: vec![Service {
            name: "tally-view".parse().unwrap(),
            operations: Vec::new(),
            max_request_bytes: ByteSize(1 << 20),
            max_answer_bytes: ByteSize(1 << 20),
            max_upload_bytes: ByteSize(1 << 20),
            shift: shift_policy(10, 5, 10_000),
            retry_budget_percent: Percent(10),
            backend_servers: DOMAINS
                .iter()
                .flat_map(|d| (0..servers).map(|n| server(d, n)))
                .collect(),
        }],
        drains: Vec::new(),
    }
}
