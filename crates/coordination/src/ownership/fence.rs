//! Stops an owner from dispatching after a pause, because its servers may have a new owner by then.

use pollenshed_state::{settings::Timing, time::Instant};

/// Decides whether this process may dispatch.
///
/// The fence is closed at start, because a new process does not know which owners the peers of its
/// predecessor chose.
#[derive(Debug, Clone)]
pub struct Fence {
    fence_after_ms: u64,
    open_after_ms: u64,
    last_run: Instant,
    closed_at: Option<Instant>,
    had_long_pause: bool,
}

impl Fence {
    /// Creates a closed fence. It detects pauses from `now` on.
    pub fn new(timing: &Timing, now: Instant) -> Fence {
        Fence {
            fence_after_ms: timing.fence_after_ms,
            open_after_ms: timing.dead_after_ms,
            last_run: now,
            closed_at: Some(now),
            had_long_pause: false,
        }
    }

    /// Records a run of the control loop.
    ///
    /// Opens the fence once the loop has run without a pause for `dead_after_ms` since it closed.
    pub fn record_loop_run(&mut self, now: Instant) {
        self.detect_pause(now);
        self.last_run = self.last_run.max(now);
        if self.closed_at.is_some_and(|at| now.since_ms(at) >= self.open_after_ms) {
            self.closed_at = None;
        }
    }

    /// Records a gossip exchange with a live peer that began at `began` and has completed.
    ///
    /// `in_own_domain` states whether the peer is in this instance's failure domain, and
    /// `is_only_member` whether no other live member of that failure domain is known. An exchange
    /// that began before the fence closed carries a view from before the pause and does not open
    /// it.
    pub fn record_exchange(
        &mut self,
        began: Instant,
        in_own_domain: bool,
        is_only_member: bool,
        now: Instant,
    ) {
        self.detect_pause(now);
        let began_after_close = self.closed_at.is_some_and(|at| began >= at);
        if began_after_close && (in_own_domain || is_only_member) {
            self.closed_at = None;
        }
    }

    /// Returns whether this process may dispatch now.
    ///
    /// It detects a pause itself, because after a pause it can be called before the control loop
    /// runs.
    pub fn may_dispatch(&mut self, now: Instant) -> bool {
        self.detect_pause(now);
        self.closed_at.is_none()
    }

    /// Returns whether a pause of `dead_after_ms` or more was detected since the last call.
    ///
    /// After a shorter pause no new owner dispatches yet, because it waits for `dead_after_ms` of
    /// silence and then for `fence_after_ms`.
    pub fn take_long_pause(&mut self) -> bool {
        std::mem::take(&mut self.had_long_pause)
    }

    fn detect_pause(&mut self, now: Instant) {
        let gap_ms = now.since_ms(self.last_run);
        if gap_ms >= self.fence_after_ms {
            self.had_long_pause |= gap_ms >= self.open_after_ms;
            self.closed_at = Some(now);
            self.last_run = now;
        }
    }
}
