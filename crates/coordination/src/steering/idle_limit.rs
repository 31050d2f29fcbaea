//! How long a connection to a backend server may be idle before it carries another request.
//!
//! A server that forgets an idle connection resets what is sent on it next. The request did not run,
//! but nobody says so, and one that may run only once is lost. Servers name the time after which they
//! close connections, and some forget them sooner, so an instance learns from those it lost. If new
//! connections are reset as soon, the idle time is not the reason.

use pollenshed_state::time::Instant;

/// Part of the idle time of a lost connection that later ones may have. It is small, as each step
/// down costs a request.
const SAFE_PART: f64 = 0.2;

/// Time after which a loss is forgotten, since it may have been the fault of one server that is gone.
const MEMORY_MS: u64 = 20_000;

/// Time for which losses tell nothing after a new connection was lost.
const OTHER_REASON_MS: u64 = 5_000;

/// Limit of the idle time of connections, learned from those that were lost.
#[derive(Debug, Clone, Default)]
pub struct IdleLimit {
    learned: Option<(u64, Instant)>,
    other_reason_at: Option<Instant>,
}

impl IdleLimit {
    /// Records that a live server reset the request on a connection sooner than it could have run.
    /// The connection had been idle for `idle_ms`, or was new.
    pub fn record_loss(&mut self, idle_ms: Option<u64>, now: Instant) {
        let Some(idle_ms) = idle_ms else {
            self.other_reason_at = Some(now);
            self.learned = None;
            return;
        };
        if self.other_reason_at.is_some_and(|at| now.since_ms(at) < OTHER_REASON_MS) {
            return;
        }
        let limit_ms = (idle_ms as f64 * SAFE_PART) as u64;
        let known_ms = self.max_idle_ms(now).unwrap_or(u64::MAX);
        self.learned = Some((limit_ms.min(known_ms), now));
    }

    /// Returns how long connections may be idle, or `None` if none was lost lately.
    pub fn max_idle_ms(&self, now: Instant) -> Option<u64> {
        let (limit_ms, at) = self.learned?;
        (now.since_ms(at) < MEMORY_MS).then_some(limit_ms)
    }
}
