//! Abandoned requests hold their slots until the backend server has ended them.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_standins::backend::{Behaviour, Faults};
use support::{
    Fleet,
    closed_loop::{Load, Work},
    wait_for,
};

/// Slots of each backend server.
const SLOTS: u64 = 3;
/// Additional slots of the stand-ins, so that an excess request runs and is counted instead of
/// shed.
const SPARE_SLOTS: u64 = 16;
/// Time that a backend server needs for a read, several times the deadline of the reads.
const SERVICE_TIME: Duration = Duration::from_millis(1_500);
/// Number of times that all slots must be used again before a test ends.
const ROUNDS: usize = 3;
/// Reads whose deadline passes long before they end.
const READS: Work = Work { method: "GET", path: "/reads", deadline_ms: 400, callers: 12 };

/// Sends reads that time out to servers with these faults. Returns the largest number of slots in
/// use at a server.
fn peak_slots_in_use(set_faults: impl Fn(&mut Faults)) -> u64 {
    let behaviour = Behaviour { name: String::new(), slots: SLOTS, service_time: SERVICE_TIME };
    let fleet = Fleet::start(&["north-a"], &behaviour);
    for (_, backend) in &fleet.backends {
        backend.set_slots(SLOTS + SPARE_SLOTS);
        backend.set_faults(&set_faults);
    }
    let mut load = Load::start(&fleet.daemons.iter().collect::<Vec<_>>(), &READS);
    let runs = || fleet.backends.iter().map(|(_, b)| b.runs().len()).sum::<usize>();
    let goal = runs() + ROUNDS * SLOTS as usize * fleet.backends.len();
    wait_for("slots to be used again", || (runs() >= goal).then_some(()));
    load.finish();
    fleet.backends.iter().map(|(_, b)| b.max_in_use()).max().unwrap()
}

/// Guards against a slot that is reused while a server that ignores deadlines and cancel calls
/// still runs the request.
#[gtest]
fn server_that_does_not_stop_keeps_its_slots() {
    let peak_in_use = peak_slots_in_use(|faults| {
        faults.ignore_deadline = true;
        faults.ignore_cancel = true;
    });
    expect_that!(peak_in_use, le(SLOTS));
}

/// Guards against a slot that is reused before a cancel call has ended the request.
#[gtest]
fn cancelled_request_frees_its_slot_after_its_end() {
    let peak_in_use = peak_slots_in_use(|faults| faults.ignore_deadline = true);
    expect_that!(peak_in_use, le(SLOTS));
}
