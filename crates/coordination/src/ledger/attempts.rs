use std::collections::{BTreeMap, HashMap, VecDeque};

use pollenshed_state::time::Instant;

/// How long the outcome of an attempt is kept. An entry gives up asking a second after its deadline.
const OUTCOME_MS: u64 = 10_000;

/// Whether an owner may go on with an attempt that has just arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// The attempt is new; queue it.
    Queue,
    /// The attempt was forbidden by an earlier settlement; refuse it as not run.
    Forbidden,
    /// Another copy of the attempt arrived before; this copy must not run.
    Duplicate,
    /// Too many attempts are remembered; refuse this one as not run.
    Full,
}

/// How far an attempt got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptState<O> {
    /// Waits for a slot.
    Queued,
    /// Was handed to a backend server.
    Running,
    /// Ended with this outcome.
    Ended(O),
    /// Ended; the outcome was dropped, because nobody asks for it any more.
    Dropped,
    /// Never runs.
    Forbidden,
}

/// Answer to an entry that asks what became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement<O> {
    /// The attempt was not dispatched and never will be.
    NotRun,
    /// The attempt is at a backend server.
    Running,
    /// The attempt ended with this outcome.
    Ended(O),
}

/// The attempts of non-idempotent requests that reached one owner.
///
/// An entry whose `Dispatch` failed asks for a settlement. The settlement forbids an attempt that
/// has not arrived or still waits, so that "not run" is true even if a late copy arrives.
pub struct Attempts<O> {
    retention_ms: u64,
    max_attempts: usize,
    states: HashMap<String, AttemptState<O>>,
    by_expiry: BTreeMap<(Instant, u64), String>,
    ended: VecDeque<(Instant, String)>,
    next_sequence: u64,
}

impl<O: Clone> Attempts<O> {
    /// Starts with no attempts. Each is remembered for `retention_ms`, which must not be shorter
    /// than the lifetime of a binding.
    pub fn new(retention_ms: u64, max_attempts: usize) -> Attempts<O> {
        Attempts {
            retention_ms,
            max_attempts,
            states: HashMap::new(),
            by_expiry: BTreeMap::new(),
            ended: VecDeque::new(),
            next_sequence: 0,
        }
    }

    /// Takes note of an attempt that has arrived.
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

    /// Marks an attempt as handed to a backend server, unless it was forbidden meanwhile.
    ///
    /// Returns whether it may be handed over.
    pub fn try_start(&mut self, id: &str) -> bool {
        match self.states.get_mut(id) {
            Some(state @ AttemptState::Queued) => {
                *state = AttemptState::Running;
                true
            }
            _ => false,
        }
    }

    /// Takes back a hand-over that did not happen, so that the attempt can be handed over again.
    pub fn requeue(&mut self, id: &str) {
        if let Some(state @ AttemptState::Running) = self.states.get_mut(id) {
            *state = AttemptState::Queued;
        }
    }

    /// Records the outcome of an attempt. An attempt that was forbidden stays forbidden.
    ///
    /// The outcome is kept for [`OUTCOME_MS`], in which an entry that lost the answer asks again.
    pub fn record_outcome(&mut self, id: &str, outcome: O, now: Instant) {
        if let Some(state) = self.states.get_mut(id)
            && !matches!(state, AttemptState::Forbidden)
        {
            *state = AttemptState::Ended(outcome);
            self.ended.push_back((now.plus_ms(OUTCOME_MS), id.to_owned()));
        }
    }

    /// Answers what became of an attempt and forbids it if it was not dispatched.
    ///
    /// Returns nothing if the outcome was dropped, or if no more attempts can be remembered: then
    /// nothing can be promised.
    pub fn settle(&mut self, id: &str, now: Instant) -> Option<Settlement<O>> {
        let full = self.states.len() >= self.max_attempts;
        match self.states.get_mut(id) {
            Some(AttemptState::Running) => Some(Settlement::Running),
            Some(AttemptState::Ended(outcome)) => Some(Settlement::Ended(outcome.clone())),
            Some(AttemptState::Dropped) => None,
            Some(state) => {
                *state = AttemptState::Forbidden;
                Some(Settlement::NotRun)
            }
            None if full => None,
            None => {
                self.insert(id, AttemptState::Forbidden, now);
                Some(Settlement::NotRun)
            }
        }
    }

    /// Returns the state of an attempt.
    pub fn state(&self, id: &str) -> Option<&AttemptState<O>> {
        self.states.get(id)
    }

    /// Forgets attempts that are older than the retention. Running ones are kept until they end.
    pub fn expire(&mut self, now: Instant) {
        while self.ended.front().is_some_and(|(until, _)| *until <= now) {
            let id = self.ended.pop_front().map(|(_, id)| id).unwrap_or_default();
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
