//! A replicated map whose changes are sent alone if possible.
//!
//! The form follows the checkpoint of the SAFplus availability middleware (OpenClovis, "Checkpoint
//! service"): a replica names a generation and the number of the last change that it has. The source
//! keeps the latest changes in a bounded log. A replica that is in the log gets the changes after its
//! number; one of another generation, or one too far behind, gets the whole state.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

/// A point in the history of a map. Numbers of different generations have no order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct LogPosition {
    /// Random number of the source's run, so that a restarted source is not taken for the old one.
    pub generation: u64,
    /// Number of the last change.
    pub change: u64,
}

/// What brings a replica up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update<K, V> {
    /// The replica has everything.
    UpToDate,
    /// The changes after the replica's point, one for each key; no value removes the key.
    Delta {
        /// LogPosition that the replica must be at.
        from: LogPosition,
        /// LogPosition after the changes.
        to: LogPosition,
        /// Latest change of each key.
        changes: Vec<(K, Option<V>)>,
    },
    /// The whole state.
    Snapshot {
        /// LogPosition of the state.
        at: LogPosition,
        /// All entries.
        entries: Vec<(K, V)>,
    },
}

/// A delta that starts at another point than the replica is at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PositionMismatch {
    /// LogPosition that the replica is at.
    pub at: LogPosition,
}

impl fmt::Display for PositionMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LogPosition { generation, change } = self.at;
        write!(f, "the delta does not start at change {change} of generation {generation}")
    }
}

impl std::error::Error for PositionMismatch {}

/// A map with the log of its latest changes. Source and replicas are the same type, so that a
/// replica can pass changes on.
#[derive(Debug, Clone)]
pub struct ReplicatedMap<K, V> {
    at: LogPosition,
    entries: BTreeMap<K, V>,
    /// The latest changes with their numbers. A replica gives all changes of a delta the number that
    /// the delta ends at: a change holds the whole new value, so a replica in between may get a
    /// change that it has.
    log: VecDeque<(u64, K, Option<V>)>,
    /// Every change after this number is in the log.
    log_after: u64,
    max_log: usize,
}

impl<K: Ord + Clone, V: Clone> ReplicatedMap<K, V> {
    /// Starts an empty map of a new, random generation that keeps up to `max_log` changes.
    pub fn new(generation: u64, max_log: usize) -> ReplicatedMap<K, V> {
        let at = LogPosition { generation, change: 0 };
        let (entries, log) = (BTreeMap::new(), VecDeque::new());
        ReplicatedMap { at, entries, log, log_after: 0, max_log }
    }

    /// Returns the point that the map is at.
    pub fn position(&self) -> LogPosition {
        self.at
    }

    /// Returns all entries.
    pub fn entries(&self) -> &BTreeMap<K, V> {
        &self.entries
    }

    /// Sets or removes a key at the source and gives the change the next number.
    pub fn set(&mut self, key: K, value: Option<V>) {
        self.at.change += 1;
        self.store(key, value);
    }

    /// Stores a change under the number that the map is at.
    fn store(&mut self, key: K, value: Option<V>) {
        match value.clone() {
            Some(value) => self.entries.insert(key.clone(), value),
            None => self.entries.remove(&key),
        };
        self.log.push_back((self.at.change, key, value));
        if self.log.len() > self.max_log
            && let Some((number, ..)) = self.log.pop_front()
        {
            self.log_after = number;
        }
    }

    /// Returns what a replica at `point` lacks.
    ///
    /// A delta with more changes than the map has entries is sent as the whole state.
    pub fn delta_since(&self, point: LogPosition) -> Update<K, V> {
        if point == self.at {
            return Update::UpToDate;
        }
        let is_in_log = point.generation == self.at.generation
            && (self.log_after..self.at.change).contains(&point.change);
        if is_in_log {
            let changes = self.latest_after(point.change);
            if changes.len() <= self.entries.len() {
                return Update::Delta { from: point, to: self.at, changes };
            }
        }
        let entries = self.entries.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        Update::Snapshot { at: self.at, entries }
    }

    /// Returns the latest change of each key that changed after a number.
    fn latest_after(&self, number: u64) -> Vec<(K, Option<V>)> {
        let begin = self.log.partition_point(|(n, ..)| *n <= number);
        let changes = self.log.range(begin..).map(|(_, k, v)| (k.clone(), v.clone()));
        changes.collect::<BTreeMap<_, _>>().into_iter().collect()
    }

    /// Applies an update at a replica. A delta that does not fit changes nothing.
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
                self.log_after = at.change;
            }
        }
        Ok(())
    }
}
