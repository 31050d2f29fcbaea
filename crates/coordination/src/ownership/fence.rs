//! Stops an owner that was paused, because its servers may have a new owner by now.

use pollenshed_state::{settings::Timing, time::Instant};

/// Tells whether this process may dispatch.
///
/// It is closed at start, because a new process does not know what its predecessor's peers decided.
#[derive(Debug, Clone)]
pub struct Fence {
    fence_after_ms: u64,
    open_after_ms: u64,
    last_run: Instant,
    closed_at: Option<Instant>,
    was_long_pause: bool,
}

impl Fence {
    /// Starts closed.
    pub fn new(timing: &Timing, now: Instant) -> Fence {
        Fence {
            fence_after_ms: timing.fence_after_ms,
            open_after_ms: timing.dead_after_ms,
            last_run: now,
            closed_at: Some(now),
            was_long_pause: false,
        }
    }

    /// Records that the control loop ran. Opens the fence if it ran for `dead_after_ms` since.
    pub fn record_loop_run(&mut self, now: Instant) {
        self.detect_pause(now);
        self.last_run = self.last_run.max(now);
        if self.closed_at.is_some_and(|at| now.since_ms(at) >= self.open_after_ms) {
            self.closed_at = None;
        }
    }

    /// Records a finished gossip exchange, which began at `began`, with a live peer.
    ///
    /// `in_own_domain` tells whether the peer is of the own failure domain, `alone` whether no other
    /// live member of it is known. An exchange that began before the fence closed carries a view
    /// from before the pause and does not open it.
    pub fn record_exchange(
        &mut self,
        began: Instant,
        in_own_domain: bool,
        alone: bool,
        now: Instant,
    ) {
        self.detect_pause(now);
        let is_fresh = self.closed_at.is_some_and(|at| began >= at);
        if is_fresh && (in_own_domain || alone) {
            self.closed_at = None;
        }
    }

    /// Returns whether a dispatch may happen now.
    ///
    /// It looks for a gap itself, because after a pause this can be called before the control loop.
    pub fn may_dispatch(&mut self, now: Instant) -> bool {
        self.detect_pause(now);
        self.closed_at.is_none()
    }

    /// Returns whether there was a pause of `dead_after_ms` or more since the last call.
    ///
    /// After a shorter one no successor has begun to dispatch: it waits for `dead_after_ms` of
    /// silence and then for `fence_after_ms`.
    pub fn take_long_pause(&mut self) -> bool {
        std::mem::take(&mut self.was_long_pause)
    }

    fn detect_pause(&mut self, now: Instant) {
        let gap_ms = now.since_ms(self.last_run);
        if gap_ms >= self.fence_after_ms {
            self.was_long_pause |= gap_ms >= self.open_after_ms;
            self.closed_at = Some(now);
            self.last_run = now;
        }
    }
}
