//! Tests of how an instance handles offered versions, and of the choice of readers.

use std::collections::BTreeSet;

use googletest::prelude::*;
use pollenshed_coordination::{
    membership::{Exchange, MemberRecord, Membership, Params},
    replication::{Offer, PollPlan, READERS_PER_DOMAIN, Replica, Report, poll_delay_ms, poll_plan},
};
use pollenshed_state::{
    ids::{ConfigVersion, Digest, Incarnation},
    settings::Timing,
    time::Instant,
};

/// Guards against an instance that applies an older version, or logs the same refused offer in
/// every poll.
#[gtest]
fn older_version_is_refused_and_reported_once() {
    let digest = Digest::of(b"a");
    let mut replica = Replica::default();
    expect_true!(replica.accept(ConfigVersion(5), digest));
    let refused = |report| Offer::Older { in_force: ConfigVersion(5), report };
    expect_that!(replica.offer(ConfigVersion(4), Some(digest)), eq(refused(Report::First)));
    expect_that!(replica.offer(ConfigVersion(4), Some(digest)), eq(refused(Report::Repeated)));
    expect_false!(replica.accept(ConfigVersion(4), digest));
    expect_that!(replica.version(), eq(ConfigVersion(5)));
    expect_that!(replica.offer(ConfigVersion(6), None), eq(Offer::Newer));
}

/// Guards against two documents with one version number of which instances apply different ones
/// without a log line.
#[gtest]
fn same_version_with_another_digest_is_a_conflict() {
    let digest = Digest::of(b"a");
    let mut replica = Replica::default();
    replica.accept(ConfigVersion(5), digest);
    expect_that!(replica.offer(ConfigVersion(5), Some(digest)), eq(Offer::Same));
    expect_that!(replica.offer(ConfigVersion(5), None), eq(Offer::Same));
    let conflict = |report| Offer::Conflict { in_force: digest, report };
    let other = Some(Digest::of(b"b"));
    expect_that!(replica.offer(ConfigVersion(5), other), eq(conflict(Report::First)));
    expect_that!(replica.offer(ConfigVersion(5), other), eq(conflict(Report::Repeated)));
    expect_false!(replica.accept(ConfigVersion(5), Digest::of(b"b")));
}

fn record(number: usize) -> MemberRecord {
    let address = "127.0.0.1:1".parse().unwrap();
    MemberRecord {
        instance: format!("entry-{number}").parse().unwrap(),
        failure_domain: "north-a".parse().unwrap(),
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

/// Returns the table of `own` after it received a message from each of `others`.
fn table(own: usize, others: &[usize]) -> Membership {
    let params = Params::new(&Timing::default());
    let mut membership = Membership::new(record(own), params, Instant::START);
    for other in others.iter().filter(|o| **o != own) {
        let sender = record(*other);
        let exchange =
            Exchange { sender, records: Vec::new(), heartbeats: Vec::new(), buckets: Vec::new() };
        membership.merge(&exchange, Instant::START);
    }
    membership
}

fn readers(live: &[usize]) -> BTreeSet<usize> {
    let is_reader =
        |own: &&usize| poll_plan(&table(**own, live), Instant::START, 1) == PollPlan::Reader;
    live.iter().filter(is_reader).copied().collect()
}

/// Guards against a failure domain that receives no more changes after its readers died.
#[gtest]
fn others_take_over_from_dead_readers() {
    let mut live: Vec<usize> = (0..10).collect();
    let mut seen = BTreeSet::new();
    while live.len() >= READERS_PER_DOMAIN {
        let chosen = readers(&live);
        expect_that!(chosen.len(), eq(READERS_PER_DOMAIN));
        live.retain(|n| !chosen.contains(n));
        seen.extend(chosen);
    }
    expect_that!(seen.len(), eq(10));
}

/// Guards against a failure domain that receives no changes while its chosen readers are running
/// but cut off from the platform, and against a load on the platform that grows with the failure
/// domain.
#[gtest]
fn one_more_member_is_drawn_in_each_period_on_average() {
    for members in [10usize, 40, 160] {
        let live: Vec<usize> = (0..members).collect();
        let mut random = fastrand::Rng::with_seed(7);
        let mut drawn = 0;
        let periods = 50;
        for own in &live {
            let table = table(*own, &live);
            let plans = (0..periods).map(|_| poll_plan(&table, Instant::START, random.u64(..)));
            drawn += plans.filter(|plan| *plan == PollPlan::Drawn).count();
        }
        let mean = drawn as f64 / f64::from(periods);
        expect_that!(mean, all![ge(0.5), le(1.6)], "{members} members");
    }
}

/// Guards against a new instance that waits for peers that it can't know.
#[gtest]
fn instance_without_peers_polls() {
    expect_that!(poll_plan(&table(1, &[]), Instant::START, 1), eq(PollPlan::Alone));
}

/// Guards against readers that poll in step, or that poll too late after an outage.
#[gtest]
fn poll_delay_grows_with_failures_up_to_a_limit() {
    for (failures, mean_ms) in [(0, 1_000), (1, 2_000), (3, 8_000), (70, 8_000)] {
        expect_that!(poll_delay_ms(1_000, failures, 0), eq(mean_ms / 2));
        expect_that!(poll_delay_ms(1_000, failures, mean_ms - 1), eq(mean_ms * 3 / 2 - 1));
    }
}
