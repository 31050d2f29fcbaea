//! Attempts at an owner: an attempt that was settled as not run never runs.

use googletest::prelude::*;
use pollenshed_coordination::ledger::{ArrivalDecision, Attempts, Settlement};
use pollenshed_state::time::Instant;
use proptest::{prelude::*, test_runner::RngSeed};

const RETENTION_MS: u64 = 60_000;

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive,
    Start,
    Outcome,
    Settle,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against an attempt that starts after it was settled as not run, and against one that
    /// starts twice, under any order of arrivals, starts, outcomes and settlements.
    #[test]
    fn attempt_settled_as_not_run_never_starts(
        events in prop::collection::vec((0u32..4, 0u64..300), 1..60),
    ) {
        let mut attempts: Attempts<u64> = Attempts::new(RETENTION_MS, 100);
        let (mut settled_as_not_run, mut starts, mut now_ms) = (false, 0, 0);
        for (event, advance_ms) in events {
            now_ms += advance_ms;
            let event = [Event::Arrive, Event::Start, Event::Outcome, Event::Settle][event as usize];
            match event {
                Event::Arrive => {
                    let decision = attempts.register_arrival("a", at(now_ms));
                    prop_assert!(!(settled_as_not_run && decision == ArrivalDecision::Queue));
                }
                Event::Start => starts += u32::from(attempts.try_start("a")),
                Event::Outcome => attempts.record_outcome("a", 1, at(now_ms)),
                Event::Settle => {
                    if attempts.settle("a", at(now_ms)) == Some(Settlement::NotRun) {
                        prop_assert_eq!(starts, 0, "settled as not run after it had started");
                        settled_as_not_run = true;
                    }
                }
            }
            prop_assert!(!(settled_as_not_run && starts > 0));
            prop_assert!(starts <= 1);
        }
    }
}

/// Guards against a copy that runs although it arrives after the entry was told that the request
/// will not run.
#[gtest]
fn late_copy_of_a_settled_attempt_is_refused() {
    let mut attempts: Attempts<u64> = Attempts::new(RETENTION_MS, 100);
    expect_that!(attempts.settle("a", at(0)), some(eq(&Settlement::NotRun)));
    expect_that!(attempts.register_arrival("a", at(1)), eq(ArrivalDecision::Forbidden));
    expect_that!(attempts.try_start("a"), eq(false));
}

/// Guards against memory that grows with outcomes that no entry asks for any more, and against a
/// second run of an attempt whose outcome was dropped.
#[gtest]
fn outcome_is_dropped_and_the_attempt_is_remembered() {
    let mut attempts: Attempts<u64> = Attempts::new(RETENTION_MS, 100);
    attempts.register_arrival("a", at(0));
    attempts.try_start("a");
    attempts.record_outcome("a", 5, at(10));
    expect_that!(attempts.settle("a", at(20)), some(eq(&Settlement::Ended(5))));
    attempts.expire(at(20_000));
    expect_that!(attempts.settle("a", at(20_000)), none());
    expect_that!(attempts.register_arrival("a", at(20_000)), eq(ArrivalDecision::Duplicate));
}

/// Guards against a settlement as not run that a full table can't record, so that a late copy would
/// run.
#[gtest]
fn full_table_settles_nothing() {
    let mut attempts: Attempts<u64> = Attempts::new(RETENTION_MS, 1);
    attempts.register_arrival("a", at(0));
    expect_that!(attempts.register_arrival("b", at(0)), eq(ArrivalDecision::Full));
    expect_that!(attempts.settle("b", at(0)), none());
}
