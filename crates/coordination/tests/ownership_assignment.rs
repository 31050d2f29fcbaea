//! Tests of the assignment of owners to backend servers, and of the wait after a takeover.

mod routing_support;

use std::sync::Arc;

use googletest::prelude::*;
use pollenshed_coordination::{
    membership::MemberState,
    ownership::{Assignment, OwnerLiveness, OwnershipChange, OwnershipMap, live_entries, owner_of},
};
use pollenshed_state::{
    ids::{ConfigVersion, Incarnation},
    settings::Timing,
};
use proptest::{collection::vec, prelude::*};
use routing_support::{
    DOMAINS, config, domain, entry, exchange, instance, membership, ms, proptest_config,
};

proptest! {
    #![proptest_config(proptest_config(200))]

    /// Guards against a server with two owners, or with none although its region has an entry, and
    /// against owners that depend on the order of the entries.
    #[test]
    fn every_server_has_exactly_one_owner(domains in vec(0usize..4, 1..12), rotate in 0usize..12) {
        let entries: Vec<_> =
            domains.iter().enumerate().map(|(n, d)| entry(n, DOMAINS[*d])).collect();
        let mut rotated = entries.clone();
        rotated.rotate_left(rotate % entries.len());
        let config = config(12);
        let assignment = Assignment::compute(&config, &entries);
        prop_assert_eq!(&assignment, &Assignment::compute(&config, &rotated));
        let mut maps: Vec<_> = entries
            .iter()
            .map(|e| OwnershipMap::new(e.instance.clone(), &Timing::default()))
            .collect();
        for map in &mut maps {
            map.update(ConfigVersion(1), &config, &entries, |_| None, ms(0));
        }
        for server in &config.services[0].backend_servers {
            let owners = maps.iter().filter(|m| m.owns(&server.name)).count();
            let region = config.regions.iter().find(|r| {
                r.failure_domains.contains(&server.failure_domain)
            });
            let is_served = region.is_some_and(|r| {
                entries.iter().any(|e| r.failure_domains.contains(&e.failure_domain))
            });
            prop_assert_eq!(owners, usize::from(is_served));
        }
    }

    /// Guards against moving the servers of live entries when another entry fails.
    #[test]
    fn a_lost_entry_moves_only_its_own_servers(count in 2usize..8, lost in 0usize..8) {
        let lost = lost % count;
        let names: Vec<_> = (0..count).map(instance).collect();
        for server in &config(12).services[0].backend_servers {
            let before = owner_of(&server.name, &names).unwrap();
            let left = names.iter().filter(|n| **n != names[lost]);
            if *before != names[lost] {
                prop_assert_eq!(owner_of(&server.name, left), Some(before));
            }
        }
    }
}

/// Guards against servers without an owner when their failure domain has no live entry. Another
/// failure domain of the same region takes them over, but no other region does.
#[gtest]
fn next_failure_domain_of_the_region_owns_an_empty_one() {
    let config = config(3);
    let assignment = Assignment::compute(&config, &[entry(0, "north-b"), entry(1, "south-a")]);
    let of = |name: &str| assignment.owner(&name.parse().unwrap()).map(|o| o.instance.clone());
    expect_that!(of("north-a-0"), some(eq(&instance(0))));
    expect_that!(of("south-b-2"), some(eq(&instance(1))));
    let other_region = Assignment::compute(&config, &[entry(1, "south-a")]);
    expect_that!(other_region.owner(&"north-a-0".parse().unwrap()), none());
}

/// Guards against two instances that dispatch to a server after its owner changes, because the new
/// owner starts before the previous one has stopped.
#[gtest]
fn new_owner_waits_for_the_previous_one() {
    let config = config(1);
    let both = [entry(0, "north-a"), entry(1, "north-a")];
    let previous = Assignment::compute(&config, &both);
    let server = "north-a-0".parse().unwrap();
    let owner = previous.owner(&server).unwrap().clone();
    let successor = both.iter().find(|e| e.instance != owner.instance).unwrap();
    for (state, wait_ms) in [
        (Some(MemberState::Leaving), 500),
        (Some(MemberState::Dead), 1_000),
        (Some(MemberState::Alive), 3_000),
        (None, 3_000),
    ] {
        let mut map = OwnershipMap::new(successor.instance.clone(), &Timing::default());
        let liveness = |state| Some(OwnerLiveness { state, age_ms: 100_000 });
        map.update(ConfigVersion(1), &config, &both, |_| liveness(MemberState::Alive), ms(0));
        expect_false!(map.owns(&server));
        let change = map.update(
            ConfigVersion(1),
            &config,
            std::slice::from_ref(successor),
            |_| state.and_then(liveness),
            ms(10_000),
        );
        let takeover = change.gained.iter().find(|t| t.server == server).unwrap();
        expect_that!(takeover.previous, some(eq(&owner.instance)));
        expect_that!(takeover.usable_at, eq(ms(10_000 + wait_ms)));
        expect_true!(map.is_usable(&server, ms(10_000 + wait_ms)));
        expect_that!(map.is_usable(&server, ms(9_999 + wait_ms)), eq(false));
        let change = map.update(ConfigVersion(1), &config, &both, |_| None, ms(20_000));
        expect_that!(change.lost, contains(eq(&server)));
        expect_false!(map.is_usable(&server, ms(30_000)));
    }
}

/// Guards against an owner that dispatches right after a long pause, while requests still run that
/// other instances dispatched to its servers during the pause.
#[gtest]
fn owner_waits_again_after_a_long_pause() {
    let config = config(2);
    let own = entry(0, "north-a");
    let mut map = OwnershipMap::new(own.instance.clone(), &Timing::default());
    map.update(ConfigVersion(1), &config, std::slice::from_ref(&own), |_| None, ms(0));
    let owned: Vec<_> = map.waiting(ms(0)).cloned().collect();
    expect_that!(owned, not(is_empty()));
    let usable = |map: &OwnershipMap, at| owned.iter().filter(|s| map.is_usable(s, ms(at))).count();
    expect_that!(usable(&map, 3_000), eq(owned.len()));
    map.restart_wait(ms(10_000));
    expect_that!(usable(&map, 10_000), eq(0));
    expect_that!(usable(&map, 12_999), eq(0));
    expect_that!(usable(&map, 13_000), eq(owned.len()));
    // An update during the wait changes no ownership and does not end the wait.
    map.restart_wait(ms(20_000));
    let change =
        map.update(ConfigVersion(2), &config, std::slice::from_ref(&own), |_| None, ms(21_000));
    expect_that!(change, eq(&OwnershipChange::default()));
    expect_that!(usable(&map, 22_999), eq(0));
    expect_that!(usable(&map, 23_000), eq(owned.len()));
}

/// Guards against a second long pause that does not extend the wait after the first one.
#[gtest]
fn second_long_pause_starts_the_wait_anew() {
    let config = config(1);
    let own = entry(0, "north-a");
    let mut map = OwnershipMap::new(own.instance.clone(), &Timing::default());
    map.update(ConfigVersion(1), &config, std::slice::from_ref(&own), |_| None, ms(0));
    let server = map.waiting(ms(0)).next().unwrap().clone();
    map.restart_wait(ms(10_000));
    map.restart_wait(ms(12_000));
    expect_false!(map.is_usable(&server, ms(13_000)));
    expect_true!(map.is_usable(&server, ms(15_000)));
}

/// Guards against recomputing the owners in each gossip period, and against keeping owners that are
/// out of date after a change of the configuration or of the live entries.
#[gtest]
fn owners_are_recomputed_only_after_a_change() {
    let both = [entry(0, "north-a"), entry(1, "north-a")];
    let mut map = OwnershipMap::new(instance(0), &Timing::default());
    let mut update = |version, servers, entries: &[_]| {
        map.update(ConfigVersion(version), &config(servers), entries, |_| None, ms(0));
        map.view()
    };
    let first = update(1, 12, &both);
    expect_true!(Arc::ptr_eq(&first, &update(1, 12, &both)));
    let alone = update(1, 12, &both[..1]);
    expect_that!(alone.entries.as_slice(), eq(&both[..1]));
    let mut restarted = both.clone();
    restarted[1].incarnation = Incarnation(99);
    expect_that!(update(1, 12, &restarted).entries.as_slice(), eq(&restarted));
    let smaller = update(2, 4, &restarted);
    expect_that!(smaller.assignment, eq(&Assignment::compute(&config(4), &restarted)));
    expect_that!(smaller.version, eq(ConfigVersion(2)));
}

/// Guards against assigning servers to an entry that is stopping.
#[gtest]
fn leaving_entry_is_not_live() {
    let mut members = [membership(0, "north-a", 0, ms(0)), membership(1, "north-a", 0, ms(0))];
    members[0].set_leaving();
    exchange(&mut members, 0, 1, ms(0));
    for member in &members {
        let names: Vec<_> = live_entries(member, ms(0)).into_iter().map(|e| e.instance).collect();
        expect_that!(names, elements_are![eq(&instance(1))]);
    }
    expect_that!(members[1].own().failure_domain, eq(&domain("north-a")));
}
