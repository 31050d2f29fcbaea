//! Limits of the callers' interface and the budget for buffered bodies.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use pollenshed_state::settings::CallerLimits;

/// Smallest read buffer that `hyper` accepts, which makes it the smallest limit on heads.
const MIN_HEAD_BYTES: u64 = 8 * 1024;

/// Value of [`Limits::idle_timeout`], which has no setting.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest body that may use the whole budget for buffered bodies.
const SMALL_BODY_BYTES: u64 = 64 * 1024;

/// Part of the budget that larger bodies may use together. Without this limit, a few slow uploads
/// would block all small requests, however urgent.
const LARGE_BODIES_PERCENT: u64 = 75;

/// Limits of one callers' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections open at the same time; further ones get 503 and are closed.
    pub max_connections: u64,
    /// Largest head of a request, at least 8 KiB; larger ones get 431.
    pub max_head_bytes: u64,
    /// Time from the first byte of a head to its end; slower heads get 408.
    pub head_timeout: Duration,
    /// Longest time in which no byte of a request body arrives, or in which the caller reads
    /// nothing of a response.
    pub body_pause_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Total size of the request bodies in memory. Bodies larger than 64 KiB may use three
    /// quarters of it together.
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

    /// Period at which a connection is checked against the timeouts.
    pub(super) fn check_period(&self) -> Duration {
        let shortest = self.head_timeout.min(self.body_pause_timeout).min(self.idle_timeout);
        (shortest / 4).clamp(Duration::from_millis(10), Duration::from_secs(1))
    }
}

/// Limits the bytes of all buffered bodies. Clones share the count.
#[derive(Debug, Clone)]
pub(super) struct Budget {
    reserved: Arc<AtomicU64>,
    limit: u64,
}

impl Budget {
    pub fn new(limit: u64) -> Budget {
        Budget { reserved: Arc::new(AtomicU64::new(0)), limit }
    }

    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// Bytes reserved in a [`Budget`]; dropping it releases them.
#[derive(Debug)]
pub(super) struct Reservation {
    budget: Budget,
    bytes: u64,
}

impl Reservation {
    /// Reserves `bytes` more; returns false if that would exceed the limit.
    pub fn reserve(&mut self, bytes: u64) -> bool {
        let limit = match self.bytes + bytes <= SMALL_BODY_BYTES {
            true => self.budget.limit,
            false => self.budget.limit / 100 * LARGE_BODIES_PERCENT,
        };
        let updated =
            self.budget.reserved.fetch_update(Ordering::AcqRel, Ordering::Acquire, |reserved| {
                reserved.checked_add(bytes).filter(|sum| *sum <= limit)
            });
        if updated.is_ok() {
            self.bytes += bytes;
        }
        updated.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
