//! Tests of who gets the room of a service that is short of it.
//!
//! Twelve servers with three slots each run an urgent kind, 216 ms warm and 720 ms cold with a target
//! of 500 ms, and a little urgent one, 1,056 ms and 3,520 ms with a target of 4 s, for eight
//! workspaces. Four instances know each other's requests by counts four times a second. Refused
//! callers come back once, if that takes at most a third of the time that they have.

mod steering_support;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    ops::Range,
};

use googletest::prelude::*;
use pollenshed_coordination::steering::{
    AttemptEnd, Choice, Fleet, RefusalReason, Request, workspace_key,
};
use pollenshed_state::ids::{BackendServerName, ServiceName};
use steering_support::*;

const SERVERS: usize = 12;
const SLOTS: usize = 3;
const INSTANCES: usize = 4;
const OBJECTS: usize = 60;
const MAX_QUEUE: usize = 8;

/// When the first workspace begins to send 8 times its usual.
const FLOOD_START_MS: u64 = 15_000;

/// From when on results count: 3 s for the instances to notice.
const COUNTED_FROM_MS: u64 = 18_000;

const END_MS: u64 = 48_000;

/// Usual demand of the workspaces but the first, relative to each other.
const USUAL: [f64; 7] = [3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0];

/// A kind of request.
struct Kind {
    rank: u32,
    first_ms: u64,
    warm_ms: u64,
    target_ms: u64,
    limit_ms: u64,
    /// Requests a second with which all kinds together take all slots in warm runs.
    per_s: f64,
}

const KINDS: [Kind; 2] = [
    Kind { rank: 0, first_ms: 720, warm_ms: 216, target_ms: 500, limit_ms: 4_000, per_s: 16.3 },
    Kind {
        rank: 2,
        first_ms: 3_520,
        warm_ms: 1_056,
        target_ms: 4_000,
        limit_ms: 20_000,
        per_s: 30.7,
    },
];

/// A load to play.
#[derive(Clone, Copy)]
struct Load {
    /// Usual demand of all workspaces, relative to the capacity.
    usual: f64,
    /// Share of it that is the first workspace's.
    flooder_share: f64,
    /// Factor by which the first workspace sends more than usual during the flood.
    flood: f64,
    /// Demand of each kind, relative to its usual part of the whole.
    kinds: [f64; 2],
    /// Whether instances are told ranks and workspaces.
    is_told: bool,
}

/// What the callers of one kind or workspace got.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    owed: u32,
    served: u32,
    in_time: u32,
    /// Callers that were held to their limit although the request was sent.
    timed_out: u32,
    refused_again: u32,
}

impl Tally {
    fn served_ratio(&self) -> f64 {
        f64::from(self.served) / f64::from(self.owed.max(1))
    }
}

/// What the callers of each kind and workspace got.
#[derive(Debug, Default)]
struct Results([[Tally; 8]; 2]);

impl Results {
    fn sum(&self, kind: usize, workspaces: Range<usize>) -> Tally {
        self.0[kind][workspaces].iter().fold(Tally::default(), |sum, tally| Tally {
            owed: sum.owed + tally.owed,
            served: sum.served + tally.served,
            in_time: sum.in_time + tally.in_time,
            timed_out: sum.timed_out + tally.timed_out,
            refused_again: sum.refused_again + tally.refused_again,
        })
    }
}

/// A caller, from its first attempt on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Caller {
    kind: usize,
    workspace: usize,
    object: usize,
    start_ms: u64,
    has_come_back: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(Caller),
    Next { kind: usize },
    End { instance: usize, server: BackendServerName, caller: Caller, sent_ms: u64, waited: bool },
    Shed { instance: usize, server: BackendServerName, caller: Caller, waited: bool },
    Counts,
}

struct Play {
    load: Load,
    service: ServiceName,
    fleets: Vec<Fleet>,
    /// The times at which runs end, and the objects for which the server is warm.
    servers: BTreeMap<BackendServerName, (Vec<u64>, Vec<usize>)>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    random: fastrand::Rng,
    results: Results,
}

impl Play {
    fn at(&mut self, ms: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((ms, self.number, event)));
    }

    fn demand(&self, kind: usize, now_ms: u64) -> f64 {
        let load = self.load;
        let flood = if now_ms < FLOOD_START_MS { 1.0 } else { load.flood };
        let share = 1.0 - load.flooder_share + load.flooder_share * flood;
        KINDS[kind].per_s * load.kinds[kind] * load.usual * share
    }

    fn workspace(&mut self, now_ms: u64) -> usize {
        let load = self.load;
        let flood = if now_ms < FLOOD_START_MS { 1.0 } else { load.flood };
        let flooder = load.flooder_share * flood;
        let mut draw = self.random.f64() * (flooder + 1.0 - load.flooder_share) - flooder;
        let total: f64 = USUAL.iter().sum();
        for (number, usual) in USUAL.iter().enumerate() {
            if draw < 0.0 {
                return number;
            }
            draw -= usual / total * (1.0 - load.flooder_share);
        }
        USUAL.len()
    }

    fn arrive(&mut self, caller: Caller, now_ms: u64) {
        let kind = &KINDS[caller.kind];
        let instance = self.random.usize(..INSTANCES);
        let spent_ms = (now_ms - caller.start_ms) as f64;
        let is_told = self.load.is_told;
        let service = self.service.clone();
        let wanted = Request {
            estimate_key: caller.kind as u64 + 1,
            target_ms: kind.target_ms as f64,
            target_left_ms: kind.target_ms as f64 - spent_ms,
            left_ms: kind.limit_ms as f64 - spent_ms,
            rank: if is_told { kind.rank } else { 0 },
            workspace: is_told.then(|| workspace_key(&caller.workspace.to_string())),
            jitter_seed: self.random.u64(..),
            ..request(&service, Some(object(caller.kind * OBJECTS + caller.object)))
        };
        match choose(&mut self.fleets[instance], &wanted, at(now_ms)) {
            Choice::Send { server, waits, .. } => {
                self.fleets[instance].record_start(&server, f64::INFINITY, at(now_ms));
                self.run(instance, server, caller, waits, now_ms);
            }
            Choice::Refuse { retry_after_ms, .. } => self.come_back(caller, retry_after_ms, now_ms),
        }
    }

    fn run(
        &mut self,
        instance: usize,
        server: BackendServerName,
        caller: Caller,
        waited: bool,
        now_ms: u64,
    ) {
        let (ends, warm) = self.servers.entry(server.clone()).or_default();
        ends.retain(|end| *end > now_ms);
        if ends.len() >= SLOTS + MAX_QUEUE {
            return self.at(now_ms + 1, Event::Shed { instance, server, caller, waited });
        }
        let object = caller.kind * OBJECTS + caller.object;
        let kind = &KINDS[caller.kind];
        let run_ms = if warm.contains(&object) { kind.warm_ms } else { kind.first_ms };
        warm.retain(|known| *known != object);
        warm.push(object);
        if warm.len() > 25 {
            warm.remove(0);
        }
        ends.sort_unstable();
        let start_ms = if ends.len() < SLOTS { now_ms } else { ends[ends.len() - SLOTS] };
        ends.push(start_ms + run_ms);
        let sent_ms = now_ms;
        self.at(start_ms + run_ms, Event::End { instance, server, caller, sent_ms, waited });
    }

    fn come_back(&mut self, caller: Caller, retry_after_ms: u64, now_ms: u64) {
        let left_ms = (caller.start_ms + KINDS[caller.kind].limit_ms).saturating_sub(now_ms);
        if !caller.has_come_back && retry_after_ms <= left_ms / 3 {
            let caller = Caller { has_come_back: true, ..caller };
            return self.at(now_ms + retry_after_ms, Event::Arrival(caller));
        }
        self.count(caller, |tally| tally.refused_again += u32::from(caller.has_come_back));
    }

    fn end(
        &mut self,
        instance: usize,
        server: &BackendServerName,
        caller: Caller,
        sent_ms: u64,
        waited: bool,
        now_ms: u64,
    ) {
        let kind = &KINDS[caller.kind];
        let end = AttemptEnd::Answered { failed: false, took_ms: (now_ms - sent_ms) as f64 };
        let key = object(caller.kind * OBJECTS + caller.object);
        let estimate = caller.kind as u64 + 1;
        self.fleets[instance].record_end(server, estimate, Some(key), waited, end, at(now_ms));
        let took_ms = now_ms - caller.start_ms;
        self.count(caller, |tally| {
            tally.served += u32::from(took_ms <= kind.limit_ms);
            tally.in_time += u32::from(took_ms <= kind.target_ms);
            tally.timed_out += u32::from(took_ms > kind.limit_ms);
        });
    }

    fn count(&mut self, caller: Caller, record: impl Fn(&mut Tally)) {
        if (COUNTED_FROM_MS..END_MS - 10_000).contains(&caller.start_ms) {
            record(&mut self.results.0[caller.kind][caller.workspace]);
        }
    }

    fn exchange_counts(&mut self) {
        let counts: Vec<_> = self.fleets.iter().map(Fleet::own_counts).collect();
        let now_ms = self.events.peek().map_or(0, |Reverse((ms, ..))| *ms);
        for (to, fleet) in self.fleets.iter_mut().enumerate() {
            for (from, counts) in counts.iter().enumerate().filter(|(from, _)| *from != to) {
                let peer = format!("front-{from}").parse().unwrap();
                fleet.set_peer_counts(&peer, counts.clone(), at(now_ms));
            }
        }
    }

    fn step(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Next { kind } => {
                let gap_ms =
                    -self.random.f64().max(1e-9).ln() * 1_000.0 / self.demand(kind, now_ms);
                self.at(now_ms + gap_ms.round() as u64, Event::Next { kind });
                let workspace = self.workspace(now_ms);
                let object = self.random.usize(..OBJECTS);
                let caller =
                    Caller { kind, workspace, object, start_ms: now_ms, has_come_back: false };
                self.count(caller, |tally| tally.owed += 1);
                self.arrive(caller, now_ms);
            }
            Event::Arrival(caller) => self.arrive(caller, now_ms),
            Event::End { instance, server, caller, sent_ms, waited } => {
                self.end(instance, &server, caller, sent_ms, waited, now_ms);
            }
            Event::Shed { instance, server, caller, waited } => {
                let end = AttemptEnd::Shed { has_free_slots: false };
                let estimate = caller.kind as u64 + 1;
                self.fleets[instance].record_end(&server, estimate, None, waited, end, at(now_ms));
                self.come_back(caller, 200, now_ms);
            }
            Event::Counts => {
                self.exchange_counts();
                self.at(now_ms + 250, Event::Counts);
            }
        }
    }
}

/// Plays a load. The results count what callers got during the flood.
fn play(load: Load, seed: u64) -> Results {
    let domains = ["palermo-a", "palermo-a", "palermo-b"].repeat(SERVERS / 3);
    let fleets = (0..INSTANCES).map(|_| {
        let mut fleet = fleet(&domains);
        fleet.set_orders_room(true);
        fleet.set_instance_count(INSTANCES);
        for (number, kind) in KINDS.iter().enumerate() {
            fleet.run_times.set_initial(number as u64 + 1, Some(kind.target_ms));
        }
        fleet
    });
    let mut play = Play {
        load,
        service: service(),
        fleets: fleets.collect(),
        servers: BTreeMap::new(),
        events: BinaryHeap::new(),
        number: 0,
        random: fastrand::Rng::with_seed(seed),
        results: Results::default(),
    };
    for kind in 0..KINDS.len() {
        if load.kinds[kind] > 0.0 {
            play.at(0, Event::Next { kind });
        }
    }
    play.at(0, Event::Counts);
    while let Some(Reverse((now_ms, _, event))) = play.events.pop() {
        if now_ms > END_MS {
            break;
        }
        play.step(event, now_ms);
    }
    play.results
}

/// Loads of 1.0, 1.5 and 3 times the capacity during the flood.
fn loads() -> [(f64, Load); 3] {
    let load = |usual, flooder_share| Load {
        usual,
        flooder_share,
        flood: 8.0,
        kinds: [1.0, 1.0],
        is_told: true,
    };
    [(1.0, load(0.75, 0.048)), (1.5, load(0.85, 0.109)), (3.0, load(0.9, 0.333))]
}

/// Guards against urgent requests that are refused while long runs of little urgency, which the same
/// servers run, are served: at 1.0, 1.5 and 3 times the capacity, with one workspace at 8 times its
/// usual.
#[googletest::test]
fn urgent_requests_are_served_before_less_urgent_ones() {
    for (times, load) in loads() {
        let told = play(load, 1);
        let (urgent, other) = (told.sum(0, 0..8), told.sum(1, 0..8));
        expect_that!(urgent.served_ratio(), ge(0.95), "at {times}: {told:?}");
        expect_that!(urgent.served_ratio(), ge(other.served_ratio()), "at {times}");
        expect_that!(other.served, gt(0), "at {times}");
        // Without the mechanism the same check fails.
        let untold = play(Load { is_told: false, ..load }, 1);
        let (urgent, other) = (untold.sum(0, 0..8), untold.sum(1, 0..8));
        expect_that!(urgent.served_ratio(), lt(other.served_ratio()), "at {times}");
    }
}

/// Guards against a request that is sent to a server where it does not end within its time: it
/// would hold its caller until then, and a slot for nothing.
#[googletest::test]
fn requests_that_are_sent_end_in_their_time() {
    for (times, load) in loads() {
        let results = play(load, 2);
        let all = [results.sum(0, 0..8), results.sum(1, 0..8)];
        let timed_out: u32 = all.iter().map(|tally| tally.timed_out).sum();
        let served: u32 = all.iter().map(|tally| tally.served).sum();
        expect_that!(f64::from(timed_out), le(0.01 * f64::from(served)), "at {times}: {all:?}");
    }
}

/// Guards against a workspace that sends 8 times its usual and takes the room of the others. All
/// requests are of one kind. At 3 times the capacity the others still lose more than a tenth, see
/// docs/design/room.md.
#[googletest::test]
fn a_flood_of_one_workspace_leaves_the_others_their_room() {
    for (times, load) in loads() {
        let load = Load { kinds: [10.0, 0.0], ..load };
        let told = play(load, 1);
        let (flooder, others) = (told.sum(0, 0..1), told.sum(0, 1..8));
        expect_that!(
            others.served_ratio(),
            ge(2.0 * flooder.served_ratio()),
            "at {times}: {told:?}"
        );
        if times < 3.0 {
            let calm = play(Load { flood: 1.0, ..load }, 1).sum(0, 1..8);
            expect_that!(
                others.served_ratio(),
                ge(0.9 * calm.served_ratio()),
                "at {times}: {told:?}"
            );
        }
        // Without the mechanism the same check fails.
        let untold = play(Load { is_told: false, ..load }, 1);
        let (flooder, others) = (untold.sum(0, 0..1), untold.sum(0, 1..8));
        expect_that!(others.served_ratio(), lt(2.0 * flooder.served_ratio()), "at {times}");
    }
}

/// Guards against decisions that depend on ranks and workspaces while there is room for all, or on
/// those of a service that has only one rank and no workspaces. The load is a tenth of the capacity
/// of one kind and less of the other.
#[googletest::test]
fn nothing_is_limited_while_there_is_room() {
    let load =
        Load { usual: 0.3, flooder_share: 0.1, flood: 1.0, kinds: [1.0, 0.05], is_told: true };
    let told = play(load, 3);
    let untold = play(Load { is_told: false, ..load }, 3);
    expect_that!(format!("{told:?}"), eq(&format!("{untold:?}")));
}

/// Guards against refused callers that all come back at once, or less urgent ones before others.
#[googletest::test]
fn refused_callers_come_back_in_the_order_of_their_ranks() {
    let service = service();
    let mut fleet = fleet(&["palermo-a"]);
    fleet.set_orders_room(true);
    for _ in 0..20 {
        fleet.record_start(&server_name(0), f64::INFINITY, at(0));
    }
    let mut returns = [Vec::new(), Vec::new()];
    for seed in 0..100 {
        for (returns, rank) in returns.iter_mut().zip([0, 2]) {
            let wanted = Request { rank, jitter_seed: seed, ..request(&service, Some(object(1))) };
            match choose(&mut fleet, &wanted, at(seed)) {
                Choice::Refuse { reason, retry_after_ms } => {
                    let reasons = [RefusalReason::Busy, RefusalReason::Reserved];
                    expect_true!(reasons.contains(&reason));
                    returns.push(retry_after_ms);
                }
                Choice::Send { .. } => panic!("sent to a full server"),
            }
        }
    }
    // The first request found only its own rank. Callers wait for a third of their 4 s at most.
    let [urgent, other] = returns.map(|returns| returns[1..].to_vec());
    expect_that!(urgent.iter().max(), le(other.iter().min()));
    expect_that!(other, each(le(&1_334)));
    let spread = |returns: &[u64]| returns.iter().max().unwrap() - returns.iter().min().unwrap();
    expect_that!(spread(&urgent), ge(500));
    expect_that!(spread(&other), ge(500));
}
