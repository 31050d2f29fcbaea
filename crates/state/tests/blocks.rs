//! Tests of the client-block map against a linear search.

use std::{
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    sync::Arc,
    thread,
};

use googletest::prelude::*;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use pollenshed_state::blocks::{BlockChange, BlockMap, SharedBlockMap, SiteNumber, decode, encode};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Few distinct bits, so that blocks enclose each other and addresses hit their edges.
fn address_v4() -> impl Strategy<Value = Ipv4Addr> {
    vec(prop_oneof![Just(0u8), Just(1), Just(127), Just(128), Just(255)], 4)
        .prop_map(|b| Ipv4Addr::new(b[0], b[1], b[2], b[3]))
}

fn address_v6() -> impl Strategy<Value = Ipv6Addr> {
    vec(prop_oneof![4 => Just(0u16), 1 => Just(0x8000), 1 => Just(0xffff)], 8)
        .prop_map(|b| Ipv6Addr::from(<[u16; 8]>::try_from(b).unwrap()))
}

fn block() -> impl Strategy<Value = IpNet> {
    prop_oneof![
        (address_v4(), 0..=32u8).prop_map(|(a, len)| Ipv4Net::new_assert(a, len).trunc().into()),
        (address_v6(), 0..=128u8).prop_map(|(a, len)| Ipv6Net::new_assert(a, len).trunc().into()),
    ]
}

fn address() -> impl Strategy<Value = IpAddr> {
    prop_oneof![address_v4().prop_map(IpAddr::V4), address_v6().prop_map(IpAddr::V6)]
}

fn change() -> impl Strategy<Value = BlockChange> {
    (block(), prop_oneof![3 => (0..1_700u16).prop_map(|s| Some(SiteNumber(s))), 1 => Just(None)])
}

fn naive_apply(blocks: &mut Vec<(IpNet, SiteNumber)>, changes: &[BlockChange]) {
    for (block, site) in changes {
        blocks.retain(|(b, _)| b != block);
        blocks.extend(site.map(|site| (*block, site)));
    }
}

fn naive_find(blocks: &[(IpNet, SiteNumber)], address: IpAddr) -> Option<(IpNet, SiteNumber)> {
    let matching = blocks.iter().filter(|(block, _)| block.contains(&address));
    matching.max_by_key(|(block, _)| block.prefix_len()).copied()
}

fn runner() -> TestRunner {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Guards against a client that is sent to the site of a less specific or unrelated block, in a new
/// map and after changes.
#[gtest]
fn longest_match_equals_a_linear_search() {
    let input = (vec(change(), 0..40), vec(vec(change(), 0..10), 0..4), vec(address(), 40));
    let result = runner().run(&input, |(first, later, addresses)| {
        let mut naive = Vec::new();
        naive_apply(&mut naive, &first);
        let mut map = BlockMap::build(naive.iter().copied());
        for changes in &later {
            naive_apply(&mut naive, changes);
            map = map.with_changes(changes.iter().copied());
        }
        prop_assert_eq!(map.len(), naive.len());
        prop_assert_eq!(&map, &BlockMap::build(naive.iter().copied()));
        for address in addresses {
            prop_assert_eq!(map.block_of(address), naive_find(&naive, address));
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against changes that decode to something else than what was encoded.
#[gtest]
fn encoded_changes_are_read_back() {
    let result = runner().run(&vec(change(), 0..20), |changes| {
        let mut bytes = Vec::new();
        encode(changes.iter().copied(), &mut bytes);
        prop_assert_eq!(decode(&bytes), Ok(changes));
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against a panic on bytes that a broken or hostile peer sends.
#[gtest]
fn any_bytes_are_read_or_refused() {
    let result = runner().run(&vec(any::<u8>(), 0..60), |bytes| {
        let _ = decode(&bytes);
        Ok(())
    });
    expect_that!(result, ok(anything()));
    expect_that!(decode(&[24, 10, 0]).unwrap_err().offset_bytes, eq(0));
}

/// Guards against a reader that sees a half-applied change.
#[gtest]
fn snapshots_hold_a_change_whole_or_not_at_all() {
    let shared = Arc::new(SharedBlockMap::default());
    let nets: Vec<IpNet> = vec!["10.0.0.0/8".parse().unwrap(), "2001:db8::/32".parse().unwrap()];
    let set = |site: u16| nets.iter().map(|net| (*net, Some(SiteNumber(site)))).collect::<Vec<_>>();
    shared.apply(set(0));
    let reader = {
        let (shared, nets) = (shared.clone(), nets.clone());
        thread::spawn(move || {
            let mut last = 0;
            while last < 499 {
                let map = shared.snapshot();
                let sites: Vec<_> = nets.iter().map(|n| map.site_of(n.addr()).unwrap().0).collect();
                assert_eq!(sites[0], sites[1]);
                assert!(sites[0] >= last);
                last = sites[0];
            }
        })
    };
    for site in 1..500 {
        shared.apply(set(site));
    }
    expect_that!(reader.join().is_ok(), eq(true));
}
