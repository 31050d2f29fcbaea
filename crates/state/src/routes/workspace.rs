//! Workspaces and the keys with which their callers identify themselves.

use std::{collections::HashMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::RouteRank;
use crate::{
    ids::{Digest, RegionName, WorkspaceName},
    units::RequestRate,
};

/// Digest of a key. Keys themselves are neither kept nor logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Computes the digest of a key as a caller sent it.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Digest::of(key))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Requests that a workspace may send to all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WorkspaceLimit {
    /// Requests per second.
    pub rate: RequestRate,
    /// Requests beyond the rate that may come at once.
    pub burst_requests: u64,
}

/// A customer of the system whose callers share keys, a rank and a limit.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Workspace {
    /// Its name, which backend servers are told.
    pub name: WorkspaceName,
    /// Urgency of its requests, in place of that of their routes. `None` leaves the routes'.
    pub rank: Option<RouteRank>,
    /// Limit of its requests. `None` means no limit.
    pub limit: Option<WorkspaceLimit>,
    /// Regions in which its requests may be served. Empty allows all.
    pub home_regions: Vec<RegionName>,
}

/// The workspaces of a configuration, found by the keys of their callers.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Workspaces {
    all: Vec<Arc<Workspace>>,
    /// Position in `all` by the digest of a key.
    by_key: HashMap<KeyDigest, usize>,
    shared_key_count: usize,
}

impl Workspaces {
    /// Adds a workspace with the digests of its keys. A key that an earlier one holds stays with
    /// that one, in all instances alike.
    pub fn insert(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = KeyDigest>) {
        let position = self.all.len();
        self.all.push(Arc::new(workspace));
        for key in keys {
            let holder = *self.by_key.entry(key).or_insert(position);
            if holder != position {
                self.shared_key_count += 1;
            }
        }
    }

    /// Returns whether there are none, so that callers need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns the workspace that holds a key.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key).and_then(|position| self.all.get(*position))
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns how many times a workspace names a key that an earlier one holds.
    pub fn shared_key_count(&self) -> usize {
        self.shared_key_count
    }

    /// Returns all workspaces in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.all.iter()
    }
}
