//! Tests of `pollenshedctl submit` and `drain` against the platform stand-in.

#[path = "support/instance.rs"]
mod instance;
mod support;

use googletest::prelude::*;
use instance::Instance;
use pollenshed_standins::platform::{Faults, Platform};
use serde_json::{Value, json};
use support::{CALI, Run, Workdir, changed};

struct Setting {
    platform: Platform,
    dir: Workdir,
}

impl Setting {
    fn new() -> Setting {
        let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let dir = Workdir::new();
        dir.write("cali.json", CALI);
        dir.write("other.json", &changed("\"slots\": 3", "\"slots\": 2"));
        Setting { platform, dir }
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

/// Guards against operators of a race who both believe that theirs is in force, or a loser who does
/// not learn what differs.
#[gtest]
fn lost_race_names_the_winner_and_the_differences() {
    let setting = Setting::new();
    expect_that!(setting.run("submit", &["--base", "0", "cali.json"]).code, some(eq(0)));
    let lost = setting.run("submit", &["--base", "0", "other.json"]);
    expect_that!(lost.code, some(eq(4)));
    expect_that!(lost.out, contains_substring("version 1 of another submission came first"));
    expect_that!(lost.out, contains_substring("slots: 3 -> 2"));
    let (code, report) = setting.json("submit", &["--base", "1", "other.json"]);
    expect_that!(code, some(eq(0)));
    expect_that!(report["outcome"], eq(&json!("accepted")));
    expect_that!(report["version"], eq(&json!(2)));
}

/// Guards against a submission that is reported as failed although its write took effect, and
/// against one that is written twice.
#[gtest]
fn lost_replies_are_settled_by_reading_back() {
    let setting = Setting::new();
    setting.platform.set_faults(Faults { down: true, ..Faults::default() });
    let (code, report) = setting.json("submit", &["cali.json"]);
    expect_that!(code, some(eq(3)));
    expect_that!(report["may_be_accepted"], eq(&json!(false)));
    setting.platform.set_faults(Faults { lose_write_replies: true, ..Faults::default() });
    expect_that!(setting.json("submit", &["cali.json"]).1["version"], eq(&json!(1)));
    expect_that!(setting.json("submit", &["other.json"]).1["version"], eq(&json!(2)));
}

/// Guards against a refused file that is submitted.
#[gtest]
fn refused_file_is_not_submitted() {
    let setting = Setting::new();
    setting.dir.write("bad.json", &changed("\"slots\": 3", "\"slots\": 0"));
    expect_that!(setting.run("submit", &["bad.json"]).code, some(eq(3)));
    expect_that!(setting.platform.counts().writes, eq(0));
}

/// Guards against `--wait` that ends early, or that does not name who is missing.
#[gtest]
fn wait_names_the_instances_that_are_missing() {
    let setting = Setting::new();
    let instance = Instance::bind("entry-1", 0, &[("entry-1", 0), ("entry-2", 0), ("entry-3", 0)]);
    let address = instance.address.to_string();
    let wait = ["--instance", address.as_str(), "--wait", "cali.json"];
    let (code, report) = std::thread::scope(|scope| {
        // The instance obeys the version once the object and the head row are written.
        scope.spawn(|| {
            while setting.platform.counts().writes < 2 {
                std::thread::yield_now();
            }
            instance.set("config_version", json!(1));
        });
        setting.json("submit", &wait)
    });
    expect_that!(code, some(eq(5)));
    expect_that!(report["missing"], eq(&json!(["entry-2", "entry-3"])));
}

/// Guards against a number that instances know already after the store went back to an older state.
#[gtest]
fn version_is_above_those_in_force() {
    let setting = Setting::new();
    let instance = Instance::bind("entry-1", 8, &[("entry-1", 8), ("entry-2", 9)]);
    let address = instance.address.to_string();
    let (_, report) = setting.json("submit", &["--instance", &address, "cali.json"]);
    expect_that!(report["version"], eq(&json!(10)));
}

/// Guards against a drain that is lost, doubled, or submitted for something that does not exist.
#[gtest]
fn drain_changes_the_configuration_in_force() {
    let setting = Setting::new();
    let drain = ["--failure-domain", "palermo-a"];
    expect_that!(setting.run("drain", &drain).code, some(eq(3)));
    setting.run("submit", &["cali.json"]);
    let version = |args: &[&str]| {
        let (_, report) = setting.json("drain", args);
        (report["outcome"].clone(), report["version"].clone())
    };
    expect_that!(version(&drain), eq(&(json!("accepted"), json!(2))));
    expect_that!(version(&drain), eq(&(json!("unchanged"), json!(2))));
    let remove = ["--failure-domain", "palermo-a", "--remove"];
    expect_that!(version(&remove), eq(&(json!("accepted"), json!(3))));
    expect_that!(setting.run("drain", &["--region", "trapani"]).code, some(eq(3)));
}

/// Guards against a planned stop that never reaches the instance.
#[gtest]
fn drain_of_an_instance_is_sent_to_it() {
    let setting = Setting::new();
    let instance = Instance::bind("entry-1", 1, &[]);
    let run = setting.dir.run(&["drain", "--instance", &instance.address.to_string()], "");
    expect_that!(run.code, some(eq(0)));
    expect_that!(instance.requests(), elements_are![starts_with("POST /v1/drain ")]);
}
