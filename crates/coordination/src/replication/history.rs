//! The latest changes of the configuration, for peers that lack only these.

use std::collections::VecDeque;

use pollenshed_state::ids::{ConfigVersion, Digest};

use super::delta::Splice;

/// Maximum number of changes kept, which cover 3 minutes at 30,000 changes a day. The limit matters
/// because a receiver applies changes one after the other, on the thread that also sends
/// heartbeats: 0.3 ms each for 1,700 backend servers.
pub const MAX_CHANGES: usize = 64;

/// Maximum bytes of changes kept. Most changes are smaller than 1 KB; a large one displaces others.
pub const MAX_HISTORY_BYTES: usize = 1024 * 1024;

/// A version and the digest of its document.
///
/// If the store is restored to an older state, one version number can stand for two documents.
pub type VersionedDigest = (ConfigVersion, Digest);

/// The difference between one version of the configuration and a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Version before the change.
    pub from: VersionedDigest,
    /// Version after the change. Versions between the two were never in force at the instance that
    /// computed the change.
    pub to: VersionedDigest,
    /// Splices that turn the first canonical document into the second.
    pub splices: Vec<Splice>,
}

impl Change {
    /// Returns the maximum size on the wire.
    pub fn size_bytes(&self) -> usize {
        // Version and length fields.
        const FRAME_BYTES: usize = 20;
        FRAME_BYTES + self.splices.iter().map(Splice::size_bytes).sum::<usize>()
    }
}

/// The changes that led to the version in force. Each starts from the version at which the previous
/// one ends.
#[derive(Debug, Clone, Default)]
pub struct History {
    changes: VecDeque<Change>,
    size_bytes: usize,
}

impl History {
    /// Appends the change that led to the version now in force.
    ///
    /// If the last change does not end where this one starts, all earlier changes are removed.
    pub fn push(&mut self, change: Change) {
        if self.changes.back().is_some_and(|last| last.to != change.from) {
            self.clear();
        }
        self.size_bytes += change.size_bytes();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.size_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.size_bytes -= oldest.size_bytes();
        }
    }

    /// Removes all changes, for use after a version to which none of them leads.
    pub fn clear(&mut self) {
        *self = History::default();
    }

    /// Returns the changes after the version `have`, or `None` if some are missing or if they are
    /// not smaller than the full document of `document_bytes`.
    pub fn since(&self, have: VersionedDigest, document_bytes: usize) -> Option<Vec<Change>> {
        let first = self.changes.iter().position(|change| change.from == have)?;
        let size_bytes: usize = self.changes.range(first..).map(Change::size_bytes).sum();
        (size_bytes < document_bytes).then(|| self.changes.range(first..).cloned().collect())
    }
}
