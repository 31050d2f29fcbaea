//! Concurrent submissions to the head row of the platform stand-in, by threads of one process.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use googletest::prelude::*;
use pollenshed_coordination::replication::{Outcome, StoredHead, SubmissionId};
use pollenshed_standins::platform::{Faults, Platform};
use pollenshed_state::ids::ConfigVersion;
use pollenshed_transport::platform::{Platform as Client, SubmitRequest, submit};

const OPERATORS: u64 = 2;
const ROUNDS: u64 = 300;

/// The submission that each version came from.
type History = Mutex<BTreeMap<ConfigVersion, SubmissionId>>;

fn client(platform: &Platform) -> Client {
    Client::open(platform.address(), Duration::from_secs(5))
}

/// Records the submission of a version and checks that no other submission was recorded for it.
fn record(history: &History, version: ConfigVersion, id: &SubmissionId) {
    let mut history = history.lock().unwrap();
    let known = history.entry(version).or_insert_with(|| id.clone());
    assert_eq!(known, id, "version {version} has two submissions");
}

fn race(platform: &Platform, operator: u64, accepted: &History) -> u64 {
    let client = client(platform);
    let mut lost = 0;
    for round in 0..ROUNDS {
        let id = SubmissionId(format!("{operator}-{round}"));
        let request = SubmitRequest {
            id: id.clone(),
            document: id.0.as_bytes(),
            floor: ConfigVersion(0),
            expected: None,
            timeout: Duration::from_secs(30),
        };
        match submit(&client, &request) {
            Outcome::Accepted { version } => record(accepted, version, &id),
            Outcome::LostRace { winner } => {
                assert_ne!(winner.expect("the winner of the race").submission_id, id);
                lost += 1;
            }
            Outcome::Unavailable { .. } => panic!("a submission failed while the platform was up"),
        }
    }
    lost
}

/// Reads the head row until the race is over. Checks that the version never decreases and that each
/// version was written once, and records the submissions that each head names.
fn watch(platform: &Platform, is_over: &AtomicBool, seen: &History) {
    let client = client(platform);
    let mut last = ConfigVersion(0);
    while !is_over.load(Ordering::SeqCst) {
        let Ok(Some(StoredHead { head, revision })) = client.head() else { continue };
        assert!(head.version >= last, "the version of the head row decreased");
        assert_eq!(revision, head.version.0, "a version was not written exactly once");
        last = head.version;
        record(seen, head.version, &head.submission_id);
        for past in &head.past {
            record(seen, past.version, &past.submission_id);
        }
    }
}

/// Guards against two submissions that are accepted as the same version, and against an accepted
/// version that is lost, reverted or reported to its operator as not accepted.
#[gtest]
fn every_version_has_one_submission_and_every_submission_one_outcome() {
    let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let (accepted, seen) = (History::default(), History::default());
    let is_over = AtomicBool::new(false);
    let lost: u64 = thread::scope(|scope| {
        scope.spawn(|| watch(&platform, &is_over, &seen));
        scope.spawn(|| lose_some_replies(&platform, &is_over));
        let race = |operator| {
            let (platform, accepted) = (&platform, &accepted);
            scope.spawn(move || race(platform, operator, accepted))
        };
        let operators: Vec<_> = (0..OPERATORS).map(race).collect();
        let lost = operators.into_iter().map(|o| o.join().unwrap()).sum();
        is_over.store(true, Ordering::SeqCst);
        lost
    });
    platform.set_faults(Faults::default());
    let head = client(&platform).head().unwrap().unwrap().head;
    let accepted = accepted.into_inner().unwrap();
    expect_that!(accepted.len() as u64 + lost, eq(OPERATORS * ROUNDS));
    // The versions run without a gap from 1 to that of the head row, so none was lost.
    let versions: Vec<u64> = accepted.keys().map(|v| v.0).collect();
    expect_that!(versions, eq(&(1..=head.version.0).collect::<Vec<_>>()));
    for (version, id) in seen.into_inner().unwrap() {
        expect_that!(accepted.get(&version), some(eq(&id)));
    }
}

/// Alternates between losing the replies to 4 writes and losing none for 40 writes.
fn lose_some_replies(platform: &Platform, is_over: &AtomicBool) {
    let mut lose = false;
    let mut changed_at = 0;
    while !is_over.load(Ordering::SeqCst) {
        let writes = platform.counts().writes;
        // Most writes keep their replies, because each loss delays the submission by a pause.
        if writes >= changed_at + if lose { 4 } else { 40 } {
            lose = !lose;
            changed_at = writes;
            platform.set_faults(Faults { lose_write_replies: lose, ..Faults::default() });
        }
        thread::yield_now();
    }
}
