//! Tests of `pollenshedctl submit` and `drain` against the platform stand-in.

#[path = "support/instance.rs"]
mod instance;
mod support;

use googletest::prelude::*;
use instance::Instance;
use pollenshed_standins::platform::{Faults, Platform};
use serde_json::{Value, json};
use support::{CALI, Run, Workdir, changed};

struct Fixture {
    platform: Platform,
    dir: Workdir,
}

impl Fixture {
    fn new() -> Fixture {
        let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let dir = Workdir::new();
        dir.write("cali.json", CALI);
        dir.write("other.json", &changed("\"slots\": 3", "\"slots\": 2"));
        Fixture { platform, dir }
    }

    fn run(&self, command: &str, args: &[&str]) -> Run {
        let address = self.platform.address().to_string();
        let all = [&[command, "--platform", &address, "--timeout-ms", "400"], args].concat();
        self.dir.run(&all, "")
    }

    fn json(&self, command: &str, args: &[&str]) -> (Option<i32>, Value) {
        let run = self.run(command, &[&["--json"], args].concat());
        (run.code, serde_json::from_str(&run.out).unwrap())
    }
}

/// Guards against two concurrent submissions that both report success, and against a report of a
/// lost race without the winning version and the differences.
#[gtest]
fn lost_race_names_the_winner_and_the_differences() {
    let fixture = Fixture::new();
    expect_that!(fixture.run("submit", &["--base", "0", "cali.json"]).code, some(eq(0)));
    let lost = fixture.run("submit", &["--base", "0", "other.json"]);
    expect_that!(lost.code, some(eq(4)));
    expect_that!(lost.out, contains_substring("version 1 of another submission came first"));
    expect_that!(lost.out, contains_substring("slots: 3 -> 2"));
    let (code, report) = fixture.json("submit", &["--base", "1", "other.json"]);
    expect_that!(code, some(eq(0)));
    expect_that!(report["outcome"], eq(&json!("accepted")));
    expect_that!(report["version"], eq(&json!(2)));
}

/// Guards against a submission that is reported as failed although its write took effect, and
/// against one that is written twice.
#[gtest]
fn outcome_after_lost_replies_is_read_back_from_the_store() {
    let fixture = Fixture::new();
    fixture.platform.set_faults(Faults { down: true, ..Faults::default() });
    let (code, report) = fixture.json("submit", &["cali.json"]);
    expect_that!(code, some(eq(3)));
    expect_that!(report["may_be_accepted"], eq(&json!(false)));
    fixture.platform.set_faults(Faults { lose_write_replies: true, ..Faults::default() });
    expect_that!(fixture.json("submit", &["cali.json"]).1["version"], eq(&json!(1)));
    expect_that!(fixture.json("submit", &["other.json"]).1["version"], eq(&json!(2)));
}

/// Guards against a submission of a file that `check` refuses.
#[gtest]
fn refused_file_is_not_submitted() {
    let fixture = Fixture::new();
    fixture.dir.write("bad.json", &changed("\"slots\": 3", "\"slots\": 0"));
    expect_that!(fixture.run("submit", &["bad.json"]).code, some(eq(3)));
    expect_that!(fixture.platform.counts().writes, eq(0));
}

/// Guards against `--wait` that returns early, or that does not list the instances without the
/// version.
#[gtest]
fn wait_names_the_instances_that_are_missing() {
    let fixture = Fixture::new();
    let instance = Instance::bind("entry-1", 0, &[("entry-1", 0), ("entry-2", 0), ("entry-3", 0)]);
    let address = instance.address.to_string();
    let wait = ["--instance", address.as_str(), "--wait", "cali.json"];
    let (code, report) = std::thread::scope(|scope| {
        // The instance reports the version once the object and the head row are written.
        scope.spawn(|| {
            while fixture.platform.counts().writes < 2 {
                std::thread::yield_now();
            }
            instance.set("config_version", json!(1));
        });
        fixture.json("submit", &wait)
    });
    expect_that!(code, some(eq(5)));
    expect_that!(report["missing"], eq(&json!(["entry-2", "entry-3"])));
}

/// Guards against a version number that instances already have, which a store that was reset to an
/// older state would assign.
#[gtest]
fn version_is_above_those_in_force() {
    let fixture = Fixture::new();
    let instance = Instance::bind("entry-1", 8, &[("entry-1", 8), ("entry-2", 9)]);
    let address = instance.address.to_string();
    let (_, report) = fixture.json("submit", &["--instance", &address, "cali.json"]);
    expect_that!(report["version"], eq(&json!(10)));
}

/// Guards against a drain that is lost, added twice, or submitted for an unknown target.
#[gtest]
fn drain_changes_the_configuration_in_force() {
    let fixture = Fixture::new();
    let drain = ["--failure-domain", "palermo-a"];
    expect_that!(fixture.run("drain", &drain).code, some(eq(3)));
    fixture.run("submit", &["cali.json"]);
    let version = |args: &[&str]| {
        let (_, report) = fixture.json("drain", args);
        (report["outcome"].clone(), report["version"].clone())
    };
    expect_that!(version(&drain), eq(&(json!("accepted"), json!(2))));
    expect_that!(version(&drain), eq(&(json!("unchanged"), json!(2))));
    let remove = ["--failure-domain", "palermo-a", "--remove"];
    expect_that!(version(&remove), eq(&(json!("accepted"), json!(3))));
    expect_that!(fixture.run("drain", &["--region", "trapani"]).code, some(eq(3)));
}

/// Guards against a planned stop that is not sent to the instance.
#[gtest]
fn drain_of_an_instance_is_sent_to_it() {
    let fixture = Fixture::new();
    let instance = Instance::bind("entry-1", 1, &[]);
    let run = fixture.dir.run(&["drain", "--instance", &instance.address.to_string()], "");
    expect_that!(run.code, some(eq(0)));
    expect_that!(instance.requests(), elements_are![starts_with("POST /v1/drain ")]);
}
