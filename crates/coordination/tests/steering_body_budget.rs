//! Tests of the budget for bodies in memory.

mod steering_support;

use std::net::SocketAddr;

use googletest::prelude::*;
use pollenshed_coordination::steering::{BodyBudget, BodyKind, LargeAnswers};
use pollenshed_state::ids::BackendServerName;
use steering_support::*;

const MB: usize = 1024 * 1024;

/// Memory of the smallest machines.
const SMALL_BYTES: usize = 112 * MB;

/// Pace of a slow caller.
const SLOW_BYTES_PER_S: usize = 10_000;

/// Time budget of the callers.
const BUDGET_MS: u64 = 4_000;

/// Step of the simulation.
const STEP_MS: u64 = 20;

fn connection(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 4_000))
}

fn server() -> BackendServerName {
    "i-1".parse().unwrap()
}

struct Download {
    number: usize,
    asked_ms: u64,
    bytes: usize,
    read: usize,
    taken: usize,
    pause_ms: u64,
}

/// What a simulated instance did.
#[derive(Debug, Default)]
struct Played {
    peak_bytes: usize,
    refused: usize,
    slowed: usize,
    longest_pause_ms: u64,
    admitted: Vec<u64>,
}

/// Plays downloads that arrive at these times with these sizes on one instance. Servers take 720 ms
/// to begin and send 1.25 MB/s in all; each caller reads at the slow pace for its time budget.
fn play(memory_bytes: usize, arrivals: &[(u64, usize)], until_ms: u64) -> Played {
    let mut budget = BodyBudget::new(memory_bytes);
    let mut large = LargeAnswers::default();
    let mut played = Played::default();
    let mut downloads: Vec<Download> = Vec::new();
    let mut coming = arrivals.iter().copied().enumerate().peekable();
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        while let Some((number, (asked_ms, bytes))) = coming.next_if(|(_, (at, _))| *at <= now_ms) {
            if !budget.admits_large_answer(&large) {
                played.refused += 1;
                continue;
            }
            played.admitted.push(now_ms);
            large.record_start(&server());
            downloads.push(Download { number, asked_ms, bytes, read: 0, taken: 0, pause_ms: 0 });
        }
        let mut link_bytes = 1_250 * STEP_MS as usize;
        for d in downloads.iter_mut().filter(|d| now_ms >= d.asked_ms + 720) {
            let from = connection(d.number);
            let unread = d.bytes - d.read;
            if unread > 0 {
                let may_read = budget.reads_answer(from)
                    || (d.pause_ms >= 1_000 && budget.reads_waiting_answer());
                if may_read {
                    let came = unread.min(12 * 1024).min(link_bytes);
                    link_bytes -= came;
                    d.read += came;
                    d.pause_ms = 0;
                    budget.add(BodyKind::Answer, from, came);
                    if d.read == d.bytes {
                        large.record_end(&server(), Some(d.bytes));
                    }
                } else {
                    played.slowed += usize::from(d.pause_ms == 0);
                    d.pause_ms += STEP_MS;
                    played.longest_pause_ms = played.longest_pause_ms.max(d.pause_ms);
                }
            }
            let taken = (SLOW_BYTES_PER_S * STEP_MS as usize / 1_000).min(d.read - d.taken);
            d.taken += taken;
            budget.remove(BodyKind::Answer, from, taken);
        }
        downloads.retain(|d| {
            let has_ended = d.taken == d.bytes || now_ms >= d.asked_ms + BUDGET_MS;
            if has_ended {
                budget.remove(BodyKind::Answer, connection(d.number), d.read - d.taken);
                if d.read < d.bytes {
                    large.record_end(&server(), None);
                }
            }
            !has_ended
        });
        played.peak_bytes = played.peak_bytes.max(budget.held_bytes(BodyKind::Answer));
    }
    played
}

/// Guards against downloads of an ordinary day that are refused or slowed. Load: 50 downloads a
/// second, 90 kB on average and 540 kB at most, on 63 instances with 160 MB and 10 Mbit/s, all read
/// at 10 kB/s; one instance may get five times its part.
#[gtest]
fn downloads_of_a_heavy_day_are_neither_refused_nor_slowed() {
    let size = |number: u64| if number.is_multiple_of(10) { 540_000 } else { 40_000 };
    let arrivals: Vec<_> = (0..240).map(|number| (number * 250, size(number))).collect();
    let played = play(160 * MB, &arrivals, 70_000);
    expect_that!(played.refused, eq(0));
    expect_that!(played.slowed, eq(0));
    expect_that!(played.peak_bytes, lt(10 * MB));
    expect_that!(played.admitted, len(eq(240)));
}

/// Guards against slow readers that take the memory of a small instance. Load: 200 readers at
/// 10 kB/s ask for 540 kB each on an instance with 112 MB, all within a second, and again later.
#[gtest]
fn large_answers_take_no_more_than_their_part_of_the_memory() {
    let burst = |from_ms: u64| (0..200).map(move |number| (from_ms + number * 5, 540_000));
    let arrivals: Vec<_> = burst(0).chain(burst(6_000)).collect();
    let played = play(SMALL_BYTES, &arrivals, 12_000);
    expect_that!(played.peak_bytes, lt(SMALL_BYTES / 8));
    expect_that!(played.refused, gt(200));
    // When the callers of the first burst have left, others are served.
    let first = played.admitted.iter().filter(|at| **at < 5_000).count();
    expect_that!(first, ge(20));
    expect_that!(played.admitted.len() - first, ge(20));
}

/// Guards against an answer of any route that is read without bound, and one that is not read for
/// so long that its server cuts it off.
#[gtest]
fn an_answer_beyond_its_share_is_read_a_little_each_second() {
    let played = play(SMALL_BYTES, &[(0, 100 * MB)], 4_000);
    // An eighth of a quarter of the memory.
    expect_that!(played.peak_bytes, le(SMALL_BYTES / 32 + 64 * 1024));
    let mut budget = BodyBudget::new(SMALL_BYTES);
    budget.add(BodyKind::Answer, connection(1), SMALL_BYTES / 32);
    expect_that!(budget.reads_answer(connection(1)), eq(false));
    expect_that!(budget.reads_waiting_answer(), eq(true));
    expect_that!(budget.reads_answer(connection(2)), eq(true));
}

/// Guards against answers that leave no room for request bodies, and callers without any progress
/// when memory is short.
#[gtest]
fn requests_and_answers_share_one_budget() {
    let mut budget = BodyBudget::new(SMALL_BYTES);
    let most = SMALL_BYTES / 4;
    for number in 0..4 {
        budget.add(BodyKind::Answer, connection(number), most / 8);
    }
    budget.add(BodyKind::Answer, connection(6), 1_000);
    expect_that!(budget.reads_answer(connection(6)), eq(false));
    expect_that!(budget.reads_answer(connection(7)), eq(true));
    expect_that!(budget.reads_waiting_answer(), eq(true));
    budget.add(BodyKind::Answer, connection(5), most / 5);
    expect_that!(budget.reads_waiting_answer(), eq(false));
    expect_that!(budget.takes_request(most / 8), eq(true));
    budget.remove(BodyKind::Answer, connection(5), most / 5);
    let rest = most - budget.held_bytes(BodyKind::Answer);
    budget.add(BodyKind::Request, connection(8), rest);
    expect_that!(budget.takes_request(1), eq(false));
    expect_that!(budget.reads_waiting_answer(), eq(true));
    budget.add(BodyKind::Answer, connection(7), 1);
    expect_that!(budget.reads_waiting_answer(), eq(false));
    budget.remove(BodyKind::Request, connection(8), rest);
    expect_that!(budget.takes_request(1), eq(true));
    expect_that!(budget.held_bytes(BodyKind::Request), eq(0));
}

/// Guards against large answers that wait in the memory of a server beyond its slots.
#[gtest]
fn a_server_is_passed_over_while_it_sends_as_many_large_answers_as_it_has_slots() {
    let mut large = LargeAnswers::default();
    let slots = |_: &BackendServerName| Some(2);
    large.record_start(&server());
    expect_that!(large.full_servers(slots), is_empty());
    large.record_start(&server());
    expect_that!(large.full_servers(slots), elements_are![eq(&server())]);
    large.record_end(&server(), None);
    expect_that!(large.full_servers(slots), is_empty());
    expect_that!(large.record_refusal(at(0)), eq(true));
    expect_that!(large.record_refusal(at(999)), eq(false));
    expect_that!(large.record_refusal(at(1_000)), eq(true));
}
