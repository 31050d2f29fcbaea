//! Routes, services and backend servers as an instance steers them (docs/platform.md).
//!
//! The types are filled by whatever decodes the platform's documents. Nothing here depends on the
//! form of those documents.

mod bounds;
mod plan;
mod server;

pub use bounds::Bounds;
pub use plan::{
    CallerLimits, Destination, MatchError, Repeatability, Route, RoutePlan, RouteRank, ServiceRules,
};
pub use server::{ServerRecord, ServerState};
