//! Options of a caller.

use std::time::Duration;

/// Timeouts, retries and backoff of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Caller name for fair queueing. Callers without a name share one queue.
    pub name: Option<String>,
    /// Time after which a call returns without a further attempt.
    pub deadline: Duration,
    /// Timeout of one attempt. After it, the request goes to another entry.
    pub attempt_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How often a request that did not run is retried as a new request, under a new ticket.
    pub not_run_retries: u32,
    /// Longest pause before the first retry. It doubles with each retry, and random jitter shortens
    /// each pause by up to half.
    pub initial_backoff: Duration,
    /// Longest pause between attempts, unless an entry asked for a longer one.
    pub max_backoff: Duration,
    /// Largest body of an answer in bytes. Whole answers are kept in memory, and one that is larger
    /// ends with the reason `answer-too-large`.
    pub max_answer_bytes: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            name: None,
            deadline: Duration::from_secs(10),
            attempt_timeout: Duration::from_secs(3),
            connect_timeout: Duration::from_secs(1),
            not_run_retries: 0,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            max_answer_bytes: 64 * 1024 * 1024,
        }
    }
}
