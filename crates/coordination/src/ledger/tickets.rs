use std::collections::{BTreeMap, HashMap};

use pollenshed_state::{
    ids::{Digest, Incarnation, InstanceName, Ticket},
    time::Instant,
};

/// Tolerance for a binding whose stamp is ahead of this incarnation's clock. Stamps come from this
/// clock by gossip, so a stamp further ahead was made up.
const MAX_STAMP_AHEAD_MS: u64 = 1_000;

/// What bounds the memory of a [`Ledger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// How long a ticket can be used after its binding was issued.
    pub binding_lifetime_ms: u64,
    /// Tickets kept at the same time; further ones are refused as not run.
    pub max_tickets: usize,
    /// Sum of the sizes of recorded outcomes; the oldest outcomes are dropped beyond it.
    pub max_outcome_bytes: usize,
}

/// What to do with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission<O> {
    /// The ticket is new; run the request and record its outcome.
    Run,
    /// An earlier copy is in flight; wait for its outcome.
    Wait,
    /// The outcome of an earlier copy.
    Recorded(O),
    /// An earlier copy ended, but its outcome was dropped to save memory.
    OutcomeDropped,
    /// The ticket was used before with another content.
    Conflict,
    /// The binding expired, so an earlier copy may have run and been forgotten.
    Expired,
    /// The binding names another instance or incarnation.
    WrongIncarnation,
    /// The ledger is or was full; the request did not run, and its ticket never will.
    Full,
}

/// One ticket for a hand-over to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedTicket<O> {
    /// The ticket.
    pub ticket: Ticket,
    /// Digest of the request's content.
    pub content: Digest,
    /// Outcome, or nothing when it was dropped or is not known.
    pub outcome: Option<O>,
    /// Time until the ticket expires.
    pub ttl_left_ms: u64,
}

enum State<O> {
    InFlight,
    Ended { outcome: O, bytes: usize },
    Dropped,
}

struct Record<O> {
    content: Digest,
    state: State<O>,
    sequence: u64,
}

/// Maps the tickets that name one incarnation to their outcomes.
///
/// A ticket is forgotten only after its binding has expired, and an expired binding is never run,
/// so forgetting cannot lead to a second run.
pub struct Ledger<O> {
    instance: InstanceName,
    incarnation: Incarnation,
    limits: LedgerLimits,
    records: HashMap<Ticket, Record<O>>,
    by_expiry: BTreeMap<(Instant, u64), Ticket>,
    by_age: BTreeMap<u64, Ticket>,
    outcome_bytes: usize,
    next_sequence: u64,
    /// Unknown tickets with a stamp up to this time were or could have been refused as not run.
    refused_until: Option<Instant>,
}

impl<O: Clone> Ledger<O> {
    /// Starts an empty ledger for one incarnation of an instance.
    pub fn new(
        instance: InstanceName,
        incarnation: Incarnation,
        limits: LedgerLimits,
    ) -> Ledger<O> {
        Ledger {
            instance,
            incarnation,
            limits,
            records: HashMap::new(),
            by_expiry: BTreeMap::new(),
            by_age: BTreeMap::new(),
            outcome_bytes: 0,
            next_sequence: 0,
            refused_until: None,
        }
    }

    /// Decides about a request with `ticket` and records a new ticket as in flight.
    pub fn admit(&mut self, ticket: &Ticket, content: Digest, now: Instant) -> Admission<O> {
        let binding = &ticket.binding;
        if binding.instance != self.instance || binding.incarnation != self.incarnation {
            return Admission::WrongIncarnation;
        }
        if let Some(record) = self.records.get(ticket) {
            return admission_of_record(record, content);
        }
        let expiry = binding.stamp.plus_ms(self.limits.binding_lifetime_ms);
        if expiry <= now || binding.stamp > now.plus_ms(MAX_STAMP_AHEAD_MS) {
            return Admission::Expired;
        }
        self.expire(now);
        if self.records.len() >= self.limits.max_tickets {
            // A stamp may be a little ahead of this clock.
            self.refused_until = self.refused_until.max(Some(now.max(binding.stamp)));
        }
        // A refused ticket is not recorded, so a late copy must find the same refusal. Its caller
        // gets a later stamp with its next lookup.
        if self.refused_until.is_some_and(|until| binding.stamp <= until) {
            return Admission::Full;
        }
        self.insert(ticket.clone(), content, expiry);
        Admission::Run
    }

    /// Records the outcome of a ticket in flight.
    ///
    /// `bytes` is the size that counts against the memory limit. The first outcome stays: a later
    /// one for the same ticket is ignored.
    pub fn record(&mut self, ticket: &Ticket, outcome: O, bytes: usize) {
        let Some(record) = self.records.get_mut(ticket) else {
            return;
        };
        if !matches!(record.state, State::InFlight) {
            return;
        }
        record.state = State::Ended { outcome, bytes };
        self.by_age.insert(record.sequence, ticket.clone());
        self.outcome_bytes += bytes;
        self.drop_oldest_outcomes();
    }

    /// Forgets tickets whose binding has expired. Tickets in flight are kept until they end.
    pub fn expire(&mut self, now: Instant) {
        while let Some((&(expiry, sequence), _)) = self.by_expiry.first_key_value()
            && expiry <= now
        {
            let Some(ticket) = self.by_expiry.remove(&(expiry, sequence)) else {
                return;
            };
            let in_flight =
                matches!(self.records.get(&ticket), Some(Record { state: State::InFlight, .. }));
            if in_flight {
                // Looks at the ticket again later, so that its outcome finds its record.
                let later = now.plus_ms(self.limits.binding_lifetime_ms.max(1));
                self.by_expiry.insert((later, sequence), ticket);
                continue;
            }
            if let Some(record) = self.records.remove(&ticket) {
                self.by_age.remove(&record.sequence);
                if let State::Ended { bytes, .. } = record.state {
                    self.outcome_bytes -= bytes;
                }
            }
        }
    }

    /// Returns the tickets that ended, for a hand-over at a planned stop.
    pub fn export(&self, now: Instant) -> Vec<RecordedTicket<O>> {
        let ended = |record: &Record<O>| match &record.state {
            State::InFlight => None,
            State::Ended { outcome, .. } => Some(Some(outcome.clone())),
            State::Dropped => Some(None),
        };
        self.records
            .iter()
            .filter_map(|(ticket, record)| {
                let expiry = ticket.binding.stamp.plus_ms(self.limits.binding_lifetime_ms);
                Some(RecordedTicket {
                    ticket: ticket.clone(),
                    content: record.content,
                    outcome: ended(record)?,
                    ttl_left_ms: expiry.since_ms(now),
                })
            })
            .filter(|recorded| recorded.ttl_left_ms > 0)
            .collect()
    }

    /// Returns the number of tickets kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no ticket is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the sum of the sizes of recorded outcomes.
    pub fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }

    /// Tells whether any ticket is in flight.
    pub fn has_in_flight(&self) -> bool {
        self.records.values().any(|r| matches!(r.state, State::InFlight))
    }

    fn insert(&mut self, ticket: Ticket, content: Digest, expiry: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_expiry.insert((expiry, sequence), ticket.clone());
        self.records.insert(ticket, Record { content, state: State::InFlight, sequence });
    }

    fn drop_oldest_outcomes(&mut self) {
        while self.outcome_bytes > self.limits.max_outcome_bytes {
            let Some((_, ticket)) = self.by_age.pop_first() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&ticket)
                && let State::Ended { bytes, .. } = record.state
            {
                record.state = State::Dropped;
                self.outcome_bytes -= bytes;
            }
        }
    }
}

fn admission_of_record<O: Clone>(record: &Record<O>, content: Digest) -> Admission<O> {
    if record.content != content {
        return Admission::Conflict;
    }
    match &record.state {
        State::InFlight => Admission::Wait,
        State::Ended { outcome, .. } => Admission::Recorded(outcome.clone()),
        State::Dropped => Admission::OutcomeDropped,
    }
}
