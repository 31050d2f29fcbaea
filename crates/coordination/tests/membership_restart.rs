//! Tests of incarnations: restarts, stale gossip and two processes of one name.

mod routing_support;

use googletest::prelude::*;
use pollenshed_coordination::membership::{Exchange, MemberState, Membership};
use pollenshed_state::ids::Incarnation;
use proptest::{collection::vec, prelude::*};
use routing_support::{exchange, instance, membership, ms, proptest_config};

#[derive(Debug, Clone)]
enum Event {
    Restart,
    /// No messages until all members are suspect.
    Silence,
    Exchange(usize, usize),
    Replay(usize, usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        1 => Just(Event::Restart),
        1 => Just(Event::Silence),
        8 => (0usize..4, 0usize..4).prop_map(|(a, b)| Event::Exchange(a, b)),
        4 => (any::<usize>(), 1usize..4).prop_map(|(a, b)| Event::Replay(a, b)),
    ];
    vec(event, 1..80)
}

/// Returns the incarnation and the state of instance 0 in the view of `observer`.
fn seen(observer: &Membership, now_ms: u64) -> Option<(u64, MemberState)> {
    let state = observer.state_of(&instance(0), ms(now_ms))?;
    Some((observer.record_of(&instance(0))?.incarnation.0, state))
}

fn generation(observer: &Membership) -> Option<u64> {
    observer.record_of(&instance(0)).map(|record| record.generation)
}

/// Adds one message of each member to `sent`, for replay later, as by a network that delivers old
/// copies.
fn record_messages(members: &mut [Membership], now_ms: u64, sent: &mut Vec<Exchange>) {
    for member in members {
        sent.push(member.clone().build_exchange(&instance(9), None, ms(now_ms)));
    }
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// Guards against an old incarnation that replaces its running successor. Instance 0 restarts
    /// with increasing incarnations, and any message that was sent earlier can arrive again.
    #[test]
    fn old_incarnation_never_replaces_a_running_one(events in events()) {
        let new = |n, incarnation, now| membership(n, "north-a", incarnation, ms(now));
        let mut members: Vec<_> = (0..4).map(|n| new(n, 1, 0)).collect();
        let mut sent = Vec::new();
        let mut now_ms = 0;
        for event in events {
            now_ms += 10;
            members.iter_mut().for_each(|m| m.tick(ms(now_ms)));
            let before: Vec<_> = members[1..].iter().map(|m| seen(m, now_ms)).collect();
            let generations: Vec<_> = members[1..].iter().map(generation).collect();
            match event {
                Event::Restart => {
                    let incarnation = members[0].own().incarnation.0 + 1;
                    members[0] = new(0, incarnation, now_ms);
                }
                Event::Silence => now_ms += 1_600,
                Event::Exchange(a, b) if a != b => exchange(&mut members, a, b, ms(now_ms)),
                Event::Exchange(..) => {}
                Event::Replay(message, to) if !sent.is_empty() => {
                    let message: &Exchange = &sent[message % sent.len()];
                    // A message never arrives at the instance that sent it.
                    if message.sender.instance != members[to].own().instance {
                        members[to].merge(message, ms(now_ms));
                    }
                }
                Event::Replay(..) => {}
            }
            record_messages(&mut members, now_ms, &mut sent);
            for (member, before) in members[1..].iter().zip(generations) {
                prop_assert!(generation(member) >= before, "an older generation came back");
            }
            for (member, before) in members[1..].iter().zip(before) {
                let Some((incarnation, MemberState::Alive)) = before else { continue };
                let after = seen(member, now_ms).map_or(0, |(incarnation, _)| incarnation);
                prop_assert!(after >= incarnation, "{incarnation} was replaced by {after}");
            }
        }
    }

    /// Guards against a restart that some members never learn of.
    #[test]
    fn restart_reaches_all_members(seed in any::<u64>(), restarts in 1u64..5) {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut members: Vec<_> =
            (0..6).map(|n| membership(n, "north-a", 1, ms(0))).collect();
        let mut now_ms = 0;
        for restart in 0..=restarts {
            if restart > 0 {
                members[0] = membership(0, "north-a", 1 + restart, ms(now_ms));
            }
            for _ in 0..24 {
                now_ms += 250;
                members.iter_mut().for_each(|m| m.tick(ms(now_ms)));
                for from in 0..6 {
                    let to = (from + random.usize(1..6)) % 6;
                    exchange(&mut members, from, to, ms(now_ms));
                }
            }
            for member in &members[1..] {
                prop_assert_eq!(seen(member, now_ms), Some((1 + restart, MemberState::Alive)));
            }
        }
    }
}

/// Guards against a leaving flag that is reset when an older record arrives.
#[gtest]
fn leaving_is_never_reset() {
    let mut members = [membership(0, "north-a", 1, ms(0)), membership(1, "north-a", 1, ms(0))];
    members[0].tick(ms(0));
    let before = members[0].build_exchange(&instance(1), None, ms(0));
    members[0].set_leaving();
    exchange(&mut members, 0, 1, ms(0));
    members[0].tick(ms(250));
    members[1].merge(&before, ms(250));
    expect_that!(members[1].state_of(&instance(0), ms(250)), some(eq(MemberState::Leaving)));
}

/// Guards against two processes of one name that both keep running. The one that started earlier
/// must stop.
#[gtest]
fn older_process_stops_for_its_successor() {
    let old = membership(0, "north-a", 1, ms(0));
    let mut members = [old, membership(1, "north-a", 1, ms(0))];
    exchange(&mut members, 0, 1, ms(1_000));
    let [mut old, mut observer] = members;
    // The successor's clock starts at 0 when the old process has run for 60 s.
    let mut successor = membership(0, "north-a", 2, ms(0));
    for period in 1..=40 {
        let (own_ms, old_ms) = (period * 250, 60_000 + period * 250);
        successor.tick(ms(own_ms));
        old.tick(ms(old_ms));
        observer.tick(ms(old_ms));
        let processes = [(&mut successor, own_ms), (&mut old, old_ms)];
        // A superseded process stops.
        for (process, process_ms) in processes.into_iter().filter(|(p, _)| !p.is_superseded()) {
            let request = process.build_exchange(&instance(1), None, ms(process_ms));
            observer.merge(&request, ms(old_ms));
            let reply = observer.build_exchange(&instance(0), None, ms(old_ms));
            process.merge(&reply, ms(process_ms));
        }
    }
    expect_true!(old.is_superseded());
    expect_false!(successor.is_superseded());
    let known = observer.record_of(&instance(0)).map(|r| r.incarnation);
    expect_that!(known, some(eq(Incarnation(2))));
}
