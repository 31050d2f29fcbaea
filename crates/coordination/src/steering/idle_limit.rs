//! How long a connection to a backend server may be idle before it carries another request.
//!
//! A server that drops an idle connection resets it when the next request arrives. That request did
//! not run, but the client can't tell, so a request that must run at most once is lost. Servers
//! announce an idle timeout, but some drop connections earlier. An instance therefore learns a
//! limit from lost connections. If new connections are reset as well, the idle time is not the
//! cause.

use pollenshed_state::time::Instant;

/// Limit learned from a lost connection, relative to its idle time. It is small, because each
/// further reduction costs a request.
const LIMIT_RATIO: f64 = 0.2;

/// Time after which a learned limit expires, since a single server that is gone may have caused it.
const LIMIT_TTL_MS: u64 = 20_000;

/// Time for which losses of idle connections are ignored after the loss of a new connection.
const IGNORE_LOSSES_MS: u64 = 5_000;

/// Limit on the idle time of connections, learned from connections that were lost.
#[derive(Debug, Clone, Default)]
pub struct IdleLimit {
    learned: Option<(u64, Instant)>,
    new_connection_lost_at: Option<Instant>,
}

impl IdleLimit {
    /// Records that a live server reset a connection before the request on it could have run.
    /// `idle_ms` is the time for which the connection had been idle, or `None` if it was new.
    pub fn record_loss(&mut self, idle_ms: Option<u64>, now: Instant) {
        let Some(idle_ms) = idle_ms else {
            self.new_connection_lost_at = Some(now);
            self.learned = None;
            return;
        };
        if self.new_connection_lost_at.is_some_and(|at| now.since_ms(at) < IGNORE_LOSSES_MS) {
            return;
        }
        let limit_ms = (idle_ms as f64 * LIMIT_RATIO) as u64;
        let known_ms = self.max_idle_ms(now).unwrap_or(u64::MAX);
        self.learned = Some((limit_ms.min(known_ms), now));
    }

    /// Returns the limit in milliseconds, or `None` if no connection was lost recently.
    pub fn max_idle_ms(&self, now: Instant) -> Option<u64> {
        let (limit_ms, at) = self.learned?;
        (now.since_ms(at) < LIMIT_TTL_MS).then_some(limit_ms)
    }
}
