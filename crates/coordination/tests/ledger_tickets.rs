//! The ledger of tickets: at most one run per ticket, refusals that stay valid, and bounded memory.

use std::collections::HashMap;

use googletest::prelude::*;
use pollenshed_coordination::ledger::{Admission, InheritedTickets, Ledger, LedgerLimits};
use pollenshed_state::{
    ids::{Binding, Digest, Incarnation, Ticket},
    time::Instant,
};
use proptest::{prelude::*, test_runner::RngSeed};

const LIFETIME_MS: u64 = 1_000;

fn ledger(max_tickets: usize) -> Ledger<u64> {
    let limits =
        LedgerLimits { binding_lifetime_ms: LIFETIME_MS, max_tickets, max_outcome_bytes: 100 };
    Ledger::new("entry-1".parse().unwrap(), Incarnation(7), limits)
}

fn ticket(id: u64, stamp_ms: u64) -> Ticket {
    let binding = Binding {
        instance: "entry-1".parse().unwrap(),
        incarnation: Incarnation(7),
        stamp: Instant::from_ms(stamp_ms),
    };
    Ticket { binding, id: format!("id-{id}") }
}

fn content(number: u64) -> Digest {
    Digest::of(&number.to_le_bytes())
}

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a ticket that runs twice, or runs after it was refused, under any order of
    /// copies, outcomes and expiries.
    #[test]
    fn ticket_runs_at_most_once(
        steps in prop::collection::vec((0u64..6, 0u64..3, 0u64..400, any::<bool>()), 1..120),
        max_tickets in 1usize..5,
    ) {
        let mut ledger = ledger(max_tickets);
        let mut now_ms = 0;
        let mut runs: HashMap<Ticket, u64> = HashMap::new();
        let mut refused: Vec<Ticket> = Vec::new();
        for (id, stamp, advance_ms, is_recorded) in steps {
            now_ms += advance_ms;
            let ticket = ticket(id, stamp * 500);
            match ledger.admit(&ticket, content(id), at(now_ms)) {
                Admission::Run => {
                    *runs.entry(ticket.clone()).or_default() += 1;
                    prop_assert!(!refused.contains(&ticket), "ran after a refusal");
                    if is_recorded {
                        ledger.record(&ticket, id, 10);
                    }
                }
                Admission::Full => refused.push(ticket),
                Admission::Recorded(outcome) => prop_assert_eq!(outcome, id),
                _ => {}
            }
            prop_assert!(ledger.len() <= max_tickets);
            prop_assert!(ledger.outcome_bytes() <= 100);
        }
        prop_assert!(runs.values().all(|count| *count == 1), "{:?}", runs);
    }
}

/// Guards against the answer of another request when a ticket is reused with other content.
#[gtest]
fn other_content_is_a_conflict() {
    let mut ledger = ledger(10);
    expect_that!(ledger.admit(&ticket(1, 0), content(1), at(0)), eq(&Admission::Run));
    expect_that!(ledger.admit(&ticket(1, 0), content(2), at(1)), eq(&Admission::Conflict));
    ledger.record(&ticket(1, 0), 5, 10);
    expect_that!(ledger.admit(&ticket(1, 0), content(2), at(2)), eq(&Admission::Conflict));
    expect_that!(ledger.admit(&ticket(1, 0), content(1), at(2)), eq(&Admission::Recorded(5)));
}

/// Guards against a run with a binding of another incarnation, an expired one or one of the future.
#[gtest]
fn ticket_runs_only_while_its_binding_is_valid() {
    let mut ledger = ledger(10);
    let mut other = ticket(1, 0);
    other.binding.incarnation = Incarnation(8);
    expect_that!(ledger.admit(&other, content(1), at(0)), eq(&Admission::WrongIncarnation));
    expect_that!(ledger.admit(&ticket(2, 0), content(1), at(1_000)), eq(&Admission::Expired));
    expect_that!(ledger.admit(&ticket(3, 9_000), content(1), at(1_000)), eq(&Admission::Expired));
}

/// Guards against a ticket that expires while its request runs, is forgotten and then runs again.
#[gtest]
fn ticket_in_flight_outlives_its_binding() {
    let mut ledger = ledger(10);
    expect_that!(ledger.admit(&ticket(1, 0), content(1), at(0)), eq(&Admission::Run));
    ledger.expire(at(5_000));
    expect_that!(ledger.admit(&ticket(1, 0), content(1), at(5_000)), eq(&Admission::Wait));
    ledger.record(&ticket(1, 0), 9, 10);
    expect_that!(ledger.admit(&ticket(1, 0), content(1), at(5_001)), eq(&Admission::Recorded(9)));
}

/// Guards against a late copy that runs after a full ledger refused the first copy.
#[gtest]
fn refusal_of_a_full_ledger_holds_for_late_copies() {
    let mut ledger = ledger(1);
    expect_that!(ledger.admit(&ticket(1, 0), content(1), at(0)), eq(&Admission::Run));
    expect_that!(ledger.admit(&ticket(2, 500), content(2), at(500)), eq(&Admission::Full));
    ledger.record(&ticket(1, 0), 1, 10);
    ledger.expire(at(1_100));
    expect_that!(ledger.admit(&ticket(2, 500), content(2), at(1_100)), eq(&Admission::Full));
    expect_that!(ledger.admit(&ticket(3, 1_050), content(3), at(1_100)), eq(&Admission::Run));
}

/// Guards against outcomes that are lost when an entry stops as planned, so that a copy of the
/// request would run again elsewhere.
#[gtest]
fn heirs_answer_for_handed_over_tickets() {
    let mut ledger = ledger(10);
    for id in 1..=2 {
        ledger.admit(&ticket(id, 0), content(id), at(0));
    }
    ledger.record(&ticket(1, 0), 11, 10);
    let mut heir = InheritedTickets::new(10);
    for recorded in ledger.export(at(100)) {
        expect_that!(heir.import(recorded, at(0)), eq(true));
    }
    expect_that!(heir.admit(&ticket(1, 0), content(1), at(50)), eq(&Admission::Recorded(11)));
    expect_that!(heir.admit(&ticket(1, 0), content(3), at(50)), eq(&Admission::Conflict));
    expect_that!(heir.admit(&ticket(2, 0), content(2), at(50)), eq(&Admission::WrongIncarnation));
    expect_that!(heir.admit(&ticket(1, 0), content(1), at(900)), eq(&Admission::WrongIncarnation));
}
