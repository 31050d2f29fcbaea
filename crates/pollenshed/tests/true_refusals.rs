//! A filing that was refused as `not-run` never runs, also when a late copy of it arrives.

mod support;

use std::{thread, time::Duration};

use fastrand::Rng;
use googletest::prelude::*;
use support::{
    callers::{Filing, Reply, post},
    faults::{ProxiedFleet, SLOTS, THREE_ENTRIES, hold, signal},
    wait_for,
};

/// Filings at the same time, several times the slots of a failure domain.
const FILINGS: usize = 30;

/// Time that one filing takes at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(300);

/// Deadline that leaves time for a filing that waits behind others.
const LONG_DEADLINE_MS: u64 = 4_500;

struct Flood {
    filings: Vec<Filing>,
    deadline_ms: u64,
}

impl Flood {
    fn prepare(fleet: &ProxiedFleet, seed: u64, rng: &mut Rng, deadline_ms: u64) -> Flood {
        let daemons = &fleet.fleet.daemons;
        let prepare = |number| {
            let entry = daemons[rng.usize(..daemons.len())].callers;
            Filing::prepare(entry, rng.u8(1..), format!("flood {number} seed {seed}"))
        };
        Flood { filings: (0..FILINGS).map(prepare).collect(), deadline_ms }
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

    /// Checks all replies after late copies had their chance, and returns how many filings were
    /// refused, to the caller or by an owner before another one ran it.
    ///
    /// A marker filing behind them at every entry was served, no backend server runs anything, and
    /// every filing was sent again to every entry.
    fn check(&self, fleet: &ProxiedFleet, seed: u64) -> usize {
        fleet.wait_until_ready();
        for daemon in &fleet.fleet.daemons {
            for filing in &self.filings {
                filing.send(daemon.callers, self.deadline_ms);
            }
            let marker = wait_for("a served marker", || {
                let filing = Filing::prepare(daemon.callers, 1, format!("marker {seed}"));
                let reply = post(filing.address, &filing.ticket, &filing.body, LONG_DEADLINE_MS);
                matches!(reply, Reply::Done(_)).then_some(reply)
            });
            drop(marker);
        }
        wait_for("idle backend servers", || {
            fleet.fleet.backends.iter().all(|(_, b)| b.in_use() == 0).then_some(())
        });
        let faults: Vec<_> =
            self.filings.iter().filter_map(|f| f.find_fault(&fleet.fleet)).collect();
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

/// Runs one flood per seed and returns the sum of the refused filings.
fn floods(
    seeds: impl IntoIterator<Item = u64>,
    mut one: impl FnMut(&mut ProxiedFleet, u64, &mut Rng) -> usize,
) -> usize {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    let seeds = seeds.into_iter();
    seeds.map(|seed| one(&mut fleet, seed, &mut Rng::with_seed(seed))).sum()
}

/// Guards against a refusal of a filing that still waits at its owner after the call to it failed.
#[gtest]
fn dispatch_lost_while_the_filing_waits() {
    let refused = floods(101..=104, |fleet, seed, rng| {
        let flood = Flood::prepare(fleet, seed, rng, LONG_DEADLINE_MS);
        let moment = Duration::from_millis(rng.u64(50..300));
        flood.run(fleet, |fleet| {
            hold(moment);
            for peer in &fleet.peers {
                peer.relay.reset_connections();
            }
        });
        let refused = flood.check(fleet, seed);
        // All processes live and can be reached again at once, so each owner tells the outcome.
        expect_that!(flood.unknown(), eq(0), "seed {seed}");
        refused
    });
    expect_that!(refused, gt(0), "no dispatch was lost while its filing waited");
}

/// Guards against a filing that runs although it was refused because its deadline passed.
#[gtest]
fn deadline_passes_in_the_queue() {
    let refused = floods(111..=113, |fleet, seed, rng| {
        let deadline_ms = rng.u64(350..700);
        let flood = Flood::prepare(fleet, seed, rng, deadline_ms);
        flood.run(fleet, |_| {});
        let refused = flood.check(fleet, seed);
        // Only a filing that holds a slot when its deadline passes may have run.
        let slots = fleet.backends.len() * usize::try_from(SLOTS).unwrap();
        expect_that!(flood.unknown(), le(slots), "seed {seed}");
        refused
    });
    expect_that!(refused, gt(0), "no deadline passed in the queue");
}

/// Guards against a false refusal when backend servers refuse connections or shed filings.
#[gtest]
fn backend_servers_refuse_connections_or_shed() {
    let refused = floods(121..=124, |fleet, seed, rng| {
        let flood = Flood::prepare(fleet, seed, rng, LONG_DEADLINE_MS);
        let sheds = rng.bool();
        let time = Duration::from_millis(rng.u64(100..500));
        flood.run(fleet, |fleet| {
            if sheds {
                fleet.fleet.backends.iter().for_each(|(_, b)| b.set_slots(1));
            } else {
                fleet.backends.iter_mut().for_each(|proxy| proxy.refuse_new());
            }
            hold(time);
            fleet.fleet.backends.iter().for_each(|(_, b)| b.set_slots(64));
            fleet.heal();
        });
        let refused = flood.check(fleet, seed);
        // A connection that was not made and a filing that was shed have certainly not run.
        expect_that!(flood.unknown(), eq(0), "seed {seed}");
        refused
    });
    expect_that!(refused, gt(0), "no backend server refused a filing");
}

/// Guards against an owner that goes on after a pause with what waited in its queue, while the entry
/// has a refusal for the same filing.
#[gtest]
fn owner_frozen_with_a_full_queue() {
    let mut in_flight = 0;
    floods(131..=133, |fleet, seed, rng| {
        let flood = Flood::prepare(fleet, seed, rng, LONG_DEADLINE_MS);
        let moment = Duration::from_millis(rng.u64(100..400));
        let victim = fleet.any_owner();
        flood.run(fleet, |fleet| {
            hold(moment);
            signal(&fleet.fleet.daemons[victim], "-STOP");
            in_flight += flood.filings.iter().filter(|f| f.replies().is_empty()).count();
            fleet.wait_until_dead(victim);
            signal(&fleet.fleet.daemons[victim], "-CONT");
        });
        // Any filing may have been at the frozen owner, so none must have an outcome.
        flood.check(fleet, seed)
    });
    expect_that!(in_flight, gt(0), "no filing was in flight when the owner was paused");
}
