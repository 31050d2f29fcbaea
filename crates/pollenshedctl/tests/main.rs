//! Tests of the behaviour that all subcommands of `pollenshedctl` share.

mod support;

use googletest::prelude::*;
use support::Workdir;

/// Guards against a subcommand without an example, exit codes or `--json`.
#[gtest]
fn every_subcommand_has_a_complete_help_text() {
    let dir = Workdir::new();
    let help = dir.run(&["--help"], "").out;
    let commands = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let names = commands.map_while(|line| line.split_whitespace().next());
    let names: Vec<_> = names.filter(|name| *name != "help").collect();
    expect_that!(names, contains(eq(&"check")));
    expect_that!(names, contains(eq(&"diff")));
    for name in names {
        let run = dir.run(&[name, "--help"], "");
        expect_that!(run.code, some(eq(0)));
        let parts = ["Usage: pollenshedctl", "Example", "Exit codes:", "--json"];
        for part in parts {
            expect_that!(run.out, contains_substring(part), "{name}");
        }
    }
}

/// Guards against invalid arguments that exit with the code for findings.
#[gtest]
fn wrong_usage_has_its_own_exit_code() {
    let dir = Workdir::new();
    expect_that!(dir.run(&[], "").code, some(eq(2)));
    expect_that!(dir.run(&["chekc"], "").code, some(eq(2)));
    expect_that!(dir.run(&["diff", "--jsno", "a", "b"], "").code, some(eq(2)));
}
