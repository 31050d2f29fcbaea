//! Tests of how an instance tracks for how long the store has answered.

mod steering_support;

use googletest::prelude::*;
use pollenshed_coordination::steering::{AnswerSource, AnswerStreak};
use steering_support::at;

/// Guards against servers that are removed by mistake after a store outage. An instance that
/// follows a peer makes no calls to the store, so it does not notice the outage in which
/// announcements expire.
#[googletest::test]
fn a_long_gap_between_calls_starts_a_new_streak() {
    let mut streak = AnswerStreak::default();
    streak.record_answer(0, at(0));
    streak.record_answer(0, at(2_000));
    expect_that!(streak.duration_ms(at(2_000)), eq(2_000));
    streak.record_answer(0, at(6_600));
    expect_that!(streak.duration_ms(at(6_600)), eq(0));
    streak.record_answer(0, at(7_400));
    expect_that!(streak.duration_ms(at(7_400)), eq(800));
}

/// Guards against an outage that has no effect on the streak once the store answers again.
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

/// Guards against an instance that no longer calls the store but still reports it as available.
#[googletest::test]
fn an_old_answer_does_not_show_availability() {
    let mut streak = AnswerStreak::default();
    streak.record_answer(0, at(0));
    streak.record_answer(0, at(2_500));
    expect_that!(streak.duration_ms(at(3_600)), eq(2_500));
    expect_that!(streak.duration_ms(at(3_700)), eq(0));
}

/// Guards against a server that left but is used for two more seconds, because the instance that
/// reads the store has just been replaced, as in a rolling restart, and starts a new streak.
#[googletest::test]
fn a_new_reader_continues_the_streak_of_its_predecessor() {
    let mut streak = AnswerStreak::default();
    streak.record_answer(9_000, at(100));
    streak.record_answer(0, at(900));
    expect_that!(streak.duration_ms(at(900)), eq(9_800));
}

/// Guards against a server that left but is used for two more seconds, because the instance that
/// read the store was killed and the one that reads on knows of its answers only by heartbeats.
#[googletest::test]
fn a_new_reader_continues_the_streak_of_one_that_was_killed() {
    let mut streak = AnswerStreak::default();
    streak.record_report(AnswerSource::Peer, 9_000, 200, at(100));
    expect_that!(streak.duration_ms(at(100)), eq(0));
    streak.record_answer(0, at(1_500));
    expect_that!(streak.duration_ms(at(1_500)), eq(10_600));
}

/// Guards against the same after a restart: the new process reads at once and hears of the former
/// answers later.
#[googletest::test]
fn a_restarted_reader_continues_the_streak_that_it_hears_of() {
    let mut streak = AnswerStreak::default();
    streak.record_answer(0, at(1_000));
    streak.record_answer(0, at(1_400));
    streak.record_report(AnswerSource::Other, 9_000, 900, at(1_500));
    expect_that!(streak.duration_ms(at(1_500)), eq(9_800));
}

/// Guards against an outage that is taken for availability, because answers before and after it are
/// joined.
#[googletest::test]
fn reported_answers_before_an_outage_are_not_continued() {
    let mut streak = AnswerStreak::default();
    streak.record_report(AnswerSource::Peer, 9_000, 0, at(100));
    streak.record_answer(0, at(3_200));
    expect_that!(streak.duration_ms(at(3_200)), eq(0));
    let mut streak = AnswerStreak::default();
    streak.record_report(AnswerSource::Peer, 9_000, 0, at(100));
    streak.record_failure();
    streak.record_answer(0, at(600));
    expect_that!(streak.duration_ms(at(600)), eq(0));
}

/// Guards against reports that stay new because two instances pass them to each other.
#[googletest::test]
fn reports_of_others_are_not_passed_on() {
    let mut streak = AnswerStreak::default();
    streak.record_report(AnswerSource::Other, 9_000, 100, at(100));
    expect_that!(streak.first_hand_report_ms(at(100)), none());
    streak.record_report(AnswerSource::Peer, 5_000, 300, at(200));
    expect_that!(streak.first_hand_report_ms(at(700)), some(eq((5_000, 800))));
    expect_that!(streak.first_hand_report_ms(at(3_000)), none());
}
