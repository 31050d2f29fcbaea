//! Tests of limits of workspaces over many instances, without a network.

mod workspace_limit_support;

use googletest::prelude::*;
use proptest::prelude::*;
use workspace_limit_support::*;

/// Guards against a limit that is exceeded or not reached when the callers of the largest workspace
/// of 74, at 344 requests a second, spread over 63 or 295 instances or move to one region.
#[googletest::test]
fn callers_of_one_region_get_the_limit() {
    for instances in [63, 295] {
        let mut play = Play::new(instances, &[LARGE, SMALL], 1);
        play.run_until(8_000);
        play.demand(0, Demand { per_s: 215.0, regions: 3 });
        play.run_until(14_000);
        play.demand(0, Demand { per_s: 700.0, regions: 1 });
        play.run_until(20_000);
        let served = play.used_between(0, 16_000, 20_000);
        let owed = LARGE.rate_per_s * 4.0;
        expect_that!(served as f64, ge(0.9 * owed), "{instances} instances");
        expect_that!(play.worst_excess(), le(0.0), "{instances} instances");
    }
}

/// Guards against refusals below the limit: the smallest and the largest workspace at 1 / 1.6 of
/// their limits, callers spread over all instances.
#[googletest::test]
fn nobody_is_refused_below_the_limit() {
    for instances in [63, 295] {
        let mut play = Play::new(instances, &[LARGE, MIDDLE, SMALL], 2);
        // Bursts are empty after a start.
        play.run_until(14_000);
        for (workspace, limit) in [LARGE, MIDDLE, SMALL].iter().enumerate() {
            play.demand(workspace, Demand { per_s: limit.rate_per_s / 1.6, regions: 3 });
        }
        play.run_until(30_000);
        for workspace in 0..3 {
            let (asked, refused) = play.asked_and_refused(workspace);
            expect_that!(refused as f64, le(0.01 * asked as f64), "{instances}, {workspace}");
        }
    }
}

/// Guards against a sum over the bound or a limit that is not reached when one workspace asks for
/// seven times its usual.
#[googletest::test]
fn a_hot_workspace_gets_its_limit_and_no_more() {
    let mut play = Play::new(63, &[LARGE, MIDDLE], 3);
    play.run_until(8_000);
    play.demand(0, Demand { per_s: 7.0 * 215.0, regions: 3 });
    play.demand(1, Demand { per_s: 7.0 * MIDDLE.rate_per_s / 1.6, regions: 3 });
    play.run_until(16_000);
    for (workspace, limit) in [LARGE, MIDDLE].iter().enumerate() {
        let served = play.used_between(workspace, 9_000, 16_000);
        expect_that!(served as f64, ge(0.9 * limit.rate_per_s * 7.0), "{workspace}");
    }
    expect_that!(play.worst_excess(), le(0.0));
}

/// Guards against a lost keeper that takes all permits with it.
#[googletest::test]
fn the_loss_of_the_keepers_leaves_the_larger_part() {
    let mut play = Play::new(21, &[LARGE, MIDDLE], 4);
    play.run_until(8_000);
    for (workspace, limit) in [LARGE, MIDDLE].iter().enumerate() {
        play.demand(workspace, Demand { per_s: limit.rate_per_s / 1.6, regions: 3 });
    }
    play.run_until(12_000);
    play.kill(play.keeper(0));
    play.run_until(24_000);
    for workspace in 0..2 {
        let (asked, refused) = play.asked_and_refused(workspace);
        expect_that!(refused as f64, le(0.1 * asked as f64), "{workspace}");
    }
    expect_that!(play.worst_excess(), le(0.0));
}

/// Guards against a fleet that refuses all requests of limited workspaces for seconds after all its
/// instances were started again.
#[googletest::test]
fn a_fleet_that_starts_again_serves_soon() {
    let mut play = Play::new(21, &[LARGE, MIDDLE], 6);
    for (workspace, limit) in [LARGE, MIDDLE].iter().enumerate() {
        play.demand(workspace, Demand { per_s: limit.rate_per_s / 1.6, regions: 3 });
    }
    play.run_until(12_000);
    (0..21).for_each(|instance| play.kill(instance));
    play.run_until(20_500);
    // Bursts are empty after a start, which the smaller workspace feels.
    for (workspace, limit, least) in [(0, LARGE, 0.85), (1, MIDDLE, 0.7)] {
        let served = play.used_between(workspace, 15_000, 20_000);
        expect_that!(served as f64, ge(least * 5.0 * limit.rate_per_s / 1.6), "{workspace}");
    }
    expect_that!(play.worst_excess(), le(0.0));
}

/// Guards against a lowered limit that what is out of the former one exceeds.
#[googletest::test]
fn a_lowered_limit_binds_one_window_after_all_know_it() {
    let mut play = Play::new(21, &[LARGE], 5);
    play.run_until(8_000);
    play.demand(0, Demand { per_s: 1_000.0, regions: 3 });
    play.run_until(12_000);
    let lower = Limit { rate_per_s: 20.0, burst: 20 };
    play.set_limit(0, lower);
    play.run_until(24_000);
    expect_that!(play.worst_excess_from(0, lower, 12_000), le(0.0));
    expect_that!(play.used_between(0, 14_000, 24_000) as f64, ge(0.9 * 200.0));
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    let instance = 0..INSTANCES;
    prop_oneof![
        instance.clone().prop_map(Disturbance::Kill),
        (instance.clone(), 100..9_000_u64).prop_map(|(i, ms)| Disturbance::Freeze(i, ms)),
        (1..INSTANCES, 100..9_000_u64).prop_map(|(n, ms)| Disturbance::Cut(n, ms)),
        instance.prop_map(Disturbance::Stop),
        Just(Disturbance::KillKeeper),
        Just(Disturbance::Add),
        (0.0..0.4_f64).prop_map(Disturbance::Loss),
        (0..8_000_u64).prop_map(Disturbance::Delay),
        (0.0..0.4_f64).prop_map(Disturbance::Doubling),
        (1..3_usize).prop_map(Disturbance::Move),
    ]
}

const INSTANCES: usize = 12;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against a sum over the bound when messages are lost, late or doubled, keepers and
    /// others are killed, restarted, frozen, stopped or cut off, instances come anew and callers
    /// move, while three workspaces ask for five times their limit.
    #[test]
    fn no_disturbance_exceeds_the_bound(
        seed in any::<u64>(),
        disturbances in prop::collection::vec((200..4_000_u64, disturbance()), 0..12),
    ) {
        let limits = [LARGE, MIDDLE, SMALL];
        let mut play = Play::new(INSTANCES, &limits, seed);
        for (workspace, limit) in limits.iter().enumerate() {
            play.demand(workspace, Demand { per_s: 5.0 * limit.rate_per_s, regions: 3 });
        }
        play.run_until(7_000);
        for (pause_ms, disturbance) in disturbances {
            play.disturb(disturbance);
            play.run_for(pause_ms);
        }
        play.run_for(6_000);
        prop_assert!(play.worst_excess() <= 0.0, "{}", play.worst_excess());
    }
}
