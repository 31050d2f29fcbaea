//! A working directory of its own for each test, in which the command runs.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    env, fs,
    io::Write,
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
};

/// The printed configuration of one user, which is accepted.
pub const CALI: &str = include_str!("../../../operators/tests/golden/cali.json");

static NEXT: AtomicU64 = AtomicU64::new(0);

/// A directory that is removed at the end of the test.
pub struct Workdir {
    path: PathBuf,
}

/// What one run of the command left.
pub struct Run {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Workdir {
    /// Makes an empty directory.
    pub fn new() -> Workdir {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("pollenshedctl-{}-{n}", process::id()));
        fs::create_dir(&path).unwrap();
        Workdir { path }
    }

    /// Writes a file.
    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.path.join(name), text).unwrap();
    }

    /// Runs the command in the directory with `input` as standard input.
    pub fn run(&self, args: &[&str], input: &str) -> Run {
        let mut child = self.start(args);
        // The command may end without reading its input.
        let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
        let output = child.wait_with_output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        Run { code: output.status.code(), out: text(output.stdout), err: text(output.stderr) }
    }

    /// Runs the command as [`Workdir::run`] does, with a standard output that is closed before the
    /// command gets its input, and returns the exit code.
    pub fn run_without_reader(&self, args: &[&str], input: &str) -> Option<i32> {
        let mut child = self.start(args);
        drop(child.stdout.take());
        child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
        child.wait().unwrap().code()
    }

    fn start(&self, args: &[&str]) -> Child {
        Command::new(env!("CARGO_BIN_EXE_pollenshedctl"))
            .args(args)
            .current_dir(&self.path)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Replaces the first `old` in [`CALI`], which must be there.
pub fn changed(old: &str, new: &str) -> String {
    assert!(CALI.contains(old), "{old:?} is not in the document");
    CALI.replacen(old, new, 1)
}
