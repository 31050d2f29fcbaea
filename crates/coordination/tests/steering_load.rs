//! Loads above the capacity of the fleet, and what callers get.

mod steering_support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use pollenshed_coordination::steering::{
    AttemptEnd, Choice, Fleet, RefusalReason, Request, RetryBudgetShare, RunTimes, WeightedSplit,
};
use pollenshed_state::{ids::BackendServerName, routes::Destination};
use steering_support::*;

/// Result of a play: requests that were answered within the target, late, and refused.
#[derive(Debug, Default)]
struct Played {
    in_time: u32,
    late: u32,
    refused: u32,
    most_waiting: usize,
}

/// Servers that run requests as the users' do: three slots, first runs longer than later ones.
#[derive(Default)]
struct Servers {
    by_name: BTreeMap<BackendServerName, (Vec<u64>, Vec<u64>)>,
}

impl Servers {
    /// Takes a request and returns when it will be answered.
    fn run(&mut self, name: &BackendServerName, object: u64, now_ms: u64) -> (u64, usize) {
        let (ends, known) = self.by_name.entry(name.clone()).or_default();
        ends.retain(|end| *end > now_ms);
        let run_ms = if known.contains(&object) { WARM_MS } else { FIRST_MS };
        known.retain(|k| *k != object);
        known.push(object);
        if known.len() > 25 {
            known.remove(0);
        }
        let waiting = ends.len().saturating_sub(2);
        let mut sorted = ends.clone();
        sorted.sort_unstable();
        let start = if ends.len() < 3 { now_ms } else { sorted[ends.len() - 3] };
        ends.push(start + run_ms);
        (start + run_ms, waiting)
    }
}

/// Plays `per_s` requests a second for `objects` objects on four servers. The first five seconds
/// do not count, as all runs are first runs then.
fn play(per_s: u64, objects: usize, seconds: u64) -> Played {
    let mut fleet = fleet(&["palermo-a", "palermo-a", "palermo-b", "palermo-b"]);
    let service = service();
    let mut servers = Servers::default();
    let mut ends: Vec<(u64, BackendServerName, u64, u64)> = Vec::new();
    let mut played = Played::default();
    for number in 0..per_s * seconds {
        let now_ms = number * 1_000 / per_s;
        finish(&mut fleet, &mut ends, now_ms);
        let object = object((number as usize * 7) % objects);
        let wanted = Request { jitter_seed: number, ..request(&service, Some(object)) };
        let counts = now_ms >= 5_000;
        match choose(&mut fleet, &wanted, at(now_ms)) {
            Choice::Send { server, .. } => {
                fleet.record_start(&server, f64::INFINITY, at(now_ms));
                let (end_ms, waiting) = servers.run(&server, object, now_ms);
                ends.push((end_ms, server, object, now_ms));
                if counts {
                    let in_time = end_ms - now_ms <= 500;
                    played.in_time += u32::from(in_time);
                    played.late += u32::from(!in_time);
                    played.most_waiting = played.most_waiting.max(waiting);
                }
            }
            Choice::Refuse { .. } => played.refused += u32::from(counts),
        }
    }
    played
}

fn finish(fleet: &mut Fleet, ends: &mut Vec<(u64, BackendServerName, u64, u64)>, now_ms: u64) {
    ends.sort_by_key(|(end_ms, ..)| *end_ms);
    while ends.first().is_some_and(|(end_ms, ..)| *end_ms <= now_ms) {
        let (end_ms, server, object, start_ms) = ends.remove(0);
        let end = AttemptEnd::Answered { failed: false, took_ms: (end_ms - start_ms) as f64 };
        fleet.record_end(&server, ESTIMATE_KEY, Some(object), true, end, at(end_ms));
    }
}

/// Load: half of what the servers can run for objects that they remember, and more than they could
/// run otherwise. Guards against objects that spread over all servers, so that each run is a first
/// run.
#[googletest::test]
fn load_that_only_warm_servers_bear_is_served_in_time() {
    // Four servers with three slots run 48 requests a second warm and 15 cold.
    let played = play(24, 24, 30);
    let all = played.in_time + played.late + played.refused;
    expect_that!(f64::from(played.in_time) / f64::from(all), ge(0.95), "{played:?}");
}

/// Load: half as much again as the servers can run. Guards against a queue in which every request
/// is late: what can't be answered in time is refused, and the rest is in time.
#[googletest::test]
fn load_above_the_capacity_is_refused_and_the_rest_is_in_time() {
    let played = play(72, 24, 30);
    let sent = played.in_time + played.late;
    expect_that!(f64::from(played.in_time) / f64::from(sent), ge(0.9), "{played:?}");
    // 48 of 72 requests a second can be run.
    let all = sent + played.refused;
    expect_that!(f64::from(played.in_time) / f64::from(all), ge(0.5), "{played:?}");
    expect_that!(played.most_waiting, le(4), "{played:?}");
}

/// Load: a home whose slots are all taken, while another server that remembers the object is idle.
/// Guards against a queue at the home beside free slots, in which a further request is late.
#[googletest::test]
fn a_free_server_that_remembers_goes_before_a_busy_home() {
    let mut fleet = fleet(&["palermo-a", "palermo-a"]);
    let service = service();
    let wanted = request(&service, Some(object(1)));
    let home = sent_to(&choose(&mut fleet, &wanted, at(0))).unwrap();
    let other = [server_name(0), server_name(1)].into_iter().find(|name| *name != home).unwrap();
    answered(&mut fleet, &other, Some(object(1)), at(0), FIRST_MS);
    expect_that!(sent_to(&choose(&mut fleet, &wanted, at(1_000))), some(eq(&home)));
    for _ in 0..3 {
        fleet.record_start(&home, f64::INFINITY, at(1_000));
    }
    expect_that!(sent_to(&choose(&mut fleet, &wanted, at(1_001))), some(eq(&other)));
}

/// Load: a server that sheds everything. Guards against requests that are sent to it all the same.
#[googletest::test]
fn a_server_that_sheds_without_load_loses_its_objects() {
    let mut fleet = fleet(&["palermo-a", "palermo-b"]);
    let service = service();
    let wanted = request(&service, Some(object(1)));
    let home = sent_to(&choose(&mut fleet, &wanted, at(0))).unwrap();
    for step in 0..8 {
        fleet.record_start(&home, f64::INFINITY, at(step));
        fleet.record_end(
            &home,
            ESTIMATE_KEY,
            Some(object(1)),
            false,
            AttemptEnd::Shed { has_free_slots: false },
            at(step),
        );
    }
    expect_that!(sent_to(&choose(&mut fleet, &wanted, at(10))), some(not(eq(&home))));
}

/// Load: all servers shed half of their requests. Guards against objects that move from one server to
/// the next although none is better, and against requests that leave the server that remembers.
#[googletest::test]
fn objects_stay_where_they_are_while_all_servers_shed_alike() {
    let mut fleet = fleet(&["palermo-a", "palermo-b"]);
    let service = service();
    let wanted = request(&service, Some(object(1)));
    let home = sent_to(&choose(&mut fleet, &wanted, at(0))).unwrap();
    for step in 0..40 {
        for server in [server_name(0), server_name(1)] {
            fleet.record_start(&server, f64::INFINITY, at(step));
            let answered = AttemptEnd::Answered { failed: false, took_ms: WARM_MS as f64 };
            let end =
                if step % 2 == 0 { answered } else { AttemptEnd::Shed { has_free_slots: true } };
            fleet.record_end(&server, ESTIMATE_KEY, Some(object(1)), false, end, at(step));
        }
        expect_that!(sent_to(&choose(&mut fleet, &wanted, at(step))), some(eq(&home)));
        expect_true!(fleet.may_retry_same_server(&home, at(step)));
    }
    // One that sheds everything while the other serves is left.
    for step in 40..60 {
        for server in [server_name(0), server_name(1)] {
            fleet.record_start(&server, f64::INFINITY, at(step));
            let answered = AttemptEnd::Answered { failed: false, took_ms: WARM_MS as f64 };
            let end =
                if server == home { AttemptEnd::Shed { has_free_slots: true } } else { answered };
            fleet.record_end(&server, ESTIMATE_KEY, Some(object(1)), false, end, at(step));
        }
    }
    expect_false!(fleet.may_retry_same_server(&home, at(60)));
    expect_that!(sent_to(&choose(&mut fleet, &wanted, at(60))), some(not(eq(&home))));
}

/// Load: none left to serve it. Guards against requests that wait until their deadline although it
/// is known that nobody can serve them.
#[googletest::test]
fn requests_without_a_server_are_refused_at_once() {
    let service = service();
    let mut empty = fleet(&[]);
    let choice = choose(&mut empty, &request(&service, None), at(0));
    expect_that!(
        choice,
        matches_pattern!(Choice::Refuse { reason: eq(&RefusalReason::NoServer), .. })
    );
    let mut evacuated = fleet(&["palermo-a"]);
    evacuated.set_evacuated(["palermo-a".parse().unwrap()].into(), |_| 3_000, at(0));
    let choice = choose(&mut evacuated, &request(&service, None), at(0));
    expect_that!(sent_to(&choice), none());
}

/// Guards against a request outside of the regions that its route allows.
#[googletest::test]
fn requests_stay_in_their_home_regions() {
    let mut fleet = fleet(&["palermo-a", "catania-a"]);
    let service = service();
    let homes = ["catania".parse().unwrap()];
    for number in 0..20 {
        let wanted = Request { home_regions: &homes, ..request(&service, Some(object(number))) };
        let choice = choose(&mut fleet, &wanted, at(0));
        if let Some(server) = sent_to(&choice) {
            expect_that!(server, eq(&server_name(1)));
        }
    }
}

/// Guards against callers that all come back at the same moment.
#[googletest::test]
fn refused_callers_come_back_at_different_times() {
    let mut fleet = fleet(&[]);
    let service = service();
    let mut times: Vec<u64> = (0..50)
        .filter_map(|jitter_seed| {
            let wanted = Request { jitter_seed, ..request(&service, None) };
            match choose(&mut fleet, &wanted, at(0)) {
                Choice::Refuse { retry_after_ms, .. } => Some(retry_after_ms),
                Choice::Send { .. } => None,
            }
        })
        .collect();
    times.sort_unstable();
    times.dedup();
    expect_that!(times.len(), ge(40));
}

/// Guards against a server that has just started and is crashed by the traffic that waited for it:
/// all instances together stay below what it bears in any second.
#[googletest::test]
fn all_instances_together_spare_a_cold_server() {
    let instances: Vec<_> = (0..10).map(|i| format!("front-{i}").parse().unwrap()).collect();
    let service = service();
    let (rate_per_s, burst) = (2.85, 5.0);
    let mut fleets: Vec<Fleet> = instances.iter().map(|_| fleet(&[])).collect();
    for fleet in &mut fleets {
        let mut cold = record(0, "palermo-a");
        cold.cold_remaining_ms = 10_000;
        fleet.announce(cold, at(0));
    }
    let mut sent: Vec<u64> = Vec::new();
    for now_ms in (0..9_000).step_by(20) {
        for (fleet, instance) in fleets.iter_mut().zip(&instances) {
            let limits = pollenshed_coordination::steering::ColdLimits {
                instance,
                region_instances: &instances,
                rate_per_s,
                burst,
            };
            let choice = fleet.choose(&request(&service, None), &limits, at(now_ms));
            if let Choice::Send { server, cold_rate_per_s, .. } = choice {
                fleet.record_start(&server, cold_rate_per_s, at(now_ms));
                let end = AttemptEnd::Answered { failed: false, took_ms: 10.0 };
                fleet.record_end(&server, ESTIMATE_KEY, None, true, end, at(now_ms + 10));
                sent.push(now_ms);
            }
        }
    }
    let most =
        sent.iter().map(|t| sent.iter().filter(|u| (*t..t + 1_000).contains(*u)).count()).max();
    expect_that!(most.unwrap_or(0) as f64, le(rate_per_s + burst));
    expect_that!(sent.len(), ge(15));
}

/// Guards against servers that are taken for warm after an evacuation, during which they may have
/// started again.
#[googletest::test]
fn servers_are_cold_after_an_evacuation() {
    let mut fleet = fleet(&["palermo-a"]);
    fleet.set_evacuated(["palermo-a".parse().unwrap()].into(), |_| 3_000, at(0));
    fleet.set_evacuated([].into(), |_| 3_000, at(5_000));
    let is_cold = |ms| fleet.server(&server_name(0)).unwrap().is_cold(at(ms));
    expect_that!((is_cold(5_001), is_cold(8_001)), eq((true, false)));
}

/// Guards against more attempts than all instances together may make in any window.
#[googletest::test]
fn retries_of_all_instances_keep_the_budget_in_every_window() {
    let (ratio, extra, window_ms) = (0.2, 60.0, 10_000);
    let mut budgets = vec![RetryBudgetShare::new(ratio, extra, window_ms); 10];
    let mut requests: Vec<u64> = Vec::new();
    let mut retries: Vec<u64> = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        // All callers use one instance for a while, then another one.
        let used = (now_ms / 9_000) as usize;
        budgets[used].record_request(at(now_ms));
        requests.push(now_ms);
        for budget in &mut budgets {
            if budget.try_retry(10, at(now_ms)) {
                retries.push(now_ms);
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        times.iter().filter(|t| (from..from + window_ms).contains(*t)).count() as f64
    };
    for from in (0..30_000).step_by(100) {
        let allowed = ratio * within(&requests, from) + extra;
        expect_that!(within(&retries, from), le(allowed), "window from {from} ms");
    }
}

/// Guards against a budget that is never used.
#[googletest::test]
fn a_few_retries_are_allowed_without_traffic() {
    let mut budget = RetryBudgetShare::new(0.2, 60.0, 10_000);
    let taken = (0..100).filter(|_| budget.try_retry(10, at(0))).count();
    expect_that!(taken, all!(ge(2), le(6)));
}

/// Guards against a split that strays from its weights in short times.
#[googletest::test]
fn splits_keep_their_weights_in_every_hundred_requests() {
    let destinations = [("a", 90), ("b", 10), ("c", 0)]
        .map(|(service, weight)| Destination { service: service.parse().unwrap(), weight });
    let mut split = WeightedSplit::default();
    for _ in 0..5 {
        let mut counts = [0; 3];
        for _ in 0..100 {
            counts[split.next(&destinations)] += 1;
        }
        expect_that!(counts, eq([90, 10, 0]));
    }
}

/// Guards against estimates that mix first runs with later ones, by which every request would look
/// late or every server idle.
#[googletest::test]
fn first_and_later_runs_are_told_apart() {
    let mut times = RunTimes::default();
    times.set_initial(ESTIMATE_KEY, Some(500));
    for _ in 0..20 {
        times.observe(ESTIMATE_KEY, 880.0);
        times.observe(ESTIMATE_KEY, 264.0);
    }
    expect_that!(times.expected_ms(ESTIMATE_KEY, false), near(880.0, 20.0));
    expect_that!(times.expected_ms(ESTIMATE_KEY, true), near(264.0, 20.0));
}
