//! Routes, services and backend servers between which an instance steers requests
//! (docs/platform.md).
//!
//! The types do not depend on the format of the platform's documents, which are decoded elsewhere.

mod bounds;
mod plan;
mod server;
mod workspace;

pub use bounds::Bounds;
pub use plan::{
    CallerLimits, Destination, MatchError, Repeatability, Route, RoutePlan, RouteRank, ServiceRules,
};
pub use server::{ServerRecord, ServerState};
pub use workspace::{KeyDigest, Workspace, WorkspaceLimit, Workspaces};
