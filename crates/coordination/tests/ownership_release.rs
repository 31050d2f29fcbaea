//! Tests of the release of backend servers to a joining owner. At most one instance may dispatch to
//! a server at any time.

mod routing_support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use pollenshed_coordination::{
    membership::MemberState,
    ownership::{
        Assignment, InheritedRequests, LiveEntry, OwnerLiveness, OwnershipMap, ReleaseAnswer,
        ReleaseRound, sum_inherited_requests,
    },
};
use pollenshed_state::{
    ids::{BackendServerName, ConfigVersion, Incarnation, InstanceName},
    settings::Timing,
    time::Instant,
};
use proptest::{collection::vec, prelude::*};
use routing_support::{config, entry, instance, ms, proptest_config, record};

const OLD_MS: u64 = 1_000_000;
/// Half of `dead_after_ms` minus `suspect_after_ms` and `fence_after_ms`.
const HOLD_MS: u64 = 250;

fn liveness(state: MemberState, age_ms: u64) -> Option<OwnerLiveness> {
    Some(OwnerLiveness { state, age_ms })
}

fn server() -> BackendServerName {
    "north-a-0".parse().unwrap()
}

/// Returns the entry that owns the server while it is alone, and an entry that becomes the owner
/// when it joins.
fn former_and_joining() -> (LiveEntry, LiveEntry) {
    let former = entry(0, "north-a");
    let joining = (1..)
        .map(|number| entry(number, "north-a"))
        .find(|joining| {
            let both = [former.clone(), joining.clone()];
            Assignment::compute(&config(1), &both).owner(&server()) == Some(joining)
        })
        .unwrap();
    (former, joining)
}

fn update(
    map: &mut OwnershipMap,
    entries: &[LiveEntry],
    of_others: Option<OwnerLiveness>,
    at: Instant,
) {
    let mut entries = entries.to_vec();
    entries.sort_unstable();
    map.update(ConfigVersion(1), &config(1), &entries, |_| of_others, at);
}

/// Returns the map of an entry that has been the only owner for 10 s, so that it is settled.
fn settled(former: &LiveEntry) -> OwnershipMap {
    let mut map = OwnershipMap::new(former.instance.clone(), &Timing::default());
    update(&mut map, std::slice::from_ref(former), None, ms(0));
    assert!(map.is_usable(&server(), ms(10_000)));
    map
}

/// Guards against a server to which no instance dispatches until the joining owner asks for it, and
/// against a former owner that dispatches for longer than the new owner's wait allows.
#[gtest]
fn former_owner_goes_on_for_a_bounded_time() {
    let (former, joining) = former_and_joining();
    let mut map = settled(&former);
    let both = [former, joining];
    update(&mut map, &both, liveness(MemberState::Alive, 500), ms(10_000));
    expect_false!(map.owns(&server()));
    expect_true!(map.is_usable(&server(), ms(10_000 + HOLD_MS - 1)));
    expect_false!(map.is_usable(&server(), ms(10_000 + HOLD_MS)));
    expect_that!(map.end_holds(ms(10_000 + HOLD_MS)), contains(eq(&server())));
    expect_false!(map.is_usable(&server(), ms(10_000)));
}

/// Guards against two owners that dispatch at the same time. A new owner that is not a new process,
/// or that may be unreachable, can already dispatch, so the former owner must stop immediately.
#[gtest]
fn former_owner_stops_at_once_in_doubt() {
    let (former, joining) = former_and_joining();
    let both = [former.clone(), joining];
    for of_owner in [
        liveness(MemberState::Alive, 3_000),
        liveness(MemberState::Alive, OLD_MS),
        liveness(MemberState::Suspect, 500),
        None,
    ] {
        let mut map = settled(&former);
        update(&mut map, &both, of_owner, ms(10_000));
        expect_false!(map.is_usable(&server(), ms(10_000)), "{of_owner:?}");
    }
    // A former owner that is no longer a live entry itself holds nothing.
    let mut map = settled(&former);
    update(&mut map, &both[1..], liveness(MemberState::Alive, 500), ms(10_000));
    expect_false!(map.is_usable(&server(), ms(10_000)));
}

/// Guards against a release to another incarnation than the owner's, and against a dispatch after
/// the release.
#[gtest]
fn released_server_is_not_used_again() {
    let (former, joining) = former_and_joining();
    let mut map = settled(&former);
    let (name, incarnation) = (joining.instance.clone(), joining.incarnation);
    expect_false!(map.release(&server(), &name, incarnation), "the own one");
    let both = [former.clone(), joining];
    update(&mut map, &both, liveness(MemberState::Alive, 500), ms(10_000));
    expect_false!(map.release(&server(), &name, Incarnation(99)));
    expect_true!(map.is_usable(&server(), ms(10_000)));
    expect_true!(map.release(&server(), &name, incarnation));
    expect_false!(map.is_usable(&server(), ms(10_000)));
    update(&mut map, &both[..1], liveness(MemberState::Alive, 700), ms(10_100));
    expect_false!(map.is_usable(&server(), ms(10_100)), "the owner may be live");
    expect_true!(map.is_usable(&server(), ms(13_100)));
}

/// Guards against an owner that starts because of answers that were given for an earlier view.
#[gtest]
fn accepts_a_release_of_the_present_view_only() {
    let (former, joining) = former_and_joining();
    let mut map = OwnershipMap::new(joining.instance.clone(), &Timing::default());
    let both = [former, joining];
    update(&mut map, &both, None, ms(0));
    let asked_with = map.view();
    expect_that!(map.waiting(ms(0)).collect::<Vec<_>>(), contains(eq(&&server())));
    let more = [both[0].clone(), both[1].clone(), entry(70, "north-b")];
    update(&mut map, &more, None, ms(10));
    expect_false!(map.accept(&asked_with, &server(), None, ms(20)));
    expect_false!(map.is_usable(&server(), ms(20)));
    let inherited = Some(InheritedRequests { running: 2, until: ms(500) });
    let present = map.view();
    expect_true!(map.accept(&present, &server(), inherited, ms(20)));
    expect_true!(map.is_usable(&server(), ms(20)));
    expect_that!(map.inherited(&server()), eq(inherited));
}

/// Guards against forgetting the requests of a former owner while the server is held for the next
/// owner, which would use their slots twice.
#[gtest]
fn held_server_keeps_the_count_of_former_requests() {
    let (former, joining) = former_and_joining();
    let mut map = settled(&former);
    let inherited = Some(InheritedRequests { running: 2, until: ms(20_000) });
    map.set_inherited(&server(), inherited);
    update(&mut map, &[former, joining], liveness(MemberState::Alive, 500), ms(10_000));
    expect_true!(map.is_usable(&server(), ms(10_000)));
    expect_that!(map.inherited(&server()), eq(inherited));
    map.set_inherited(&server(), None);
    expect_that!(map.inherited(&server()), none());
}

/// Guards against a short wait of an instance that started recently. It may consider a leaving
/// instance the previous owner although a third one, which it does not know yet, dispatches.
#[gtest]
fn recently_started_instance_waits_although_the_owner_leaves() {
    let (former, joining) = former_and_joining();
    let both = [former.clone(), joining.clone()];
    let mut map = OwnershipMap::new(former.instance.clone(), &Timing::default());
    update(&mut map, &both, None, ms(0));
    update(&mut map, &both[..1], liveness(MemberState::Leaving, OLD_MS), ms(100));
    expect_false!(map.is_usable(&server(), ms(2_999)));
    expect_true!(map.is_usable(&server(), ms(3_000)));
    // The same holds for a settled instance whose previous owner joined a moment ago.
    let mut map = settled(&former);
    update(&mut map, &both, liveness(MemberState::Alive, 100), ms(10_000));
    update(&mut map, &both[..1], liveness(MemberState::Leaving, 200), ms(10_100));
    expect_false!(map.is_usable(&server(), ms(13_099)));
}

fn released(running: u64) -> BTreeMap<BackendServerName, InheritedRequests> {
    BTreeMap::from([(server(), InheritedRequests { running, until: ms(900) })])
}

fn answer(settled: bool, known: &[usize]) -> ReleaseAnswer {
    let known = known.iter().map(|n| instance(*n)).collect();
    ReleaseAnswer { settled, known, released: released(1) }
}

/// Guards against an owner that starts before all members that may dispatch have answered.
#[gtest]
fn all_members_have_to_release() {
    let mut leaving = record(3, "north-a", 3);
    leaving.leaving = true;
    let (alive, unconfirmed) = (record(1, "north-a", 1), record(2, "north-a", 2));
    let dead = record(4, "north-a", 4);
    let members = [
        (&alive, MemberState::Suspect),
        (&unconfirmed, MemberState::Unconfirmed),
        (&leaving, MemberState::Leaving),
        (&dead, MemberState::Dead),
    ];
    let mut round = ReleaseRound::new(instance(0), members);
    let is_released = |round: &ReleaseRound| !round.released([&server()]).is_empty();
    expect_that!(round.take_unasked(), eq(&vec![instance(1), instance(2), instance(3)]));
    expect_that!(round.take_unasked(), is_empty());
    round.record_answer(instance(1), answer(true, &[0, 1, 5]));
    round.record_answer(instance(2), answer(false, &[]));
    round.record_gone(instance(3));
    expect_false!(is_released(&round), "the one that another member knows has not answered");
    expect_that!(round.take_unasked(), eq(&vec![instance(5)]));
    round.record_gone(instance(5));
    expect_false!(is_released(&round), "it may run, though nothing listens at its address");
    round.record_answer(instance(5), answer(false, &[]));
    let released = round.released([&server()]);
    expect_that!(
        sum_inherited_requests(released[&server()].values(), ms(0)).unwrap().running,
        eq(3)
    );
    expect_that!(sum_inherited_requests(released[&server()].values(), ms(900)), none());
}

/// Guards against an owner that starts without any answer, with answers only from members that are
/// not settled or name another owner, or without the count of a leaving member that still runs.
#[gtest]
fn insufficient_answers_release_nothing() {
    let alive = record(1, "north-a", 1);
    let mut leaving = record(2, "north-a", 2);
    leaving.leaving = true;
    let is_released = |round: &ReleaseRound| !round.released([&server()]).is_empty();
    let none: [(&_, MemberState); 0] = [];
    expect_false!(is_released(&ReleaseRound::new(instance(0), none)));

    let mut round = ReleaseRound::new(instance(0), [(&alive, MemberState::Alive)]);
    round.record_answer(instance(1), answer(false, &[]));
    expect_false!(is_released(&round), "no member is settled");
    round.record_answer(
        instance(1),
        ReleaseAnswer { released: BTreeMap::new(), ..answer(true, &[]) },
    );
    expect_false!(is_released(&round), "it names another owner");
    round.record_answer(instance(1), answer(true, &[]));
    expect_true!(is_released(&round));

    let both = [(&alive, MemberState::Alive), (&leaving, MemberState::Leaving)];
    let mut round = ReleaseRound::new(instance(0), both);
    round.record_answer(instance(1), answer(true, &[]));
    expect_false!(is_released(&round), "a leaving member did not answer");
    round.record_gone(instance(2));
    expect_true!(is_released(&round));
}

/// Simulated instances of one failure domain that join at different times and learn of each other
/// with a delay.
struct Fleet {
    joined_ms: Vec<u64>,
    /// When each instance learns of each other one.
    learns_ms: Vec<Vec<u64>>,
    maps: Vec<OwnershipMap>,
}

impl Fleet {
    fn new(joined_ms: &[u64], delays_ms: &[u64]) -> Fleet {
        let count = joined_ms.len();
        let learns = |at: usize, of: usize| {
            joined_ms[at].max(joined_ms[of]) + delays_ms[(at * count + of) % delays_ms.len()]
        };
        Fleet {
            joined_ms: joined_ms.to_vec(),
            learns_ms: (0..count).map(|at| (0..count).map(|of| learns(at, of)).collect()).collect(),
            maps: (0..count)
                .map(|at| OwnershipMap::new(instance(at), &Timing::default()))
                .collect(),
        }
    }

    fn runs(&self, at: usize, now_ms: u64) -> bool {
        now_ms >= self.joined_ms[at]
    }

    fn known(&self, at: usize, now_ms: u64) -> Vec<usize> {
        let knows = |of: &usize| *of == at || now_ms >= self.learns_ms[at][*of];
        (0..self.maps.len()).filter(|of| self.runs(*of, now_ms)).filter(knows).collect()
    }

    fn update(&mut self, at: usize, now_ms: u64) {
        let mut entries: Vec<_> =
            self.known(at, now_ms).into_iter().map(|n| entry(n, "north-a")).collect();
        entries.sort_unstable();
        let joined_ms = self.joined_ms.clone();
        let liveness_of = |name: &InstanceName| {
            let number = (0..joined_ms.len()).find(|n| instance(*n) == *name)?;
            liveness(MemberState::Alive, now_ms - joined_ms[number])
        };
        let map = &mut self.maps[at];
        map.end_holds(ms(now_ms));
        map.update(ConfigVersion(1), &config(6), &entries, liveness_of, ms(now_ms));
    }

    /// Makes an instance ask for the release of its waiting servers, as the daemon does.
    fn ask(&mut self, at: usize, now_ms: u64) {
        let waiting: Vec<_> = self.maps[at].waiting(ms(now_ms)).cloned().collect();
        let waiting: Vec<_> =
            waiting.into_iter().filter(|s| s.as_str().starts_with("north-a")).collect();
        let view = self.maps[at].view();
        let records: Vec<_> =
            self.known(at, now_ms).into_iter().map(|n| record(n, "north-a", n as u64)).collect();
        let members = records.iter().map(|r| (r, MemberState::Alive));
        let mut round = ReleaseRound::new(instance(at), members);
        loop {
            let unasked = round.take_unasked();
            if unasked.is_empty() {
                break;
            }
            for member in unasked {
                let number = (0..self.maps.len()).find(|n| instance(*n) == member).unwrap();
                round.record_answer(member, self.answer(number, at, &waiting, now_ms));
            }
        }
        for server in round.released(&waiting).into_keys() {
            self.maps[at].accept(&view, &server, None, ms(now_ms));
        }
    }

    fn answer(
        &mut self,
        at: usize,
        to: usize,
        servers: &[BackendServerName],
        now_ms: u64,
    ) -> ReleaseAnswer {
        self.learns_ms[at][to] = self.learns_ms[at][to].min(now_ms);
        self.update(at, now_ms);
        let known = self.known(at, now_ms).into_iter().map(instance).collect();
        let map = &mut self.maps[at];
        let none = InheritedRequests { running: 0, until: ms(now_ms) };
        let released = servers
            .iter()
            .filter(|server| map.release(server, &instance(to), Incarnation(to as u64)));
        let released = released.map(|server| (server.clone(), none)).collect();
        ReleaseAnswer { settled: map.is_settled(ms(now_ms)), known, released }
    }

    fn dispatchers(&self, server: &BackendServerName, now_ms: u64) -> usize {
        self.maps.iter().filter(|map| map.is_usable(server, ms(now_ms))).count()
    }
}

proptest! {
    #![proptest_config(proptest_config(60))]

    /// Guards against two instances that dispatch to one server while instances join, learn of each
    /// other within `suspect_after_ms` and ask for releases at random times.
    #[test]
    fn live_instances_never_dispatch_to_one_server_together(
        joined in vec(0u64..6_000, 2..7),
        delays_ms in vec(0u64..1_500, 1..40),
        asks in vec(any::<bool>(), 1..50),
    ) {
        // The first instance runs alone for at least 5 s, so that every server has an owner.
        let mut joined_ms = vec![0];
        joined_ms.extend(joined.iter().map(|at| at + 5_000));
        let mut fleet = Fleet::new(&joined_ms, &delays_ms);
        let servers: Vec<BackendServerName> =
            (0..6).map(|n| format!("north-a-{n}").parse().unwrap()).collect();
        let mut turn = 0;
        for now_ms in (0..18_000).step_by(100) {
            for at in 0..joined_ms.len() {
                if !fleet.runs(at, now_ms) {
                    continue;
                }
                fleet.update(at, now_ms);
                turn += 1;
                if asks[turn % asks.len()] {
                    fleet.ask(at, now_ms);
                }
                for server in &servers {
                    prop_assert!(fleet.dispatchers(server, now_ms) <= 1, "{server} at {now_ms}");
                }
            }
        }
        for server in &servers {
            prop_assert_eq!(fleet.dispatchers(server, 18_000), 1);
        }
    }
}
