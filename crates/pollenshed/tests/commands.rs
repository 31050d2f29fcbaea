//! The daemon's subcommands as a user runs them.

use std::{
    io::{BufRead, BufReader, Read},
    process::{Command, Stdio},
    time::Duration,
};

use googletest::prelude::*;
use pollenshed_standins::backend::Behaviour;

mod support;

use support::Workdir;

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

/// Guards against a start on bad settings and against findings without a place.
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

/// Guards against exit codes that a script can't tell apart.
#[gtest]
fn exit_codes_tell_usage_from_unreadable_files() {
    let dir = Workdir::create();
    expect_that!(pollenshed(&["check", "missing.json"], &dir).0, some(eq(1)));
    expect_that!(pollenshed(&["check"], &dir).0, some(eq(2)));
    expect_that!(pollenshed(&["--help"], &dir).0, some(eq(0)));
}

/// Guards against a `dev` that prints commands which do not work, or that does not stop.
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

/// Guards against a daemon that ends because nobody reads its standard output any more.
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
