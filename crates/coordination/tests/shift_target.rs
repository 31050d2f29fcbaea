//! Target shares of a service, computed from configuration and health.

mod routing_support;

use googletest::prelude::*;
use pollenshed_coordination::shift::{Demand, DomainHealth, Shares, target_shares};
use pollenshed_state::config::Drain;
use routing_support::{DOMAINS, config, domain};

fn target(usable: [u32; 4], headroom: [u64; 4], home_ppm: u32, drains: Vec<Drain>) -> [u32; 4] {
    let mut config = config(2);
    config.drains = drains;
    let health = DOMAINS.iter().enumerate().map(|(n, name)| {
        let health = DomainHealth {
            usable_backend_servers: usable[n],
            cold_backend_servers: 0,
            headroom_per_s: headroom[n],
        };
        (domain(name), health)
    });
    let home = domain(DOMAINS[0]);
    let service = config.services[0].clone();
    let demand = Demand { home_ppm, requests_per_s: 10 };
    let shares = target_shares(&config, &service, &home, &health.collect(), demand);
    let remote = |n: usize| shares.ppm_of(&domain(DOMAINS[n]));
    [shares.home_ppm(), remote(1), remote(2), remote(3)]
}

/// Guards against traffic that leaves the region although a failure domain in it has headroom.
#[gtest]
fn near_domains_come_before_far_ones() {
    let all = |usable, headroom| target(usable, headroom, 1_000_000, Vec::new());
    expect_that!(all([2; 4], [10; 4]), eq([1_000_000, 0, 0, 0]));
    expect_that!(all([0, 2, 2, 2], [10; 4]), eq([0, 1_000_000, 0, 0]));
    expect_that!(all([0, 2, 2, 2], [10, 0, 30, 10]), eq([0, 0, 750_000, 250_000]));
    expect_that!(all([0, 0, 0, 0], [10; 4]), eq([1_000_000, 0, 0, 0]));
}

/// Guards against traffic of a lost failure domain that the other one of the region refuses while
/// other regions have headroom, and against traffic that stays in the lost failure domain because
/// no other has enough headroom.
#[gtest]
fn excess_over_near_headroom_goes_to_other_regions() {
    let lost = |headroom| target([0, 2, 2, 2], headroom, 1_000_000, Vec::new());
    expect_that!(lost([0, 4, 30, 10]), eq([0, 400_000, 450_000, 150_000]));
    expect_that!(lost([0, 4, 0, 0]), eq([0, 1_000_000, 0, 0]));
    expect_that!(lost([0, 4, 1, 1]), eq([0, 400_000, 300_000, 300_000]));
}

/// Guards against an overloaded home failure domain that moves more or less traffic than its
/// excess.
#[gtest]
fn overloaded_home_sends_away_the_excess() {
    expect_that!(target([2; 4], [10; 4], 700_000, Vec::new()), eq([700_000, 300_000, 0, 0]));
}

/// Guards against a share for a drained target, with each of the three kinds of drain.
#[gtest]
fn drained_domains_get_no_share() {
    let servers = ["north-a-0", "north-a-1"].map(|s| Drain::BackendServer(s.parse().unwrap()));
    let home = Drain::FailureDomain(domain(DOMAINS[0]));
    for drains in [servers.to_vec(), vec![home]] {
        expect_that!(target([2; 4], [10; 4], 1_000_000, drains), eq([0, 1_000_000, 0, 0]));
    }
    let region = vec![Drain::Region("north".parse().unwrap())];
    expect_that!(target([2; 4], [10; 4], 1_000_000, region), eq([0, 0, 500_000, 500_000]));
}

/// Guards against shares from a faulty peer that add up to more than the whole traffic.
#[gtest]
fn shares_never_exceed_the_whole() {
    let shares = Shares::from_remote(DOMAINS[1..].iter().map(|d| (domain(d), 900_000)));
    expect_that!(shares.remote_ppm(), eq(1_000_000));
    expect_that!(shares.home_ppm(), eq(0));
}
