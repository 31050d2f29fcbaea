//! Large answers, callers that read slowly or stop, and servers that break off midway, with real
//! processes.

mod steer_support;

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_standins::steered::{Fault, LargeAnswer, ServerOptions, large_answer};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use steer_support::{Fleet, Instance, config, received::Received, request, wait_for};

/// Memory of the smallest machines.
const MEMORY_MB: u64 = 112;

/// Largest answers that the customers announce.
const LARGEST_BYTES: usize = 540_000;

/// Starts one instance and servers with this many slots. The route `/pack/` has large answers.
fn fleet(servers: usize, slots: u32) -> Fleet {
    let options =
        |number| ServerOptions { name: format!("i-{number}"), slots, ..Default::default() };
    let mut fleet = Fleet::open((0..servers).map(options).collect());
    fleet.memory_mb = MEMORY_MB;
    let mut config: Value = config(2);
    let paths = &mut config["virtual_hosts"][0]["paths"];
    let mut route = paths[0].clone();
    route["name"] = json!("pack");
    route["prefix"] = json!("/pack/");
    route["kind"] = json!("download");
    paths.as_array_mut().unwrap().push(route);
    fleet.store.put("op", "config", config.to_string().as_bytes());
    fleet.start("palermo-a");
    fleet.wait_until_ready();
    fleet
}

fn send_large(fleet: &Fleet, large: LargeAnswer) {
    for server in &fleet.servers {
        server.set_fault(Fault::LargeAnswers(large));
    }
}

fn whole(bytes: usize, has_length: bool) -> LargeAnswer {
    LargeAnswer { bytes, sent_bytes: bytes, has_length }
}

fn peak_bytes(instance: &Instance) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", instance.pid())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1_024
}

/// Value of a metric without labels or with these.
fn metric(instance: &Instance, name: &str) -> f64 {
    let metrics = instance.metrics();
    let line = metrics.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.trim().parse().unwrap()
}

fn held_answer_bytes(instance: &Instance) -> f64 {
    metric(instance, "pollenshed_held_bytes{kind=\"answer\"}")
}

/// Opens a connection whose kernel takes little beyond what is read.
fn connect_slow(instance: &Instance) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(8 * 1024).unwrap();
    socket.connect(&instance.callers().into()).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    socket.into()
}

/// Reads 10 kB/s until the connection ends. Returns the status.
fn read_slowly(instance: &Instance, path: &str, id: &str) -> Option<u16> {
    let mut stream = connect_slow(instance);
    let headers = format!("X-Affinity-Key: {id}\r\nConnection: close\r\n");
    stream.write_all(request("GET", path, id, &headers, "").as_bytes()).unwrap();
    let mut start = Vec::new();
    let mut piece = [0; 1_000];
    while let Ok(length @ 1..) = stream.read(&mut piece) {
        if start.len() < 12 {
            start.extend_from_slice(&piece[..length]);
        }
        thread::sleep(Duration::from_millis(100));
    }
    std::str::from_utf8(start.get(9..12)?).ok()?.parse().ok()
}

/// Lets 200 callers read slowly at once. Returns the peak of memory and the statuses.
fn play_slow_readers(path: &str) -> (u64, Vec<Option<u16>>) {
    let fleet = fleet(5, 50);
    send_large(&fleet, whole(LARGEST_BYTES, true));
    let instance = &fleet.instances[0];
    println!("peak_bytes before the readers: {}", peak_bytes(instance));
    let statuses = thread::scope(|scope| {
        let read = |number: usize| read_slowly(instance, path, &format!("slow-{number}"));
        let readers: Vec<_> = (0..200).map(|number| scope.spawn(move || read(number))).collect();
        readers.into_iter().map(|reader| reader.join().unwrap()).collect()
    });
    wait_for("the end of all answers", || (held_answer_bytes(instance) == 0.0).then_some(()));
    println!("peak_bytes with the readers: {}", peak_bytes(instance));
    (peak_bytes(instance), statuses)
}

/// Guards against slow callers that take the memory of an instance. Load: 200 callers at once that
/// read answers of 540 kB at 10 kB/s, on an instance with 112 MB, which may use half of them.
#[googletest::test]
fn slow_readers_of_any_route_leave_half_of_the_memory() {
    let (peak_bytes, statuses) = play_slow_readers("/read/x");
    expect_that!(peak_bytes, le(MEMORY_MB * 1024 * 1024 / 2));
    let begun = statuses.iter().filter(|status| **status == Some(200)).count();
    expect_that!(begun, ge(150), "{statuses:?}");
}

/// Guards against large answers that are asked for without memory for them. Load as above.
#[googletest::test]
fn large_answers_without_memory_are_refused_before_they_are_asked_for() {
    let (peak_bytes, statuses) = play_slow_readers("/pack/x");
    expect_that!(peak_bytes, le(MEMORY_MB * 1024 * 1024 / 2));
    let count = |wanted| statuses.iter().filter(|status| **status == Some(wanted)).count();
    expect_that!(count(200), ge(10), "{statuses:?}");
    expect_that!(count(503), ge(10), "{statuses:?}");
    expect_that!(count(200) + count(503), eq(200), "{statuses:?}");
}

/// Guards against a caller that stops reading and keeps the slot of its server, the memory of the
/// instance or the time of other callers. Load: one caller stops in an answer of 2 MB while another
/// one sends requests without pause.
#[googletest::test]
fn a_reader_that_stops_keeps_neither_slot_nor_memory() {
    let fleet = fleet(1, 3);
    let instance = &fleet.instances[0];
    send_large(&fleet, whole(2_000_000, true));
    let mut stopped = connect_slow(instance);
    let text = request("GET", "/pack/x", "stops", "X-Affinity-Key: 1\r\n", "");
    let start = Instant::now();
    stopped.write_all(text.as_bytes()).unwrap();
    stopped.read_exact(&mut [0; 10_000]).unwrap();
    wait_for("the end of the answer at the server", || {
        let (sending, most) = fleet.servers[0].sending();
        (most == 1 && sending == 0).then_some(())
    });
    expect_that!(start.elapsed(), lt(Duration::from_millis(1_500)));
    wait_for("the rest in memory", || (held_answer_bytes(instance) > 1_500_000.0).then_some(()));
    fleet.servers[0].set_fault(Fault::None);
    let mut slowest = Duration::ZERO;
    let mut number = 0;
    while held_answer_bytes(instance) > 0.0 {
        let sent = Instant::now();
        let answer = instance.get("/read/x", &format!("beside-{number}"));
        expect_that!(answer.map(|a| a.status), some(eq(200)));
        slowest = slowest.max(sent.elapsed());
        number += 1;
        assert!(start.elapsed() < Duration::from_secs(10), "memory is not given back");
    }
    // The timeout of the route is 3 s.
    expect_that!(start.elapsed(), lt(Duration::from_millis(4_000)));
    expect_that!(slowest, lt(Duration::from_millis(1_000)));
    expect_that!(number, gt(5));
}

/// Guards against large answers that reach the caller changed, and connections that are not used
/// again after one. Load: sizes around those in which answers are held.
#[googletest::test]
fn large_answers_reach_the_caller_unchanged() {
    let fleet = fleet(1, 3);
    let instance = &fleet.instances[0];
    for bytes in [1, 16_383, 16_384, 16_385, 90_000, 262_144, 262_145, LARGEST_BYTES, 3_000_000] {
        for has_length in [true, false] {
            for version in ["HTTP/1.1", "HTTP/1.0"] {
                send_large(&fleet, whole(bytes, has_length));
                let id = format!("whole-{bytes}-{has_length}-{version}");
                let text = request("GET", "/pack/x", &id, "X-Affinity-Key: 1\r\n", "");
                let received = Received::call(instance, &text.replacen("HTTP/1.1", version, 1));
                expect_that!(received.status(), some(eq(200)), "{id}");
                let is_whole = received.complete_body() == Some(large_answer(bytes));
                expect_that!(is_whole, eq(true), "{id}");
            }
        }
    }
    expect_that!(held_answer_bytes(instance), eq(0.0));
}

/// Guards against the beginning of an answer that the caller takes for a whole one. Load: resets in
/// answers that are held whole and in longer ones, with a length and without, to callers of both
/// versions.
#[googletest::test]
fn an_answer_that_breaks_off_midway_never_looks_whole() {
    let fleet = fleet(1, 3);
    let instance = &fleet.instances[0];
    for sent_bytes in [1, 20_000, 200_000, 300_000, 900_000] {
        for has_length in [true, false] {
            for version in ["HTTP/1.1", "HTTP/1.0"] {
                fleet.servers[0].set_fault(Fault::None);
                wait_for("a sound server", || {
                    instance.get("/read/x", "before").filter(|answer| answer.status == 200)
                });
                send_large(&fleet, LargeAnswer { bytes: 1_000_000, sent_bytes, has_length });
                let id = format!("cut-{sent_bytes}-{has_length}-{version}");
                let text = request("GET", "/pack/x", &id, "X-Affinity-Key: 1\r\n", &id);
                let received = Received::call(instance, &text.replacen("HTTP/1.1", version, 1));
                if received.status() == Some(200) {
                    expect_that!(received.complete_body(), none(), "{id}");
                    expect_that!(sent_bytes, gt(256 * 1024));
                } else {
                    expect_that!(received.status(), some(eq(502)), "{id}");
                }
            }
        }
    }
    wait_for("freed memory", || (held_answer_bytes(instance) == 0.0).then_some(()));
}

/// Guards against large answers that wait in the memory of a server. Load: 12 callers at once and
/// one server with two slots and a queue.
#[googletest::test]
fn a_server_sends_no_more_large_answers_than_it_has_slots() {
    let fleet = fleet(1, 2);
    let instance = &fleet.instances[0];
    send_large(&fleet, whole(LARGEST_BYTES, true));
    let answers: Vec<_> = thread::scope(|scope| {
        let call = |number: usize| {
            let headers = format!("X-Affinity-Key: {number}\r\n");
            instance.call(&request("GET", "/pack/x", &format!("slots-{number}"), &headers, ""))
        };
        let callers: Vec<_> = (0..12).map(|number| scope.spawn(move || call(number))).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    let count = |wanted| answers.iter().flatten().filter(|a| a.status == wanted).count();
    expect_that!(count(200), ge(2));
    expect_that!(count(503), ge(1));
    expect_that!(count(200) + count(503), eq(12));
    expect_that!(fleet.servers[0].sending().1, le(2));
    let refused = answers.iter().flatten().find(|answer| answer.status == 503);
    expect_that!(refused.and_then(|answer| answer.header("retry-after")), some(anything()));
}
