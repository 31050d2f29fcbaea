//! What an instance knows of how long the store has answered.

mod steering_support;

use googletest::prelude::*;
use pollenshed_coordination::steering::AnswerStreak;
use steering_support::at;

/// Guards against an instance that did not call the store while it was away, as it followed a peer,
/// and takes announcements that lapsed meanwhile for servers that left.
#[googletest::test]
fn a_pause_between_two_calls_tells_nothing() {
    let mut streak = AnswerStreak::default();
    streak.record_answer(0, at(0));
    streak.record_answer(0, at(2_000));
    expect_that!(streak.duration_ms(at(2_000)), eq(2_000));
    streak.record_answer(0, at(6_600));
    expect_that!(streak.duration_ms(at(6_600)), eq(0));
    streak.record_answer(0, at(7_400));
    expect_that!(streak.duration_ms(at(7_400)), eq(800));
}

/// Guards against an outage that is forgotten at its end.
#[googletest::test]
fn a_failed_call_ends_a_streak() {
    let mut streak = AnswerStreak::default();
    streak.record_answer(0, at(0));
    streak.record_answer(0, at(1_000));
    streak.record_failure();
    expect_that!(streak.duration_ms(at(1_100)), eq(0));
    streak.record_answer(0, at(1_500));
    expect_that!(streak.duration_ms(at(1_500)), eq(0));
}

/// Guards against an instance that stopped calling and is still taken for one that the store answers.
#[googletest::test]
fn an_old_answer_is_no_answer() {
    let mut streak = AnswerStreak::default();
    streak.record_answer(0, at(0));
    streak.record_answer(0, at(2_500));
    expect_that!(streak.duration_ms(at(3_600)), eq(2_500));
    expect_that!(streak.duration_ms(at(3_700)), eq(0));
}

/// Guards against a server that left and is used for two more seconds because the instance that
/// reads the store has just been replaced, as in a rolling restart.
#[googletest::test]
fn a_new_reader_goes_on_with_the_streak_of_its_predecessor() {
    let mut streak = AnswerStreak::default();
    streak.record_answer(9_000, at(100));
    streak.record_answer(0, at(900));
    expect_that!(streak.duration_ms(at(900)), eq(9_800));
}
