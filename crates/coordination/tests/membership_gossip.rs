//! Tests of gossip over in-memory exchanges: convergence, cut links, partitions and pauses.

mod routing_support;

use googletest::prelude::*;
use pollenshed_coordination::membership::{Candidate, MemberState, Membership, is_in_scope};
use pollenshed_state::time::Instant;
use proptest::prelude::{any, proptest};
use routing_support::{domain, exchange, instance, membership, ms, proptest_config, record};

const PERIOD_MS: u64 = 250;

fn group(count: usize) -> Vec<Membership> {
    let domain = |n: usize| routing_support::DOMAINS[n % 4];
    let mut members: Vec<_> =
        (0..count).map(|n| membership(n, domain(n), n as u64, ms(0))).collect();
    for (n, member) in members.iter_mut().enumerate() {
        let previous = (n + count - 1) % count;
        let peer_address = record(previous, "north-a", 0).peer_address;
        let instance = instance(previous);
        member.set_candidates(vec![Candidate { instance, peer_address }]);
    }
    members
}

fn round(
    members: &mut [Membership],
    now: Instant,
    random: &mut fastrand::Rng,
    is_cut: impl Fn(usize, usize) -> bool,
) {
    for from in 0..members.len() {
        members[from].tick(now);
        for peer in members[from].pick_peers(now, random.u64(..)) {
            let to = members.iter().position(|m| m.own().instance == peer.instance);
            if let Some(to) = to.filter(|to| !is_cut(from, *to)) {
                exchange(members, from, to, now);
            }
        }
    }
}

fn alive(member: &Membership, now: Instant) -> usize {
    member.members(now).filter(|(_, state)| *state == MemberState::Alive).count()
}

proptest! {
    #![proptest_config(proptest_config(60))]

    /// Guards against members that never learn of each other when each starts with one candidate.
    #[test]
    fn tables_converge_within_twelve_rounds(count in 2usize..=10, seed in any::<u64>()) {
        let mut members = group(count);
        let mut random = fastrand::Rng::with_seed(seed);
        for period in 1..=12 {
            round(&mut members, ms(period * PERIOD_MS), &mut random, |_, _| false);
        }
        let now = ms(12 * PERIOD_MS);
        let home = domain("north-a");
        let digests: Vec<_> = members.iter().map(|m| m.digest(&home, now)).collect();
        assert!(members.iter().all(|m| alive(m, now) == count), "some member is missing");
        assert!(digests.iter().all(|d| *d == digests[0]), "digests of equal tables differ");
    }

    /// Guards against declaring a member dead although only its link to one other member is cut.
    #[test]
    fn cut_between_two_members_is_bridged(seed in any::<u64>()) {
        let mut members = group(6);
        let mut random = fastrand::Rng::with_seed(seed);
        for period in 1..=100 {
            let now = ms(period * PERIOD_MS);
            let is_cut = |a, b| period > 20 && matches!((a, b), (0, 1) | (1, 0));
            round(&mut members, now, &mut random, is_cut);
            if period > 20 {
                let state = members[0].state_of(&instance(1), now).unwrap();
                assert!(state.is_live(), "period {period}: {state:?}");
            }
        }
    }

    /// Guards against halves of a group that stay separate after the partition between them has
    /// healed.
    #[test]
    fn healed_partition_is_found_again(seed in any::<u64>()) {
        let mut members = group(8);
        let mut random = fastrand::Rng::with_seed(seed);
        for period in 1..=160 {
            let is_cut = |a: usize, b: usize| (20..120).contains(&period) && (a < 4) != (b < 4);
            let now = ms(period * PERIOD_MS);
            round(&mut members, now, &mut random, is_cut);
            if period == 119 {
                assert!(members.iter().all(|m| alive(m, now) == 4));
            }
        }
        assert!(members.iter().all(|m| alive(m, ms(160 * PERIOD_MS)) == 8));
    }
}

/// Guards against a silent member that is never suspected, or that is never removed.
#[gtest]
fn silent_member_becomes_suspect_then_dead_then_forgotten() {
    let mut members = group(2);
    members[1].tick(ms(0));
    exchange(&mut members, 0, 1, ms(0));
    let other = instance(1);
    let mut states = Vec::new();
    for period in 0..=2_420 {
        let now = ms(period * PERIOD_MS);
        members[0].tick(now);
        let state = members[0].state_of(&other, now);
        if states.last().is_none_or(|(_, last)| *last != state) {
            states.push((period * PERIOD_MS, state));
        }
    }
    expect_that!(
        states,
        elements_are![
            eq(&(0, Some(MemberState::Alive))),
            eq(&(1_500, Some(MemberState::Suspect))),
            eq(&(3_000, Some(MemberState::Dead))),
            eq(&(603_000, None)),
        ]
    );
}

/// Guards against an instance that declares all others dead after its own pause.
#[gtest]
fn own_pause_is_not_silence_of_others() {
    let mut members = group(2);
    members[1].tick(ms(0));
    exchange(&mut members, 0, 1, ms(0));
    members[0].tick(ms(100));
    let state = |m: &Membership, now| m.state_of(&instance(1), now);
    expect_that!(state(&members[0], ms(30_000)), some(eq(MemberState::Alive)));
    members[0].tick(ms(30_000));
    expect_that!(state(&members[0], ms(30_000)), some(eq(MemberState::Alive)));
}

/// Guards against adding a stopped instance to the members because the platform still lists it.
#[gtest]
fn listed_instance_is_only_a_peer_to_try() {
    let mut member = group(2).swap_remove(0);
    member.tick(ms(250));
    expect_that!(member.state_of(&instance(1), ms(250)), none());
    let peers: Vec<_> = member.pick_peers(ms(250), 1).into_iter().map(|p| p.instance).collect();
    expect_that!(peers, elements_are![eq(&instance(1))]);
}

/// Guards against stale gossip that brings back a member that has stopped.
#[gtest]
fn relayed_record_is_unconfirmed_until_the_counter_advances() {
    let mut members = group(3);
    let mut message = members[1].build_exchange(&instance(0), None, ms(250));
    message.records.push(record(2, "north-a", 2));
    members[0].tick(ms(250));
    members[0].merge(&message, ms(250));
    expect_that!(members[0].state_of(&instance(2), ms(250)), some(eq(MemberState::Unconfirmed)));
    let passed_on = members[0].build_exchange(&instance(1), None, ms(250));
    expect_that!(passed_on.records, is_empty());
    message.records[0].counter = 1;
    members[0].merge(&message, ms(500));
    expect_that!(members[0].state_of(&instance(2), ms(500)), some(eq(MemberState::Alive)));
}

/// Guards against tables that hold all members of every failure domain, which are too large at the
/// two-year size.
#[gtest]
fn other_failure_domains_are_known_by_their_representatives_only() {
    let names: Vec<_> = (0..170).map(instance).collect();
    let own = domain("north-a");
    let in_scope = |n: usize, of: &str| {
        is_in_scope(&record(n, of, 0), &own, names.iter().filter(|i| **i != names[n]), 4)
    };
    expect_that!((0..170).filter(|n| in_scope(*n, "south-a")).count(), eq(4));
    expect_that!((0..170).filter(|n| in_scope(*n, "north-a")).count(), eq(170));
    let mut member = membership(200, "north-a", 0, ms(0));
    for n in 0..170 {
        let sender = membership(n, "south-a", 0, ms(0)).build_exchange(&instance(200), None, ms(0));
        member.merge(&sender, ms(0));
    }
    member.tick(ms(0));
    expect_that!(alive(&member, ms(0)), eq(5));
}
