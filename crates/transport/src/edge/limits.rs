//! Limits of the callers' interface and the budget for buffered bodies.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use pollenshed_state::settings::CallerLimits;

/// Smallest read buffer that `hyper` accepts, and so the smallest limit on heads.
const MIN_HEAD_BYTES: u64 = 8 * 1024;

/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest body that may use the whole budget for bodies.
const SMALL_BODY_BYTES: u64 = 64 * 1024;

/// Share of the budget that larger bodies may use together. Without it, a few uploads that arrive
/// slowly would keep out all small requests, however urgent.
const LARGE_BODIES_PERCENT: u64 = 75;

/// Limits of one interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections open at the same time; more get 503 and are closed.
    pub max_connections: u64,
    /// Size of a request's head; larger ones get 431. At least 8 KiB.
    pub max_head_bytes: u64,
    /// Time within which a head must arrive after its first byte; later ones get 408.
    pub head_timeout: Duration,
    /// Longest pause between two pieces of a body, or in which the caller takes nothing of an
    /// answer.
    pub body_pause_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Bodies held in memory at the same time, summed over all requests. Bodies larger than 64 KiB
    /// together get three quarters of it.
    pub max_buffered_bytes: u64,
}

impl From<CallerLimits> for Limits {
    fn from(limits: CallerLimits) -> Limits {
        Limits {
            max_connections: limits.max_connections,
            max_head_bytes: limits.max_head_bytes.0.max(MIN_HEAD_BYTES),
            head_timeout: Duration::from_millis(limits.head_timeout_ms),
            body_pause_timeout: Duration::from_millis(limits.body_pause_timeout_ms),
            idle_timeout: IDLE_TIMEOUT,
            max_buffered_bytes: limits.max_buffered_bytes.0,
        }
    }
}

impl Limits {
    pub(super) fn head_buffer_bytes(&self) -> usize {
        usize::try_from(self.max_head_bytes.max(MIN_HEAD_BYTES)).unwrap_or(usize::MAX)
    }

    /// Period in which a connection is checked against the limits on time.
    pub(super) fn check_period(&self) -> Duration {
        let shortest = self.head_timeout.min(self.body_pause_timeout).min(self.idle_timeout);
        (shortest / 4).clamp(Duration::from_millis(10), Duration::from_secs(1))
    }
}

/// Counts the bytes of buffered bodies against their limit.
#[derive(Debug, Clone)]
pub(super) struct Budget {
    held: Arc<AtomicU64>,
    limit: u64,
}

impl Budget {
    pub fn new(limit: u64) -> Budget {
        Budget { held: Arc::new(AtomicU64::new(0)), limit }
    }

    pub fn hold(&self) -> Hold {
        Hold { budget: self.clone(), bytes: 0 }
    }
}

/// Bytes taken from a [`Budget`] until this is dropped.
#[derive(Debug)]
pub(super) struct Hold {
    budget: Budget,
    bytes: u64,
}

impl Hold {
    /// Takes more bytes; false if the limit does not allow it.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let limit = match self.bytes + bytes <= SMALL_BODY_BYTES {
            true => self.budget.limit,
            false => self.budget.limit / 100 * LARGE_BODIES_PERCENT,
        };
        let grown = self.budget.held.fetch_update(Ordering::AcqRel, Ordering::Acquire, |held| {
            held.checked_add(bytes).filter(|sum| *sum <= limit)
        });
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
