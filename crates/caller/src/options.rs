//! Options of a caller.

use std::time::Duration;

/// How a caller waits and retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Name for fair queueing; callers without a name share one.
    pub name: Option<String>,
    /// Time after which a call gives up.
    pub deadline: Duration,
    /// Longest wait for one entry, after which the request is resent to another one.
    pub attempt_timeout: Duration,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// How often a request that was not run is sent again as a new request with a new ticket.
    pub not_run_retries: u32,
    /// Shortest pause before sending again; it doubles each time.
    pub min_backoff: Duration,
    /// Longest pause before sending again, unless an entry asked for a longer one.
    pub max_backoff: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            name: None,
            deadline: Duration::from_secs(10),
            attempt_timeout: Duration::from_secs(3),
            connect_timeout: Duration::from_secs(1),
            not_run_retries: 0,
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}
