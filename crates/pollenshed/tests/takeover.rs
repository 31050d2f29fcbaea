//! Backend servers of a failed owner are taken over without more work than their slots.

mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use support::{
    callers::get,
    faults::{DEAD_AFTER_MS, ProxiedFleet, SLOTS, THREE_ENTRIES, hold, signal},
    wait_for,
};

/// Callers that read all the time, more than all slots of a failure domain.
const CALLERS: usize = 18;

/// Time that a read takes: long enough that reads of the former owner still run at the takeover.
const SERVICE_TIME: Duration = Duration::from_millis(1_200);

/// Longest takeover: silence until the owner is dead, `fence_after_ms` for its last dispatch, and
/// three seconds for gossip, the first load report and a loaded test machine.
const MAX_TAKEOVER: Duration = Duration::from_millis(DEAD_AFTER_MS + 700 + 3_000);

fn most_in_use(fleet: &ProxiedFleet) -> u64 {
    fleet.fleet.backends.iter().map(|(_, b)| b.max_in_use()).max().unwrap()
}

/// What a failure does to an owner.
struct Failure {
    name: &'static str,
    /// Whether the owner still reaches its backend servers. The server's load report then makes the
    /// successor leave it the slots, so the successor may have to wait with dispatching.
    owner_goes_on: bool,
    /// Slots in use at a backend server at most.
    most_slots: u64,
}

/// Time for which both owners go on, several probe periods.
const OVERLAP: Duration = Duration::from_millis(2_500);

/// Lets an owner fail under load, waits for the takeover and checks the slots in use.
fn take_over(
    fleet: &mut ProxiedFleet,
    failure: &Failure,
    fail: impl FnOnce(&mut ProxiedFleet, usize),
    end: impl FnOnce(&mut ProxiedFleet, usize),
) {
    let server = fleet.fleet.backends[0].0.clone();
    let victim = fleet.any_owner();
    let entries: Vec<_> = fleet.fleet.daemons.iter().map(|d| d.callers).collect();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let (entry, is_over) = (entries[number % entries.len()], &is_over);
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    get(entry, &format!("/takeover/{number}"));
                }
            });
        }
        let stop = SetAtEnd(&is_over);
        wait_for("all slots in use", || {
            (fleet.fleet.backends[0].1.in_use() >= SLOTS).then_some(())
        });
        let began = Instant::now();
        fail(fleet, victim);
        wait_for("another owner that dispatches", || {
            is_taken_over(fleet, failure, victim, &server)
        });
        let time = began.elapsed();
        println!("{}: {server} taken over after {} ms", failure.name, time.as_millis());
        expect_that!(time, le(MAX_TAKEOVER), "{}", failure.name);
        if failure.owner_goes_on {
            hold(OVERLAP);
        }
        end(fleet, victim);
        drop(stop);
    });
    fleet.wait_until_ready();
    println!("{}: at most {} of {SLOTS} slots in use", failure.name, most_in_use(fleet));
    expect_that!(most_in_use(fleet), le(failure.most_slots), "{}", failure.name);
}

struct SetAtEnd<'a>(&'a AtomicBool);

impl Drop for SetAtEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Tells whether another instance uses the server: it lists it once its wait is over, and with a
/// limit above 0 when it dispatches.
fn is_taken_over(fleet: &ProxiedFleet, failure: &Failure, victim: usize, name: &str) -> Option<()> {
    let others = (0..fleet.places.len()).filter(|at| *at != victim);
    let statuses = others.filter_map(|at| fleet.fleet.daemons[at].status());
    let mut servers = statuses.flat_map(|status| status.owned_backend_servers);
    servers.any(|s| s.name == name && (s.limit > 0 || failure.owner_goes_on)).then_some(())
}

/// Guards against a killed owner whose backend servers stay without one, or whose running requests
/// are forgotten.
#[gtest]
fn owner_killed() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    take_over(
        &mut fleet,
        &Failure { name: "killed", owner_goes_on: false, most_slots: SLOTS },
        |fleet, victim| fleet.fleet.daemons[victim].kill(),
        |fleet, victim| fleet.restart(victim),
    );
}

/// Guards against a paused owner that dispatches on stale state beside its successor.
#[gtest]
fn owner_frozen() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    // Who hears of the return first is a matter of milliseconds, so one round shows little.
    for _ in 0..3 {
        take_over(
            &mut fleet,
            &Failure { name: "frozen", owner_goes_on: false, most_slots: SLOTS },
            |fleet, victim| signal(&fleet.fleet.daemons[victim], "-STOP"),
            |fleet, victim| {
                signal(&fleet.fleet.daemons[victim], "-CONT");
                hold(OVERLAP);
            },
        );
    }
}

/// Cuts an instance off from all peers, in both roles; it still reaches its backend servers.
fn cut_off(fleet: &mut ProxiedFleet, victim: usize) {
    for (at, peer) in fleet.peers.iter().enumerate() {
        for proxy in [&peer.control, &peer.relay] {
            if at == victim {
                proxy.cut();
            } else {
                proxy.cut_source(fleet.fleet.daemons[victim].peers.ip());
            }
        }
    }
}

/// Guards against more than two owners' worth of slots while a cut-off owner goes on.
#[gtest]
fn owner_cut_off() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    // The cut-off owner cannot know that it was replaced, and both count their own slots.
    let failure = Failure { name: "cut off", owner_goes_on: true, most_slots: 2 * SLOTS };
    take_over(&mut fleet, &failure, cut_off, |fleet, _| fleet.heal());
}

/// Guards against more than two owners' worth of slots while an owner hears its peers and is not
/// heard by them.
#[gtest]
fn owner_cut_off_one_way() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    let cut = |fleet: &mut ProxiedFleet, victim: usize| {
        use pollenshed_standins::proxy::Direction;
        let own = fleet.fleet.daemons[victim].peers.ip();
        for (at, peer) in fleet.peers.iter().enumerate() {
            if at == victim {
                peer.control.cut_one_way(Direction::ToCaller);
            } else {
                peer.control.cut_source(own);
            }
        }
    };
    let failure = Failure { name: "cut off one way", owner_goes_on: true, most_slots: 2 * SLOTS };
    take_over(&mut fleet, &failure, cut, |fleet, _| fleet.heal());
}
