//! Runs the command in a separate working directory for each test.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    env, fs,
    io::Write,
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
};

/// The configuration of one user in canonical JSON. `check` accepts it.
pub const CALI: &str = include_str!("../../../operators/tests/golden/cali.json");

static NEXT_DIR_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A temporary directory that is removed when dropped.
pub struct Workdir {
    path: PathBuf,
}

/// Exit code and output of one run of the command.
pub struct Run {
    /// Exit code; `None` if a signal ended the command.
    pub code: Option<i32>,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Workdir {
    /// Creates an empty directory.
    pub fn new() -> Workdir {
        let n = NEXT_DIR_NUMBER.fetch_add(1, Ordering::Relaxed);
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
        // The write fails if the command exits without reading its input.
        let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
        let output = child.wait_with_output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        Run { code: output.status.code(), out: text(output.stdout), err: text(output.stderr) }
    }

    /// Runs the command like [`Workdir::run`], but closes its standard output before writing to its
    /// standard input. Returns the exit code.
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

/// Returns [`CALI`] with the first `old` replaced by `new`. Panics if there is no `old`.
pub fn changed(old: &str, new: &str) -> String {
    assert!(CALI.contains(old), "{old:?} is not in the document");
    CALI.replacen(old, new, 1)
}
