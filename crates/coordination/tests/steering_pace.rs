//! Tests of servers that state how long work takes on their machine at this moment.

mod steering_support;

use googletest::prelude::*;
use pollenshed_coordination::steering::{AttemptEnd, Choice, Fleet, Statement};
use steering_support::*;

fn states(fleet: &mut Fleet, server: usize, percent: Option<u32>, load: Option<u32>, at_ms: u64) {
    let statement = Statement { run_time_percent: percent, load, ..Statement::default() };
    fleet.record_statement(&server_name(server), &statement, at(at_ms));
}

fn expected_ms(fleet: &mut Fleet, object: Option<u64>, now_ms: u64) -> u64 {
    let service = service();
    match choose(fleet, &request(&service, object), at(now_ms)) {
        Choice::Send { expected_ms, .. } => expected_ms.round() as u64,
        Choice::Refuse { .. } => 0,
    }
}

/// Guards against news of a slow machine that counts for longer than the machine is slow, and against
/// servers that state nothing unusual and are treated in another way.
#[googletest::test]
fn news_of_a_slow_machine_fades() {
    let mut lines = Vec::new();
    for percent in [None, Some(100), Some(250), Some(40), Some(0), Some(u32::MAX)] {
        let mut fleet = fleet(&["palermo-a"]);
        states(&mut fleet, 0, percent, None, 0);
        let ages = [0, 150, 300, 450, 599, 600, 5_000];
        let times = ages.map(|age_ms| expected_ms(&mut fleet, None, age_ms));
        lines.push(format!("{percent:?}: {times:?}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against the same slowness that counts twice: as what the server states, and as what was
/// learnt from its runs.
#[googletest::test]
fn a_stated_slowness_is_not_learnt() {
    for (percent, range) in [(Some(250), 0.7..1.3), (None, 1.6..3.0)] {
        let mut fleet = fleet(&["palermo-a"]);
        fleet.run_times.observe(ESTIMATE_KEY, 200.0);
        let mut now_ms = 0;
        for _ in 0..20 {
            let name = server_name(0);
            fleet.record_start(&name, f64::INFINITY, at(now_ms));
            // The run takes 500 ms instead of 200 ms.
            now_ms += 500;
            states(&mut fleet, 0, percent, None, now_ms);
            let end = AttemptEnd::Answered { failed: false, took_ms: 500.0 };
            fleet.record_end(&name, ESTIMATE_KEY, None, false, end, at(now_ms));
        }
        let slowdown = fleet.server(&server_name(0)).unwrap().slowdown();
        expect_true!(range.contains(&slowdown), "{percent:?}: {slowdown}");
    }
}

/// A machine that is slow for 600 ms at a time, and the requests at its server.
#[derive(Clone, Default)]
struct Machine {
    /// Usual milliseconds of work that are left of each request, in the order of their arrival.
    left_ms: Vec<f64>,
    slow_until_ms: u64,
}

const INSTANCES: usize = 300;
const SERVERS: usize = 60;
const STEP_MS: u64 = 10;

/// Chance of a machine to turn slow in a step, so that 15 % of them are slow.
const SLOW_CHANCE: f64 = 0.003;

/// Plays 6 s with 1.5 requests a second of each instance and 15 % of the servers slow at a time.
/// Instances know the load of the servers as of the last step, and their pace as of up to
/// `max_news_age_ms` ago. Returns the highest number of requests at a server after the first second.
fn highest_queue(max_news_age_ms: u64, seed: u64) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let service = service();
    let mut fleets: Vec<Fleet> = (0..INSTANCES).map(|_| fleet(&["palermo-a"; SERVERS])).collect();
    for fleet in &mut fleets {
        fleet.run_times.observe(ESTIMATE_KEY, WARM_MS as f64);
    }
    let mut machines = vec![Machine::default(); SERVERS];
    let mut history: Vec<Vec<(u32, u32)>> = Vec::new();
    let mut highest = 0;
    for step in 0..600 {
        let now_ms = step * STEP_MS;
        for machine in &mut machines {
            if now_ms >= machine.slow_until_ms && random.f64() < SLOW_CHANCE {
                machine.slow_until_ms = now_ms + 600;
            }
            let pace = if now_ms < machine.slow_until_ms { 2.5 } else { 1.0 };
            for left_ms in machine.left_ms.iter_mut().take(3) {
                *left_ms -= STEP_MS as f64 / pace;
            }
            machine.left_ms.retain(|left_ms| *left_ms > 0.0);
        }
        let state = |m: &Machine| {
            (m.left_ms.len() as u32, if now_ms < m.slow_until_ms { 250 } else { 100 })
        };
        history.push(machines.iter().map(state).collect());
        for (number, fleet) in fleets.iter_mut().enumerate() {
            if random.f64() >= 1.5 * STEP_MS as f64 / 1_000.0 {
                continue;
            }
            let age_ms = max_news_age_ms * number as u64 / INSTANCES as u64;
            let known_ms = now_ms.saturating_sub(age_ms);
            let loads = &history[step as usize];
            let paces = &history[(known_ms / STEP_MS) as usize];
            for (server, ((load, _), (_, percent))) in loads.iter().zip(paces).enumerate() {
                states(fleet, server, None, Some(*load), now_ms);
                states(fleet, server, Some(*percent), None, known_ms);
            }
            let mut request = request(&service, None);
            request.jitter_seed = random.u64(..);
            let Some(name) = sent_to(&choose(fleet, &request, at(now_ms))) else { continue };
            let server: usize = name.as_str()[2..].parse().unwrap();
            machines[server].left_ms.push(WARM_MS as f64);
            if now_ms >= 1_000 {
                highest = highest.max(machines[server].left_ms.len());
            }
        }
    }
    highest
}

/// Guards against instances that hear the same news and all send to the same servers. The load is
/// 300 instances, 60 servers of which 15 % are 2.5 times slow for 600 ms at a time.
#[googletest::test]
fn instances_with_the_same_news_do_not_crowd_a_server() {
    for seed in [1, 2, 3] {
        let (fresh, delayed) = (highest_queue(0, seed), highest_queue(600, seed));
        println!("seed {seed}: {fresh} and {delayed}");
        expect_that!(delayed as f64, le(1.3 * fresh as f64), "seed {seed}");
        // With three slots and runs of 250 ms, the sixth request ends at the target of 500 ms.
        expect_that!(delayed, le(6), "seed {seed}");
    }
}
