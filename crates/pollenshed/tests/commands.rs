//! The daemon's subcommands, run as processes.

use std::{
    io::{BufRead, BufReader, Read},
    process::{Command, Stdio},
    time::Duration,
};

use googletest::prelude::*;
use pollenshed_standins::backend::Behaviour;

mod support;

use serde_json::json;
use support::{Workdir, deployment};

const SETTINGS: &str = r#"{
  // An unknown unit and a missing field.
  "instance": "entry-1",
  "failure_domain": "palermo-a",
  "caller_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:0",
  "relay_address": "127.0.0.1:0",
  "operator_address": "127.0.0.1:0",
  "timing": { "lookup_ttl_s": 5 }
}"#;

fn pollenshed(args: &[&str], dir: &Workdir) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_pollenshed"))
        .args(args)
        .current_dir(&dir.path)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Guards against a start with invalid settings and against findings without a position.
#[gtest]
fn bad_settings_are_refused_with_all_findings() {
    let dir = Workdir::create();
    std::fs::write(dir.path.join("entry.jsonc"), SETTINGS).unwrap();
    for command in ["check", "serve"] {
        let (code, text) = pollenshed(&[command, "entry.jsonc"], &dir);
        expect_that!(code, some(eq(3)));
        expect_that!(text, contains_substring("entry.jsonc:9:15: timing.lookup_ttl_s:"));
        expect_that!(text, contains_substring("platform_address: missing field"));
    }
}

fn check_as_json(dir: &Workdir, files: &[&str]) -> (Option<i32>, serde_json::Value) {
    let output = Command::new(env!("CARGO_BIN_EXE_pollenshed"))
        .args(["check", "--json"])
        .args(files)
        .current_dir(&dir.path)
        .output()
        .unwrap();
    (output.status.code(), serde_json::from_slice(&output.stdout).unwrap())
}

/// Guards against findings whose position a script can't read, and against a format that differs
/// from that of `pollenshedctl check --json`.
#[gtest]
fn findings_are_printed_as_json() {
    let dir = Workdir::create();
    std::fs::write(dir.path.join("entry.jsonc"), SETTINGS).unwrap();
    let good = deployment::golden_config("cali").to_string();
    std::fs::write(dir.path.join("cali.json"), &good).unwrap();
    let (code, reports) = check_as_json(&dir, &["entry.jsonc", "cali.json"]);
    expect_that!(code, some(eq(3)));
    let digest = reports["files"][1]["digest"].as_str().unwrap();
    expect_that!(digest, starts_with("sha256:"));
    let expected = json!({ "files": [
        { "file": "entry.jsonc", "kind": "settings", "digest": null, "findings": [
            { "file": "entry.jsonc", "position": { "line": 1, "column": 1 },
              "path": "platform_address", "message": "missing field",
              "expected": "a value for `platform_address`" },
            { "file": "entry.jsonc", "position": { "line": 9, "column": 15 },
              "path": "timing.lookup_ttl_s", "message": "wrong unit in the field's name",
              "expected": "`lookup_ttl_ms` in milliseconds" },
        ] },
        { "file": "cali.json", "kind": "configuration", "digest": digest, "findings": [] },
    ] });
    expect_that!(reports, eq(&expected));
}

/// Guards against exit codes that depend on the output format or on whether the output is read.
#[gtest]
fn exit_codes_are_the_same_with_json() {
    let dir = Workdir::create();
    std::fs::write(dir.path.join("entry.jsonc"), SETTINGS).unwrap();
    let good = deployment::golden_config("cali").to_string();
    std::fs::write(dir.path.join("cali.json"), good).unwrap();
    for (file, expected) in
        [("cali.json", 0), ("missing.json", 1), ("--none", 2), ("entry.jsonc", 3)]
    {
        for args in [vec!["check", file], vec!["check", "--json", file]] {
            expect_that!(pollenshed(&args, &dir).0, some(eq(expected)), "{args:?}");
            expect_that!(code_with_closed_output(&args, &dir), some(eq(expected)), "{args:?}");
        }
    }
}

/// Returns the exit code of a command whose standard output is a closed pipe.
fn code_with_closed_output(args: &[&str], dir: &Workdir) -> Option<i32> {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    Command::new(env!("CARGO_BIN_EXE_pollenshed"))
        .args(args)
        .current_dir(&dir.path)
        .stdin(Stdio::null())
        .stdout(writer)
        .stderr(Stdio::null())
        .status()
        .unwrap()
        .code()
}

/// Guards against exit codes by which a script can't distinguish wrong usage from an unreadable
/// file.
#[gtest]
fn exit_codes_tell_usage_from_unreadable_files() {
    let dir = Workdir::create();
    expect_that!(pollenshed(&["check", "missing.json"], &dir).0, some(eq(1)));
    expect_that!(pollenshed(&["check"], &dir).0, some(eq(2)));
    expect_that!(pollenshed(&["--help"], &dir).0, some(eq(0)));
}

/// Guards against `pollenshed dev` printing commands that do not work, and not stopping on SIGINT.
#[gtest]
fn dev_serves_the_commands_that_it_prints() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pollenshed"))
        .arg("dev")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut next = || lines.next().unwrap().unwrap();
    let callers = next().strip_prefix("ready: callers ").unwrap().to_owned();
    expect_that!(next(), starts_with("ready: operators http://"));
    let commands: Vec<String> =
        std::iter::from_fn(|| Some(next())).take_while(|l| !l.contains("/v1/status")).collect();
    expect_that!(commands.iter().filter(|l| l.starts_with("curl")).count(), ge(4));
    let mut read = ureq::get(format!("{callers}/v1/run/tavole/tables/2026")).call().unwrap();
    let mut text = String::new();
    read.body_mut().as_reader().read_to_string(&mut text).unwrap();
    expect_that!(text, contains_substring("ran GET /tables/2026"));
    let id = child.id().to_string();
    expect_that!(Command::new("kill").args(["-INT", &id]).status().unwrap().success(), eq(true));
    expect_that!(child.wait().unwrap().success(), eq(true));
}

/// Guards against a daemon that ends because the pipe of its standard output was closed.
#[gtest]
fn closed_output_does_not_end_the_daemon() {
    let service_time = Duration::from_millis(5);
    let behaviour = Behaviour { name: String::new(), slots: 3, service_time };
    let fleet = support::Fleet::start(&["north-a"], &behaviour);
    let settings = fleet.settings("north-a-2", "north-a");
    let file = fleet.workdir.path.join("north-a-2.json");
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_pollenshed"))
        .arg("serve")
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    support::wait_for("the instance to join", || {
        let members = fleet.daemons[0].status()?.members;
        members
            .iter()
            .any(|m| m.instance.as_str() == "north-a-2" && m.state == "alive")
            .then_some(())
    });
    expect_that!(child.try_wait().unwrap(), none());
    child.kill().unwrap();
    child.wait().unwrap();
}
