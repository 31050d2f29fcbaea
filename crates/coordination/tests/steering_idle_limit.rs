//! Tests of the limit on the idle time of connections to backend servers.

mod steering_support;

use googletest::prelude::*;
use pollenshed_coordination::steering::{IdleLimit, RunTimes};
use steering_support::*;

/// Guards against further requests that are lost on connections with the same idle time.
#[gtest]
fn a_lost_idle_connection_lowers_the_idle_limit() {
    let mut limit = IdleLimit::default();
    expect_that!(limit.max_idle_ms(at(0)), none());
    limit.record_loss(Some(2_000), at(0));
    expect_that!(limit.max_idle_ms(at(1)), some(eq(400)));
    // A loss after a longer idle time does not raise the limit.
    limit.record_loss(Some(5_000), at(10));
    expect_that!(limit.max_idle_ms(at(11)), some(eq(400)));
    limit.record_loss(Some(380), at(20));
    expect_that!(limit.max_idle_ms(at(21)), some(eq(76)));
}

/// Guards against a limit that stays for good after a single faulty server.
#[gtest]
fn a_learned_idle_limit_expires() {
    let mut limit = IdleLimit::default();
    limit.record_loss(Some(2_000), at(0));
    expect_that!(limit.max_idle_ms(at(19_999)), some(eq(400)));
    expect_that!(limit.max_idle_ms(at(20_000)), none());
}

/// Guards against idle connections that are closed for no reason, because servers that lose their
/// answers reset new connections as well.
#[gtest]
fn a_lost_new_connection_discards_the_idle_limit() {
    let mut limit = IdleLimit::default();
    limit.record_loss(Some(2_000), at(0));
    limit.record_loss(None, at(100));
    expect_that!(limit.max_idle_ms(at(101)), none());
    limit.record_loss(Some(2_000), at(200));
    expect_that!(limit.max_idle_ms(at(201)), none());
    limit.record_loss(Some(2_000), at(5_200));
    expect_that!(limit.max_idle_ms(at(5_201)), some(eq(400)));
}

/// Guards against a run that is mistaken for a request that did not run, because it was short and
/// its answer was lost.
#[gtest]
fn only_an_end_long_before_the_usual_time_is_too_soon() {
    let mut times = RunTimes::default();
    expect_false!(times.is_too_soon(ESTIMATE_KEY, 0.0), "no estimate");
    times.set_initial(ESTIMATE_KEY, Some(800));
    expect_false!(times.is_too_soon(ESTIMATE_KEY, 0.0), "no run was observed");
    times.observe(ESTIMATE_KEY, 250.0);
    expect_true!(times.is_too_soon(ESTIMATE_KEY, 3.0));
    expect_false!(times.is_too_soon(ESTIMATE_KEY, 60.0));
    times.set_initial(ESTIMATE_KEY + 1, Some(800));
    times.observe(ESTIMATE_KEY + 1, 4.0);
    expect_false!(times.is_too_soon(ESTIMATE_KEY + 1, 0.0), "runs are too short to tell");
}
