//! Requests that nobody waits for any more hold their slots until the backend server has ended them.

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
/// Slots of the stand-ins beyond these, so that a request too many is counted and not shed.
const SPARE_SLOTS: u64 = 16;
/// Time that a backend server needs, several times the deadline of the reads that time out.
const SERVICE_TIME: Duration = Duration::from_millis(1_500);
/// Times that all slots are used again while a test looks.
const ROUNDS: usize = 3;
/// Reads that nobody waits for as long as they run.
const READS: Work = Work { method: "GET", path: "/reads", deadline_ms: 400, callers: 12 };

/// Sends reads that time out to servers with these faults and returns the most slots in use.
fn most_slots_in_use(set_faults: impl Fn(&mut Faults)) -> u64 {
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

/// Guards against a slot that is given away while a server that ignores deadlines and cancel calls
/// still runs the request.
#[gtest]
fn server_that_does_not_stop_keeps_its_slots() {
    let most = most_slots_in_use(|faults| {
        faults.ignore_deadline = true;
        faults.ignore_cancel = true;
    });
    expect_that!(most, le(SLOTS));
}

/// Guards against a slot that is given away before a cancel call has ended the request.
#[gtest]
fn cancelled_request_frees_its_slot_after_its_end() {
    let most = most_slots_in_use(|faults| faults.ignore_deadline = true);
    expect_that!(most, le(SLOTS));
}
