use std::collections::{BTreeMap, HashMap, VecDeque};

use pollenshed_state::time::Instant;

/// Time for which the outcome of an attempt is kept. An entry stops asking one second after the
/// request's deadline.
const OUTCOME_RETENTION_MS: u64 = 10_000;

/// What an owner does with an attempt that has just arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// The attempt is new and can be queued.
    Queue,
    /// An earlier settlement has forbidden the attempt; the owner refuses it as not run.
    Forbidden,
    /// Another copy of the attempt arrived earlier, so this copy must not run.
    Duplicate,
    /// The table of attempts is full; the owner refuses this one as not run.
    Full,
}

/// State of an attempt at its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptState<O> {
    /// The attempt waits for a slot of a backend server.
    Queued,
    /// The attempt runs at a backend server or is being sent to one.
    Running,
    /// The attempt ended with this outcome.
    Ended(O),
    /// The attempt ended, and its outcome was removed because no entry asks for it any more.
    Dropped,
    /// The attempt never runs, because an entry was told so.
    Forbidden,
}

/// Answer to an entry that asks for the state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement<O> {
    /// The attempt has not run and never will.
    NotRun,
    /// The attempt runs at a backend server or is being sent to one.
    Running,
    /// The attempt ended with this outcome.
    Ended(O),
}

/// States of the attempts of non-idempotent requests at one owner.
///
/// An entry whose `Dispatch` call failed asks for a settlement. The settlement forbids an attempt
/// that has not arrived yet or is still queued, so that "not run" stays true even if a late copy
/// arrives.
pub struct Attempts<O> {
    retention_ms: u64,
    max_attempts: usize,
    states: HashMap<String, AttemptState<O>>,
    by_expiry: BTreeMap<(Instant, u64), String>,
    outcome_expiries: VecDeque<(Instant, String)>,
    next_sequence: u64,
}

impl<O: Clone> Attempts<O> {
    /// Returns an empty table. Each attempt is kept for `retention_ms`, which must not be shorter
    /// than the lifetime of a binding, and at most `max_attempts` are kept at a time.
    pub fn new(retention_ms: u64, max_attempts: usize) -> Attempts<O> {
        Attempts {
            retention_ms,
            max_attempts,
            states: HashMap::new(),
            by_expiry: BTreeMap::new(),
            outcome_expiries: VecDeque::new(),
            next_sequence: 0,
        }
    }

    /// Records an attempt that has arrived and decides whether the owner may queue it.
    pub fn register_arrival(&mut self, id: &str, now: Instant) -> ArrivalDecision {
        self.expire(now);
        match self.states.get(id) {
            Some(AttemptState::Forbidden) => ArrivalDecision::Forbidden,
            Some(_) => ArrivalDecision::Duplicate,
            None if self.states.len() >= self.max_attempts => ArrivalDecision::Full,
            None => {
                self.insert(id, AttemptState::Queued, now);
                ArrivalDecision::Queue
            }
        }
    }

    /// Marks a queued attempt as running.
    ///
    /// Returns whether it may be sent to a backend server: `false` if it was forbidden meanwhile or
    /// is not queued.
    pub fn try_start(&mut self, id: &str) -> bool {
        match self.states.get_mut(id) {
            Some(state @ AttemptState::Queued) => {
                *state = AttemptState::Running;
                true
            }
            _ => false,
        }
    }

    /// Puts a running attempt that was not sent to a backend server back into the queued state.
    pub fn requeue(&mut self, id: &str) {
        if let Some(state @ AttemptState::Running) = self.states.get_mut(id) {
            *state = AttemptState::Queued;
        }
    }

    /// Records the outcome of an attempt. A forbidden attempt stays forbidden.
    ///
    /// The outcome is kept for `OUTCOME_RETENTION_MS`, so that an entry that lost the answer can
    /// ask for it again.
    pub fn record_outcome(&mut self, id: &str, outcome: O, now: Instant) {
        if let Some(state) = self.states.get_mut(id)
            && !matches!(state, AttemptState::Forbidden)
        {
            *state = AttemptState::Ended(outcome);
            self.outcome_expiries.push_back((now.plus_ms(OUTCOME_RETENTION_MS), id.to_owned()));
        }
    }

    /// Returns the settlement of an attempt, and forbids the attempt if it has not started.
    ///
    /// Returns `None` if the outcome was dropped, or if the attempt is unknown and the table is
    /// full: then the owner can't guarantee that a late copy will not run.
    pub fn settle(&mut self, id: &str, now: Instant) -> Option<Settlement<O>> {
        let is_full = self.states.len() >= self.max_attempts;
        match self.states.get_mut(id) {
            Some(AttemptState::Running) => Some(Settlement::Running),
            Some(AttemptState::Ended(outcome)) => Some(Settlement::Ended(outcome.clone())),
            Some(AttemptState::Dropped) => None,
            Some(state) => {
                *state = AttemptState::Forbidden;
                Some(Settlement::NotRun)
            }
            None if is_full => None,
            None => {
                self.insert(id, AttemptState::Forbidden, now);
                Some(Settlement::NotRun)
            }
        }
    }

    /// Returns the state of an attempt; `None` if it is unknown or was forgotten.
    pub fn state(&self, id: &str) -> Option<&AttemptState<O>> {
        self.states.get(id)
    }

    /// Drops outcomes and forgets attempts whose retention time is over. Running attempts are kept
    /// until they end.
    pub fn expire(&mut self, now: Instant) {
        while self.outcome_expiries.front().is_some_and(|(expiry, _)| *expiry <= now) {
            let id = self.outcome_expiries.pop_front().map(|(_, id)| id).unwrap_or_default();
            if let Some(state @ AttemptState::Ended(_)) = self.states.get_mut(&id) {
                *state = AttemptState::Dropped;
            }
        }
        while let Some((&(expiry, sequence), _)) = self.by_expiry.first_key_value()
            && expiry <= now
        {
            let Some(id) = self.by_expiry.remove(&(expiry, sequence)) else {
                return;
            };
            if matches!(self.states.get(&id), Some(AttemptState::Running)) {
                self.by_expiry.insert((now.plus_ms(self.retention_ms.max(1)), sequence), id);
            } else {
                self.states.remove(&id);
            }
        }
    }

    fn insert(&mut self, id: &str, state: AttemptState<O>, now: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.states.insert(id.to_owned(), state);
        self.by_expiry.insert((now.plus_ms(self.retention_ms), sequence), id.to_owned());
    }
}
