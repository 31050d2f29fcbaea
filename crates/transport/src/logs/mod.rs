//! The logger of the process, which never blocks the threads that log.
//!
//! Lines go through a bounded queue to a thread that writes them to standard error. If the reader
//! of standard error stalls, the queue fills, and further lines are dropped and counted. The count
//! is logged as soon as writing resumes.
//!
//! `RUST_LOG` sets the levels; the default level is `info`. Key-value fields of a record follow its
//! text as `key=value`; a value with spaces or quotes is quoted.

mod fields;
mod queue;

use std::{
    io,
    sync::OnceLock,
    time::{Duration, Instant},
};

use env_logger::{Builder, Env, Logger, Target};

pub use queue::LineQueue;

/// Most lines that wait to be written.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// Level without `RUST_LOG`.
const DEFAULT_LEVEL: &str = "info";

/// Interval at which [`flush`] checks the queue.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Installs the logger of this process, which writes to standard error. Fails if a logger is
/// already installed or the thread can't be started.
pub fn init() -> io::Result<()> {
    init_to(io::stderr())
}

/// Installs a logger that writes to `sink`. Fails as [`init`] does.
pub fn init_to(sink: impl io::Write + Send + 'static) -> io::Result<()> {
    let queue = LineQueue::spawn(sink, QUEUE_CAPACITY_LINES)?;
    let logger = logger(&queue);
    let level = logger.filter();
    log::set_boxed_logger(Box::new(logger)).map_err(io::Error::other)?;
    log::set_max_level(level);
    let _ = QUEUE.set(queue);
    Ok(())
}

/// Returns a logger that writes to `queue`.
pub fn logger(queue: &LineQueue) -> Logger {
    Builder::from_env(Env::default().default_filter_or(DEFAULT_LEVEL))
        .format_timestamp_millis()
        .format_key_values(|formatter, fields| fields::write(formatter, fields))
        .target(Target::Pipe(Box::new(queue.clone())))
        .build()
}

/// Returns the number of log lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    QUEUE.get().map_or(0, LineQueue::dropped_lines)
}

/// Waits until all lines are written, at most for `timeout`. Called before the process exits.
pub fn flush(timeout: Duration) {
    let start = Instant::now();
    while QUEUE.get().is_some_and(|queue| queue.pending_lines() > 0) && start.elapsed() < timeout {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}
