//! Tests that content crashes at most two servers, and that other content on them is not refused.

mod limits_support;

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use limits_support::*;
use pollenshed_coordination::limits::{
    Quarantine, RunOutcome, SECOND_RUN_DELAY_MS, Scheduler, SchedulerPolicy, StartDecision,
    SubmitResult, TOLD_RUN_DELAY_MS, WorkId,
};
use pollenshed_state::{config::Rank, ids::Digest};
use proptest::prelude::*;

const SERVERS: usize = 6;
/// Contents with lower numbers crash servers; the others are harmless.
const CRASHING_CONTENTS: u8 = 2;

fn content(n: u8) -> Digest {
    Digest::of(&[n])
}

fn policy() -> SchedulerPolicy {
    SchedulerPolicy { ramp_ms: 0, ..SchedulerPolicy::default() }
}

#[derive(Debug, Clone)]
enum Event {
    Submit { content: u8, rank: usize },
    Dispatch,
    Answer { pick: usize },
    Crash { pick: usize, seen: usize, restart: bool },
    AdvanceTime { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..8u8, 0..3usize).prop_map(|(content, rank)| Event::Submit { content, rank }),
        5 => Just(Event::Dispatch),
        4 => any::<usize>().prop_map(|pick| Event::Answer { pick }),
        2 => (any::<usize>(), 1..4usize, any::<bool>())
            .prop_map(|(pick, seen, restart)| Event::Crash { pick, seen, restart }),
        2 => (0..2_000u64).prop_map(|ms| Event::AdvanceTime { ms }),
    ]
}

#[derive(Default)]
struct Fleet {
    now_ms: u64,
    next_id: u64,
    contents: BTreeMap<WorkId, u8>,
    running: BTreeMap<WorkId, usize>,
    /// Servers that each content crashed.
    lost: BTreeMap<u8, BTreeSet<usize>>,
    crashes: BTreeMap<u8, usize>,
    quarantined: BTreeSet<u8>,
}

impl Fleet {
    fn submit(&mut self, scheduler: &mut Scheduler, n: u8, rank: usize) -> SubmitResult {
        let deadline = at(self.now_ms + 60_000);
        let mut work = work(self.next_id, Rank::ALL[rank], 0, deadline);
        work.content = content(n);
        self.contents.insert(work.id, n);
        self.next_id += 1;
        scheduler.submit(work, at(self.now_ms), 1)
    }

    fn dispatch(&mut self, scheduler: &mut Scheduler) {
        while let Some(next) = scheduler.next(at(self.now_ms)) {
            let i = (0..SERVERS).find(|i| server(*i) == next.server).expect("a known server");
            self.running.insert(next.id, i);
        }
    }

    /// Crashes the server that runs the request. All its connections break, and the scheduler
    /// learns of them one by one.
    fn crash(&mut self, scheduler: &mut Scheduler, crashing_id: WorkId, restart: bool) {
        let i = self.running[&crashing_id];
        let n = self.contents[&crashing_id];
        self.lost.entry(n).or_default().insert(i);
        *self.crashes.entry(n).or_default() += 1;
        let mut on_server: Vec<_> =
            self.running.iter().filter(|(_, s)| **s == i).map(|(id, _)| *id).collect();
        let first = crashing_id.0 as usize % on_server.len();
        on_server.rotate_left(first);
        for id in on_server {
            self.running.remove(&id);
            scheduler.finish(id, RunOutcome::Crashed, at(self.now_ms));
        }
        if restart {
            scheduler.mark_up(&server(i), at(self.now_ms));
        }
    }

    /// Returns the running requests whose content crashes servers.
    fn running_crashers(&self) -> Vec<WorkId> {
        self.running.keys().filter(|id| self.contents[*id] < CRASHING_CONTENTS).copied().collect()
    }

    fn apply(&mut self, scheduler: &mut Scheduler, event: Event) {
        match event {
            Event::Submit { content, rank } => drop(self.submit(scheduler, content, rank)),
            Event::Dispatch => self.dispatch(scheduler),
            Event::Answer { pick } => {
                let harmless: Vec<_> = self
                    .running
                    .keys()
                    .filter(|id| self.contents[*id] >= CRASHING_CONTENTS)
                    .copied()
                    .collect();
                if let Some(id) = (!harmless.is_empty()).then(|| harmless[pick % harmless.len()]) {
                    self.running.remove(&id);
                    scheduler.finish(id, RunOutcome::Answered { latency_us: 900 }, at(self.now_ms));
                }
            }
            Event::Crash { pick, seen, restart } => {
                for _ in 0..seen {
                    let crashers = self.running_crashers();
                    if crashers.is_empty() {
                        break;
                    }
                    self.crash(scheduler, crashers[pick % crashers.len()], restart);
                }
            }
            Event::AdvanceTime { ms } => {
                self.now_ms += ms;
                (0..SERVERS).for_each(|i| scheduler.mark_up(&server(i), at(self.now_ms)));
            }
        }
        scheduler.expire(at(self.now_ms));
        for n in 0..8 {
            if scheduler.quarantine().is_refused(&content(n), at(self.now_ms)) {
                self.quarantined.insert(n);
            }
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(600))]

    /// Guards against a third server crashed by the same content, and against refusing harmless
    /// content because it ran on servers that other content crashed.
    #[test]
    fn content_takes_down_at_most_two_servers(
        events in proptest::collection::vec(event(), 1..120),
        servers in 1..=SERVERS,
    ) {
        let mut scheduler = scheduler(servers, 3, policy());
        let mut fleet = Fleet::default();
        for event in events {
            fleet.apply(&mut scheduler, event);
            for (n, lost) in &fleet.lost {
                prop_assert!(lost.len() <= 2, "content {n} took down {lost:?}");
                prop_assert!(fleet.crashes[n] <= 2, "content {n} crashed a server again");
            }
        }
        let harmless: Vec<_> =
            fleet.quarantined.iter().filter(|n| **n >= CRASHING_CONTENTS).collect();
        prop_assert!(harmless.is_empty(), "refused harmless content: {harmless:?}");
    }
}

/// Guards against refusing harmless content that ran beside two different crashing requests.
#[gtest]
fn suspect_that_completes_alone_is_cleared() {
    let mut scheduler = scheduler(2, 3, policy());
    let mut fleet = Fleet::default();
    for n in [0, 1, 5] {
        fleet.submit(&mut scheduler, n, 0);
    }
    fleet.dispatch(&mut scheduler);
    expect_that!(fleet.running[&WorkId(2)], eq(fleet.running[&WorkId(0)]));
    fleet.crash(&mut scheduler, WorkId(0), true);
    expect_true!(scheduler.quarantine().is_suspect(&content(5), at(0)));
    fleet.now_ms += SECOND_RUN_DELAY_MS;
    fleet.submit(&mut scheduler, 5, 0);
    fleet.dispatch(&mut scheduler);
    expect_false!(
        fleet.running.contains_key(&WorkId(3)),
        "another request still runs on the server"
    );
    fleet.crash(&mut scheduler, WorkId(1), true);
    fleet.submit(&mut scheduler, 6, 0);
    fleet.dispatch(&mut scheduler);
    let alone = fleet.running[&WorkId(3)];
    expect_that!(fleet.running.values().filter(|s| **s == alone).count(), eq(1));
    let answered_at = at(fleet.now_ms + 1);
    scheduler.finish(WorkId(3), RunOutcome::Answered { latency_us: 900 }, answered_at);
    expect_false!(scheduler.quarantine().is_suspect(&content(5), answered_at));
}

/// Guards against a suspect that never gets an empty server because other requests keep arriving.
#[gtest]
fn suspect_gets_an_empty_server_under_load() {
    let mut scheduler = scheduler(2, 3, policy());
    let mut fleet = Fleet::default();
    fleet.submit(&mut scheduler, 0, 0);
    fleet.dispatch(&mut scheduler);
    fleet.crash(&mut scheduler, WorkId(0), true);
    fleet.now_ms += SECOND_RUN_DELAY_MS;
    for n in 10..30 {
        fleet.submit(&mut scheduler, n, 0);
    }
    fleet.dispatch(&mut scheduler);
    let suspect = WorkId(fleet.next_id);
    fleet.submit(&mut scheduler, 0, 0);
    for n in 30..90 {
        fleet.now_ms += 1;
        fleet.submit(&mut scheduler, n, 0);
        fleet.dispatch(&mut scheduler);
        let (oldest, _) = fleet.running.pop_first().expect("a request is running");
        if oldest == suspect {
            return;
        }
        let answered = RunOutcome::Answered { latency_us: 900 };
        scheduler.finish(oldest, answered, at(fleet.now_ms));
    }
    fail!("the suspect never ran").unwrap();
}

/// Guards against a suspect that runs again on the server that it crashed, or in two copies at
/// once.
#[gtest]
fn suspect_runs_in_one_copy_on_another_server() {
    let mut quarantine = Quarantine::new(600_000);
    let crashing_content = content(0);
    quarantine.record_start(crashing_content, &server(0));
    quarantine.record_crash(&[crashing_content], &server(0), false, at(0));
    quarantine.record_end(&crashing_content, &server(0));
    let second_ms = SECOND_RUN_DELAY_MS;
    for now_ms in [1, second_ms - 1] {
        expect_that!(
            quarantine.start_decision(&crashing_content, &server(0), at(now_ms)),
            eq(StartDecision::Wait)
        );
        expect_that!(
            quarantine.start_decision(&crashing_content, &server(1), at(now_ms)),
            eq(StartDecision::Wait)
        );
    }
    expect_that!(
        quarantine.start_decision(&crashing_content, &server(0), at(second_ms)),
        eq(StartDecision::Wait)
    );
    expect_that!(
        quarantine.start_decision(&crashing_content, &server(1), at(second_ms)),
        eq(StartDecision::AllowedAlone)
    );
    quarantine.record_start(crashing_content, &server(1));
    expect_that!(
        quarantine.start_decision(&crashing_content, &server(2), at(second_ms)),
        eq(StartDecision::Wait)
    );
    quarantine.record_crash(&[crashing_content], &server(1), true, at(second_ms + 1));
    quarantine.record_end(&crashing_content, &server(1));
    let end_ms = second_ms + 1 + 600_000;
    expect_that!(
        quarantine.start_decision(&crashing_content, &server(2), at(end_ms - 1)),
        eq(StartDecision::Refused)
    );
    expect_that!(
        quarantine.start_decision(&crashing_content, &server(2), at(end_ms)),
        eq(StartDecision::Allowed)
    );
}

/// Guards against frequent content that must wait after a server was lost. Content that completed
/// before is an unlikely cause.
#[gtest]
fn content_that_had_completed_runs_again_at_once() {
    let mut quarantine = Quarantine::new(600_000);
    quarantine.record_completion(content(0), at(0));
    quarantine.record_crash(&[content(0)], &server(0), false, at(1));
    expect_that!(
        quarantine.start_decision(&content(0), &server(1), at(1)),
        eq(StartDecision::AllowedAlone)
    );
}

/// Guards against a third crashed server when copies crashed servers of two owners at the same
/// instant, and against a delay that restarts whenever a peer repeats its report.
#[gtest]
fn crash_at_a_peer_ends_the_wait_for_the_second_run() {
    let (mut first, mut peer) = (Quarantine::new(600_000), Quarantine::new(600_000));
    first.record_crash(&[content(0)], &server(0), false, at(0));
    peer.record_crash(&[content(0)], &server(1), false, at(0));
    peer.record_crash(&[content(1)], &server(1), false, at(0));
    for now_ms in (100..SECOND_RUN_DELAY_MS).step_by(100) {
        first.merge(&peer.export(at(now_ms)), at(now_ms));
    }
    let second_ms = 100 + SECOND_RUN_DELAY_MS + TOLD_RUN_DELAY_MS;
    let now = at(second_ms);
    expect_that!(first.start_decision(&content(0), &server(2), now), eq(StartDecision::Refused));
    expect_that!(
        first.start_decision(&content(1), &server(2), at(second_ms - 1)),
        eq(StartDecision::Wait)
    );
    expect_that!(
        first.start_decision(&content(1), &server(2), now),
        eq(StartDecision::AllowedAlone)
    );
}

/// Guards against a third crashed server when an owner is told of the first crash at once and runs
/// the content a second time at the same moment as the owner of the crashed server.
#[gtest]
fn the_owner_of_the_crashed_server_runs_the_content_a_second_time_first() {
    let (mut owner, mut told) = (Quarantine::new(600_000), Quarantine::new(600_000));
    owner.record_crash(&[content(0)], &server(0), false, at(0));
    told.merge(&owner.export(at(5)), at(5));
    let second = at(5 + SECOND_RUN_DELAY_MS);
    expect_that!(
        owner.start_decision(&content(0), &server(1), second),
        eq(StartDecision::AllowedAlone)
    );
    expect_that!(told.start_decision(&content(0), &server(2), second), eq(StartDecision::Wait));
    // It is told of the second crash before its own turn.
    owner.record_crash(&[content(0)], &server(1), true, second.plus_ms(10));
    told.merge(&owner.export(second.plus_ms(20)), second.plus_ms(20));
    let told_second = second.plus_ms(TOLD_RUN_DELAY_MS);
    expect_that!(
        told.start_decision(&content(0), &server(2), told_second),
        eq(StartDecision::Refused)
    );
    // A crash that is told after an earlier one has expired counts as told.
    told.record_crash(&[content(1)], &server(0), false, at(0));
    let expired = at(700_000);
    owner.record_crash(&[content(1)], &server(1), false, expired);
    told.merge(&owner.export(expired), expired);
    let second = expired.plus_ms(SECOND_RUN_DELAY_MS);
    expect_that!(told.start_decision(&content(1), &server(2), second), eq(StartDecision::Wait));
}

/// Guards against peers that keep an entry alive by sending it back and forth, and against an entry
/// that is lost.
#[gtest]
fn peers_learn_crashes_and_forget_them_in_time() {
    let mut first = Quarantine::new(600_000);
    let mut second = Quarantine::new(600_000);
    first.record_crash(&[content(0)], &server(0), false, at(0));
    second.record_crash(&[content(0)], &server(1), false, at(0));
    for second_of_time in 0..=600 {
        let now = at(second_of_time * 1_000);
        second.merge(&first.export(now), now.plus_ms(50));
        first.merge(&second.export(now.plus_ms(50)), now.plus_ms(100));
        let is_refused = first.is_refused(&content(0), now.plus_ms(100));
        expect_that!(is_refused, eq(second_of_time < 600), "at {second_of_time} s");
    }
}

/// Guards against a third crash when a peer reports the first one while a copy still runs here: the
/// crash of that copy is the second.
#[gtest]
fn crash_after_a_peers_report_counts_as_the_second() {
    let mut quarantine = Quarantine::new(600_000);
    let mut peer = Quarantine::new(600_000);
    quarantine.record_start(content(0), &server(0));
    quarantine.record_start(content(5), &server(0));
    peer.record_crash(&[content(0)], &server(1), false, at(0));
    quarantine.merge(&peer.export(at(0)), at(0));
    quarantine.record_crash(&[content(0), content(5)], &server(0), false, at(1));
    expect_true!(quarantine.is_refused(&content(0), at(1)));
    expect_true!(quarantine.is_suspect(&content(5), at(1)));
}

/// Guards against frequent content that is refused because it ran on servers that crashed for other
/// reasons.
#[gtest]
fn completed_content_is_not_suspected_beside_other_content() {
    let mut quarantine = Quarantine::new(600_000);
    quarantine.record_completion(content(5), at(0));
    quarantine.record_crash(&[content(5), content(0)], &server(0), false, at(1));
    expect_false!(quarantine.is_suspect(&content(5), at(1)));
    expect_true!(quarantine.is_suspect(&content(0), at(1)));
    let mut peer = Quarantine::new(600_000);
    peer.record_completion(content(0), at(0));
    peer.merge(&quarantine.export(at(1)), at(1));
    expect_false!(peer.is_suspect(&content(0), at(1)), "it completed there");
}

/// Guards against frequent content that is refused because several servers that ran it were lost
/// together, as in the loss of a failure domain.
#[gtest]
fn servers_lost_together_are_one_crash_of_their_common_content() {
    let mut quarantine = Quarantine::new(600_000);
    quarantine.record_completion(content(0), at(0));
    for number in 0..3 {
        quarantine.record_start(content(0), &server(number));
    }
    quarantine.record_crash(&[content(0)], &server(0), false, at(1));
    quarantine.record_crash(&[content(0)], &server(1), false, at(1));
    let mut peer = Quarantine::new(600_000);
    peer.record_crash(&[content(0)], &server(2), false, at(1));
    quarantine.merge(&peer.export(at(1)), at(2));
    expect_true!(quarantine.is_suspect(&content(0), at(2)));
    quarantine.record_crash(&[content(0)], &server(4), true, at(3));
    expect_true!(quarantine.is_refused(&content(0), at(3)));
}

/// Guards against heartbeats that repeat all crashes of the last minute, which made them eight
/// times as long, and against a crash that is not sent for long enough.
#[gtest]
fn recent_export_lists_only_recent_crashes() {
    let mut quarantine = Quarantine::new(60_000);
    quarantine.record_crash(&[content(1)], &server(1), false, at(0));
    quarantine.record_crash(&[content(2)], &server(2), false, at(5_000));
    let recent = |age_ms, now_ms| {
        let entries = quarantine.export_recent(age_ms, at(now_ms));
        entries.into_iter().map(|entry| entry.content).collect::<Vec<_>>()
    };
    expect_that!(recent(750, 5_700), elements_are![eq(&content(2))]);
    expect_that!(recent(750, 5_800), is_empty());
    expect_that!(quarantine.export(at(5_800)).len(), eq(2));
}
