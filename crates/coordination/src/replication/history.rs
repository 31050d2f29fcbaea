//! The latest changes of the configuration, kept by number for peers that lack only these.

use std::collections::VecDeque;

use pollenshed_state::ids::{ConfigVersion, Digest};

use super::delta::Splice;

/// Changes that are kept. At 30,000 a day they reach 3 minutes back. A receiver applies them one
/// after the other: 0.3 ms each for 1,700 backend servers, on the thread that also sends heartbeats.
pub const MAX_CHANGES: usize = 64;

/// Bytes of changes that are kept. Most changes have below 1 KB; large ones push others out.
pub const MAX_HISTORY_BYTES: usize = 1024 * 1024;

/// A version and its document's digest. After a store went back to an older state, a number alone
/// can stand for two documents.
pub type VersionedDigest = (ConfigVersion, Digest);

/// What turned one version into a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Version before.
    pub from: VersionedDigest,
    /// Version after. Numbers between them were never in force at the instance that made the change.
    pub to: VersionedDigest,
    /// Difference of the two canonical documents.
    pub splices: Vec<Splice>,
}

impl Change {
    /// Returns the size on the wire, at most.
    pub fn size_bytes(&self) -> usize {
        // Version and lengths.
        const FRAME_BYTES: usize = 20;
        FRAME_BYTES + self.splices.iter().map(Splice::size_bytes).sum::<usize>()
    }
}

/// The changes that led to the version in force. Each begins where the one before ends.
#[derive(Debug, Clone, Default)]
pub struct History {
    changes: VecDeque<Change>,
    size_bytes: usize,
}

impl History {
    /// Adds the change that led to the version in force now. Changes that do not lead to its begin
    /// are forgotten.
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

    /// Forgets all changes, as after a version that none of them leads to.
    pub fn clear(&mut self) {
        *self = History::default();
    }

    /// Returns the changes after a version, as long as they are kept and smaller than the whole
    /// document of `whole_bytes`.
    pub fn since(&self, have: VersionedDigest, whole_bytes: usize) -> Option<Vec<Change>> {
        let first = self.changes.iter().position(|change| change.from == have)?;
        let size_bytes: usize = self.changes.range(first..).map(Change::size_bytes).sum();
        (size_bytes < whole_bytes).then(|| self.changes.range(first..).cloned().collect())
    }
}
