//! Tests of the replicated map: replicas are compared with the source.

use googletest::prelude::*;
use pollenshed_coordination::replication::{LogPosition, ReplicatedMap, Update};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

type Map = ReplicatedMap<u8, u16>;

fn runner() -> TestRunner {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Guards against replicas that differ from their source after an update, also if that source is
/// another replica.
#[gtest]
fn every_replica_equals_the_source_after_an_update() {
    // Each step sets keys at the source and then updates one replica from the source or from
    // another replica.
    let step = (vec((0..20u8, proptest::option::of(any::<u16>())), 0..6), 0..4usize, 0..4usize);
    let result = runner().run(&(1..12usize, vec(step, 1..40)), |(max_log, steps)| {
        let mut maps: Vec<Map> = vec![Map::new(1, max_log); 4];
        for (changes, from, to) in steps {
            for (key, value) in changes {
                maps[0].set(key, value);
            }
            // Map 0 is the source and takes no updates. A replica can't update one that is ahead of
            // it.
            if to != 0 && maps[from].position().change >= maps[to].position().change {
                let update = maps[from].delta_since(maps[to].position());
                prop_assert_eq!(maps[to].apply(update), Ok(()));
                prop_assert_eq!(maps[to].position(), maps[from].position());
                prop_assert_eq!(maps[to].entries(), maps[from].entries());
            }
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against sending a delta to a replica that is too far behind or has the state of another
/// run of the source.
#[gtest]
fn replica_out_of_the_log_or_of_another_generation_gets_everything() {
    let mut source = Map::new(1, 3);
    for key in 0..10 {
        source.set(key, Some(1));
    }
    let since = |generation, change| source.delta_since(LogPosition { generation, change });
    expect_that!(since(1, 10), eq(&Update::UpToDate));
    expect_that!(since(1, 7), matches_pattern!(Update::Delta { .. }));
    expect_that!(since(1, 6), matches_pattern!(Update::Snapshot { .. }));
    expect_that!(since(2, 9), matches_pattern!(Update::Snapshot { .. }));
    expect_that!(since(1, 11), matches_pattern!(Update::Snapshot { .. }));
}

/// Guards against applying a late or repeated delta to another state than the one it was made for.
#[gtest]
fn delta_from_another_position_changes_nothing() {
    let mut source = Map::new(1, 10);
    let mut replica = Map::new(1, 10);
    source.set(1, Some(1));
    let delta = source.delta_since(replica.position());
    expect_that!(replica.apply(delta.clone()), ok(eq(&())));
    source.set(1, None);
    let newer = source.delta_since(replica.position());
    expect_that!(replica.apply(newer), ok(eq(&())));
    expect_that!(replica.apply(delta), err(anything()));
    expect_true!(replica.entries().is_empty());
}
