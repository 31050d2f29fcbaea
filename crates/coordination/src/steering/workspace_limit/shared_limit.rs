//! The limit that all instances together use of what the operators allow.

use pollenshed_state::routes::{Bounds, WorkspaceLimit};

use super::space::PERMIT_MS;

/// Part of the tolerated overage and slack that is used, so that requests below the limit are not
/// refused because tokens are spread over instances. The rest covers the moments in which
/// instances know different numbers of instances.
const TOLERANCE_USED: f64 = 0.5;

/// Part of the overage that raises the rate.
const OVERAGE_IN_RATE: f64 = 0.25;

/// Rate and burst that all instances together use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SharedLimit {
    pub(super) requests_per_ms: f64,
    pub(super) burst_requests: f64,
}

impl SharedLimit {
    /// Returns a limit whose requests in any window stay within the bound of the deployment, with
    /// permits that are used up to [`PERMIT_MS`] after they left the bucket of a keeper.
    pub(super) fn new(limit: &WorkspaceLimit, bounds: &Bounds) -> SharedLimit {
        let window_ms = bounds.quota_window_ms as f64;
        let overage = bounds.quota_overage;
        let late_permits = window_ms * (1.0 + overage) / (window_ms + PERMIT_MS as f64);
        let rate_ratio = (1.0 + overage * OVERAGE_IN_RATE).min(late_permits);
        SharedLimit {
            requests_per_ms: limit.rate.requests_in_ms(1) * rate_ratio,
            burst_requests: limit.burst_requests as f64 * (1.0 + overage * TOLERANCE_USED)
                + bounds.quota_slack * TOLERANCE_USED,
        }
    }

    pub(super) fn min(self, other: SharedLimit) -> SharedLimit {
        SharedLimit {
            requests_per_ms: self.requests_per_ms.min(other.requests_per_ms),
            burst_requests: self.burst_requests.min(other.burst_requests),
        }
    }
}
