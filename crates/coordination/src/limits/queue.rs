//! Round-robin queue over the callers of one service and rank.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pollenshed_state::ids::CallerName;

use super::WorkId;

/// Serves one request of each caller per round. State is kept only for callers with queued
/// requests, so the number of requests bounds the memory. All operations take logarithmic time.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    callers: HashMap<CallerName, CallerQueue>,
    /// Each caller's next round, the sequence number of its oldest request, and its name.
    by_round: BTreeSet<(u64, u64, CallerName)>,
    by_held_bytes: BTreeSet<(u64, CallerName)>,
    current_round: u64,
    len: usize,
    held_bytes: u64,
}

#[derive(Debug, Default)]
struct CallerQueue {
    round: u64,
    held_bytes: u64,
    requests: BTreeMap<u64, (WorkId, u64)>,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns an upper bound for the requests that are served before a new one of the caller.
    pub(super) fn requests_ahead_of(&self, caller: &CallerName) -> usize {
        let own = self.callers.get(caller).map_or(0, |c| c.requests.len());
        self.len.min((own + 1).saturating_mul(self.callers.len()))
    }

    /// Returns the memory that all queued requests hold.
    pub(super) fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Adds a request. A caller without queued requests joins in the next round, because it may
    /// already have been served in the current one: an empty caller's state is dropped.
    pub(super) fn push(&mut self, caller: &CallerName, seq: u64, id: WorkId, held_bytes: u64) {
        self.remove_from_indexes(caller);
        let round = self.current_round + 1;
        let entry = self
            .callers
            .entry(caller.clone())
            .or_insert_with(|| CallerQueue { round, ..CallerQueue::default() });
        if entry.requests.insert(seq, (id, held_bytes)).is_none() {
            self.len += 1;
            self.held_bytes += held_bytes;
            entry.held_bytes += held_bytes;
        }
        self.add_to_indexes(caller);
    }

    /// Returns the request to serve next.
    pub(super) fn head(&self) -> Option<WorkId> {
        let (_, _, caller) = self.by_round.first()?;
        self.callers.get(caller)?.requests.values().next().map(|(id, _)| *id)
    }

    /// Removes a request. If it was `served`, the caller moves to the next round.
    pub(super) fn remove(&mut self, caller: &CallerName, seq: u64, served: bool) {
        self.remove_from_indexes(caller);
        if let Some(entry) = self.callers.get_mut(caller) {
            if let Some((_, held_bytes)) = entry.requests.remove(&seq) {
                self.len -= 1;
                self.held_bytes -= held_bytes;
                entry.held_bytes -= held_bytes;
            }
            if served {
                self.current_round = self.current_round.max(entry.round);
                entry.round += 1;
            }
        }
        self.add_to_indexes(caller);
    }

    /// Returns the newest request of the caller that holds the most memory.
    pub(super) fn newest_of_largest_caller(&self) -> Option<WorkId> {
        let (_, caller) = self.by_held_bytes.last()?;
        self.callers.get(caller)?.requests.values().next_back().map(|(id, _)| *id)
    }

    fn remove_from_indexes(&mut self, caller: &CallerName) {
        if let Some(entry) = self.callers.get(caller)
            && let Some(first) = entry.requests.keys().next()
        {
            self.by_round.remove(&(entry.round, *first, caller.clone()));
            self.by_held_bytes.remove(&(entry.held_bytes, caller.clone()));
        }
    }

    fn add_to_indexes(&mut self, caller: &CallerName) {
        let Some(entry) = self.callers.get(caller) else { return };
        match entry.requests.keys().next() {
            Some(first) => {
                self.by_round.insert((entry.round, *first, caller.clone()));
                self.by_held_bytes.insert((entry.held_bytes, caller.clone()));
            }
            None => {
                self.callers.remove(caller);
            }
        }
    }
}
