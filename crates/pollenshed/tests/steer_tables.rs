//! Tests of the local copies of the store's tables, from which peers learn of removals.

use googletest::prelude::*;
use pollenshed::steer::tables::{KnownVersions, Table, TableView};
use pollenshed_platform::store::{Row, StoreEra, StoreVersion};
use pollenshed_state::time::Instant;
use serde_json::{Value, json};

/// More removals than an instance remembers one by one.
const MANY_REMOVALS: u64 = 5_000;

fn at(number: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(1), number }
}

fn restored_at(number: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(2), number }
}

fn row(key: u64, value: Option<&'static str>, number: u64) -> Row {
    Row { key: format!("i-{key}"), value: value.map(|v| v.as_bytes().into()), version: at(number) }
}

/// Applies to `to` what it gets from a peer with the copy `from`, as instances do.
fn follow(from: &TableView, to: &mut TableView) {
    let known = to.known_versions().unwrap_or_default();
    let after = known.complete;
    let is_whole = !from.knows_removals_since(known);
    let mut rows = from.changes(if is_whole { StoreVersion::default() } else { after });
    let version = from.published_version().unwrap_or_default();
    if is_whole {
        rows.extend(to.removals_for_whole_table(&rows, version));
    }
    if is_whole || to.version.is_none() {
        to.record_whole(from.removals_known_since());
    }
    to.record_gaps(from.removal_gaps().iter().filter(|gap| gap.end > after).copied());
    rows.retain(|row| !to.lacks_removed(row));
    to.merge(Table::Instances, rows, Instant::default());
    to.version = Some(version);
}

/// Guards against a row that stays in use at an instance that was cut off while so many others were
/// removed that its peers have dropped the record of its removal.
#[googletest::test]
fn an_instance_far_behind_learns_of_every_removal() {
    let mut source = TableView::default();
    let kept = row(1, Some("kept"), 1);
    source.merge(
        Table::Instances,
        vec![kept.clone(), row(2, Some("removed"), 2)],
        Instant::default(),
    );
    source.version = Some(at(2));
    let mut behind = TableView::default();
    follow(&source, &mut behind);
    expect_that!(behind.keys().count(), eq(2));

    source.merge(Table::Instances, vec![row(2, None, 3)], Instant::default());
    for number in 0..MANY_REMOVALS {
        let version = 10 + 2 * number;
        source.merge(
            Table::Instances,
            vec![row(100 + number, Some("short"), version)],
            Instant::default(),
        );
        source.merge(
            Table::Instances,
            vec![row(100 + number, None, version + 1)],
            Instant::default(),
        );
    }
    source.version = Some(at(10 + 2 * MANY_REMOVALS));
    follow(&source, &mut behind);
    expect_that!(behind.keys().cloned().collect::<Vec<_>>(), eq(&vec![kept.key.clone()]));

    // A row that is newer than the peer's table stays.
    behind.merge(Table::Instances, vec![row(3, Some("newer"), 100_000)], Instant::default());
    behind.version = Some(at(2));
    follow(&source, &mut behind);
    expect_that!(behind.value("i-3"), some(anything()));
}

/// Returns a copy of a table that was read as a whole at `version` and contains only this row.
fn read_at(version: u64, only: Row) -> TableView {
    let mut view = TableView::default();
    view.record_whole(at(version));
    view.merge(Table::Instances, vec![only], Instant::default());
    view.version = Some(at(version));
    view
}

/// Guards against a row that stays in use at an instance because the one that it follows was started
/// after the removal, and at those that follow it in turn.
#[googletest::test]
fn an_instance_started_after_a_removal_passes_it_on() {
    let kept = row(1, Some("kept"), 1);
    let mut running = read_at(2, kept.clone());
    running.merge(Table::Instances, vec![row(2, Some("removed"), 3)], Instant::default());
    running.version = Some(at(3));
    let mut other = TableView::default();
    follow(&running, &mut other);
    let started = read_at(5, kept.clone());
    let mut snapshot = TableView::default();
    follow(&started, &mut snapshot);
    follow(&started, &mut running);
    expect_that!(running.keys().cloned().collect::<Vec<_>>(), eq(&vec![kept.key.clone()]));
    follow(&snapshot, &mut other);
    expect_that!(other.keys().cloned().collect::<Vec<_>>(), eq(&vec![kept.key]));
    // Who knows the table up to that version gets changes only.
    expect_that!(started.knows_removals_since(KnownVersions::up_to(at(5))), eq(true));
}

/// Guards against a removed row that an instance takes back from a peer which does not know of the
/// removal yet.
#[googletest::test]
fn a_row_that_was_removed_before_a_whole_read_is_not_taken_back() {
    let kept = row(1, Some("kept"), 1);
    let mut behind = read_at(2, kept.clone());
    behind.merge(Table::Instances, vec![row(2, Some("removed"), 3)], Instant::default());
    behind.version = Some(at(3));
    let mut started = read_at(5, kept.clone());
    let from_peer = behind.changes(StoreVersion::default());
    let accepted: Vec<_> = from_peer.into_iter().filter(|r| !started.lacks_removed(r)).collect();
    started.merge(Table::Instances, accepted, Instant::default());
    expect_that!(started.keys().cloned().collect::<Vec<_>>(), eq(&vec![kept.key]));
    // A later row, and one of a store that was restored since, is new.
    expect_that!(started.lacks_removed(&row(3, Some("later"), 6)), eq(false));
    let restored = Row { version: restored_at(4), ..row(4, Some("restored"), 0) };
    expect_that!(started.lacks_removed(&restored), eq(false));
}

/// Guards against a whole table that is sent again and again while a removal is held back.
#[googletest::test]
fn a_peer_that_knows_all_that_is_published_gets_changes_only() {
    let mut source = read_at(20, row(1, Some("kept"), 1));
    source.first_held_removal = Some(at(15));
    expect_that!(source.knows_removals_since(KnownVersions::up_to(at(13))), eq(false));
    expect_that!(source.knows_removals_since(KnownVersions::up_to(at(14))), eq(true));
    source.first_held_removal = None;
    expect_that!(source.knows_removals_since(KnownVersions::up_to(at(14))), eq(false));
}

/// Reads a table as a whole, as of a version, as an instance does whose store has no history since
/// the version that is known.
fn read_again(view: &mut TableView, rows: Vec<Row>, version: u64) {
    view.record_read(at(version));
    let removals = view.removals_for_whole_table(&rows, at(version));
    view.merge(Table::Instances, [rows, removals].concat(), Instant::default());
    view.version = Some(at(version));
}

/// Guards against whole tables that go to all instances of a region at once because its reader has
/// read them again: most of the transfers would not end in time.
#[googletest::test]
fn a_table_that_was_read_again_is_passed_on_as_changes() {
    let rows = |count: u64| (0..count).map(|number| row(number, Some("row"), number + 1));
    let mut source = read_at(100, row(0, Some("row"), 1));
    source.merge(Table::Instances, rows(50).collect(), Instant::default());
    let mut behind = TableView::default();
    follow(&source, &mut behind);
    source.merge(Table::Instances, vec![row(7, None, 110)], Instant::default());
    source.version = Some(at(110));
    let mut later: Vec<Row> = rows(50).filter(|r| !["i-7", "i-8"].contains(&&*r.key)).collect();
    later.push(row(60, Some("row"), 130));
    read_again(&mut source, later.clone(), 150);
    let known = behind.known_versions().unwrap();
    expect_that!(source.knows_removals_since(known), eq(true));
    // Two removals and a new row.
    expect_that!(source.changes(known.complete).len(), eq(3));
    follow(&source, &mut behind);
    let keys = |view: &TableView| view.keys().cloned().collect::<Vec<_>>();
    expect_that!(keys(&behind), eq(&keys(&source)));
    expect_that!(keys(&behind).len(), eq(49));

    // One more each time that the history is gone, for a peer that is a few of them behind.
    for number in 0..20 {
        if number % 5 == 0 {
            follow(&source, &mut behind);
        }
        let version = 200 + 10 * number;
        later.push(row(200 + number, Some("row"), version - 5));
        read_again(&mut source, later.clone(), version);
        let known = behind.known_versions().unwrap();
        expect_that!(source.knows_removals_since(known), eq(true), "read {number}");
    }
    // One that is far behind gets the whole table.
    expect_that!(source.knows_removals_since(KnownVersions::up_to(at(150))), eq(false));
    follow(&source, &mut behind);
    expect_that!(keys(&behind), eq(&keys(&source)));
    // A copy of a later era, and a first read, show nothing of removals before them.
    source.record_read(restored_at(200));
    source.version = Some(restored_at(200));
    expect_that!(source.knows_removals_since(KnownVersions::up_to(at(390))), eq(false));
    let mut started = TableView::default();
    read_again(&mut started, later, 390);
    expect_that!(started.knows_removals_since(KnownVersions::up_to(at(389))), eq(false));
}

/// Guards against a row that stays in use because it was written and removed while the store had no
/// history, and the instance that read the table again never knew it.
#[googletest::test]
fn a_row_of_a_gap_in_the_history_is_removed_everywhere() {
    let kept = row(1, Some("kept"), 1);
    let short = row(2, Some("short"), 110);
    // The source misses the row between 100 and 150. Others have learned of it from another reader,
    // one of them together with all changes up to it, one while something is held back.
    let mut source = read_at(100, kept.clone());
    let mut before = TableView::default();
    follow(&source, &mut before);
    let mut ahead = read_at(100, kept.clone());
    ahead.merge(Table::Instances, vec![short.clone()], Instant::default());
    ahead.version = Some(at(120));
    let mut held = read_at(100, kept.clone());
    held.merge(Table::Instances, vec![short], Instant::default());
    let mut behind_held = TableView::default();
    behind_held.merge(Table::Instances, held.changes(StoreVersion::default()), Instant::default());
    behind_held.version = Some(at(120));

    read_again(&mut source, vec![kept.clone()], 150);
    // It passes on what it does not know.
    follow(&source, &mut before);
    expect_that!(before.removal_gaps(), eq(source.removal_gaps()));
    for (source, mut view) in [(&source, ahead), (&source, held), (&before, behind_held)] {
        expect_that!(view.value("i-2"), some(anything()));
        follow(source, &mut view);
        expect_that!(view.keys().cloned().collect::<Vec<_>>(), eq(&vec![kept.key.clone()]));
    }
    // Who knows the table up to the second read, or no row after the first one, gets changes only.
    for version in [100, 150, 160] {
        let known = KnownVersions::up_to(at(version));
        expect_that!(source.knows_removals_since(known), eq(true), "{version}");
    }
}

/// Guards against tables that are sent as a whole although the changes are known.
#[googletest::test]
fn an_instance_that_is_nearly_up_to_date_gets_changes_only() {
    let mut source = TableView::default();
    let rows = (0..100).map(|number| row(number, Some("row"), number + 1));
    source.merge(Table::Instances, rows.collect(), Instant::default());
    source.merge(Table::Instances, vec![row(7, None, 200)], Instant::default());
    source.version = Some(at(200));
    expect_that!(source.knows_removals_since(KnownVersions::up_to(at(150))), eq(true));
    expect_that!(source.changes(at(150)).len(), eq(1));
}

fn server(state: &str, born: u64, sequence: u64) -> Vec<u8> {
    let record = json!({
        "service": "tables", "address": "10.0.0.1:80", "zone": "palermo-a", "slots": 3,
        "state": state, "born": born, "sequence": sequence,
    });
    record.to_string().into_bytes()
}

/// Returns whether a row counts that replaces `old`, a value of the era before, in a store that was
/// restored as of version 10.
fn counts(table: Table, key: &str, old: Option<&[u8]>, new: &[u8], number: u64) -> bool {
    let mut view = TableView::default();
    let row = |value: Option<&[u8]>, version| Row {
        key: key.to_owned(),
        value: value.map(|value| value.to_vec().into()),
        version,
    };
    view.merge(table, vec![row(old, at(60))], Instant::default());
    view.record_copy(restored_at(10));
    !view.merge(table, vec![row(Some(new), restored_at(number))], Instant::default()).is_empty()
}

/// Guards against a copied row that takes back what its writer has written since, and against a row
/// written after the restore that does not count.
#[googletest::test]
fn copied_rows_take_nothing_back_and_later_ones_count() {
    let (ready, restarted) = (server("ready", 5, 1), server("ready", 6, 1));
    let (ready_again, draining) = (server("ready", 5, 10), server("draining", 5, 9));
    let config = |version: u64| {
        json!({
            "version": version, "services": [], "virtual_hosts": [],
            "limits": {
                "max_header_bytes": 1, "max_body_bytes": 1, "header_timeout": "1s",
                "idle_timeout": "1s",
            },
        })
        .to_string()
        .into_bytes()
    };
    let (older, newer) = (config(3), config(4));
    // The last value is what the writer writes again. A run of a server that has ended writes nothing,
    // and a configuration that was replaced is not written again.
    type Case<'a> = (Table, &'a str, Option<&'a [u8]>, &'a [u8], bool, Option<&'a [u8]>);
    let cases: [Case<'_>; 9] = [
        (Table::Servers, "i-1", None, &ready, false, Some(&ready)),
        (Table::Servers, "i-1", Some(&draining), &ready, false, Some(&ready_again)),
        (Table::Servers, "i-1", Some(&draining), &restarted, true, Some(&restarted)),
        (Table::Servers, "i-1", Some(&restarted), &ready, false, None),
        (Table::Servers, "i-1", Some(&ready), &draining, true, Some(&draining)),
        (Table::Operator, "config", Some(&newer), &older, false, None),
        (Table::Operator, "config", Some(&older), &newer, true, Some(&newer)),
        (Table::Operator, "config", Some(&newer), b"{", false, Some(b"{")),
        (Table::Operator, "evacuate/palermo-a", None, b"{}", false, Some(b"{}")),
    ];
    for (number, (table, key, old, new, expected, again)) in cases.into_iter().enumerate() {
        expect_that!(counts(table, key, old, new, 10), eq(expected), "copied, case {number}");
        let again_counts = counts(table, key, old, again.unwrap_or(new), 11);
        expect_that!(again_counts, eq(again.is_some()), "written again, case {number}");
    }
}

/// Guards against an announcement of a server that replaces a later one because the store performed
/// it later.
#[googletest::test]
fn announcements_of_a_server_count_in_the_order_of_the_server() {
    let row = |value: Option<Vec<u8>>, version| Row {
        key: "i-1".to_owned(),
        value: value.map(Into::into),
        version: at(version),
    };
    let (early, late) = (server("ready", 5, 2), server("ready", 5, 7));
    let draining = server("draining", 5, 6);
    let restarted = server("ready", 6, 1);
    // Rows in the order in which the store performed them, and whether the last one counts.
    type Case<'a> = (&'a [Option<&'a Vec<u8>>], bool);
    let cases: [Case<'_>; 9] = [
        (&[Some(&draining), Some(&early)], false),
        (&[Some(&draining), Some(&late)], true),
        (&[Some(&early), Some(&draining)], true),
        (&[Some(&draining), None, Some(&early)], false),
        (&[Some(&draining), None, Some(&late)], true),
        // A report that changes nothing else counts in the order too.
        (&[Some(&early), Some(&late), Some(&draining)], false),
        (&[Some(&early), Some(&late), None, Some(&draining)], false),
        (&[Some(&restarted), Some(&late)], false),
        (&[Some(&draining), Some(&restarted)], true),
    ];
    for (number, (rows, expected)) in cases.into_iter().enumerate() {
        let mut view = TableView::default();
        let mut counts = false;
        for (version, value) in (1..).zip(rows) {
            counts = !view
                .merge(Table::Servers, vec![row(value.cloned(), version)], Instant::default())
                .is_empty();
        }
        expect_that!(counts, eq(expected), "case {number}");
    }
    // An announcement that was too high by mistake loses no server for good.
    let start = Instant::default();
    let mut view = TableView::default();
    view.merge(Table::Servers, vec![row(Some(draining.clone()), 1)], start);
    let early = |version| vec![row(Some(early.clone()), version)];
    expect_that!(view.merge(Table::Servers, early(2), start.plus_ms(19_000)), is_empty());
    expect_that!(view.merge(Table::Servers, early(3), start.plus_ms(21_000)).len(), eq(1));
    // Without the start time, the sequence does not tell a restart from a late report.
    let unknown_run = |state, sequence| {
        let mut record: Value = serde_json::from_slice(&server(state, 5, sequence)).unwrap();
        record.as_object_mut().unwrap().remove("born");
        Some(record.to_string().into_bytes())
    };
    let mut view = TableView::default();
    view.merge(Table::Servers, vec![row(unknown_run("draining", 9), 1)], Instant::default());
    expect_that!(
        view.merge(Table::Servers, vec![row(unknown_run("ready", 1), 2)], Instant::default()).len(),
        eq(1)
    );
}

/// Returns a copy of the operator's table that knows the end of an evacuation at version 60 of the era
/// before and holds back a row that the restored store has brought at version 10.
fn view_with_held_evacuation() -> TableView {
    let mut view = TableView::default();
    view.merge(Table::Operator, vec![evacuation(None, at(60))], Instant::default());
    view.record_copy(restored_at(70));
    expect_that!(
        view.merge(
            Table::Operator,
            vec![evacuation(Some(b"{}"), restored_at(10))],
            Instant::default()
        ),
        is_empty()
    );
    view.version = Some(restored_at(70));
    view
}

fn evacuation(value: Option<&'static [u8]>, version: StoreVersion) -> Row {
    Row { key: "evacuate/palermo-a".to_owned(), value: value.map(Into::into), version }
}

/// Guards against an evacuation that is dropped for good because it may be older than the end that is
/// known of it, and against one that is held back although it is newer.
#[googletest::test]
fn an_evacuation_of_a_copy_is_held_until_its_end_is_written_again() {
    let mut view = view_with_held_evacuation();
    // Followers must not get past the row before it counts.
    expect_that!(view.published_version(), some(eq(restored_at(9))));
    expect_that!(
        view.release_held_rows(),
        elements_are![eq(&evacuation(Some(b"{}"), restored_at(10)))]
    );
    expect_that!(view.value("evacuate/palermo-a"), some(anything()));
    expect_that!(view.published_version(), some(eq(restored_at(70))));
    expect_that!(view.holds_rows(), eq(false));

    // Ended again, in a change or in a whole table.
    let mut view = view_with_held_evacuation();
    view.merge(Table::Operator, vec![evacuation(None, restored_at(71))], Instant::default());
    expect_that!(view.release_held_rows(), is_empty());
    let mut view = view_with_held_evacuation();
    let removals = view.removals_for_whole_table(&[], restored_at(70));
    view.merge(Table::Operator, removals, Instant::default());
    expect_that!(view.release_held_rows(), is_empty());

    // Set again, in a row that can't be of the copy.
    let mut view = view_with_held_evacuation();
    let later = vec![evacuation(Some(b"{}"), restored_at(71))];
    expect_that!(view.merge(Table::Operator, later, Instant::default()).len(), eq(1));
    expect_that!(view.holds_rows(), eq(false));

    let mut view = TableView::default();
    view.merge(Table::Operator, vec![evacuation(None, at(60))], Instant::default());
    view.record_copy(restored_at(70));
    let newer = vec![evacuation(Some(b"{}"), restored_at(61))];
    expect_that!(view.merge(Table::Operator, newer, Instant::default()).len(), eq(1));
}

/// Guards against an instance that does not use a server again which its peers know to live.
#[googletest::test]
fn peers_learn_that_a_copied_row_was_written_again() {
    let ready = |sequence| server("ready", 5, sequence);
    let row = |value: Option<Vec<u8>>, version| Row {
        key: "i-1".to_owned(),
        value: value.map(Into::into),
        version,
    };
    let mut source = TableView::default();
    source.merge(Table::Servers, vec![row(Some(ready(1)), at(50))], Instant::default());
    let mut other = TableView::default();
    other.merge(
        Table::Servers,
        vec![row(Some(ready(1)), at(50)), row(None, at(60))],
        Instant::default(),
    );
    for view in [&mut source, &mut other] {
        view.record_copy(restored_at(10));
    }
    let from_copy = row(Some(ready(2)), restored_at(10));
    source.merge(Table::Servers, vec![from_copy.clone()], Instant::default());
    expect_that!(other.merge(Table::Servers, vec![from_copy], Instant::default()), is_empty());
    expect_that!(
        source.merge(
            Table::Servers,
            vec![row(Some(ready(3)), restored_at(11))],
            Instant::default()
        ),
        is_empty()
    );
    let changes = source.changes(restored_at(10));
    expect_that!(other.merge(Table::Servers, changes, Instant::default()).len(), eq(1));
    // Later announcements without a change are not passed on.
    source.merge(Table::Servers, vec![row(Some(ready(4)), restored_at(12))], Instant::default());
    expect_that!(source.changes(restored_at(11)), is_empty());
}
