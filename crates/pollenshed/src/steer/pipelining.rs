//! Which pipelined requests of callers may run side by side.

use std::rc::Rc;

use pollenshed_state::routes::Repeatability;
use pollenshed_transport::listen::{Overlap, PipelinePolicy, RequestTarget};

use super::core::Core;

/// Decides by the route of a request. Requests without a route wait, since their refusal is quick.
pub struct RouteOverlap(pub Rc<Core>);

impl PipelinePolicy for RouteOverlap {
    fn overlap(&self, target: &RequestTarget) -> Overlap {
        let Some(plan) = self.0.plan() else { return Overlap::Alone };
        let host = target.host.as_ref().and_then(|host| host.to_str().ok());
        let Some(host) = host.or_else(|| target.uri.host()) else { return Overlap::Alone };
        match plan.route(host, target.uri.path()).map(|route| route.repeat) {
            Ok(Repeatability::Idempotent) => Overlap::Beside,
            Ok(Repeatability::IdempotentLarge) => Overlap::FirstOnly,
            Ok(Repeatability::AtMostOnce | Repeatability::AtMostOnceLarge) | Err(_) => {
                Overlap::Alone
            }
        }
    }

    fn record_start(&self) {
        self.0.metrics.record_pipelined_requests("started", 1);
    }

    fn record_cancelled(&self, count: usize) {
        self.0.metrics.record_pipelined_requests("cancelled", count);
    }
}
