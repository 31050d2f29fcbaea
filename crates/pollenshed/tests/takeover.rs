//! Another instance takes over the backend servers of a failed owner without exceeding their slots.

mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use support::{
    callers::get,
    faults::{DEAD_AFTER_MS, ProxiedFleet, SLOTS, THREE_ENTRIES, signal, sleep_for},
    wait_for,
};

/// Callers that read without a pause, more than the slots of a failure domain.
const CALLERS: usize = 18;

/// Time that a read takes, long enough that reads of the former owner still run at the takeover.
const SERVICE_TIME: Duration = Duration::from_millis(1_200);

/// Longest takeover: the silence until the owner counts as dead, `fence_after_ms` for its last
/// dispatch, and three seconds for gossip, the first load report and a loaded test machine.
const MAX_TAKEOVER: Duration = Duration::from_millis(DEAD_AFTER_MS + 700 + 3_000);

fn peak_in_use(fleet: &ProxiedFleet) -> u64 {
    fleet.fleet.backends.iter().map(|(_, b)| b.max_in_use()).max().unwrap()
}

/// What a failure does to an owner.
struct Failure {
    name: &'static str,
    /// Whether the owner still reaches its backend servers. Their load reports then make the
    /// successor leave the used slots free, so the successor may not dispatch for some time.
    owner_keeps_dispatching: bool,
    /// Most slots that may be in use at a backend server.
    max_slots: u64,
}

/// Time for which a former owner runs beside its successor; it spans several probe periods.
const OVERLAP: Duration = Duration::from_millis(2_500);

/// Makes an owner fail under load, waits for the takeover and checks its duration and the slots in
/// use.
fn run_takeover(
    fleet: &mut ProxiedFleet,
    failure: &Failure,
    fail: impl FnOnce(&mut ProxiedFleet, usize),
    end: impl FnOnce(&mut ProxiedFleet, usize),
) {
    let server = fleet.fleet.backends[0].0.clone();
    let faulted = fleet.any_owner();
    let entries: Vec<_> = fleet.fleet.daemons.iter().map(|d| d.caller_endpoint).collect();
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
        let stop = SetOnDrop(&is_over);
        wait_for("all slots in use", || {
            (fleet.fleet.backends[0].1.in_use() >= SLOTS).then_some(())
        });
        let began = Instant::now();
        fail(fleet, faulted);
        wait_for("another owner that dispatches", || {
            is_taken_over(fleet, failure, faulted, &server)
        });
        let time = began.elapsed();
        println!("{}: {server} taken over after {} ms", failure.name, time.as_millis());
        expect_that!(time, le(MAX_TAKEOVER), "{}", failure.name);
        if failure.owner_keeps_dispatching {
            sleep_for(OVERLAP);
        }
        end(fleet, faulted);
        drop(stop);
    });
    fleet.wait_until_ready();
    println!("{}: at most {} of {SLOTS} slots in use", failure.name, peak_in_use(fleet));
    expect_that!(peak_in_use(fleet), le(failure.max_slots), "{}", failure.name);
}

/// Ends the callers when it is dropped, also by a failed check.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Returns `Some` once another instance uses the server. An instance lists the server when its wait
/// is over, and with a limit above 0 when it dispatches.
fn is_taken_over(
    fleet: &ProxiedFleet,
    failure: &Failure,
    faulted: usize,
    name: &str,
) -> Option<()> {
    let others = (0..fleet.locations.len()).filter(|at| *at != faulted);
    let statuses = others.filter_map(|at| fleet.fleet.daemons[at].status());
    let mut servers = statuses.flat_map(|status| status.owned_backend_servers);
    servers
        .any(|s| s.name == name && (s.limit > 0 || failure.owner_keeps_dispatching))
        .then_some(())
}

/// Guards against backend servers that get no new owner after theirs was killed, and against a new
/// owner that does not count the requests still running there.
#[gtest]
fn owner_killed() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    run_takeover(
        &mut fleet,
        &Failure { name: "killed", owner_keeps_dispatching: false, max_slots: SLOTS },
        |fleet, faulted| fleet.fleet.daemons[faulted].kill(),
        |fleet, faulted| fleet.restart(faulted),
    );
}

/// Guards against an owner that dispatches from stale state after a pause, while its successor
/// dispatches as well.
#[gtest]
fn owner_paused() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    // Which instance learns of the owner's return first depends on milliseconds, so the test runs
    // several rounds.
    for _ in 0..3 {
        run_takeover(
            &mut fleet,
            &Failure { name: "paused", owner_keeps_dispatching: false, max_slots: SLOTS },
            |fleet, faulted| signal(&fleet.fleet.daemons[faulted], "-STOP"),
            |fleet, faulted| {
                signal(&fleet.fleet.daemons[faulted], "-CONT");
                sleep_for(OVERLAP);
            },
        );
    }
}

/// Cuts an instance off from all peers, as entry and as owner. It still reaches its backend
/// servers.
fn cut_off(fleet: &mut ProxiedFleet, faulted: usize) {
    for (at, peer) in fleet.peer_proxies.iter().enumerate() {
        for proxy in [&peer.control, &peer.relay] {
            if at == faulted {
                proxy.cut();
            } else {
                proxy.cut_source(fleet.fleet.daemons[faulted].peer_endpoint.ip());
            }
        }
    }
}

/// Guards against more than twice the slots in use while an owner that is cut off keeps
/// dispatching.
#[gtest]
fn owner_cut_off() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    // The owner cannot know that it was replaced, and each owner counts only its own requests.
    let failure = Failure { name: "cut off", owner_keeps_dispatching: true, max_slots: 2 * SLOTS };
    run_takeover(&mut fleet, &failure, cut_off, |fleet, _| fleet.heal());
}

/// Guards against more than twice the slots in use while an owner receives messages from its peers,
/// but they receive none from it.
#[gtest]
fn owner_cut_off_one_way() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    let cut = |fleet: &mut ProxiedFleet, faulted: usize| {
        use pollenshed_standins::proxy::Direction;
        let own = fleet.fleet.daemons[faulted].peer_endpoint.ip();
        for (at, peer) in fleet.peer_proxies.iter().enumerate() {
            if at == faulted {
                peer.control.cut_one_way(Direction::ToCaller);
            } else {
                peer.control.cut_source(own);
            }
        }
    };
    let failure =
        Failure { name: "cut off one way", owner_keeps_dispatching: true, max_slots: 2 * SLOTS };
    run_takeover(&mut fleet, &failure, cut, |fleet, _| fleet.heal());
}
