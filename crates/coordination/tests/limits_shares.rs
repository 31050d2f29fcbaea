//! Tests minimum shares, priority and fairness between callers over simulated time.

mod limits_support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use limits_support::*;
use pollenshed_coordination::limits::{
    RunOutcome, Scheduler, SchedulerPolicy, SubmitResult, WorkId,
};
use pollenshed_state::{config::Rank, units::Percent};
use proptest::prelude::*;

const STEP_MS: u64 = 5;
const RUN_MS: u64 = 40_000;

/// Simulates servers under a load per rank. Requests run for a fixed time unless `spread` is set.
struct Simulation {
    scheduler: Scheduler,
    now_ms: u64,
    next_id: u64,
    /// Ranks of the running requests, by end time in ms.
    ends: BTreeMap<(u64, WorkId), usize>,
    /// Rank and caller of each request.
    ranks: BTreeMap<WorkId, (usize, u64)>,
    deadlines: BTreeMap<WorkId, u64>,
    starts: BTreeMap<WorkId, u64>,
    /// Queued requests by rank.
    waiting: [usize; 3],
    service_ms: [u64; 3],
    /// Makes service times exponential around `service_ms`.
    spread: Option<fastrand::Rng>,
    deadline_ms: u64,
    /// Requests answered before their deadlines.
    in_time: u64,
    /// Slot-time used by each rank.
    slot_ms: [u64; 3],
    answered_by_caller: BTreeMap<u64, u64>,
    /// Ranks of the started requests, in the order of their starts.
    started: Vec<usize>,
}

impl Simulation {
    fn new(servers: usize, slots: u64, shares: [u64; 3], service_ms: [u64; 3]) -> Simulation {
        let min_shares = shares.map(Percent);
        let policy = SchedulerPolicy { min_shares, max_queued: 200, ..SchedulerPolicy::default() };
        Simulation {
            scheduler: scheduler(servers, slots, policy),
            now_ms: 0,
            next_id: 0,
            ends: BTreeMap::new(),
            ranks: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            starts: BTreeMap::new(),
            waiting: [0; 3],
            service_ms,
            spread: None,
            deadline_ms: 20_000,
            in_time: 0,
            slot_ms: [0; 3],
            answered_by_caller: BTreeMap::new(),
            started: Vec::new(),
        }
    }

    fn offer(&mut self, rank: usize, caller: u64) -> bool {
        let now = at(self.now_ms);
        let work = work(self.next_id, Rank::ALL[rank], caller, now.plus_ms(self.deadline_ms));
        self.ranks.insert(work.id, (rank, caller));
        self.deadlines.insert(work.id, self.now_ms + self.deadline_ms);
        self.next_id += 1;
        let is_queued = self.scheduler.submit(work, now, 1) == SubmitResult::Queued;
        self.waiting[rank] += usize::from(is_queued);
        self.drop_refused();
        is_queued
    }

    fn drop_refused(&mut self) {
        for (id, _) in self.scheduler.expire(at(self.now_ms)) {
            self.waiting[self.ranks[&id].0] -= 1;
        }
    }

    /// Ends and starts requests that are due, then advances the time by one step.
    fn step(&mut self) {
        let now = at(self.now_ms);
        while let Some((_, id)) = self.ends.keys().next().copied().filter(|e| e.0 <= self.now_ms) {
            self.ends.pop_first();
            let latency_us = (self.now_ms - self.starts[&id]).max(1) * 1_000;
            self.in_time += u64::from(self.now_ms <= self.deadlines[&id]);
            self.scheduler.finish(id, RunOutcome::Answered { latency_us }, now);
            *self.answered_by_caller.entry(self.ranks[&id].1).or_default() += 1;
        }
        while let Some(next) = self.scheduler.next(now) {
            let rank = self.ranks[&next.id].0;
            self.waiting[rank] -= 1;
            self.started.push(rank);
            self.starts.insert(next.id, self.now_ms);
            let factor = self.spread.as_mut().map_or(1.0, |rng| -(1.0 - rng.f64()).ln());
            let service_ms = (self.service_ms[rank] as f64 * factor) as u64;
            self.ends.insert((self.now_ms + service_ms, next.id), rank);
        }
        self.drop_refused();
        for rank in self.ends.values() {
            self.slot_ms[*rank] += STEP_MS;
        }
        self.now_ms += STEP_MS;
    }

    /// Keeps `load` requests of each rank waiting for `ms`.
    fn saturate(&mut self, load: [usize; 3], ms: u64) {
        for _ in 0..ms / STEP_MS {
            for (rank, wanted) in load.into_iter().enumerate() {
                while self.waiting[rank] < wanted && self.offer(rank, self.next_id % 3) {}
            }
            self.step();
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(24))]

    /// Guards against a rank that gets less than its minimum share under some load of the other
    /// ranks, and against idle slots while requests are queued.
    #[test]
    fn waiting_ranks_get_their_share_of_slot_time(
        servers in 1..3usize,
        slots in 3..5u64,
        shares in (0..50u64, 5..30u64, 5..20u64),
        load in (0..40usize, 0..40usize, 0..40usize),
        service_steps in (1..30u64, 1..30u64, 1..30u64),
    ) {
        let shares = [shares.0, shares.1, shares.2];
        let load = [load.0, load.1, load.2];
        let service_ms = [service_steps.0, service_steps.1, service_steps.2].map(|n| n * STEP_MS);
        let mut simulation = Simulation::new(servers, slots, shares, service_ms);
        simulation.saturate(load, RUN_MS);
        let capacity = servers as u64 * slots * RUN_MS;
        // With fewer queued requests than slots, a rank may be unable to use its share.
        let waits = |rank: usize| load[rank] as u64 >= servers as u64 * slots;
        for rank in (0..3).filter(|r| waits(*r)) {
            let got = simulation.slot_ms[rank] as f64 / capacity as f64;
            let share = shares[rank] as f64 / 100.0;
            prop_assert!(got >= 0.95 * share, "rank {rank} got {got} of {share}");
        }
        if let Some(first) = (0..3).find(|rank| waits(*rank)) {
            let others: u64 = (0..3).filter(|r| *r != first).map(|r| simulation.slot_ms[r]).sum();
            let used = (simulation.slot_ms[first] + others) as f64 / capacity as f64;
            prop_assert!(used > 0.97, "only {used} of the slots were used");
            let expected: f64 = (first + 1..3).map(|r| shares[r] as f64 / 100.0).sum();
            let below: u64 = (first + 1..3).map(|r| simulation.slot_ms[r]).sum();
            let below = below as f64 / capacity as f64;
            prop_assert!(below <= expected + 0.03, "less urgent ranks took {below} of {expected}");
        }
    }

    /// Guards against a less urgent rank that is served before one within its share.
    #[test]
    fn rank_inside_its_share_is_served_before_less_urgent_ones(
        rank in 0..2usize,
        flood in 10..60usize,
        service_steps in (1..20u64, 1..20u64, 1..20u64),
        warm_up_ms in 0..20_000u64,
    ) {
        let service_ms = [service_steps.0, service_steps.1, service_steps.2].map(|n| n * STEP_MS);
        let mut simulation = Simulation::new(2, 3, [40, 30, 20], service_ms);
        let mut load = [0; 3];
        load[rank + 1..].fill(flood);
        simulation.saturate(load, warm_up_ms);
        prop_assert!(simulation.offer(rank, 50));
        // The rank has used no slot yet, so it must get the next one that becomes free.
        let before = simulation.started.len();
        while simulation.started.len() == before {
            simulation.step();
            prop_assert!(simulation.now_ms < 60_000, "never served");
        }
        prop_assert_eq!(simulation.started[before], rank);
    }
}

/// Guards against a flood of the most urgent rank that takes the shares of the others.
#[gtest]
fn urgent_flood_leaves_the_others_their_shares() {
    let mut simulation = Simulation::new(2, 3, [50, 20, 10], [20, 100, 400]);
    simulation.saturate([60, 40, 40], 60_000);
    let capacity = 2.0 * 3.0 * 60_000.0;
    let got = simulation.slot_ms.map(|used| used as f64 / capacity);
    expect_that!(got[1], ge(0.19));
    expect_that!(got[2], ge(0.095));
    expect_that!(got[0], ge(0.67));
}

/// Guards against a rank that gets less than its share later because it used idle slots before.
#[gtest]
fn borrowed_slots_are_not_charged_later() {
    let mut simulation = Simulation::new(2, 3, [40, 30, 20], [50, 50, 50]);
    simulation.saturate([0, 0, 20], 30_000);
    let before = simulation.slot_ms[2];
    expect_that!(before as f64 / (6.0 * 30_000.0), gt(0.98));
    simulation.saturate([20, 0, 20], 10_000);
    expect_that!((simulation.slot_ms[2] - before) as f64 / (6.0 * 10_000.0), ge(0.19));
}

/// Guards against a flood from one caller that delays another caller of the same rank.
#[gtest]
fn callers_of_a_rank_take_turns() {
    let mut simulation = Simulation::new(2, 3, [50, 20, 10], [50, 50, 50]);
    for _ in 0..2_000 {
        for _ in 0..4 {
            simulation.offer(1, 0);
        }
        simulation.offer(1, 1);
        simulation.step();
    }
    let answered = &simulation.answered_by_caller;
    let ratio = answered[&0] as f64 / answered[&1] as f64;
    expect_that!(ratio, all!(gt(0.95), lt(1.05)), "{answered:?}");
}

/// Guards against an overload in which most answers miss their deadlines: a long queue serves
/// requests so late that their slots are wasted.
#[gtest]
fn goodput_holds_at_three_times_the_capacity() {
    // 6 slots at 50 ms are 120 requests/s, which is 0.6 in a step.
    let goodput = |load_percent: u64, deadline_ms| {
        let mut simulation = Simulation::new(2, 3, [50, 20, 10], [50, 50, 50]);
        simulation.spread = Some(fastrand::Rng::with_seed(5));
        simulation.deadline_ms = deadline_ms;
        let mut arrivals = fastrand::Rng::with_seed(6);
        for step in 0..60_000 / STEP_MS {
            for _ in 0..6 {
                if arrivals.u64(0..1_000) < load_percent {
                    simulation.offer(step as usize % 3, arrivals.u64(0..5));
                }
            }
            simulation.step();
        }
        simulation.in_time as f64
    };
    for deadline_ms in [300, 1_000, 5_000] {
        let (normal, overload) = (goodput(100, deadline_ms), goodput(300, deadline_ms));
        expect_that!(overload, ge(0.9 * normal), "of {normal} with {deadline_ms} ms");
    }
}

/// Guards against urgent requests that wait until a less urgent one ends although the policy
/// reserves a slot. Running requests are not interrupted, so without a reserved slot they do wait.
#[gtest]
fn reserved_slot_keeps_urgent_waits_short_in_a_flood() {
    let p99_wait_ms = |reserved_slots, flood| {
        let mut simulation = Simulation::new(2, 3, [50, 20, 10], [20, 100, 200]);
        let shares = [50, 20, 10].map(Percent);
        let policy = SchedulerPolicy { min_shares: shares, ..SchedulerPolicy::default() };
        simulation.scheduler.set_policy(SchedulerPolicy { reserved_slots, ..policy });
        let mut arrivals = fastrand::Rng::with_seed(6);
        let mut offered = Vec::new();
        for _ in 0..60_000 / STEP_MS {
            while simulation.waiting[2] < flood && simulation.offer(2, simulation.next_id % 3) {}
            if arrivals.u64(0..1_000) < 100 {
                offered.push((WorkId(simulation.next_id), simulation.now_ms));
                simulation.offer(0, 7);
            }
            simulation.step();
        }
        let starts = &simulation.starts;
        let mut waits: Vec<_> =
            offered.iter().filter_map(|(id, ms)| Some(starts.get(id)? - ms)).collect();
        waits.sort();
        (waits[waits.len() * 99 / 100], simulation.slot_ms.iter().sum::<u64>() * 100 / 360_000)
    };
    let (quiet, without_reserve, reserved) =
        (p99_wait_ms(0, 0), p99_wait_ms(0, 40), p99_wait_ms(1, 40));
    expect_that!(quiet.0, eq(0));
    expect_that!(
        reserved.0,
        lt(without_reserve.0 / 4),
        "slots used {}% and {}%",
        reserved.1,
        without_reserve.1
    );
    expect_that!(reserved.1, ge(83), "more than the reserved slot of six is idle");
}
