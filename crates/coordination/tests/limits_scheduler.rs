//! Tests that slots are counted correctly and that each request ends exactly once, for any order of
//! events.

mod limits_support;

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use limits_support::*;
use pollenshed_coordination::limits::{
    CacheState, CancelResult, LoadReport, Occupancy, RefusalReason, RunOutcome, Scheduler,
    SchedulerPolicy, ServerSpec, ServerState, SubmitResult, WorkId,
};
use pollenshed_state::{
    config::Rank,
    ids::{BackendServerName, Digest},
    units::{ByteSize, Slots},
};
use proptest::prelude::*;

/// Longest time after its deadline for which an abandoned request holds its slot.
const ABANDONED_HOLD_MS: u64 = 10_000;
const SERVERS: usize = 3;
const SLOTS: u64 = 3;

#[derive(Debug, Clone)]
enum Event {
    Submit { rank: usize, caller: u64, deadline_ms: u64, content: u8, excluded: Option<usize> },
    Dispatch,
    Finish { pick: usize, how: u8, latency_us: u64 },
    Release { pick: usize },
    Cancel { pick: usize },
    Report { server: usize, in_use: u64, slots: u64, draining: bool },
    Down(usize),
    Up(usize),
    Draining(usize, bool),
    Remove(usize),
    Add(usize, bool),
    AdvanceTime { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let server = 0..SERVERS;
    prop_oneof![
        6 => (0..3usize, 0..4u64, 0..3_000u64, any::<u8>(), proptest::option::of(server.clone()))
            .prop_map(|(rank, caller, deadline_ms, content, excluded)| Event::Submit {
                rank, caller, deadline_ms, content: content % 24, excluded,
            }),
        6 => Just(Event::Dispatch),
        5 => (any::<usize>(), 0..8u8, 1..900_000u64)
            .prop_map(|(pick, how, latency_us)| Event::Finish { pick, how, latency_us }),
        1 => any::<usize>().prop_map(|pick| Event::Release { pick }),
        1 => any::<usize>().prop_map(|pick| Event::Cancel { pick }),
        1 => (server.clone(), 0..9u64, 0..9u64, any::<bool>())
            .prop_map(|(server, in_use, slots, draining)| Event::Report {
                server, in_use, slots, draining,
            }),
        1 => server.clone().prop_map(Event::Down),
        2 => server.clone().prop_map(Event::Up),
        1 => (server.clone(), any::<bool>()).prop_map(|(s, d)| Event::Draining(s, d)),
        1 => server.clone().prop_map(Event::Remove),
        2 => (server, any::<bool>()).prop_map(|(s, cold)| Event::Add(s, cold)),
        2 => (0..700u64).prop_map(|ms| Event::AdvanceTime { ms }),
    ]
}

/// Tracks the calls and results of the scheduler independently, to check its state against.
struct Model {
    scheduler: Scheduler,
    now_ms: u64,
    next_id: u64,
    /// Deadlines in ms of the requests that have not ended.
    open: BTreeMap<WorkId, u64>,
    /// Requests that hold a slot: server, and time in ms at which an abandoned one frees it.
    held: BTreeMap<WorkId, (BackendServerName, u64)>,
    abandoned: BTreeSet<WorkId>,
    ended: BTreeSet<WorkId>,
}

impl Model {
    fn new() -> Model {
        let policy = SchedulerPolicy { max_queued: 12, ..SchedulerPolicy::default() };
        Model {
            scheduler: scheduler(SERVERS, SLOTS, policy),
            now_ms: 0,
            next_id: 0,
            open: BTreeMap::new(),
            held: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            ended: BTreeSet::new(),
        }
    }

    fn end(&mut self, id: WorkId) {
        assert!(self.open.remove(&id).is_some(), "{id} was not open");
        assert!(self.ended.insert(id), "{id} ended twice");
    }

    fn expire(&mut self) {
        for (id, _) in self.scheduler.expire(at(self.now_ms)) {
            assert!(!self.held.contains_key(&id), "{id} was dispatched and refused");
            self.end(id);
        }
        let now_ms = self.now_ms;
        self.held.retain(|id, (_, until_ms)| !self.abandoned.contains(id) || *until_ms > now_ms);
    }

    fn dispatch(&mut self) {
        while let Some(next) = self.scheduler.next(at(self.now_ms)) {
            let deadline_ms = *self.open.get(&next.id).expect("only open requests are dispatched");
            assert!(deadline_ms > self.now_ms, "{} was dispatched late", next.id);
            let previous =
                self.held.insert(next.id, (next.server.clone(), deadline_ms + ABANDONED_HOLD_MS));
            assert!(previous.is_none(), "{} was dispatched twice", next.id);
        }
    }

    fn pick(&self, pick: usize, abandoned: bool) -> Option<WorkId> {
        let ids: Vec<_> =
            self.held.keys().filter(|id| self.abandoned.contains(id) == abandoned).collect();
        (!ids.is_empty()).then(|| *ids[pick % ids.len()])
    }

    fn finish(&mut self, id: WorkId, how: u8, latency_us: u64) {
        let finished = match how {
            0 => RunOutcome::Shed,
            1 => RunOutcome::Crashed,
            2 => RunOutcome::Failed,
            3 => RunOutcome::Abandoned,
            _ => RunOutcome::Answered { latency_us },
        };
        assert!(self.scheduler.finish(id, finished, at(self.now_ms)));
        assert!(!self.scheduler.finish(id, finished, at(self.now_ms)), "{id} finished twice");
        self.end(id);
        if finished == RunOutcome::Abandoned {
            self.abandoned.insert(id);
        } else {
            self.held.remove(&id);
        }
    }

    fn apply(&mut self, event: Event) {
        let now = at(self.now_ms);
        match event {
            Event::Submit { rank, caller, deadline_ms, content, excluded } => {
                let (id, deadline_ms) = (self.next_id, self.now_ms + deadline_ms);
                self.next_id += 1;
                let mut work = work(id, Rank::ALL[rank], caller, at(deadline_ms));
                work.content = Digest::of(&[content]);
                work.excluded = excluded.into_iter().map(server).collect();
                if self.scheduler.submit(work, now, id) == SubmitResult::Queued {
                    self.open.insert(WorkId(id), deadline_ms);
                }
            }
            Event::Dispatch => self.dispatch(),
            Event::Finish { pick, how, latency_us } => {
                if let Some(id) = self.pick(pick, false) {
                    self.finish(id, how, latency_us);
                }
            }
            Event::Release { pick } => {
                if let Some(id) = self.pick(pick, true) {
                    assert!(self.scheduler.release(id, now));
                    self.held.remove(&id);
                }
            }
            Event::Cancel { pick } => {
                let ids: Vec<_> = self.open.keys().copied().collect();
                if let Some(id) = (!ids.is_empty()).then(|| ids[pick % ids.len()]) {
                    match self.scheduler.cancel(id, now) {
                        CancelResult::Removed => self.end(id),
                        CancelResult::Running => assert!(self.held.contains_key(&id)),
                        CancelResult::NotFound => panic!("{id} is lost"),
                    }
                }
            }
            Event::Report { server: i, in_use, slots, draining } => {
                self.scheduler.apply_report(&server(i), LoadReport { in_use, slots, draining }, now)
            }
            Event::Down(i) => self.scheduler.mark_down(&server(i)),
            Event::Up(i) => self.scheduler.mark_up(&server(i), now),
            Event::Draining(i, draining) => self.scheduler.set_draining(&server(i), draining),
            Event::Remove(i) => self.scheduler.remove_server(&server(i)),
            Event::Add(i, cold) => {
                let spec = ServerSpec { name: server(i), service: service(), slots: Slots(SLOTS) };
                let cache_state = if cold { CacheState::Cold } else { CacheState::Warm };
                self.scheduler.add_server(spec, Occupancy::Empty, cache_state, now);
            }
            Event::AdvanceTime { ms } => self.now_ms += ms,
        }
        self.expire();
        self.check();
    }

    fn check(&self) {
        let mut counts = BTreeMap::new();
        for (server, _) in self.held.values() {
            *counts.entry(server.clone()).or_insert(0u64) += 1;
        }
        assert!(counts.values().all(|n| *n <= SLOTS), "more requests than slots: {counts:?}");
        for server in self.scheduler.snapshot(at(self.now_ms)) {
            let counted = counts.remove(&server.name).unwrap_or(0);
            assert_eq!(server.in_use, counted, "wrong count on {}", server.name);
            assert!(server.limit <= SLOTS);
        }
        assert!(counts.is_empty(), "running requests of a removed server are not counted");
        let waiting = self.open.keys().filter(|id| !self.held.contains_key(id)).count();
        assert_eq!(self.scheduler.queued(), waiting, "requests were lost");
        assert!(waiting <= 12, "the queue exceeds its limit");
    }
}

proptest! {
    #![proptest_config(fixed_seed(400))]

    /// Guards against more requests on a server than it has slots, and against requests that are
    /// lost, or dispatched or ended twice.
    #[test]
    fn slots_and_single_ends_hold_under_any_events(
        events in proptest::collection::vec(event(), 1..250),
    ) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
        }
        while let Some(id) = model.pick(0, false) {
            model.finish(id, 4, 1_000);
        }
        model.now_ms += 1_000_000;
        model.expire();
        prop_assert!(model.open.is_empty(), "never ended: {:?}", model.open);
    }

    /// Guards against a load report that raises the limit above the one without any report.
    #[test]
    fn reports_never_add_capacity(
        reports in proptest::collection::vec((0..20u64, 0..20u64, any::<bool>(), 0..900u64), 1..40),
        takeover in any::<bool>(),
        cold in any::<bool>(),
    ) {
        let mut schedulers = [(); 2].map(|()| Scheduler::new(SchedulerPolicy::default()));
        for scheduler in &mut schedulers {
            let spec = ServerSpec { name: server(0), service: service(), slots: Slots(4) };
            let cache_state = if cold { CacheState::Cold } else { CacheState::Warm };
            scheduler.add_server(spec, Occupancy::Empty, cache_state, at(0));
        }
        let [mut with, without] = schedulers;
        if takeover {
            with.remove_server(&server(0));
            let spec = ServerSpec { name: server(0), service: service(), slots: Slots(4) };
            let cache_state = if cold { CacheState::Cold } else { CacheState::Warm };
            with.add_server(spec, Occupancy::UnknownUntil(at(9_000)), cache_state, at(0));
        }
        let mut now_ms = 0;
        for (in_use, slots, draining, elapsed_ms) in reports {
            with.apply_report(&server(0), LoadReport { in_use, slots, draining }, at(now_ms));
            now_ms += elapsed_ms;
            let limit = |s: &Scheduler| s.snapshot(at(now_ms))[0].limit;
            prop_assert!(limit(&with) <= limit(&without));
            if takeover && now_ms < 9_000 {
                prop_assert!(limit(&with) <= 4 - in_use.min(4));
            }
        }
    }
}

/// Guards against queueing a request that cannot finish before its deadline.
#[gtest]
fn refuses_at_once_what_cannot_finish() {
    let mut scheduler = scheduler(1, 1, SchedulerPolicy::default());
    submit_queued(&mut scheduler, work(0, Rank::Urgent, 0, at(9_000)), at(0));
    let first = scheduler.next(at(0)).unwrap();
    scheduler.finish(first.id, RunOutcome::Answered { latency_us: 100_000 }, at(100));
    for id in 1..=5 {
        submit_queued(&mut scheduler, work(id, Rank::Urgent, 0, at(9_000)), at(100));
    }
    scheduler.next(at(100)).unwrap();
    let late = scheduler.submit(work(9, Rank::Urgent, 0, at(350)), at(100), 3);
    let SubmitResult::Refused(refusal) = late else { panic!("queued, but it cannot finish") };
    expect_that!(refusal.reason, eq(RefusalReason::Deadline));
    expect_that!(refusal.retry_after_ms, gt(0));
    let other = scheduler.submit(work(10, Rank::Urgent, 1, at(450)), at(100), 3);
    expect_that!(other, eq(SubmitResult::Queued), "another caller's turn comes earlier");
}

/// Guards against a dispatch after the deadline when the owner's loop runs late.
#[gtest]
fn deadline_is_checked_again_before_dispatch() {
    let mut scheduler = scheduler(1, 1, SchedulerPolicy::default());
    submit_queued(&mut scheduler, work(0, Rank::Urgent, 0, at(100)), at(0));
    expect_that!(scheduler.next(at(100)), none());
    let ended = scheduler.expire(at(100));
    expect_that!(ended.len(), eq(1));
    expect_that!(ended[0].1.reason, eq(RefusalReason::Deadline));
}

/// Guards against a server that works but gets no requests, because its report shows all slots in
/// use and never changes.
#[gtest]
fn frozen_report_does_not_stop_a_working_server() {
    let mut scheduler = scheduler(1, 4, SchedulerPolicy::default());
    let mut answered = 0;
    for step in 0..200u64 {
        let now = at(step * 100);
        let full = LoadReport { in_use: 4, slots: 4, draining: false };
        scheduler.apply_report(&server(0), full, now);
        let _ = scheduler.submit(work(step, Rank::Urgent, 0, now.plus_ms(5_000)), now, 0);
        while let Some(next) = scheduler.next(now) {
            scheduler.finish(next.id, RunOutcome::Answered { latency_us: 50_000 }, now);
            answered += 1;
        }
    }
    expect_that!(answered, gt(150));
    expect_that!(scheduler.snapshot(at(20_000))[0].limit, eq(4));
}

/// Guards against a new owner that exceeds the slots of a server, because requests of the earlier
/// owner still run there.
#[gtest]
fn takeover_waits_for_a_report_or_the_longest_deadline() {
    let mut scheduler = Scheduler::new(SchedulerPolicy::default());
    let spec = ServerSpec { name: server(0), service: service(), slots: Slots(3) };
    let occupancy = Occupancy::UnknownUntil(at(10_000));
    scheduler.add_server(spec, occupancy, CacheState::Warm, at(0));
    let limit = |s: &Scheduler, ms| s.snapshot(at(ms))[0].limit;
    expect_that!(limit(&scheduler, 5_000), eq(0));
    let report = LoadReport { in_use: 2, slots: 3, draining: false };
    scheduler.apply_report(&server(0), report, at(5_000));
    expect_that!(limit(&scheduler, 5_100), eq(1));
    expect_that!(limit(&scheduler, 8_000), eq(0), "the report is too old");
    expect_that!(limit(&scheduler, 10_000), eq(3));
}

/// Guards against full load on a server with cold caches, and against a limit that ignores shed
/// answers.
#[gtest]
fn limit_ramps_up_and_shrinks_when_work_is_shed() {
    let mut scheduler = scheduler(1, 4, SchedulerPolicy::default());
    scheduler.mark_down(&server(0));
    expect_that!(scheduler.snapshot(at(0))[0].state, eq(ServerState::Down));
    scheduler.mark_up(&server(0), at(0));
    let limit = |s: &Scheduler, ms| s.snapshot(at(ms))[0].limit;
    expect_that!([0, 5_000, 10_000].map(|ms| limit(&scheduler, ms)), eq([1, 2, 4]));
    submit_queued(&mut scheduler, work(1, Rank::Urgent, 0, at(20_000)), at(10_000));
    scheduler.next(at(10_000)).unwrap();
    scheduler.finish(WorkId(1), RunOutcome::Shed, at(10_001));
    expect_that!(limit(&scheduler, 10_001), eq(3));
}

/// Guards against a full queue that refuses a caller with few requests instead of the caller that
/// fills it.
#[gtest]
fn full_queue_refuses_the_newest_of_the_largest_caller() {
    let policy = SchedulerPolicy { max_queued: 4, ..SchedulerPolicy::default() };
    let mut scheduler = scheduler(1, 1, policy);
    scheduler.set_draining(&server(0), false);
    submit_queued(&mut scheduler, work(0, Rank::Standard, 9, at(9_000)), at(0));
    scheduler.next(at(0)).unwrap();
    for id in 1..=4 {
        submit_queued(&mut scheduler, work(id, Rank::Standard, 0, at(9_000)), at(1));
    }
    submit_queued(&mut scheduler, work(5, Rank::Standard, 1, at(9_000)), at(2));
    let ended: Vec<_> = scheduler.expire(at(2)).into_iter().map(|(id, _)| id).collect();
    expect_that!(ended, elements_are![eq(&WorkId(4))]);
    let again = scheduler.submit(work(6, Rank::Standard, 0, at(9_000)), at(3), 0);
    expect_that!(again, matches_pattern!(SubmitResult::Refused(anything())));
    let huge = pollenshed_coordination::limits::Work {
        body_bytes: ByteSize(u64::MAX),
        ..work(7, Rank::Urgent, 2, at(9_000))
    };
    expect_that!(
        scheduler.submit(huge, at(3), 0),
        matches_pattern!(SubmitResult::Refused(anything()))
    );
}

/// Guards against headroom that includes capacity needed for local requests.
#[gtest]
fn headroom_leaves_room_for_own_demand() {
    let mut scheduler = scheduler(2, 4, SchedulerPolicy::default());
    scheduler.set_draining(&server(1), true);
    for id in 0..400u64 {
        let now = at(id * 25);
        submit_queued(&mut scheduler, work(id, Rank::Urgent, 0, now.plus_ms(1_000)), now);
        let next = scheduler.next(now).unwrap();
        scheduler.finish(next.id, RunOutcome::Answered { latency_us: 50_000 }, now);
    }
    let headroom = scheduler.headroom(&service(), at(10_000));
    expect_that!((headroom.usable_servers, headroom.cold_servers), eq((1, 0)));
    expect_that!(headroom.free_slots, eq(4));
    // 4 slots at 50 ms run 80 requests/s. Of 85% of these, 40 local requests/s are subtracted.
    expect_that!(headroom.remote_requests_per_s, all!(ge(26), le(30)));
}

/// Guards against a slot that counts as free while an abandoned request may still run.
#[gtest]
fn abandoned_work_holds_its_slot_until_it_is_known_to_have_ended() {
    let mut scheduler = scheduler(1, 1, SchedulerPolicy::default());
    for (id, deadline_ms) in [(0, 1_000), (1, 15_000), (2, 19_000), (3, 25_000)] {
        submit_queued(&mut scheduler, work(id, Rank::Urgent, 0, at(deadline_ms)), at(0));
    }
    let first = scheduler.next(at(0)).unwrap().id;
    expect_true!(scheduler.finish(first, RunOutcome::Abandoned, at(10)));
    expect_that!(scheduler.next_expiry(), some(eq(at(11_000))));
    expect_that!(scheduler.next(at(10_999)), none());
    let second = scheduler.next(at(11_000)).unwrap().id;
    expect_true!(scheduler.finish(second, RunOutcome::Abandoned, at(11_600)));
    expect_that!(scheduler.next(at(11_600)), none());
    expect_false!(scheduler.finish(second, RunOutcome::Failed, at(11_700)), "it ended before");
    let third = scheduler.next(at(11_700)).unwrap().id;
    expect_true!(scheduler.finish(third, RunOutcome::Abandoned, at(11_800)));
    expect_that!(scheduler.next(at(11_899)), none());
    expect_true!(scheduler.release(third, at(11_900)));
    expect_that!(scheduler.next(at(11_900)), some(anything()));
}

/// Guards against the use of slots that requests of a former owner still hold, whether a load
/// report shows these requests or not.
#[gtest]
fn inherited_requests_hold_slots_until_they_end() {
    let mut scheduler = scheduler(1, SLOTS, SchedulerPolicy::default());
    for id in 0..4 {
        submit_queued(&mut scheduler, work(id, Rank::Urgent, 0, at(100_000)), at(0));
    }
    scheduler.set_inherited(&server(0), Some((2, at(5_000))));
    expect_that!(scheduler.next(at(0)), some(anything()));
    expect_that!(scheduler.next(at(0)), none());
    expect_that!(scheduler.running_on(&server(0), at(0)), eq((3, at(100_000 + ABANDONED_HOLD_MS))));
    // The requests in the report need not be those counted as inherited, so both are subtracted.
    scheduler.apply_report(
        &server(0),
        LoadReport { in_use: 2, slots: SLOTS, draining: false },
        at(10),
    );
    scheduler.set_inherited(&server(0), Some((1, at(5_000))));
    expect_that!(scheduler.next(at(10)), none());
    scheduler.apply_report(
        &server(0),
        LoadReport { in_use: 1, slots: SLOTS, draining: false },
        at(20),
    );
    expect_that!(scheduler.next(at(20)), some(anything()));
    expect_that!(scheduler.next(at(20)), none());
    expect_that!(scheduler.next(at(5_000)), some(anything()));
}

/// Guards against requests that stay queued until their deadline at an owner that gave its servers
/// up.
#[gtest]
fn requests_without_a_server_are_listed() {
    let mut scheduler = scheduler(2, 1, SchedulerPolicy::default());
    for id in 0..3 {
        submit_queued(&mut scheduler, work(id, Rank::Urgent, 0, at(100_000)), at(0));
    }
    let first = scheduler.next(at(0)).unwrap();
    scheduler.remove_server(&server(0));
    expect_that!(scheduler.queued_without_server(), is_empty());
    scheduler.remove_server(&server(1));
    let stranded: BTreeSet<_> = scheduler.queued_without_server().into_iter().collect();
    let others = (0..3).map(WorkId).filter(|id| *id != first.id);
    expect_that!(stranded, eq(&others.collect::<BTreeSet<_>>()));
}

/// Guards against the use of a report from before the server was given up. It misses the requests
/// that other owners dispatched meanwhile.
#[gtest]
fn returned_server_waits_for_a_new_report() {
    let mut scheduler = scheduler(1, SLOTS, SchedulerPolicy::default());
    submit_queued(&mut scheduler, work(0, Rank::Urgent, 0, at(100_000)), at(0));
    scheduler.next(at(0)).unwrap();
    let empty = LoadReport { in_use: 0, slots: SLOTS, draining: false };
    scheduler.apply_report(&server(0), empty, at(0));
    scheduler.remove_server(&server(0));
    let spec = ServerSpec { name: server(0), service: service(), slots: Slots(SLOTS) };
    let unknown = Occupancy::UnknownUntil(at(10_000));
    scheduler.add_server(spec, unknown, CacheState::Warm, at(10));
    submit_queued(&mut scheduler, work(1, Rank::Urgent, 0, at(100_000)), at(10));
    expect_that!(scheduler.next(at(10)), none());
    scheduler.apply_report(&server(0), empty, at(20));
    expect_that!(scheduler.next(at(20)), some(anything()));
}
