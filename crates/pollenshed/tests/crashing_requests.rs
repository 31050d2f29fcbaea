//! A request that crashes every backend server that runs it takes down at most two servers.

mod support;

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Barrier,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use fastrand::Rng;
use googletest::prelude::*;
use pollenshed_standins::backend::Backend;
use support::{
    callers::{Filing, Reply, get, post, put},
    faults::{InstanceLocation, ProxiedFleet, THREE_ENTRIES, answer_to},
    wait_for,
};

/// Text that makes a stand-in crash if a request's body contains it.
const CRASH_MARKER: &str = "crash now";

/// Most backend servers that a crashing request may take down.
const MAX_CRASHES: u64 = 2;

/// Number of times that the caller sends the crashing request.
const SENDS: u32 = 12;

/// Entries in different failure domains, so that each sends the first copy to a different owner.
const THREE_DOMAINS: [InstanceLocation; 3] =
    [("north-a-1", "north-a"), ("north-b-1", "north-b"), ("south-a-1", "south-a")];

/// Most copies of a crashing request that one entry receives at the same instant.
const MAX_COPIES: usize = 4;

/// Time that a request takes, long enough that other requests run on a server when it crashes.
const SERVICE_TIME: Duration = Duration::from_millis(80);

fn crashes(fleet: &ProxiedFleet) -> u64 {
    fleet.fleet.backends.iter().map(|(_, b)| b.counts().crashes).sum()
}

fn start() -> ProxiedFleet {
    start_at(&THREE_ENTRIES)
}

fn start_at(locations: &[InstanceLocation]) -> ProxiedFleet {
    let fleet = ProxiedFleet::start(locations, SERVICE_TIME);
    for (_, backend) in &fleet.fleet.backends {
        backend.set_faults(|faults| faults.crash_marker = Some(CRASH_MARKER.into()));
    }
    fleet
}

/// Restarts crashed servers, so that another copy of the request could crash them.
fn restart_crashed(fleet: &mut ProxiedFleet) {
    let crashed: Vec<&mut Backend> =
        fleet.fleet.backends.iter_mut().map(|(_, b)| b).filter(|b| !b.is_up()).collect();
    for backend in crashed {
        backend.restart().unwrap();
    }
    fleet.fleet.wait_until_served();
}

/// Sends a crashing request repeatedly to random entries and checks the number of crashes.
fn send_repeatedly(seeds: RangeInclusive<u64>, send: impl Fn(&ProxiedFleet, usize, &str, u32)) {
    let mut fleet = start();
    for seed in seeds {
        let mut rng = Rng::with_seed(seed);
        let before = crashes(&fleet);
        let body = format!("{CRASH_MARKER} {seed}");
        for number in 0..SENDS {
            let entry = rng.usize(..fleet.fleet.daemons.len());
            send(&fleet, entry, &body, number);
            if rng.bool() {
                restart_crashed(&mut fleet);
            }
        }
        let crash_count = crashes(&fleet) - before;
        println!("seed {seed}: {crash_count} crashes in {SENDS} sendings");
        expect_that!(crash_count, all!(gt(0), le(MAX_CRASHES)), "seed {seed}");
        restart_crashed(&mut fleet);
    }
}

/// Guards against a third crash by an idempotent request, which the entry itself retries.
#[gtest]
fn idempotent_request_crashes_two_servers_at_most() {
    send_repeatedly(301..=303, |fleet, entry, body, _| {
        let reply = put(fleet.fleet.daemons[entry].caller_endpoint, "/crash", body);
        assert!(!matches!(reply, Reply::Done(_)), "{reply:?}");
    });
}

/// Guards against a third crash by a filing that its caller sends under new tickets.
#[gtest]
fn filing_under_new_tickets_crashes_two_servers_at_most() {
    send_repeatedly(311..=313, |fleet, entry, body, _| {
        let filing =
            Filing::prepare(fleet.fleet.daemons[entry].caller_endpoint, 1, body.to_owned());
        let ticket = format!("{}-{entry}-{}", filing.ticket, fastrand::u32(..));
        let reply = post(filing.address, &ticket, body, 2_000);
        assert!(!matches!(reply, Reply::Done(_)), "{reply:?}");
    });
}

/// Sends copies of a crashing request to all entries at the same instant and checks the number of
/// crashes. `prepare` returns what distinguishes a copy, such as its ticket, and `send` gets that.
fn send_at_once<T: Send>(
    seeds: RangeInclusive<u64>,
    locations: &[InstanceLocation],
    prepare: impl Fn(SocketAddr, &str, usize) -> T,
    send: impl Fn(SocketAddr, &str, T) -> Reply + Sync,
) {
    let mut fleet = start_at(locations);
    for seed in seeds {
        let mut rng = Rng::with_seed(seed);
        let before = crashes(&fleet);
        let body = format!("{CRASH_MARKER} {seed}");
        let entries: Vec<_> = fleet.fleet.daemons.iter().map(|d| d.caller_endpoint).collect();
        let copies = entries.len() * rng.usize(1..=MAX_COPIES);
        let prepared: Vec<_> = (0..copies)
            .map(|copy| {
                let entry = entries[copy % entries.len()];
                (entry, prepare(entry, &body, copy))
            })
            .collect();
        let start = Barrier::new(copies);
        thread::scope(|scope| {
            for (entry, identity) in prepared {
                let (body, start, send) = (&body, &start, &send);
                scope.spawn(move || {
                    start.wait();
                    let reply = send(entry, body, identity);
                    assert!(!matches!(reply, Reply::Done(_)), "{reply:?}");
                });
            }
        });
        let crash_count = crashes(&fleet) - before;
        println!("seed {seed}: {crash_count} crashes by {copies} copies at once");
        expect_that!(crash_count, all!(gt(0), le(MAX_CRASHES)), "seed {seed}");
        restart_crashed(&mut fleet);
    }
}

/// Guards against a third crash by copies of an idempotent request that all entries receive at the
/// same instant.
#[gtest]
fn idempotent_copies_sent_at_once_crash_two_servers_at_most() {
    send_at_once(
        331..=333,
        &THREE_ENTRIES,
        |_, _, _| (),
        |entry, body, ()| put(entry, "/crash", body),
    );
}

/// Guards against a third crash by copies of a filing that all entries receive at the same instant
/// under different tickets.
#[gtest]
fn filings_sent_at_once_crash_two_servers_at_most() {
    let prepare = |entry, body: &str, copy| {
        format!("{}-{copy}", Filing::prepare(entry, 1, body.to_owned()).ticket)
    };
    send_at_once(341..=343, &THREE_ENTRIES, prepare, |entry, body, ticket| {
        post(entry, &ticket, body, 2_000)
    });
}

/// Guards against a third crash by copies that owners in three failure domains receive at the same
/// instant.
#[gtest]
fn copies_in_three_failure_domains_crash_two_servers_at_most() {
    let send = |entry, body: &str, ()| put(entry, "/crash", body);
    send_at_once(351..=352, &THREE_DOMAINS, |_, _, _| (), send);
}

/// Guards against a quarantine of requests that only ran on a server when another request crashed
/// it.
#[gtest]
fn other_requests_are_served_after_a_crash() {
    let mut fleet = start();
    for seed in 321..=323 {
        let entries: Vec<_> = fleet.fleet.daemons.iter().map(|d| d.caller_endpoint).collect();
        let is_over = AtomicBool::new(false);
        let before = crashes(&fleet);
        thread::scope(|scope| {
            for number in 0..6_usize {
                let (entry, is_over) = (entries[number % entries.len()], &is_over);
                scope.spawn(move || {
                    while !is_over.load(Ordering::SeqCst) {
                        put(entry, "/innocent", &format!("innocent {seed}-{number}"));
                    }
                });
            }
            wait_for("innocent requests", || {
                fleet.fleet.backends.iter().all(|(_, b)| b.in_use() > 0).then_some(())
            });
            let filing =
                Filing::prepare(entries[0], 1, format!("{CRASH_MARKER} innocent test {seed}"));
            filing.send(filing.address, 2_000);
            is_over.store(true, Ordering::SeqCst);
        });
        expect_that!(crashes(&fleet) - before, gt(0), "no server crashed");
        restart_crashed(&mut fleet);
        for number in 0..6 {
            let body = format!("innocent {seed}-{number}");
            let reply = put(entries[0], "/innocent", &body);
            let expected = Reply::Done(answer_to("PUT", "/innocent", &body));
            expect_that!(reply, eq(&expected), "seed {seed}");
        }
        expect_that!(get(entries[1], "/other"), matches_pattern!(Reply::Done(anything())));
    }
}
