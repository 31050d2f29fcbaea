//! The log writer.
//!
//! Lines go through a bounded queue to a thread that writes them to standard error. When the reader
//! of standard error stalls, the queue fills, further lines are dropped and counted, and the threads
//! that log go on. The count is logged as soon as writing goes on.
//!
//! `RUST_LOG` sets the levels; without it, the level is `info`. Key-value fields of a record follow
//! its text as `key=value`; a value with spaces or quotes is quoted.

mod fields;
mod queue;

use std::{
    io,
    sync::OnceLock,
    time::{Duration, Instant},
};

use env_logger::{Builder, Env, Logger, Target};

pub use queue::LineQueue;

/// Lines that wait for the writer at most.
const QUEUE_LINES: usize = 4_096;

/// Level without `RUST_LOG`.
const DEFAULT_LEVEL: &str = "info";

/// Pause between two looks at the queue in [`flush`].
const FLUSH_PERIOD: Duration = Duration::from_millis(5);

static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Installs the log writer of this process. Fails if a logger is installed already or the thread
/// can't be started.
pub fn init() -> io::Result<()> {
    init_to(io::stderr())
}

/// Installs a log writer that writes to `sink`. Fails as [`init`] does.
pub fn init_to(sink: impl io::Write + Send + 'static) -> io::Result<()> {
    let queue = LineQueue::spawn(sink, QUEUE_LINES)?;
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

/// Returns the number of log lines that were dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    QUEUE.get().map_or(0, LineQueue::dropped_lines)
}

/// Waits until all lines are written, at most for `timeout`. For the end of a process.
pub fn flush(timeout: Duration) {
    let start = Instant::now();
    while QUEUE.get().is_some_and(|queue| queue.waiting_lines() > 0) && start.elapsed() < timeout {
        std::thread::sleep(FLUSH_PERIOD);
    }
}
