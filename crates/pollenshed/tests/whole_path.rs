//! The whole path of a request through separate processes: lookup, entry, owner, backend server and
//! back to the caller.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_protocol::caller::{LookupAnswer, OUTCOME_HEADER, TICKET_HEADER};
use pollenshed_standins::backend::Behaviour;
use support::Fleet;

fn behaviour() -> Behaviour {
    Behaviour { name: String::new(), slots: 3, service_time: Duration::from_millis(5) }
}

fn lookup(fleet: &Fleet, at: usize) -> LookupAnswer {
    let url = format!("http://{}/v1/lookup?service=ledger", fleet.daemons[at].caller_endpoint);
    ureq::get(url).call().unwrap().body_mut().read_json().unwrap()
}

/// Guards against a fault anywhere on the path between caller and backend server.
#[gtest]
fn read_is_served_through_every_entry() {
    let fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    for daemon in &fleet.daemons {
        let url = format!("http://{}/v1/run/ledger/tables/2026?q=1", daemon.caller_endpoint);
        let mut answer = support::wait_for("a served read", || ureq::get(&url).call().ok());
        let text = answer.body_mut().read_to_string().unwrap();
        expect_that!(answer.headers()[OUTCOME_HEADER], eq("done"));
        expect_that!(text, contains_substring("ran GET /tables/2026?q=1 with 0 bytes"));
    }
}

/// Guards against a second run of a filing that a caller sends again, to the same entry or another.
#[gtest]
fn filing_sent_again_runs_once() {
    let fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    let answer = lookup(&fleet, 0);
    let ticket = format!("{}/filing-1", answer.binding);
    let send = |address| {
        let url = format!("http://{address}/v1/run/ledger/filings");
        let request = ureq::post(url).header(TICKET_HEADER, &ticket);
        request.send("feast on the 4th").unwrap().body_mut().read_to_string().unwrap()
    };
    let first = send(answer.entries[0].address);
    expect_that!(send(answer.entries[0].address), eq(&first));
    expect_that!(send(answer.entries[1].address), eq(&first));
    expect_that!(fleet.runs_of(b"feast on the 4th"), eq(1));
}
