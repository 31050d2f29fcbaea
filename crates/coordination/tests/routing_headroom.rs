//! The split of advertised headroom among entries, and the entries that a lookup answer names.

mod routing_support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use pollenshed_coordination::{
    membership::Membership,
    ownership::LiveEntry,
    routing::{
        Advertisement, AdvertisementRejection, Advertisements, InboundLimiter, SendingDomains,
        choose_lookup_domain, rank_entries,
    },
    shift::{Ramp, Shares},
};
use pollenshed_state::ids::Incarnation;
use proptest::{collection::vec, prelude::*};
use routing_support::{
    DOMAINS, config, domain, exchange, instance, membership, ms, proptest_config, shift_policy,
};

fn advert(requests_per_s: u64, parts: u64, sequence: u64) -> Advertisement {
    Advertisement {
        owner: instance(0),
        incarnation: Incarnation(7),
        service: "tally-view".parse().unwrap(),
        failure_domain: domain(DOMAINS[0]),
        requests_per_s,
        parts,
        sequence,
        ttl_left_ms: 2_000,
        usable_backend_servers: 3,
        cold_backend_servers: 0,
    }
}

fn try_spend(adverts: &mut Advertisements, now_ms: u64) -> bool {
    let (service, domain, owner) = ("tally-view".parse().unwrap(), domain(DOMAINS[0]), instance(0));
    let has = adverts.has_headroom(&service, &domain, &owner, ms(now_ms));
    if has {
        adverts.spend(&service, &domain, &owner);
    }
    has
}

fn store(
    adverts: &mut Advertisements,
    advert: Advertisement,
    now_ms: u64,
) -> std::result::Result<(), AdvertisementRejection> {
    adverts.store(advert, Some(Incarnation(7)), ms(now_ms))
}

proptest! {
    #![proptest_config(proptest_config(200))]

    /// Guards against entries that together exceed the advertised rate of an owner in any second.
    #[test]
    fn all_entries_together_stay_within_the_advertised_rate(
        entries in 1u64..12,
        share in 2u64..40,
        attempts in vec((0usize..12, 0u64..30, 1usize..20), 1..400),
    ) {
        let rate = share * entries;
        let mut all: Vec<_> = (0..entries).map(|_| Advertisements::new(2_000, ms(0))).collect();
        let mut spent = Vec::new();
        let mut now_ms = 0;
        for (sequence, (entry_index, gap_ms, count)) in attempts.into_iter().enumerate() {
            now_ms += gap_ms;
            for adverts in &mut all {
                let advert = advert(rate, entries, sequence as u64);
                let current = Some(Incarnation(7));
                adverts.store(advert, current, ms(now_ms)).unwrap();
            }
            let entry_index = entry_index % all.len();
            let taken = (0..count).filter(|_| try_spend(&mut all[entry_index], now_ms)).count();
            spent.extend(std::iter::repeat_n(now_ms, taken));
            let in_second = spent.iter().filter(|at| **at + 1_000 > now_ms).count() as u64;
            prop_assert!(in_second <= rate, "{in_second} requests in a second at {rate} per s");
        }
    }

    /// Guards against an owner that admits more requests in any second than it advertised.
    #[test]
    fn inbound_limiter_holds_in_any_second(rate in 2u64..200, gaps in vec(0u64..50, 1..500)) {
        let mut limiter = InboundLimiter::new(ms(0));
        let mut admitted = Vec::new();
        let mut now_ms = 0;
        for gap_ms in gaps {
            now_ms += gap_ms;
            limiter.set_advertised_rate(rate, ms(now_ms));
            for _ in 0..5 {
                if limiter.admit(ms(now_ms)) {
                    admitted.push(now_ms);
                }
            }
            let in_second = admitted.iter().filter(|at| **at + 1_000 > now_ms).count() as u64;
            prop_assert!(in_second <= rate);
        }
    }
}

/// Guards against headroom that is split among entries that send nothing, and against parts that
/// are too large when more failure domains begin to send.
#[gtest]
fn headroom_is_split_among_the_failure_domains_that_send() {
    let entries: Vec<_> = (0..8)
        .map(|n| LiveEntry {
            instance: instance(n),
            incarnation: Incarnation(n as u64),
            failure_domain: domain(DOMAINS[n / 2]),
        })
        .collect();
    let mut senders = SendingDomains::default();
    expect_that!(senders.parts(&entries, ms(0)), eq(8));
    senders.record(&domain(DOMAINS[1]), ms(0));
    expect_that!(senders.parts(&entries, ms(0)), eq(3));
    senders.record(&domain(DOMAINS[2]), ms(1_000));
    expect_that!(senders.parts(&entries, ms(3_999)), eq(5));
    expect_that!(senders.parts(&entries, ms(4_000)), eq(3));
    expect_that!(senders.parts(&entries, ms(5_000)), eq(8));
    senders.record(&domain(DOMAINS[0]), ms(6_000));
    expect_that!(senders.parts(&entries[..2], ms(6_000)), eq(2));
    expect_that!(senders.parts(&[], ms(6_000)), eq(1));
}

/// Guards against use of an advertisement of another incarnation, an outdated one or a late copy.
#[gtest]
fn stale_advertisements_are_ignored() {
    let mut adverts = Advertisements::new(2_000, ms(0));
    let other = adverts.store(advert(10, 1, 5), Some(Incarnation(8)), ms(0));
    expect_that!(other, err(eq(AdvertisementRejection::OtherIncarnation)));
    expect_that!(store(&mut adverts, advert(10, 1, 5), 0), ok(eq(())));
    expect_that!(
        store(&mut adverts, advert(99, 1, 4), 0),
        err(eq(AdvertisementRejection::StaleSequence))
    );
    expect_that!(
        store(&mut adverts, advert(99, 1, 5), 3_000),
        err(eq(AdvertisementRejection::StaleSequence))
    );
    let over = Advertisement { ttl_left_ms: 0, ..advert(10, 1, 6) };
    expect_that!(store(&mut adverts, over, 0), err(eq(AdvertisementRejection::Expired)));
    let passed_on = adverts.received_after(0, ms(1_500));
    expect_that!(passed_on, len(eq(1)));
    expect_that!(passed_on[0].ttl_left_ms, eq(500));
    expect_that!(adverts.received_after(0, ms(2_000)), is_empty());
    expect_false!(try_spend(&mut adverts, 2_000));
}

/// Guards against a time to live from a faulty peer that exceeds the configured one.
#[gtest]
fn ttl_is_bounded_by_the_own_setting() {
    let mut adverts = Advertisements::new(2_000, ms(0));
    let long = Advertisement { ttl_left_ms: u64::MAX, ..advert(10, 1, 1) };
    store(&mut adverts, long, 0).unwrap();
    expect_true!(try_spend(&mut adverts, 1_999));
    expect_false!(try_spend(&mut adverts, 2_000));
}

/// Guards against a new entry that uses headroom before the owners know of it.
#[gtest]
fn new_entry_spends_nothing_at_first() {
    let mut adverts = Advertisements::new(2_000, ms(3_000));
    store(&mut adverts, advert(100, 1, 1), 2_500).unwrap();
    expect_false!(try_spend(&mut adverts, 2_999));
    expect_true!(try_spend(&mut adverts, 3_000));
}

fn membership_of_eight_entries() -> Membership {
    let mut members: Vec<_> =
        (0..8).map(|n| membership(n, DOMAINS[n / 2], n as u64, ms(0))).collect();
    for from in 1..8 {
        exchange(&mut members, from, 0, ms(0));
    }
    members.swap_remove(0)
}

/// Guards against answers that name distant entries first, or that send more clients to one entry
/// of a failure domain than to another.
#[gtest]
fn lookups_name_near_entries_first_and_spread_clients() {
    let (config, view) = (config(1), membership_of_eight_entries());
    let service = config.services[0].name.clone();
    let mut first: BTreeMap<_, u32> = BTreeMap::new();
    for client in 0..2_000u32 {
        let home = domain(DOMAINS[1]);
        let ranked = rank_entries(&config, &view, &service, &home, &client.to_le_bytes(), 6, ms(0));
        let domains: Vec<_> = ranked.iter().map(|r| r.failure_domain.to_string()).collect();
        assert_that!(
            domains.iter().map(String::as_str).collect::<Vec<_>>(),
            eq(&vec!["north-b", "north-b", "north-a", "north-a", "south-a", "south-a"])
        );
        *first.entry(ranked[0].instance.to_string()).or_default() += 1;
    }
    expect_that!(first.values().copied().collect::<Vec<_>>(), each(ge(&900)));
    expect_that!(first, len(eq(2)));
}

/// Guards against answers that name an entry that is stopping or dead.
#[gtest]
fn lookups_leave_out_entries_that_do_not_serve() {
    let config = config(1);
    let service = config.services[0].name.clone();
    let mut members: Vec<_> = (0..3).map(|n| membership(n, DOMAINS[0], 0, ms(0))).collect();
    members[1].set_leaving();
    exchange(&mut members, 1, 0, ms(0));
    exchange(&mut members, 2, 0, ms(0));
    let named = |now_ms| -> Vec<_> {
        let home = domain(DOMAINS[0]);
        let ranked = rank_entries(&config, &members[0], &service, &home, b"", 9, ms(now_ms));
        let mut names: Vec<_> = ranked.into_iter().map(|r| r.instance).collect();
        names.sort();
        names
    };
    expect_that!(named(0), eq(&vec![instance(0), instance(2)]));
    let mut members = members.clone();
    for now_ms in (0..=3_000).step_by(250) {
        members[0].tick(ms(now_ms));
    }
    let home = domain(DOMAINS[0]);
    let ranked = rank_entries(&config, &members[0], &service, &home, b"", 9, ms(3_000));
    expect_that!(ranked, len(eq(1)));
}

/// Guards against lookup answers that send more clients to other failure domains than the position
/// allows.
#[gtest]
fn lookup_answers_follow_the_position() {
    let config = config(1);
    for (is_home_lost, expected) in [(false, (80, 20)), (true, (0, 20))] {
        let mut ramp = Ramp::new(domain(DOMAINS[0]), shift_policy(10, 5, 1_000));
        ramp.adopt_position(Shares::from_remote([(domain(DOMAINS[2]), 200_000)]), ms(0));
        let has_entries = |d: &_| !is_home_lost || *d != domain(DOMAINS[0]);
        let named: Vec<_> = (0..100)
            .filter_map(|n| choose_lookup_domain(&config, &mut ramp, has_entries, ms(n)))
            .collect();
        let count = |name| named.iter().filter(|d| **d == domain(name)).count();
        expect_that!((count(DOMAINS[0]), count(DOMAINS[2])), eq(expected));
    }
}

/// Guards against a rate from a faulty peer that overflows the arithmetic of the token bucket.
#[gtest]
fn any_advertised_rate_is_handled() {
    let mut adverts = Advertisements::new(2_000, ms(0));
    store(&mut adverts, advert(u64::MAX, 1, 1), 0).unwrap();
    store(&mut adverts, advert(u64::MAX, u64::MAX, 2), 1 << 50).unwrap();
    expect_true!(try_spend(&mut adverts, (1 << 50) + 1_000));
}
