//! A replicated map that sends only its changes if possible.
//!
//! The design follows the checkpoint of the SAFplus availability middleware (OpenClovis,
//! "Checkpoint service"): a replica names a generation and the number of the last change that it
//! has. The source keeps the latest changes in a bounded log. A replica whose position is in the
//! log gets the changes after it. A replica of another generation, or one too far behind, gets a
//! snapshot.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

/// A position in the log of a map. Positions of different generations have no order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct LogPosition {
    /// Random number of the source's run, which distinguishes a restarted source from the old one.
    pub generation: u64,
    /// Number of the last change.
    pub change: u64,
}

/// The data that brings a replica up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update<K, V> {
    /// The replica lacks nothing.
    UpToDate,
    /// The changes after the replica's position, at most one per key. `None` removes the key.
    Delta {
        /// Position that the replica must be at.
        from: LogPosition,
        /// Position after the changes.
        to: LogPosition,
        /// Latest change of each key.
        changes: Vec<(K, Option<V>)>,
    },
    /// The complete state.
    Snapshot {
        /// Position of the state.
        at: LogPosition,
        /// All entries, sorted by key.
        entries: Vec<(K, V)>,
    },
}

/// Error for a delta that does not start at the replica's position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PositionMismatch {
    /// Position of the replica.
    pub at: LogPosition,
}

impl fmt::Display for PositionMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LogPosition { generation, change } = self.at;
        write!(f, "the delta does not start at change {change} of generation {generation}")
    }
}

impl std::error::Error for PositionMismatch {}

/// A map with a log of its latest changes. The source and the replicas use the same type, so that a
/// replica can also update other replicas.
#[derive(Debug, Clone)]
pub struct ReplicatedMap<K, V> {
    at: LogPosition,
    entries: BTreeMap<K, V>,
    /// The latest changes with their numbers. A replica stores all changes of a delta under the
    /// number at which the delta ends. Another replica between its two ends may thus get a change
    /// that it already has, which is harmless because a change holds the complete new value.
    log: VecDeque<(u64, K, Option<V>)>,
    /// Every change after this number is in the log.
    log_start: u64,
    max_log_changes: usize,
}

impl<K: Ord + Clone, V: Clone> ReplicatedMap<K, V> {
    /// Creates an empty map that logs up to `max_log_changes` changes. The source passes a new
    /// random `generation`.
    pub fn new(generation: u64, max_log_changes: usize) -> ReplicatedMap<K, V> {
        let at = LogPosition { generation, change: 0 };
        let (entries, log) = (BTreeMap::new(), VecDeque::new());
        ReplicatedMap { at, entries, log, log_start: 0, max_log_changes }
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> LogPosition {
        self.at
    }

    /// Returns the current entries.
    pub fn entries(&self) -> &BTreeMap<K, V> {
        &self.entries
    }

    /// Sets a key, or removes it if `value` is `None`, and gives the change the next number. Only
    /// the source calls this.
    pub fn set(&mut self, key: K, value: Option<V>) {
        self.at.change += 1;
        self.store(key, value);
    }

    /// Applies a change and logs it under the map's current number.
    fn store(&mut self, key: K, value: Option<V>) {
        match value.clone() {
            Some(value) => self.entries.insert(key.clone(), value),
            None => self.entries.remove(&key),
        };
        self.log.push_back((self.at.change, key, value));
        if self.log.len() > self.max_log_changes
            && let Some((number, ..)) = self.log.pop_front()
        {
            self.log_start = number;
        }
    }

    /// Returns the update for a replica at `position`.
    ///
    /// It is a snapshot if a delta would have more changes than the map has entries.
    pub fn delta_since(&self, position: LogPosition) -> Update<K, V> {
        if position == self.at {
            return Update::UpToDate;
        }
        let is_in_log = position.generation == self.at.generation
            && (self.log_start..self.at.change).contains(&position.change);
        if is_in_log {
            let changes = self.latest_after(position.change);
            if changes.len() <= self.entries.len() {
                return Update::Delta { from: position, to: self.at, changes };
            }
        }
        let entries = self.entries.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        Update::Snapshot { at: self.at, entries }
    }

    /// Returns the latest change of each key that changed after the change `number`.
    fn latest_after(&self, number: u64) -> Vec<(K, Option<V>)> {
        let begin = self.log.partition_point(|(n, ..)| *n <= number);
        let changes = self.log.range(begin..).map(|(_, k, v)| (k.clone(), v.clone()));
        changes.collect::<BTreeMap<_, _>>().into_iter().collect()
    }

    /// Applies an update at a replica. A delta that starts at another position is refused and
    /// changes nothing.
    pub fn apply(&mut self, update: Update<K, V>) -> Result<(), PositionMismatch> {
        match update {
            Update::UpToDate => {}
            Update::Delta { from, .. } if from != self.at => {
                return Err(PositionMismatch { at: self.at });
            }
            Update::Delta { to, changes, .. } => {
                self.at = to;
                for (key, value) in changes {
                    self.store(key, value);
                }
            }
            Update::Snapshot { at, entries } => {
                self.entries = entries.into_iter().collect();
                self.at = at;
                self.log.clear();
                self.log_start = at.change;
            }
        }
        Ok(())
    }
}
