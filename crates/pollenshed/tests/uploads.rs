//! Tests uploads in parts with separate daemon processes.

mod support;

use std::{
    io::{self, Read},
    net::SocketAddr,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use pollenshed_caller::{Caller, Options, Outcome};
use pollenshed_protocol::caller::{
    DIGEST_HEADER, LookupAnswer, MAX_PART_BYTES, TICKET_HEADER, UploadComplete, UploadOpened,
    UploadPart,
};
use pollenshed_standins::backend::{Behaviour, Run};
use pollenshed_state::ids::Digest;
use serde_json::json;
use support::{Daemon, Fleet};

const MIB: u64 = 1024 * 1024;

/// Time that a backend server takes for an upload whose entry makes a planned stop.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);

fn fleet() -> Fleet {
    let behaviour =
        Behaviour { name: String::new(), slots: 3, service_time: Duration::from_millis(5) };
    let mut fleet = Fleet::start(&["north-a", "north-b"], &behaviour);
    // Uploads of the tests' size take longer than the deadline of other tests on a busy machine.
    let mut config = fleet.config.clone();
    config["ranks"][1]["deadline_ms"] = json!(60_000);
    fleet.submit(&config);
    fleet.wait_until_in_force(2);
    fleet
}

fn caller(seeds: &[SocketAddr]) -> Caller {
    let options = Options {
        deadline: Duration::from_secs(60),
        attempt_timeout: Duration::from_secs(60),
        ..Options::default()
    };
    Caller::open(seeds, options).unwrap()
}

fn lookup(fleet: &Fleet, at: usize) -> LookupAnswer {
    let url = format!("http://{}/v1/lookup?service=ledger", fleet.daemons[at].caller_endpoint);
    ureq::get(url).call().unwrap().body_mut().read_json().unwrap()
}

fn post_runs(fleet: &Fleet) -> Vec<Run> {
    fleet.backends.iter().flat_map(|(_, b)| b.runs()).filter(|r| r.method == "POST").collect()
}

fn incomplete_bodies(fleet: &Fleet) -> u64 {
    fleet.backends.iter().map(|(_, b)| b.counts().incomplete).sum()
}

/// Generates bytes that depend on their position, and calls `on_read` with the position of each
/// read.
struct PatternReader<F: FnMut(u64)> {
    at: u64,
    on_read: F,
}

impl<F: FnMut(u64)> Read for PatternReader<F> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        (self.on_read)(self.at);
        for word in buffer.chunks_mut(8) {
            let value = self.at.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes();
            word.copy_from_slice(&value[..word.len()]);
            self.at += word.len() as u64;
        }
        Ok(buffer.len())
    }
}

fn pattern_digest(length: u64) -> Digest {
    let mut bytes = vec![0; length as usize];
    PatternReader { at: 0, on_read: |_| {} }.read_exact(&mut bytes).unwrap();
    Digest::of(&bytes)
}

/// Guards against an upload that is lost when the entry that received its parts is killed, runs
/// more than once, arrives damaged, or is held in memory as a whole.
#[gtest]
fn large_upload_continues_after_its_entry_is_killed() {
    const LENGTH: u64 = 200 * MIB;
    let mut fleet = fleet();
    let seeds: Vec<_> = fleet.daemons.iter().map(|d| d.caller_endpoint).collect();
    let first = lookup(&fleet, 0).entries[0].address;
    let at = seeds.iter().position(|seed| *seed == first).unwrap();
    let idle_bytes = fleet.daemons[at].peak_memory_bytes();
    let mut peak_bytes = 0;
    let daemon = &mut fleet.daemons[at];
    let reader = PatternReader {
        at: 0,
        on_read: |read| {
            if read >= LENGTH / 2 && peak_bytes == 0 {
                peak_bytes = daemon.peak_memory_bytes();
                daemon.kill();
            }
        },
    };
    // The seed is the instance that was asked above, so that the caller uses the entry that is
    // killed.
    let outcome = caller(&seeds[..1]).upload("ledger", "/scans/1", reader, LENGTH);
    assert!(matches!(&outcome, Outcome::Done(answer) if answer.status == 200), "{outcome:?}");
    let runs = post_runs(&fleet);
    expect_that!(runs.len(), eq(1));
    expect_that!(runs[0].path, eq("/scans/1"));
    expect_that!(runs[0].body_bytes, eq(LENGTH));
    expect_that!(runs[0].body_digest, eq(pattern_digest(LENGTH)));
    let survivor_bytes = fleet.daemons[1 - at].peak_memory_bytes();
    println!("peak memory: idle {idle_bytes}, killed {peak_bytes}, survivor {survivor_bytes}");
    expect_that!(
        peak_bytes,
        gt(idle_bytes + MAX_PART_BYTES),
        "parts went through the killed entry"
    );
    expect_that!(peak_bytes, lt(100 * MIB));
    expect_that!(survivor_bytes, lt(100 * MIB));
}

/// An upload whose parts were sent over plain HTTP, and the list that completes it.
struct SentUpload {
    id: String,
    complete: UploadComplete,
}

fn send_three_parts(fleet: &Fleet) -> SentUpload {
    let ticket = format!("{}/scan", lookup(fleet, 0).binding);
    let url = format!("http://{}/v1/uploads/ledger/scans/2", fleet.daemons[0].caller_endpoint);
    let request = ureq::post(url).header(TICKET_HEADER, &ticket);
    let opened: UploadOpened = request.send_empty().unwrap().body_mut().read_json().unwrap();
    let (mut parts, mut whole) = (Vec::new(), Vec::new());
    for number in 1..=3 {
        let bytes = vec![number as u8; 1_000];
        let digest = Digest::of(&bytes);
        // Any entry takes any part.
        let entry = fleet.daemons[number as usize % 2].caller_endpoint;
        let url = format!("http://{entry}/v1/uploads/{}/parts/{number}", opened.upload);
        let request = ureq::put(url).header(DIGEST_HEADER, digest.to_string());
        request.send(&bytes).unwrap();
        parts.push(UploadPart { number, length_bytes: 1_000, digest });
        whole.extend_from_slice(&bytes);
    }
    let complete = UploadComplete { digest: Digest::of(&whole), length_bytes: 3_000, parts };
    SentUpload { id: opened.upload, complete }
}

/// Sends the call that completes an upload and returns status, outcome and reason.
fn complete(fleet: &Fleet, at: usize, sent: &SentUpload, ticket: &str) -> String {
    let url =
        format!("http://{}/v1/uploads/{}/complete", fleet.daemons[at].caller_endpoint, sent.id);
    let request = ureq::post(url).config().http_status_as_error(false).build();
    let request = request.header(TICKET_HEADER, ticket);
    let answer = request.send_json(&sent.complete).unwrap();
    let header = |name: &str| answer.headers().get(name).map_or("", |v| v.to_str().unwrap());
    let words = [header("pollenshed-outcome"), header("pollenshed-reason")];
    format!("{} {}", answer.status().as_u16(), words.join(" ")).trim().to_owned()
}

/// Guards against a second run when an upload is completed again, under its ticket or another one,
/// at its entry or another one.
#[gtest]
fn upload_is_completed_once_under_any_ticket() {
    let fleet = fleet();
    let sent = send_three_parts(&fleet);
    let binding = lookup(&fleet, 0).binding;
    let (one, two) = (format!("{binding}/one"), format!("{binding}/two"));
    expect_that!(complete(&fleet, 0, &sent, &one), eq("200 done"));
    expect_that!(complete(&fleet, 1, &sent, &one), eq("200 done"));
    expect_that!(complete(&fleet, 1, &sent, &two), eq("200 done"));
    let runs = post_runs(&fleet);
    expect_that!(runs.len(), eq(1));
    expect_that!(runs[0].body_digest, eq(sent.complete.digest));
}

/// Guards against a backend server that takes a body with a damaged or missing part for complete.
#[gtest]
fn damaged_upload_is_never_taken_for_complete() {
    let fleet = fleet();
    let mut sent = send_three_parts(&fleet);
    let binding = lookup(&fleet, 0).binding;
    let ticket = |id: &str| format!("{binding}/{id}");
    sent.complete.parts[0].digest = Digest::of(b"other");
    expect_that!(complete(&fleet, 0, &sent, &ticket("a")), eq("409 not-run part-missing"));
    sent.complete.parts[0].digest = Digest::of(&[1; 1_000]);
    sent.complete.digest = Digest::of(b"other whole");
    expect_that!(complete(&fleet, 0, &sent, &ticket("b")), eq("504 unknown connection-lost"));
    support::wait_for("the broken body", || (incomplete_bodies(&fleet) == 1).then_some(()));

    let other = send_other_upload(&fleet);
    let client = pollenshed_transport::platform::Platform::open(
        fleet.platform.address(),
        support::CONDITION_TIMEOUT,
    );
    let digits = other.id.trim_start_matches("u.");
    let key = format!("upload-{digits}-1-{}", other.complete.parts[0].digest.hex());
    client.put_object(&key, b"damaged").unwrap();
    expect_that!(complete(&fleet, 0, &other, &ticket("c")), eq("503 not-run store-unavailable"));
    expect_that!(post_runs(&fleet).len(), eq(0));
}

fn send_other_upload(fleet: &Fleet) -> SentUpload {
    let ticket = format!("{}/other", lookup(fleet, 0).binding);
    let url = format!("http://{}/v1/uploads/ledger/scans/3", fleet.daemons[0].caller_endpoint);
    let request = ureq::post(url).header(TICKET_HEADER, &ticket);
    let opened: UploadOpened = request.send_empty().unwrap().body_mut().read_json().unwrap();
    let digest = Digest::of(b"whole");
    let url =
        format!("http://{}/v1/uploads/{}/parts/1", fleet.daemons[0].caller_endpoint, opened.upload);
    ureq::put(url).header(DIGEST_HEADER, digest.to_string()).send(b"whole").unwrap();
    let parts = vec![UploadPart { number: 1, length_bytes: 5, digest }];
    SentUpload { id: opened.upload, complete: UploadComplete { digest, length_bytes: 5, parts } }
}

/// Guards against an upload that starts over, rather than resumes, after the caller's connection or
/// file failed.
#[gtest]
fn interrupted_upload_is_resumed_at_another_entry() {
    let fleet = fleet();
    let length = 3 * MAX_PART_BYTES;
    let first = caller(&[fleet.daemons[0].caller_endpoint]);
    let upload = first.open_upload("ledger", "/scans/4").unwrap();
    let short = PatternReader { at: 0, on_read: |_| {} }.take(2 * MAX_PART_BYTES + 5);
    let outcome = first.send_upload(&upload, short, length);
    assert!(
        matches!(&outcome, Outcome::NotRun(failure) if failure.reason == "read-failed"),
        "{outcome:?}"
    );
    let url = format!("http://{}/v1/uploads/{}", fleet.daemons[1].caller_endpoint, upload.id);
    let text = ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap();
    expect_that!(text.matches("\"number\"").count(), eq(2));
    let second = caller(&[fleet.daemons[1].caller_endpoint]);
    let outcome = second.send_upload(&upload, PatternReader { at: 0, on_read: |_| {} }, length);
    assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
    let runs = post_runs(&fleet);
    expect_that!(runs.len(), eq(1));
    expect_that!(runs[0].body_digest, eq(pattern_digest(length)));
}

/// Starts a planned stop.
fn stop(daemon: &Daemon) {
    support::faults::signal(daemon, "-TERM");
}

/// Guards against an upload that is lost, damaged or run twice when the entry that takes its parts
/// makes a planned stop.
#[gtest]
fn upload_continues_while_its_entry_stops() {
    const LENGTH: u64 = 24 * MIB;
    let mut fleet = fleet();
    let seeds: Vec<_> = fleet.daemons.iter().map(|d| d.caller_endpoint).collect();
    let first = lookup(&fleet, 0).entries[0].address;
    let at = seeds.iter().position(|seed| *seed == first).unwrap();
    let (mut was_stopped, mut has_ended) = (false, false);
    let daemon = &mut fleet.daemons[at];
    let reader = PatternReader {
        at: 0,
        on_read: |read| {
            if read >= LENGTH / 3 && !was_stopped {
                stop(daemon);
                was_stopped = true;
            }
            // Parts before this position are sent during the stop, and later ones after it.
            if read >= LENGTH * 2 / 3 && !has_ended {
                has_ended = daemon.wait_for_end();
            }
        },
    };
    let outcome = caller(&seeds[..1]).upload("ledger", "/scans/5", reader, LENGTH);
    assert!(matches!(&outcome, Outcome::Done(answer) if answer.status == 200), "{outcome:?}");
    expect_that!(has_ended, eq(true), "the entry ended during the upload");
    let runs = post_runs(&fleet);
    expect_that!(runs.len(), eq(1));
    expect_that!(runs[0].body_bytes, eq(LENGTH));
    expect_that!(runs[0].body_digest, eq(pattern_digest(LENGTH)));
    expect_that!(incomplete_bodies(&fleet), eq(0));
}

/// Guards against a second run of an upload that is completed again, at another entry and under
/// another ticket, while the entry that dispatched it makes a planned stop.
#[gtest]
fn upload_is_completed_once_while_its_entry_stops() {
    let mut fleet = fleet();
    let sent = send_three_parts(&fleet);
    let names = |binding: &str, daemon: &Daemon| binding.starts_with(&format!("{}.", daemon.name));
    let binding = lookup(&fleet, 0).binding;
    let at = fleet.daemons.iter().position(|d| names(&binding, d)).unwrap();
    let (one, two) = (format!("{binding}/one"), format!("{binding}/two"));
    // The upload still runs at its backend server when the entry has left the lookups and peers ask
    // its heirs.
    for (_, backend) in &fleet.backends {
        backend.set_service_time(HAND_OVER_TIME);
    }
    thread::scope(|scope| {
        let fleet = &fleet;
        let handed_over = scope.spawn(|| complete(fleet, at, &sent, &one));
        support::wait_for("the hand-over", || (post_runs(fleet).len() == 1).then_some(()));
        stop(&fleet.daemons[at]);
        let again = [(at, &one), (1 - at, &one), (1 - at, &two)];
        let again = again.map(|(at, ticket)| {
            let sent = &sent;
            scope.spawn(move || complete(fleet, at, sent, ticket))
        });
        expect_that!(handed_over.join().unwrap(), eq("200 done"));
        for copy in again {
            expect_that!(copy.join().unwrap(), eq("200 done"));
        }
    });
    expect_that!(fleet.daemons[at].wait_for_end(), eq(true));
    for ticket in [&one, &two] {
        expect_that!(complete(&fleet, 1 - at, &sent, ticket), eq("200 done"), "{ticket}");
    }
    let runs = post_runs(&fleet);
    expect_that!(runs.len(), eq(1));
    expect_that!(runs[0].body_digest, eq(sent.complete.digest));
}
