//! Tests of submissions against an in-memory store, with lost replies and writes.

use googletest::prelude::*;
use pollenshed_coordination::replication::{
    MAX_PAST_SUBMISSIONS, Outcome, Plan, Reply, Step, StoredHead, Submission, SubmissionId,
};
use pollenshed_state::{
    ids::{ConfigVersion, Digest},
    time::Instant,
};

#[derive(Default)]
struct Store {
    row: Option<StoredHead>,
}

impl Store {
    fn call(&mut self, step: &Step) -> Reply {
        match step {
            Step::ReadHead => Reply::Head(self.row.clone()),
            Step::WriteObject => Reply::ObjectWritten,
            Step::ReadObject => Reply::Object(true),
            Step::WriteHead { expected_revision, head } => {
                let revision = self.row.as_ref().map_or(0, |row| row.revision);
                if revision != *expected_revision {
                    return Reply::HeadRefused;
                }
                self.row = Some(StoredHead { revision: revision + 1, head: head.clone() });
                Reply::HeadWritten
            }
            Step::Done(_) => panic!("a finished submission makes no calls"),
        }
    }
}

fn plan(id: &str) -> Plan {
    Plan {
        id: SubmissionId(id.to_owned()),
        digest: Digest::of(id.as_bytes()),
        floor: ConfigVersion(0),
        expected: None,
        deadline: Instant::from_ms(1_000),
    }
}

fn advance(submission: &mut Submission, store: &mut Store) {
    let reply = store.call(&submission.step());
    submission.reply(reply, Instant::START);
}

fn run(mut submission: Submission, store: &mut Store) -> Outcome {
    loop {
        match submission.step() {
            Step::Done(outcome) => return outcome,
            _ => advance(&mut submission, store),
        }
    }
}

fn started(id: &str, store: &mut Store) -> Submission {
    let mut submission = Submission::new(plan(id));
    while !matches!(submission.step(), Step::WriteHead { .. }) {
        advance(&mut submission, store);
    }
    submission
}

fn accepted(version: u64) -> Outcome {
    Outcome::Accepted { version: ConfigVersion(version) }
}

/// Guards against reporting a wrong outcome to an operator when the reply to the head write is lost
/// and others submit configurations afterwards.
#[gtest]
fn lost_reply_is_settled_after_later_submissions() {
    let mut store = Store::default();
    let mut ours = started("ours", &mut store);
    store.call(&ours.step());
    ours.reply(Reply::Failed, Instant::START);
    for later in 0..MAX_PAST_SUBMISSIONS {
        run(Submission::new(plan(&format!("later-{later}"))), &mut store);
    }
    expect_that!(run(ours.clone(), &mut store), eq(&accepted(1)));
    run(Submission::new(plan("one-more")), &mut store);
    let out_of_reach = Outcome::Unavailable { may_be_accepted: true };
    expect_that!(run(ours, &mut store), eq(&out_of_reach));
}

/// Guards against reporting a write as accepted that did not take effect, and the reverse.
#[gtest]
fn lost_write_is_sent_again_or_lost_to_another() {
    let mut store = Store::default();
    let mut first = started("first", &mut store);
    let mut second = first.clone();
    first.reply(Reply::Failed, Instant::START);
    expect_that!(run(first, &mut store), eq(&accepted(1)));
    second.reply(Reply::Failed, Instant::START);
    // The clone has the id of the first, so it finds the same submission.
    expect_that!(run(second, &mut store), eq(&accepted(1)));
    let mut loser = started("loser", &mut store);
    run(Submission::new(plan("winner")), &mut store);
    loser.reply(Reply::Failed, Instant::START);
    let Outcome::LostRace { winner: Some(winner) } = run(loser, &mut store) else {
        panic!("another submission moved the head");
    };
    expect_that!(winner.submission_id, eq(&SubmissionId("winner".to_owned())));
    expect_that!(winner.version, eq(ConfigVersion(2)));
}

/// Guards against a head row that names a document that is only partly stored.
#[gtest]
fn failed_object_write_is_checked_and_repeated() {
    let mut submission = Submission::new(plan("object"));
    submission.reply(Reply::Head(None), Instant::START);
    submission.reply(Reply::Failed, Instant::START);
    expect_that!(submission.step(), eq(&Step::ReadObject));
    submission.reply(Reply::Object(false), Instant::START);
    expect_that!(submission.step(), eq(&Step::WriteObject));
    submission.reply(Reply::Failed, Instant::START);
    submission.reply(Reply::Object(true), Instant::START);
    expect_that!(submission.step(), matches_pattern!(Step::WriteHead { .. }));
}

/// Guards against accepting the submissions of two operators who started from the same version.
#[gtest]
fn submission_that_starts_from_an_old_version_loses() {
    let mut store = Store::default();
    run(Submission::new(plan("base")), &mut store);
    run(Submission::new(plan("other")), &mut store);
    let stale = Plan { expected: Some(ConfigVersion(1)), ..plan("stale") };
    expect_that!(
        run(Submission::new(stale), &mut store),
        matches_pattern!(Outcome::LostRace { .. })
    );
}

/// Guards against using a version number twice after the store was restored to an older state.
#[gtest]
fn version_is_above_every_version_in_force() {
    let mut store = Store::default();
    run(Submission::new(plan("old")), &mut store);
    let restored = Plan { floor: ConfigVersion(9), ..plan("restored") };
    expect_that!(run(Submission::new(restored), &mut store), eq(&accepted(10)));
}

/// Guards against a submission that never ends, or that reports "not accepted" although its write
/// may still arrive.
#[gtest]
fn outage_ends_at_the_deadline_and_names_what_is_possible() {
    let late = Instant::from_ms(1_000);
    let mut unsent = Submission::new(plan("unsent"));
    unsent.reply(Reply::Failed, Instant::START);
    expect_that!(unsent.step(), eq(&Step::ReadHead));
    unsent.reply(Reply::Failed, late);
    let outcome = |may_be_accepted| Step::Done(Outcome::Unavailable { may_be_accepted });
    expect_that!(unsent.step(), eq(&outcome(false)));
    let mut sent = started("sent", &mut Store::default());
    sent.reply(Reply::Failed, late);
    expect_that!(sent.step(), eq(&outcome(true)));
}
