//! Tests of the platform stand-in's faults and saved states.

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_standins::platform::{Counts, Faults, Platform};
use pollenshed_transport::platform::{Platform as Client, PutOutcome};
use serde_json::json;

fn open() -> (Platform, Client) {
    let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = Client::open(platform.address(), Duration::from_secs(5));
    (platform, client)
}

/// Guards against a lost reply whose write took no effect. Tests of lost replies would then test
/// nothing.
#[gtest]
fn write_takes_effect_when_its_reply_is_lost() {
    let (platform, client) = open();
    platform.set_faults(Faults { lose_write_replies: true, ..Faults::default() });
    expect_that!(client.put_row("t", "k", 0, json!(1)), err(anything()));
    let row = client.get_row("t", "k").unwrap();
    expect_that!(row.map(|row| row.revision), some(eq(1)));
}

/// Guards against a store that answers as unavailable and still writes, and against missing counts.
#[gtest]
fn nothing_is_written_while_down_and_calls_are_counted() {
    let (platform, client) = open();
    platform.set_faults(Faults { down: true, ..Faults::default() });
    expect_that!(client.put_row("t", "k", 0, json!(1)), err(anything()));
    expect_that!(client.get_row("t", "k"), err(anything()));
    platform.set_faults(Faults::default());
    expect_that!(client.get_row("t", "k").unwrap(), none());
    expect_that!(platform.counts(), eq(Counts { reads: 2, writes: 1 }));
}

/// Guards against a restored state that keeps rows written after it was saved.
#[gtest]
fn restored_state_has_the_old_rows_and_revisions() {
    let (platform, client) = open();
    client.put_row("t", "k", 0, json!("old")).unwrap();
    let saved = platform.save();
    client.put_row("t", "k", 1, json!("new")).unwrap();
    platform.restore(saved);
    let refused = client.put_row("t", "k", 2, json!("newer")).unwrap();
    let PutOutcome::Refused(Some(row)) = refused else { panic!("the old revision must not match") };
    expect_that!(row.value, eq(&json!("old")));
}

/// Guards against an object that stays readable while objects are hidden.
#[gtest]
fn hidden_object_is_not_found() {
    let (platform, client) = open();
    client.put_object("a", b"bytes").unwrap();
    platform.set_faults(Faults { hide_objects: true, ..Faults::default() });
    expect_that!(client.get_object("a").unwrap(), none());
}
