//! Fair queue of one service and rank.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pollenshed_state::ids::CallerName;

use super::WorkId;

/// Serves callers in turn. A caller is remembered only while it has requests queued, so that the
/// memory is bounded by the number of requests. All operations take logarithmic time.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    callers: HashMap<CallerName, CallerQueue>,
    by_turn: BTreeSet<(u64, u64, CallerName)>,
    by_weight: BTreeSet<(u64, CallerName)>,
    turn: u64,
    len: usize,
    weight: u64,
}

#[derive(Debug, Default)]
struct CallerQueue {
    turn: u64,
    weight: u64,
    items: BTreeMap<u64, (WorkId, u64)>,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns how many requests are served before a new one of the caller, at most.
    pub(super) fn ahead_of(&self, caller: &CallerName) -> usize {
        let own = self.callers.get(caller).map_or(0, |c| c.items.len());
        self.len.min((own + 1).saturating_mul(self.callers.len()))
    }

    /// Returns the memory held by all requests.
    pub(super) fn weight(&self) -> u64 {
        self.weight
    }

    /// Adds a request. A caller without requests joins at the next turn, because it may just have
    /// been served and forgotten.
    pub(super) fn push(&mut self, caller: &CallerName, seq: u64, id: WorkId, weight: u64) {
        self.unindex(caller);
        let turn = self.turn + 1;
        let entry = self
            .callers
            .entry(caller.clone())
            .or_insert_with(|| CallerQueue { turn, ..CallerQueue::default() });
        if entry.items.insert(seq, (id, weight)).is_none() {
            self.len += 1;
            self.weight += weight;
            entry.weight += weight;
        }
        self.index(caller);
    }

    /// Returns the request to serve next.
    pub(super) fn head(&self) -> Option<WorkId> {
        let (_, _, caller) = self.by_turn.first()?;
        self.callers.get(caller)?.items.values().next().map(|(id, _)| *id)
    }

    /// Removes a request. `served` moves the caller to a later turn.
    pub(super) fn remove(&mut self, caller: &CallerName, seq: u64, served: bool) {
        self.unindex(caller);
        if let Some(entry) = self.callers.get_mut(caller) {
            if let Some((_, weight)) = entry.items.remove(&seq) {
                self.len -= 1;
                self.weight -= weight;
                entry.weight -= weight;
            }
            if served {
                self.turn = self.turn.max(entry.turn);
                entry.turn += 1;
            }
        }
        self.index(caller);
    }

    /// Returns the newest request of the caller that holds the most memory.
    pub(super) fn newest_of_heaviest(&self) -> Option<WorkId> {
        let (_, caller) = self.by_weight.last()?;
        self.callers.get(caller)?.items.values().next_back().map(|(id, _)| *id)
    }

    fn unindex(&mut self, caller: &CallerName) {
        if let Some(entry) = self.callers.get(caller)
            && let Some(first) = entry.items.keys().next()
        {
            self.by_turn.remove(&(entry.turn, *first, caller.clone()));
            self.by_weight.remove(&(entry.weight, caller.clone()));
        }
    }

    fn index(&mut self, caller: &CallerName) {
        let Some(entry) = self.callers.get(caller) else { return };
        match entry.items.keys().next() {
            Some(first) => {
                self.by_turn.insert((entry.turn, *first, caller.clone()));
                self.by_weight.insert((entry.weight, caller.clone()));
            }
            None => {
                self.callers.remove(caller);
            }
        }
    }
}
