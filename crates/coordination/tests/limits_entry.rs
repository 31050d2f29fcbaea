//! Tests the limits of an entry: admission by rank and the retry budget.

mod limits_support;

use googletest::prelude::*;
use limits_support::*;
use pollenshed_coordination::limits::{EntryAdmission, RetryBudget};
use pollenshed_state::{
    config::{Rank, RankPolicy},
    units::{ByteSize, Percent},
};
use proptest::prelude::*;

const MAX_REQUESTS: u64 = 100;
const MAX_BYTES: u64 = 100_000;
const SHARES: [u64; 3] = [40, 30, 20];

fn admission() -> EntryAdmission {
    let policy = |rank: Rank| RankPolicy {
        rank,
        min_share_percent: Percent(SHARES[rank.index()]),
        deadline_ms: 1_000,
    };
    EntryAdmission::new(MAX_REQUESTS, ByteSize(MAX_BYTES), &Rank::ALL.map(policy))
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// Guards against an entry that exceeds its limits, and against a flood that takes the quarter
    /// of another rank's share that is always reserved.
    #[test]
    fn entry_stays_within_limits_and_admits_each_rank(
        events in proptest::collection::vec((0..3usize, 0..3_000u64, 0..4u8, 0..400u64), 1..600),
        flood in 0..3usize,
    ) {
        let mut admission = admission();
        let mut held: Vec<(usize, u64)> = Vec::new();
        let mut now_ms = 0;
        for (rank, bytes, action, elapsed_ms) in events {
            now_ms += elapsed_ms;
            if action == 0 && !held.is_empty() {
                let (rank, bytes) = held.swap_remove(bytes as usize % held.len());
                admission.finish(Rank::ALL[rank], ByteSize(bytes));
            }
            let rank = if action == 3 { rank } else { flood };
            let requests = admission.requests()[rank];
            let used = admission.bytes()[rank].0;
            let result = admission.admit(Rank::ALL[rank], ByteSize(bytes), at(now_ms), 1);
            let is_own = requests < MAX_REQUESTS * SHARES[rank] / 400
                && used + bytes <= MAX_BYTES * SHARES[rank] / 400;
            prop_assert!(result.is_ok() || !is_own, "rank {rank} was refused its quarter");
            if result.is_ok() {
                held.push((rank, bytes));
            }
            prop_assert!(admission.requests().iter().sum::<u64>() <= MAX_REQUESTS);
            prop_assert!(admission.bytes().iter().map(|b| b.0).sum::<u64>() <= MAX_BYTES);
        }
    }

    /// Guards against more retries in a window than the share of first attempts, or than the 3 that
    /// are always allowed.
    #[test]
    fn retries_stay_in_their_budget(
        percent in 0..60u64,
        events in proptest::collection::vec((any::<bool>(), any::<bool>(), 0..900u64), 1..600),
    ) {
        let mut budget = RetryBudget::new(Percent(percent));
        let (mut now_ms, mut firsts, mut retries) = (0u64, Vec::new(), Vec::new());
        for (is_first, is_idempotent, elapsed_ms) in events {
            now_ms += elapsed_ms / 8;
            if is_first {
                budget.record_first_attempt(at(now_ms));
                firsts.push(now_ms / 1_000);
            } else if budget.try_retry(is_idempotent, at(now_ms)) {
                prop_assert!(is_idempotent);
                retries.push(now_ms / 1_000);
                let in_window = |times: &[u64]| {
                    times.iter().filter(|second| **second + 10 > now_ms / 1_000).count() as u64
                };
                let allowed = 3.max(in_window(&firsts) * percent / 100);
                prop_assert!(in_window(&retries) <= allowed);
            }
        }
    }
}

/// Guards against a flood that keeps the shares of the other ranks for good, and against unused
/// shares that no rank may use.
#[gtest]
fn borrowed_shares_return_as_requests_end() {
    let mut admission = admission();
    let fill = |admission: &mut EntryAdmission, rank, ms| {
        while admission.admit(rank, ByteSize(1), at(ms), 0).is_ok() {}
    };
    fill(&mut admission, Rank::Deferrable, 0);
    expect_that!(admission.requests(), eq([0, 0, 65]));
    for ms in 1..200 {
        admission.finish(Rank::Deferrable, ByteSize(1));
        fill(&mut admission, Rank::Urgent, ms);
        fill(&mut admission, Rank::Standard, ms);
        fill(&mut admission, Rank::Deferrable, ms);
    }
    let requests = admission.requests();
    expect_that!(requests[0], ge(40), "{requests:?}");
    expect_that!(requests[1], ge(30), "{requests:?}");
    expect_that!(requests[2], ge(5), "{requests:?}");
}

/// Guards against bodies that exceed the limit on buffered bytes by growing after admission.
#[gtest]
fn growing_bodies_are_limited() {
    let mut admission = admission();
    expect_true!(admission.admit(Rank::Deferrable, ByteSize(0), at(0), 0).is_ok());
    expect_true!(admission.admit_bytes(Rank::Deferrable, ByteSize(60_000), at(0)));
    expect_false!(admission.admit_bytes(Rank::Deferrable, ByteSize(10_000), at(0)));
    expect_true!(admission.admit_bytes(Rank::Deferrable, ByteSize(5_000), at(0)));
    admission.finish(Rank::Deferrable, ByteSize(65_000));
    expect_that!(admission.bytes(), eq([0, 0, 0].map(ByteSize)));
}

/// Guards against the retry of a request that must not run twice.
#[gtest]
fn non_idempotent_work_is_not_retried() {
    let mut budget = RetryBudget::new(Percent(100));
    (0..10).for_each(|_| budget.record_first_attempt(at(0)));
    expect_false!(budget.try_retry(false, at(1)));
    expect_true!(budget.try_retry(true, at(1)));
}
