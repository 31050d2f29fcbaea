//! Tests of document differences, and of the history of changes that is kept for peers.

use googletest::prelude::*;
use pollenshed_coordination::replication::{
    Change, History, MAX_CHANGES, MAX_HISTORY_BYTES, Splice, apply, diff,
};
use pollenshed_state::ids::{ConfigVersion, Digest};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn runner() -> TestRunner {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

/// Generates documents in which most lines occur once and some more often, with or without a
/// newline at the end.
fn document() -> impl Strategy<Value = Vec<u8>> {
    (vec(0..40u8, 0..30), any::<bool>()).prop_map(|(lines, is_ended)| {
        let text: Vec<_> = lines.iter().map(|n| format!("line {n}")).collect();
        let mut text = text.join("\n");
        if is_ended {
            text.push('\n');
        }
        text.into_bytes()
    })
}

/// Guards against a difference that does not turn the old document into the new one.
#[gtest]
fn difference_makes_the_new_document() {
    let result = runner().run(&(document(), document()), |(old, new)| {
        let splices = diff(&old, &new);
        let made = apply(&old, &splices);
        prop_assert_eq!(made.as_deref(), Ok(new.as_slice()));
        prop_assert_eq!(splices.is_empty(), old == new);
        let inserted: usize = splices.iter().map(|s| s.inserted.len()).sum();
        prop_assert!(inserted <= new.len());
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against a panic when a peer sends changes that were made for another document.
#[gtest]
fn changes_of_another_document_are_refused() {
    let splice = |at, removed| Splice { at, removed, inserted: b"x".to_vec() };
    expect_that!(apply(b"abc", &[splice(4, 0)]), err(anything()));
    expect_that!(apply(b"abc", &[splice(1, 3)]), err(anything()));
    expect_that!(apply(b"abc", &[splice(1, usize::MAX)]), err(anything()));
    expect_that!(apply(b"abc", &[splice(2, 0), splice(1, 0)]), err(anything()));
    expect_that!(apply(b"abc", &[splice(1, 1), splice(3, 0)]), ok(eq(b"axcx")));
}

/// Guards against a change of one line that also sends the unchanged lines around it.
#[gtest]
fn distant_changes_give_separate_small_splices() {
    let old: String = (0..1_000).map(|n| format!("name {n}\nslots 4\n")).collect();
    let new = old.replacen("slots 4", "slots 3", 1).replace("name 900\n", "name 900\nnew\n");
    let splices = diff(old.as_bytes(), new.as_bytes());
    expect_that!(splices.len(), eq(2));
    expect_that!(splices.iter().map(|s| s.inserted.len()).sum::<usize>(), eq("3new\n".len()));
}

fn versioned_digest(number: u64) -> (ConfigVersion, Digest) {
    (ConfigVersion(number), Digest::of(&number.to_be_bytes()))
}

fn change(from: u64, to: u64, bytes: usize) -> Change {
    let splices = vec![Splice { at: 0, removed: 0, inserted: vec![0; bytes] }];
    Change { from: versioned_digest(from), to: versioned_digest(to), splices }
}

fn versions_after(history: &History, have: u64) -> Option<Vec<u64>> {
    let changes = history.since(versioned_digest(have), 100_000)?;
    Some(changes.iter().map(|change| change.to.0.0).collect())
}

/// Guards against sending changes that start from another document than the peer's, or that leave
/// out a version.
#[gtest]
fn peer_gets_all_changes_after_its_version_or_none() {
    let mut history = History::default();
    [(1, 2), (2, 4), (4, 5)].iter().for_each(|(from, to)| history.push(change(*from, *to, 10)));
    expect_that!(versions_after(&history, 1), some(eq(&vec![2, 4, 5])));
    expect_that!(versions_after(&history, 4), some(eq(&vec![5])));
    for unknown in [0, 3, 5, 6] {
        expect_that!(versions_after(&history, unknown), none(), "{unknown}");
    }
    let other_document = (ConfigVersion(4), versioned_digest(9).1);
    expect_that!(history.since(other_document, 100_000), none());
    // A change that does not start where the last one ends starts a new history.
    history.push(change(6, 7, 10));
    expect_that!(versions_after(&history, 4), none());
    expect_that!(versions_after(&history, 6), some(eq(&vec![7])));
}

/// Guards against changes that are larger than the full document, and against a history that grows
/// without limit.
#[gtest]
fn history_is_bounded() {
    let mut history = History::default();
    let last = MAX_CHANGES as u64 + 10;
    (0..last).for_each(|n| history.push(change(n, n + 1, 10)));
    expect_that!(versions_after(&history, 9), none());
    expect_that!(versions_after(&history, 10).map(|changes| changes.len()), some(eq(MAX_CHANGES)));
    let size_bytes = change(0, 1, 10).size_bytes();
    expect_that!(history.since(versioned_digest(last - 2), 2 * size_bytes), none());
    expect_that!(history.since(versioned_digest(last - 2), 2 * size_bytes + 1), some(anything()));
    history.push(change(last, last + 1, MAX_HISTORY_BYTES));
    expect_that!(history.since(versioned_digest(last), usize::MAX), none());
}
