//! How long connections to backend servers may be idle.

mod steering_support;

use googletest::prelude::*;
use pollenshed_coordination::steering::{IdleLimit, RunTimes};
use steering_support::*;

/// Guards against further requests that are lost after the same idle time.
#[gtest]
fn a_forgotten_connection_shortens_the_idle_time_of_others() {
    let mut limit = IdleLimit::default();
    expect_that!(limit.max_idle_ms(at(0)), none());
    limit.record_loss(Some(2_000), at(0));
    expect_that!(limit.max_idle_ms(at(1)), some(eq(400)));
    // A longer idle time that is lost too does not lengthen it.
    limit.record_loss(Some(5_000), at(10));
    expect_that!(limit.max_idle_ms(at(11)), some(eq(400)));
    limit.record_loss(Some(380), at(20));
    expect_that!(limit.max_idle_ms(at(21)), some(eq(76)));
}

/// Guards against a limit that one odd server leaves behind for good.
#[gtest]
fn a_loss_is_forgotten_after_some_time() {
    let mut limit = IdleLimit::default();
    limit.record_loss(Some(2_000), at(0));
    expect_that!(limit.max_idle_ms(at(19_999)), some(eq(400)));
    expect_that!(limit.max_idle_ms(at(20_000)), none());
}

/// Guards against connections that are given up although servers reset new ones as well, as those do
/// that lose their answers.
#[gtest]
fn losses_on_new_connections_show_another_reason() {
    let mut limit = IdleLimit::default();
    limit.record_loss(Some(2_000), at(0));
    limit.record_loss(None, at(100));
    expect_that!(limit.max_idle_ms(at(101)), none());
    limit.record_loss(Some(2_000), at(200));
    expect_that!(limit.max_idle_ms(at(201)), none());
    limit.record_loss(Some(2_000), at(5_200));
    expect_that!(limit.max_idle_ms(at(5_201)), some(eq(400)));
}

/// Guards against a lost answer of a short run that is taken for a forgotten connection.
#[gtest]
fn only_an_end_long_before_the_usual_time_is_too_soon() {
    let mut times = RunTimes::default();
    expect_false!(times.is_too_soon(ESTIMATE_KEY, 0.0), "nothing is known");
    times.set_initial(ESTIMATE_KEY, Some(800));
    expect_false!(times.is_too_soon(ESTIMATE_KEY, 0.0), "nothing was observed");
    times.observe(ESTIMATE_KEY, 250.0);
    expect_true!(times.is_too_soon(ESTIMATE_KEY, 3.0));
    expect_false!(times.is_too_soon(ESTIMATE_KEY, 60.0));
    times.set_initial(ESTIMATE_KEY + 1, Some(800));
    times.observe(ESTIMATE_KEY + 1, 4.0);
    expect_false!(times.is_too_soon(ESTIMATE_KEY + 1, 0.0), "runs are too short to tell");
}
