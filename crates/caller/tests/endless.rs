//! Tests of the caller library against entries that send bytes without end.

mod support;

use std::{fs, time::Duration};

use googletest::prelude::*;
use pollenshed_caller::{Caller, Options, Outcome};
use support::{Action, Entry, lookup_answer, options};

/// Growth of memory that a faulty entry may cause.
const MAX_GROWTH_BYTES: u64 = 8 * 1024 * 1024;

/// Largest answer that the caller allows.
const MAX_ANSWER_BYTES: u64 = 1024 * 1024;

/// Heads of answers whose body does not end, in two forms, and of one that never ends itself.
const STARTS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\npollenshed-outcome: done\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\npollenshed-outcome: done\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n",
    "HTTP/1.1 200 OK\r\npollenshed-filler: ",
];

/// Peak memory of this process so far.
fn peak_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1_024
}

fn limited() -> Options {
    let deadline = Duration::from_secs(2);
    Options { deadline, max_answer_bytes: MAX_ANSWER_BYTES, ..options() }
}

fn reason(outcome: Outcome) -> String {
    match outcome {
        Outcome::Done(_) => "done".to_owned(),
        Outcome::NotRun(failure) | Outcome::Unknown(failure) => failure.reason,
    }
}

/// Guards against an application that runs out of memory while an entry sends without end, as an
/// answer or as the answer to a lookup.
#[gtest]
fn answers_without_end_take_no_memory() {
    for (number, start) in STARTS.into_iter().enumerate() {
        let entry = Entry::start(move |_| Action::Endless(start.to_owned()));
        let address = entry.address;
        let seed = Entry::start(move |_| lookup_answer(&[address], 60_000));
        let caller = Caller::open(&[seed.address], limited()).unwrap();
        let before = peak_bytes();
        let reasons = [reason(caller.read("s", "/x")), reason(caller.submit("s", "/x", b"x"))];
        let expected = if number == 2 { "connection-lost" } else { "answer-too-large" };
        expect_that!(reasons, each(eq(expected)), "{start}");
        let caller = Caller::open(&[address], limited()).unwrap();
        expect_that!(reason(caller.read("s", "/x")), eq("unreachable"));
        expect_that!(peak_bytes().saturating_sub(before), le(MAX_GROWTH_BYTES), "{start}");
    }
}
