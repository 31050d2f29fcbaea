//! The fence of an owner that was paused.

mod routing_support;

use googletest::prelude::*;
use pollenshed_coordination::ownership::Fence;
use pollenshed_state::{settings::Timing, time::Instant};
use proptest::{collection::vec, prelude::*};
use routing_support::{ms, proptest_config};

#[derive(Debug, Clone, Copy)]
enum Event {
    Ran,
    Exchanged { age_ms: u64, in_own_domain: bool, alone: bool },
    Dispatch,
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let gap = prop_oneof![8 => 0u64..400, 2 => 900u64..1_100, 1 => 1_000u64..40_000];
    let exchanged = (0u64..3_000, any::<bool>(), any::<bool>())
        .prop_map(|(age_ms, own, alone)| Event::Exchanged { age_ms, in_own_domain: own, alone });
    let event = prop_oneof![4 => Just(Event::Ran), 1 => exchanged, 2 => Just(Event::Dispatch)];
    vec((gap, event), 1..100)
}

proptest! {
    #![proptest_config(proptest_config(500))]

    /// Guards against a dispatch after any pause before a fresh exchange or `dead_after_ms` with the
    /// loop running. Whichever event comes first after the pause must notice it.
    #[test]
    fn no_dispatch_after_a_pause(events in events()) {
        let mut fence = Fence::new(&Timing::default(), ms(0));
        let (mut now_ms, mut last_ran_ms, mut paused_until_ms) = (0, 0, 0);
        let mut exchanged_since = false;
        for (gap_ms, event) in events {
            now_ms += gap_ms;
            // The longest time without the loop up to now that still counts as a pause.
            if now_ms - last_ran_ms >= 1_000 {
                (paused_until_ms, exchanged_since) = (now_ms, false);
                last_ran_ms = now_ms;
            }
            match event {
                Event::Ran => {
                    fence.record_loop_run(ms(now_ms));
                    last_ran_ms = now_ms;
                }
                Event::Exchanged { age_ms, in_own_domain, alone } => {
                    let began_ms = now_ms.saturating_sub(age_ms);
                    fence.record_exchange(ms(began_ms), in_own_domain, alone, ms(now_ms));
                    exchanged_since |= began_ms >= paused_until_ms && (in_own_domain || alone);
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

/// Guards against an owner that stays closed for ever when it is alone.
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

/// Guards against an answer from before the pause that opens the fence.
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

/// Guards against an owner that takes a long pause for a short one and dispatches beside a successor,
/// whichever call notices the pause.
#[gtest]
fn a_pause_of_dead_after_is_long() {
    type Notice = fn(&mut Fence, Instant);
    let notices: [Notice; 3] = [
        |fence, now| fence.record_loop_run(now),
        |fence, now| fence.record_exchange(now, true, false, now),
        |fence, now| {
            fence.may_dispatch(now);
        },
    ];
    for notice in notices {
        for (pause_ms, is_long) in [(999, false), (1_000, false), (2_999, false), (3_000, true)] {
            let mut fence = Fence::new(&Timing::default(), ms(0));
            fence.record_loop_run(ms(250));
            notice(&mut fence, ms(250 + pause_ms));
            expect_that!(fence.take_long_pause(), eq(is_long), "{pause_ms} ms");
        }
    }
}

/// Guards against a long pause that is lost behind a later short one or an exchange, or reported
/// again and again, so that an owner never dispatches.
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
