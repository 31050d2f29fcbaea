//! The cap on traffic shifts, for any order and timing of events.

mod routing_support;

use googletest::prelude::*;
use pollenshed_coordination::shift::{Ramp, Shares, ShiftRefusal};
use pollenshed_state::{config::Rank, units::Percent};
use proptest::{collection::vec, prelude::*};
use routing_support::{DOMAINS, domain, ms, proptest_config, shift_policy};

const INTERVAL_MS: u64 = 2_000;
const REMOTE_DOMAINS: [&str; 3] = [DOMAINS[1], DOMAINS[2], DOMAINS[3]];

#[derive(Debug, Clone)]
enum Event {
    /// A new target, as after a drain, a loss, a return or a reversal.
    Target([u32; 3]),
    Step {
        cold: bool,
    },
    Requests(Vec<(Rank, usize)>),
    Lookup(usize),
    Cap(u64),
    Restart,
}

fn shares(parts: [u32; 3]) -> Shares {
    Shares::from_remote(REMOTE_DOMAINS.iter().map(|d| domain(d)).zip(parts))
}

fn gap_ms() -> impl Strategy<Value = i64> {
    // Negative gaps are clocks that step back.
    prop_oneof![4 => Just(0), 8 => 1i64..120, 4 => 100i64..101, 1 => 1_000i64..600_000, 1 => -500i64..0]
}

fn event() -> impl Strategy<Value = Event> {
    let target = prop_oneof![
        Just([0, 0, 0]),
        Just([1_000_000, 0, 0]),
        Just([0, 1_000_000, 0]),
        [0u32..333_333, 0u32..333_333, 0u32..333_333],
    ];
    let rank = prop_oneof![Just(Rank::Urgent), Just(Rank::Standard), Just(Rank::Deferrable)];
    prop_oneof![
        1 => target.prop_map(Event::Target),
        10 => prop::bool::weighted(0.2).prop_map(|cold| Event::Step { cold }),
        4 => vec((rank, 0usize..4), 1..12).prop_map(Event::Requests),
        1 => (0usize..4).prop_map(Event::Lookup),
        1 => prop_oneof![Just(10u64), Just(3u64)].prop_map(Event::Cap),
        1 => Just(Event::Restart),
    ]
}

fn new_ramp() -> Ramp {
    Ramp::new(domain(DOMAINS[0]), shift_policy(10, 4, INTERVAL_MS))
}

proptest! {
    #![proptest_config(proptest_config(400))]

    /// Guards against a position that moves by more than the cap within any sliding interval,
    /// through drains, returns, reversals, pauses, clock steps or restarts that adopt a peer's
    /// position.
    #[test]
    fn position_stays_within_the_cap(events in vec((gap_ms(), event()), 1..250)) {
        let mut ramp = new_ramp();
        let mut clock_ms = 0i64;
        let mut latest_ms = 0i64;
        let mut moves: Vec<(i64, u32)> = Vec::new();
        let mut cap_percent = 10;
        for (gap, event) in events {
            clock_ms = (clock_ms + gap).max(0);
            latest_ms = latest_ms.max(clock_ms);
            let now = ms(clock_ms as u64);
            let before = ramp.position().clone();
            let mut cap = None;
            match event {
                Event::Target(parts) => {
                    ramp.set_target(shares(parts));
                }
                Event::Step { cold } => {
                    let step = ramp.step(cold, now);
                    let distance = before.distance_ppm(ramp.position());
                    prop_assert_eq!(step.moved_ppm, distance, "the position moved by another amount");
                    moves.push((clock_ms, distance));
                    let in_force = if cold { cap_percent.min(4) } else { cap_percent };
                    cap = (distance > 0).then_some(in_force as u32 * 10_000);
                }
                Event::Cap(percent) => {
                    cap_percent = percent;
                    ramp.set_policy(shift_policy(percent, 4, INTERVAL_MS), now);
                }
                Event::Restart => {
                    let target = ramp.target().clone();
                    let policy = shift_policy(cap_percent, 4, INTERVAL_MS);
                    ramp = Ramp::new(domain(DOMAINS[0]), policy);
                    prop_assert!(ramp.adopt_position(before.clone(), now), "an unused ramp refused a position");
                    ramp.set_target(target);
                }
                Event::Requests(_) | Event::Lookup(_) => {}
            }
            let in_window = |(at, _): &&(i64, u32)| (clock_ms - at).abs() <= INTERVAL_MS as i64;
            let moved: u32 = moves.iter().filter(in_window).map(|(_, moved)| moved).sum();
            let allowed = cap.unwrap_or(100_000);
            prop_assert!(moved <= allowed, "{moved} ppm moved up to {clock_ms} ms");
        }
    }

    /// Guards against a failure domain other than the base that gets more requests than its share
    /// of the arrivals of the interval, rounded down. Lookup answers use up a part of the same
    /// share.
    #[test]
    fn requests_stay_within_the_position(
        start in [0u32..333_333, 0u32..333_333, 0u32..400_000],
        events in vec((gap_ms(), event()), 1..250),
    ) {
        let mut ramp = ramp_at(start);
        let mut clock_ms = 0i64;
        let mut arrived: Vec<i64> = Vec::new();
        let mut sent: Vec<(i64, usize)> = Vec::new();
        for (gap, event) in events {
            clock_ms += gap.max(0);
            let now = ms(clock_ms as u64);
            match event {
                Event::Target(parts) => {
                    ramp.set_target(shares(parts));
                }
                Event::Step { cold } => drop(ramp.step(cold, now)),
                Event::Requests(requests) => {
                    for (rank, wanted) in requests {
                        ramp.record_arrival(rank, now);
                        arrived.push(clock_ms);
                        if ramp.check_request(&domain(DOMAINS[wanted]), rank, 0, now).is_ok() {
                            ramp.record_sent(&domain(DOMAINS[wanted]), rank, now);
                            sent.push((clock_ms, wanted));
                            let from = clock_ms - INTERVAL_MS as i64;
                            let total = arrived.iter().filter(|at| **at > from).count() as u64;
                            let used = sent.iter().filter(|(at, d)| *at > from && *d == wanted);
                            let share = u64::from(ramp.share_ppm(&domain(DOMAINS[wanted])));
                            let allowed = total * share / 1_000_000;
                            let is_base = *ramp.base_domain() == domain(DOMAINS[wanted]);
                            prop_assert!(is_base || used.count() as u64 <= allowed);
                        }
                    }
                }
                Event::Lookup(wanted) => {
                    ramp.record_lookup(now);
                    let _ = ramp.admit_lookup(&domain(DOMAINS[wanted]), now);
                }
                Event::Cap(_) | Event::Restart => {}
            }
        }
    }
}

fn ramp_at(parts: [u32; 3]) -> Ramp {
    let mut ramp = new_ramp();
    ramp.adopt_position(shares(parts), ms(0));
    ramp
}

/// Sends requests of the given ranks, one every millisecond, and returns how many went to `to`.
fn sent(ramp: &mut Ramp, ranks: &[Rank], to: &str, lost_ppm: u32) -> usize {
    let mut count = 0;
    for (n, rank) in ranks.iter().enumerate() {
        let now = ms(10_000 + n as u64);
        ramp.record_arrival(*rank, now);
        if ramp.check_request(&domain(to), *rank, lost_ppm, now).is_ok() {
            ramp.record_sent(&domain(to), *rank, now);
            count += 1;
        }
    }
    count
}

/// Guards against a share that is exceeded when few requests arrive, because it was rounded up.
#[gtest]
fn shares_are_rounded_down_for_few_requests() {
    let to = DOMAINS[1];
    expect_that!(sent(&mut ramp_at([100_000, 0, 0]), &[Rank::Urgent; 9], to, 0), eq(0));
    expect_that!(sent(&mut ramp_at([100_000, 0, 0]), &[Rank::Urgent; 10], to, 0), eq(1));
    expect_that!(sent(&mut ramp_at([100_000, 0, 0]), &[Rank::Urgent; 109], to, 0), eq(10));
}

/// Guards against requests that are refused although the failure domain with the whole share
/// serves.
#[gtest]
fn base_takes_everything_when_it_has_the_whole_share() {
    let to = DOMAINS[1];
    let mut ramp = ramp_at([1_000_000, 0, 0]);
    expect_that!(sent(&mut ramp, &[Rank::Deferrable; 500], to, 0), eq(500));
}

/// Guards against traffic that returns to the home failure domain all at once.
#[gtest]
fn home_is_bound_by_its_share_after_a_loss() {
    let mut ramp = ramp_at([950_000, 0, 0]);
    expect_that!(sent(&mut ramp, &[Rank::Urgent; 100], DOMAINS[0], 0), eq(5));
}

/// Guards against deferrable requests that use the cap while urgent ones are refused.
#[gtest]
fn urgent_work_moves_first_when_the_home_domain_is_lost() {
    let mut ramp = ramp_at([100_000, 0, 0]);
    let mix: Vec<_> = [Rank::Deferrable, Rank::Urgent, Rank::Standard, Rank::Deferrable]
        .repeat(100)
        .into_iter()
        .collect();
    let mut served = [0; 3];
    for (n, rank) in mix.iter().enumerate() {
        let now = ms(10_000 + n as u64);
        ramp.record_arrival(*rank, now);
        if ramp.check_request(&domain(DOMAINS[1]), *rank, 900_000, now).is_ok() {
            ramp.record_sent(&domain(DOMAINS[1]), *rank, now);
            served[rank.index()] += 1;
        }
    }
    // The last urgent request is the 398th arrival, so 39.8 is rounded down.
    expect_that!(served, eq([39, 0, 0]));
}

/// Guards against lookup answers and forwarded requests that each use the whole share.
#[gtest]
fn lookup_answers_and_requests_share_the_cap() {
    let mut ramp = ramp_at([100_000, 0, 0]);
    let to = domain(DOMAINS[1]);
    let mut named = 0;
    for n in 0..100 {
        ramp.record_lookup(ms(9_000 + n));
        named += usize::from(ramp.admit_lookup(&to, ms(9_000 + n)).is_ok());
    }
    expect_that!(named, eq(10));
    expect_that!(sent(&mut ramp, &[Rank::Urgent; 100], DOMAINS[1], 0), eq(0));
    expect_that!(
        ramp.check_request(&to, Rank::Urgent, 0, ms(10_100)),
        err(eq(ShiftRefusal::ShareExhausted))
    );
}

/// Guards against a shift that never ends, or that ends earlier or later than the cap implies.
#[gtest]
fn shift_takes_as_long_as_its_cap_says() {
    for (cold, intervals) in [(false, 10), (true, 25)] {
        let mut ramp = new_ramp();
        ramp.set_target(shares([0, 1_000_000, 0]));
        let mut now_ms = 0;
        while ramp.position().home_ppm() > 0 {
            ramp.step(cold, ms(now_ms));
            now_ms += 100;
        }
        let expected_ms = intervals * INTERVAL_MS;
        // The window includes both ends, so each interval has one step less than it could.
        expect_that!(now_ms, all!(ge(expected_ms), le(expected_ms + expected_ms / 10)));
    }
}

/// Guards against a shift that takes twice as long because each call comes a little late or early.
#[gtest]
fn late_and_early_calls_keep_the_rate() {
    let mut ramp = new_ramp();
    ramp.set_target(shares([1_000_000, 0, 0]));
    let mut now_ms = 0;
    for call in 0.. {
        if ramp.step(false, ms(now_ms)).left_ppm == 0 {
            break;
        }
        now_ms += if call % 2 == 0 { 95 } else { 112 };
    }
    // Ten intervals of 2,000 ms at a cap of 10 %, and a tenth for rounding.
    expect_that!(now_ms, le(22_000));
}

/// Guards against a ramp that uses its cap to follow small changes of headroom between receivers.
#[gtest]
fn slightly_changed_headroom_moves_nothing() {
    let mut ramp = Ramp::new(domain(DOMAINS[0]), shift_policy(100, 100, INTERVAL_MS));
    ramp.set_target(shares([500_000, 500_000, 0]));
    for call in 0..30 {
        ramp.step(false, ms(call * INTERVAL_MS / 20));
    }
    for (target, moved) in [([550_000, 450_000, 0], 0), ([600_000, 400_000, 0], 50_000)] {
        expect_that!(ramp.set_target(shares(target)), eq(moved > 0));
        let step = ramp.step(false, ms(3 * INTERVAL_MS));
        expect_that!(step.moved_ppm, eq(moved), "{target:?}");
    }
}

/// Guards against traffic that stays in a lost home failure domain while the ramp balances
/// receivers.
#[gtest]
fn domains_without_a_share_give_first() {
    let mut position = shares([400_000, 0, 0]);
    let moved = position.step_towards(&shares([100_000, 900_000, 0]), 500_000);
    expect_that!(moved, eq(500_000));
    expect_that!(position, eq(&shares([400_000, 500_000, 0])));
    let mut position = shares([400_000, 300_000, 300_000]);
    position.step_towards(&shares([100_000, 900_000, 0]), 200_000);
    expect_that!(position, eq(&shares([400_000, 500_000, 100_000])));
}

/// Guards against requests that are refused although all receivers serve, because the receivers'
/// limits add up to less than the arrivals.
#[gtest]
fn no_request_is_left_between_two_receivers() {
    let mut ramp = Ramp::new(domain(DOMAINS[0]), shift_policy(100, 100, INTERVAL_MS));
    ramp.set_target(shares([500_000, 500_000, 0]));
    for call in 0..30 {
        ramp.step(false, ms(call * INTERVAL_MS / 20));
    }
    let receivers = [domain(REMOTE_DOMAINS[0]), domain(REMOTE_DOMAINS[1])];
    let mut refused = 0;
    for number in 0..4_000 {
        // Several arrivals fall into each slice of the counts, with lookups among them.
        let now = ms(2 * INTERVAL_MS + number / 2);
        if number % 50 == 0 {
            ramp.record_lookup(now);
            let _ = ramp.admit_lookup(&receivers[1], now);
        }
        ramp.record_arrival(Rank::Urgent, now);
        let base = ramp.base_domain().clone();
        let other = receivers.iter().find(|d| **d != base).unwrap();
        let domains = [other.clone(), base];
        let mut taken =
            domains.iter().filter(|d| ramp.check_request(d, Rank::Urgent, 0, now).is_ok());
        match taken.next().cloned() {
            Some(domain) => ramp.record_sent(&domain, Rank::Urgent, now),
            None => refused += 1,
        }
    }
    expect_that!(refused, eq(0));
}

/// Guards against a position that catches up after a pause all at once.
#[gtest]
fn pause_is_followed_by_single_steps() {
    let mut ramp = new_ramp();
    ramp.set_target(shares([0, 1_000_000, 0]));
    let moved: Vec<_> = [600_000, 600_000, 600_050, 600_100]
        .map(|now_ms| ramp.step(false, ms(now_ms)).moved_ppm)
        .to_vec();
    expect_that!(moved, eq(&vec![5_000, 0, 0, 5_000]));
}

/// Guards against a late message from a peer that replaces the position of a ramp in use.
#[gtest]
fn only_an_unused_ramp_adopts_a_position() {
    let mut ramp = new_ramp();
    ramp.record_arrival(Rank::Urgent, ms(0));
    expect_false!(ramp.adopt_position(shares([500_000, 0, 0]), ms(1)));
    expect_that!(ramp.position().home_ppm(), eq(1_000_000));
}

/// Guards against urgent arrivals that push another rank below its declared minimum share while a
/// part of the traffic can't be served.
#[gtest]
fn rank_keeps_its_declared_share_while_a_failure_domain_is_lost() {
    let mut ramp = Ramp::new(domain(DOMAINS[0]), shift_policy(100, 100, INTERVAL_MS));
    ramp.set_min_shares([50, 30, 10].map(Percent));
    ramp.set_target(shares([400_000, 0, 0]));
    for at in 1..40 {
        ramp.step(false, ms(at * INTERVAL_MS / 20));
    }
    let now = ms(2 * INTERVAL_MS + 1);
    for _ in 0..100 {
        ramp.record_arrival(Rank::Urgent, now);
    }
    let mut sent = 0;
    for _ in 0..10 {
        ramp.record_arrival(Rank::Deferrable, now);
        if ramp.check_request(&domain(DOMAINS[0]), Rank::Deferrable, 400_000, now).is_ok() {
            ramp.record_sent(&domain(DOMAINS[0]), Rank::Deferrable, now);
            sent += 1;
        }
    }
    // 110 arrivals, of which 60 % can be served, of which 10 % are the rank's own.
    expect_that!(sent, eq(6));
}
