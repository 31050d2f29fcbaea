//! Tests of the fence that stops an owner from dispatching after a pause.

mod routing_support;

use googletest::prelude::*;
use pollenshed_coordination::ownership::Fence;
use pollenshed_state::{settings::Timing, time::Instant};
use proptest::{collection::vec, prelude::*};
use routing_support::{ms, proptest_config};

#[derive(Debug, Clone, Copy)]
enum Event {
    Ran,
    Exchanged { age_ms: u64, in_own_domain: bool, is_only_member: bool },
    Dispatch,
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let gap = prop_oneof![8 => 0u64..400, 2 => 900u64..1_100, 1 => 1_000u64..40_000];
    let exchanged =
        (0u64..3_000, any::<bool>(), any::<bool>()).prop_map(|(age_ms, own, is_only_member)| {
            Event::Exchanged { age_ms, in_own_domain: own, is_only_member }
        });
    let event = prop_oneof![4 => Just(Event::Ran), 1 => exchanged, 2 => Just(Event::Dispatch)];
    vec((gap, event), 1..100)
}

proptest! {
    #![proptest_config(proptest_config(500))]

    /// Guards against a dispatch after a pause before either a new exchange or `dead_after_ms` of
    /// control loop runs. The first event after the pause must detect it, whichever event it is.
    #[test]
    fn no_dispatch_after_a_pause(events in events()) {
        let mut fence = Fence::new(&Timing::default(), ms(0));
        let (mut now_ms, mut last_ran_ms, mut paused_until_ms) = (0, 0, 0);
        let mut exchanged_since = false;
        for (gap_ms, event) in events {
            now_ms += gap_ms;
            // From `fence_after_ms` (1,000 ms) without a run of the loop, the gap counts as a
            // pause.
            if now_ms - last_ran_ms >= 1_000 {
                (paused_until_ms, exchanged_since) = (now_ms, false);
                last_ran_ms = now_ms;
            }
            match event {
                Event::Ran => {
                    fence.record_loop_run(ms(now_ms));
                    last_ran_ms = now_ms;
                }
                Event::Exchanged { age_ms, in_own_domain, is_only_member } => {
                    let began_ms = now_ms.saturating_sub(age_ms);
                    fence.record_exchange(ms(began_ms), in_own_domain, is_only_member, ms(now_ms));
                    exchanged_since |=
                        began_ms >= paused_until_ms && (in_own_domain || is_only_member);
                }
                Event::Dispatch => {
                    if fence.may_dispatch(ms(now_ms)) {
                        let waited_ms = now_ms - paused_until_ms;
                        prop_assert!(exchanged_since || waited_ms >= 3_000, "at {now_ms} ms");
                    }
                }
            }
        }
    }
}

/// Guards against a fence that never opens at an instance without peers.
#[gtest]
fn fence_opens_without_peers_while_the_loop_runs() {
    let mut fence = Fence::new(&Timing::default(), ms(0));
    for now_ms in (0..3_000).step_by(250) {
        fence.record_loop_run(ms(now_ms));
        expect_false!(fence.may_dispatch(ms(now_ms)));
    }
    fence.record_loop_run(ms(3_000));
    expect_true!(fence.may_dispatch(ms(3_000)));
    expect_true!(fence.may_dispatch(ms(3_999)));
    expect_false!(fence.may_dispatch(ms(4_000)));
}

/// Guards against opening the fence after an exchange that began before the pause, or with a peer
/// of another failure domain.
#[gtest]
fn only_an_exchange_begun_after_the_pause_opens_the_fence() {
    let mut fence = Fence::new(&Timing::default(), ms(0));
    fence.record_exchange(ms(0), true, false, ms(10));
    expect_true!(fence.may_dispatch(ms(10)));
    fence.record_exchange(ms(20), true, false, ms(30_000));
    expect_false!(fence.may_dispatch(ms(30_000)));
    fence.record_exchange(ms(30_001), false, false, ms(30_010));
    expect_false!(fence.may_dispatch(ms(30_010)));
    fence.record_exchange(ms(30_001), true, false, ms(30_020));
    expect_true!(fence.may_dispatch(ms(30_020)));
}

/// Guards against an owner that treats a long pause as a short one and dispatches at the same time
/// as its successor. Each call that can detect the pause must classify it.
#[gtest]
fn a_pause_of_dead_after_is_long() {
    type Detect = fn(&mut Fence, Instant);
    let detectors: [Detect; 3] = [
        |fence, now| fence.record_loop_run(now),
        |fence, now| fence.record_exchange(now, true, false, now),
        |fence, now| {
            fence.may_dispatch(now);
        },
    ];
    for detect in detectors {
        for (pause_ms, is_long) in [(999, false), (1_000, false), (2_999, false), (3_000, true)] {
            let mut fence = Fence::new(&Timing::default(), ms(0));
            fence.record_loop_run(ms(250));
            detect(&mut fence, ms(250 + pause_ms));
            expect_that!(fence.take_long_pause(), eq(is_long), "{pause_ms} ms");
        }
    }
}

/// Guards against losing a long pause because a short one or an exchange follows, and against
/// reporting it repeatedly, which would keep the owner from ever dispatching.
#[gtest]
fn a_long_pause_is_reported_once() {
    let mut fence = Fence::new(&Timing::default(), ms(0));
    expect_false!(fence.take_long_pause());
    expect_false!(fence.may_dispatch(ms(3_000)));
    fence.record_exchange(ms(3_001), true, false, ms(3_010));
    expect_true!(fence.may_dispatch(ms(3_010)));
    fence.record_loop_run(ms(4_500));
    expect_true!(fence.take_long_pause());
    expect_false!(fence.take_long_pause());
    fence.record_loop_run(ms(6_000));
    expect_false!(fence.take_long_pause(), "a short pause after a long one");
    fence.record_loop_run(ms(9_000));
    expect_true!(fence.take_long_pause(), "a second long pause");
}
