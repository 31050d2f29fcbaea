//! Tests of the caller library against entries that fail in given ways.

mod support;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_caller::{Caller, Options, Outcome};
use support::{Action, Entry, closed_address, done, lookup_answer, options, refused};

fn body(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
        other => format!("{other:?}"),
    }
}

fn reason(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done(_) => "done".to_owned(),
        Outcome::NotRun(failure) => format!("not-run {}", failure.reason),
        Outcome::Unknown(failure) => format!("unknown {}", failure.reason),
    }
}

/// Guards against a lookup for each request, and against a cached answer that is used after its
/// time to live.
#[gtest]
fn lookup_is_cached_for_its_time_to_live() {
    let entry = Entry::start(|_| done("hello"));
    let address = entry.address;
    let seed = Entry::start(move |_| lookup_answer(&[address], 200));
    let caller = Caller::open(&[seed.address], options()).unwrap();
    let start = Instant::now();
    for _ in 0..3 {
        expect_that!(body(&caller.read("s", "/x")), eq("hello"));
    }
    if start.elapsed() < Duration::from_millis(200) {
        expect_that!(seed.received("GET /v1/lookup").len(), eq(1));
    }
    while start.elapsed() < Duration::from_millis(250) {
        thread::sleep(Duration::from_millis(5));
    }
    caller.read("s", "/x");
    expect_that!(seed.received("GET /v1/lookup").len(), ge(2));
    expect_that!(entry.received("GET /v1/run/s/x").len(), eq(4));
}

/// Guards against a caller that gives up when the first seed or entry refuses the connection.
#[gtest]
fn next_entry_and_next_seed_are_used() {
    let entry = Entry::start(|_| done("hello"));
    let entries = [closed_address(), entry.address];
    let seed = Entry::start(move |_| lookup_answer(&entries, 60_000));
    let seeds = [closed_address(), seed.address, closed_address()];
    let short_deadline = Options { deadline: Duration::from_secs(1), ..options() };
    let caller = Caller::open(&seeds, short_deadline).unwrap();
    expect_that!(body(&caller.read("s", "/x")), eq("hello"));
    expect_that!(body(&caller.submit("s", "/x", b"filing")), eq("hello"));
}

/// Guards against a caller that keeps a ticket bound to an unreachable entry although a new lookup
/// returns a reachable one.
#[gtest]
fn new_ticket_is_created_if_the_bound_entry_is_unreachable() {
    let entry = Entry::start(|_| done("hello"));
    let (closed, reachable) = (closed_address(), entry.address);
    let lookups = AtomicU64::new(0);
    let seed = Entry::start(move |_| match lookups.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => lookup_answer(&[closed, reachable], 60_000),
        _ => lookup_answer(&[reachable], 60_000),
    });
    let caller = Caller::open(&[seed.address], options()).unwrap();
    expect_that!(body(&caller.submit("s", "/x", b"filing")), eq("hello"));
    expect_that!(seed.received("GET").len(), eq(3));
    expect_that!(entry.received("POST").len(), eq(1));
}

/// Guards against a resend under another ticket after a lost answer, which would run the work
/// twice.
#[gtest]
fn lost_answer_is_asked_for_under_the_same_ticket() {
    let first = Entry::start(|_| Action::Close);
    let second = Entry::start(|_| done("ran once"));
    let entries = [first.address, second.address];
    let seed = Entry::start(move |_| lookup_answer(&entries, 60_000));
    let caller = Caller::open(&[seed.address], options()).unwrap();
    expect_that!(body(&caller.submit("s", "/x", b"filing")), eq("ran once"));
    let (one, two) = (first.received("POST"), second.received("POST"));
    expect_that!(one.len(), eq(1));
    expect_that!(two, eq(&one));
    expect_that!(one[0].ticket, starts_with("i.0000000000000001.5/"));
}

/// Guards against a caller that reports `not-run` because a later copy was refused, although an
/// earlier copy may have run.
#[gtest]
fn refusal_of_a_later_copy_is_not_the_outcome() {
    let first = Entry::start(|_| Action::Close);
    let second = Entry::start(|_| refused(503, "not-run", "too-many-connections"));
    let entries = [first.address, second.address];
    let seed = Entry::start(move |_| lookup_answer(&entries, 60_000));
    let short_deadline = Options { deadline: Duration::from_millis(300), ..options() };
    let caller = Caller::open(&[seed.address], short_deadline).unwrap();
    let outcome = caller.submit("s", "/x", b"filing");
    expect_that!(reason(&outcome), eq("unknown connection-lost"));
    let mut tickets: Vec<_> = first.received("POST").into_iter().map(|r| r.ticket).collect();
    tickets.extend(second.received("POST").into_iter().map(|r| r.ticket));
    tickets.dedup();
    expect_that!(tickets.len(), eq(1));
}

/// Guards against a retry that the options do not allow, and against one that comes before the
/// `retry-after` of the entry or under the old ticket.
#[gtest]
fn refused_request_is_sent_again_only_if_allowed() {
    let count = AtomicU64::new(0);
    let entry = Entry::start(move |_| match count.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => Action::Answer(
            503,
            "pollenshed-outcome: not-run\r\npollenshed-reason: overloaded\r\nretry-after: 1\r\n"
                .to_owned(),
            Vec::new(),
        ),
        _ => done("later"),
    });
    let address = entry.address;
    let seed = Entry::start(move |_| lookup_answer(&[address], 60_000));
    let caller = Caller::open(&[seed.address], options()).unwrap();
    expect_that!(reason(&caller.submit("s", "/x", b"filing")), eq("not-run overloaded"));
    expect_that!(entry.received("POST").len(), eq(1));

    let with_retries = Options { not_run_retries: 1, ..options() };
    let caller = Caller::open(&[seed.address], with_retries).unwrap();
    let start = Instant::now();
    expect_that!(body(&caller.submit("s", "/x", b"filing")), eq("later"));
    expect_that!(start.elapsed(), ge(Duration::from_secs(1)));
    let received = entry.received("POST");
    expect_that!(received.len(), eq(3));
    expect_that!(received[1].ticket, not(eq(&received[2].ticket)));
}

/// Guards against a retry under a new ticket after an unknown outcome, which could run the work
/// twice.
#[gtest]
fn unknown_is_returned_and_never_sent_under_a_new_ticket() {
    let entry = Entry::start(|_| refused(504, "unknown", "connection-lost"));
    let address = entry.address;
    let seed = Entry::start(move |_| lookup_answer(&[address], 60_000));
    let with_retries = Options { not_run_retries: 5, ..options() };
    let caller = Caller::open(&[seed.address], with_retries).unwrap();
    let outcome = caller.submit("s", "/x", b"filing");
    expect_that!(reason(&outcome), eq("unknown connection-lost"));
    expect_that!(entry.received("POST").len(), eq(1));
}

/// Guards against an HTTP client that itself repeats a request when the server closes the
/// connection as the request arrives. The repeated request could run twice.
#[gtest]
fn request_on_a_stale_connection_is_not_repeated() {
    let entry_address = std::sync::Arc::new(std::sync::OnceLock::new());
    let own_address = entry_address.clone();
    let entry = Entry::start(move |received| match received.line.starts_with("GET") {
        true => lookup_answer(&[*own_address.get().unwrap()], 60_000),
        false => Action::Close,
    });
    entry_address.set(entry.address).unwrap();
    // The pause after the first attempt would reach the deadline, so there is only one attempt.
    let pause = Duration::from_secs(60);
    let one_attempt = Options { initial_backoff: pause, max_backoff: pause, ..options() };
    let caller = Caller::open(&[entry.address], one_attempt).unwrap();
    for round in 1..=3 {
        let outcome = caller.submit("s", "/x", b"filing");
        expect_that!(reason(&outcome), eq("unknown connection-lost"));
        expect_that!(entry.received("POST").len(), eq(round));
    }
}
