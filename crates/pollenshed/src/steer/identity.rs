//! Finds the workspace of a request by the key that its caller sent.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};
use pollenshed_coordination::steering::workspace_key;
use pollenshed_platform::headers;
use pollenshed_state::{
    ids::RegionName,
    routes::{Route, RoutePlan, RouteRank, Workspace},
};

use super::callers::Outcome;

/// `Retry-After` of a request whose route and workspace have no region in common. Only a change of
/// the configuration helps it.
const NO_REGION_RETRY_AFTER_MS: u64 = 5_000;

/// On whose behalf a request comes, and what follows from it.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Workspace of the caller. `None` if the configuration has none, or on a public route.
    pub workspace: Option<Arc<Workspace>>,
    /// Urgency of the request.
    pub rank: RouteRank,
    /// Regions whose servers may run the request. If empty, all may.
    pub home_regions: Vec<RegionName>,
}

impl Identity {
    /// Returns the name of the workspace for logs.
    pub fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("-", |workspace| workspace.name.as_str())
    }

    /// Returns the key of the workspace in messages between instances.
    pub fn workspace_key(&self) -> Option<u64> {
        self.workspace.as_ref().map(|workspace| workspace_key(workspace.name.as_str()))
    }
}

/// Why a request is refused before it is routed to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdentityError {
    /// The caller sent no key, or one that no workspace holds.
    UnknownKey,
    /// The route and the workspace allow no region in common.
    NoCommonRegion,
}

impl IdentityError {
    /// Returns the response to the caller.
    pub fn outcome(self) -> Outcome {
        match self {
            IdentityError::UnknownKey => {
                let mut outcome = Outcome::local(StatusCode::UNAUTHORIZED, "unknown-key", 0);
                headers::demand_key(outcome.response.headers_mut());
                outcome
            }
            IdentityError::NoCommonRegion => {
                Outcome::refused("no-common-region", NO_REGION_RETRY_AFTER_MS, 0)
            }
        }
    }
}

/// Identifies the caller and removes its key, in place of which the backend server is told the name
/// of the workspace. Refuses a caller without a known key, unless the route is public, and a request
/// that may run in no region.
pub fn identify(
    plan: &RoutePlan,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Identity, IdentityError> {
    let workspace = match plan.workspaces.is_empty() {
        true => None,
        false => {
            let key = headers::take_key(headers);
            let known = key.and_then(|key| plan.workspaces.by_key(&key)).cloned();
            if known.is_none() && !route.is_public {
                return Err(IdentityError::UnknownKey);
            }
            known
        }
    };
    let home_regions = match &workspace {
        Some(workspace) => common_regions(&route.home_regions, &workspace.home_regions),
        None => Some(route.home_regions.clone()),
    };
    let home_regions = home_regions.ok_or(IdentityError::NoCommonRegion)?;
    let rank = workspace.as_ref().and_then(|workspace| workspace.rank).unwrap_or(route.rank);
    Ok(Identity { workspace, rank, home_regions })
}

/// Returns the regions in both lists, of which an empty one means all regions. `None` if two lists
/// have none in common.
fn common_regions(a: &[RegionName], b: &[RegionName]) -> Option<Vec<RegionName>> {
    match (a, b) {
        ([], only) | (only, []) => Some(only.to_vec()),
        _ => {
            let both: Vec<_> = a.iter().filter(|region| b.contains(region)).cloned().collect();
            (!both.is_empty()).then_some(both)
        }
    }
}
