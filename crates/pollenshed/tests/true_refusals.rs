//! Tests that a filing that was refused as `not-run` never runs, even if a late copy of it arrives.

mod support;

use std::{thread, time::Duration};

use fastrand::Rng;
use googletest::prelude::*;
use support::{
    callers::{Filing, Reply, post},
    faults::{ProxiedFleet, SLOTS, THREE_ENTRIES, signal, sleep_for},
    wait_for,
};

/// Filings sent at the same time: several times the slots of a failure domain.
const FILINGS: usize = 30;

const SERVICE_TIME: Duration = Duration::from_millis(300);

/// Deadline long enough for a filing that waits in a queue behind others.
const LONG_DEADLINE_MS: u64 = 4_500;

/// Filings that are sent at once.
struct Burst {
    filings: Vec<Filing>,
    deadline_ms: u64,
}

impl Burst {
    fn prepare(fleet: &ProxiedFleet, seed: u64, rng: &mut Rng, deadline_ms: u64) -> Burst {
        let daemons = &fleet.fleet.daemons;
        let prepare = |number| {
            let entry = daemons[rng.usize(..daemons.len())].caller_endpoint;
            Filing::prepare(entry, rng.u8(1..), format!("flood {number} seed {seed}"))
        };
        Burst { filings: (0..FILINGS).map(prepare).collect(), deadline_ms }
    }

    /// Sends all filings at once and causes a fault while they wait and run.
    fn run(&self, fleet: &mut ProxiedFleet, fault: impl FnOnce(&mut ProxiedFleet)) {
        thread::scope(|scope| {
            for filing in &self.filings {
                scope.spawn(|| filing.send(filing.address, self.deadline_ms));
            }
            fault(fleet);
        });
    }

    /// Checks all replies, and returns how many filings were refused, to the caller or by an owner
    /// before another owner ran it.
    ///
    /// First gives late copies time to run: sends every filing again to every entry, waits until
    /// every entry has served a marker filing after them, and until no backend server runs a
    /// request.
    fn check(&self, fleet: &ProxiedFleet, seed: u64) -> usize {
        fleet.wait_until_ready();
        for daemon in &fleet.fleet.daemons {
            for filing in &self.filings {
                filing.send(daemon.caller_endpoint, self.deadline_ms);
            }
            let marker = wait_for("a served marker", || {
                let filing = Filing::prepare(daemon.caller_endpoint, 1, format!("marker {seed}"));
                let reply = post(filing.address, &filing.ticket, &filing.body, LONG_DEADLINE_MS);
                matches!(reply, Reply::Done(_)).then_some(reply)
            });
            drop(marker);
        }
        wait_for("idle backend servers", || {
            fleet.fleet.backends.iter().all(|(_, b)| b.in_use() == 0).then_some(())
        });
        let faults: Vec<_> =
            self.filings.iter().filter_map(|f| f.find_violation(&fleet.fleet)).collect();
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
        let refused = self.filings.iter().filter(|f| f.was_refused()).count();
        let moved = self.filings.iter().filter(|f| f.attempt(&fleet.fleet) > 0).count();
        let unknown = self.unknown();
        println!("seed {seed}: {refused} refused, {moved} by one owner only, {unknown} unknown");
        refused + moved
    }

    fn unknown(&self) -> usize {
        self.filings.iter().filter(|f| f.is_unknown()).count()
    }
}

/// Runs one burst per seed and returns the sum of the refused filings.
fn run_bursts(
    seeds: impl IntoIterator<Item = u64>,
    mut run_burst: impl FnMut(&mut ProxiedFleet, u64, &mut Rng) -> usize,
) -> usize {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    let seeds = seeds.into_iter();
    seeds.map(|seed| run_burst(&mut fleet, seed, &mut Rng::with_seed(seed))).sum()
}

/// Guards against a refusal of a filing that still waits at its owner after the call to it failed.
#[gtest]
fn dispatch_lost_while_the_filing_waits() {
    let refused = run_bursts(101..=104, |fleet, seed, rng| {
        let burst = Burst::prepare(fleet, seed, rng, LONG_DEADLINE_MS);
        let fault_delay = Duration::from_millis(rng.u64(50..300));
        burst.run(fleet, |fleet| {
            sleep_for(fault_delay);
            for peer in &fleet.peer_proxies {
                peer.relay.reset_connections();
            }
        });
        let refused = burst.check(fleet, seed);
        // All processes are alive and can be reached again at once, so each owner returns the
        // outcome.
        expect_that!(burst.unknown(), eq(0), "seed {seed}");
        refused
    });
    expect_that!(refused, gt(0), "no dispatch was lost while its filing waited");
}

/// Guards against a filing that runs although it was refused because its deadline passed.
#[gtest]
fn deadline_passes_in_the_queue() {
    let refused = run_bursts(111..=113, |fleet, seed, rng| {
        let deadline_ms = rng.u64(350..700);
        let burst = Burst::prepare(fleet, seed, rng, deadline_ms);
        burst.run(fleet, |_| {});
        let refused = burst.check(fleet, seed);
        // Only a filing that holds a slot when its deadline passes may have run.
        let slots = fleet.server_proxies.len() * usize::try_from(SLOTS).unwrap();
        expect_that!(burst.unknown(), le(slots), "seed {seed}");
        refused
    });
    expect_that!(refused, gt(0), "no deadline passed in the queue");
}

/// Guards against a false refusal when backend servers refuse connections or shed filings.
#[gtest]
fn backend_servers_refuse_connections_or_shed() {
    let refused = run_bursts(121..=124, |fleet, seed, rng| {
        let burst = Burst::prepare(fleet, seed, rng, LONG_DEADLINE_MS);
        let is_shedding = rng.bool();
        let time = Duration::from_millis(rng.u64(100..500));
        burst.run(fleet, |fleet| {
            if is_shedding {
                fleet.fleet.backends.iter().for_each(|(_, b)| b.set_slots(1));
            } else {
                fleet.server_proxies.iter_mut().for_each(|proxy| proxy.refuse_new());
            }
            sleep_for(time);
            fleet.fleet.backends.iter().for_each(|(_, b)| b.set_slots(64));
            fleet.heal();
        });
        let refused = burst.check(fleet, seed);
        // A filing whose connection was refused or that was shed has certainly not run.
        expect_that!(burst.unknown(), eq(0), "seed {seed}");
        refused
    });
    expect_that!(refused, gt(0), "no backend server refused a filing");
}

/// Guards against an owner that is resumed after a pause and dispatches the filings in its queue,
/// while the entry has refused the same filings.
#[gtest]
fn owner_paused_with_a_full_queue() {
    let mut in_flight = 0;
    run_bursts(131..=133, |fleet, seed, rng| {
        let burst = Burst::prepare(fleet, seed, rng, LONG_DEADLINE_MS);
        let fault_delay = Duration::from_millis(rng.u64(100..400));
        let faulted = fleet.any_owner();
        burst.run(fleet, |fleet| {
            sleep_for(fault_delay);
            signal(&fleet.fleet.daemons[faulted], "-STOP");
            in_flight += burst.filings.iter().filter(|f| f.replies().is_empty()).count();
            fleet.wait_until_dead(faulted);
            signal(&fleet.fleet.daemons[faulted], "-CONT");
        });
        // Any filing may have been at the paused owner, so a filing may be without an outcome.
        burst.check(fleet, seed)
    });
    expect_that!(in_flight, gt(0), "no filing was in flight when the owner was paused");
}
