use std::collections::{BTreeMap, HashMap};

use pollenshed_state::{
    ids::{Digest, Incarnation, InstanceName, Ticket},
    time::Instant,
};

/// Tolerance for a binding whose stamp is ahead of this incarnation's clock. Gossip distributes
/// stamps of this clock, so a stamp further ahead was forged.
const MAX_STAMP_AHEAD_MS: u64 = 1_000;

/// Limits of the memory that a [`Ledger`] uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Time after the stamp of its binding for which a ticket can be used.
    pub binding_lifetime_ms: u64,
    /// Number of tickets kept at the same time. Requests with further tickets are refused as not
    /// run.
    pub max_tickets: usize,
    /// Sum of the sizes of recorded outcomes. Above it, the outcomes of the oldest tickets are
    /// dropped.
    pub max_outcome_bytes: usize,
}

/// What an entry does with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission<O> {
    /// The ticket is new: the entry runs the request and records its outcome.
    Run,
    /// An earlier copy is in flight: the entry waits for its outcome.
    Wait,
    /// An earlier copy ended with this outcome.
    Recorded(O),
    /// An earlier copy ended, but its outcome is not available: it was dropped to save memory, or
    /// the entry that handed the ticket over had none.
    OutcomeDropped,
    /// The ticket was used before for a request with other content.
    Conflict,
    /// The binding has expired, so an earlier copy may have run and been forgotten; or its stamp is
    /// too far ahead of this incarnation's clock.
    Expired,
    /// The binding names another instance or incarnation.
    WrongIncarnation,
    /// The ledger is full, or was full after the ticket's stamp. The request did not run, and no
    /// copy of it will.
    Full,
}

/// A ticket that an entry hands over to a peer at its planned stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedTicket<O> {
    /// Ticket of the ended request.
    pub ticket: Ticket,
    /// Digest of the request's content.
    pub content: Digest,
    /// Outcome of the request; `None` if it was dropped or is unknown.
    pub outcome: Option<O>,
    /// Time in milliseconds until the ticket expires.
    pub ttl_left_ms: u64,
}

enum RecordState<O> {
    InFlight,
    Ended { outcome: O, bytes: usize },
    Dropped,
}

struct Record<O> {
    content: Digest,
    state: RecordState<O>,
    sequence: u64,
}

/// Maps the tickets that name one incarnation to their outcomes.
///
/// A ticket is forgotten only after its binding has expired, and a request with an expired binding
/// is never run. So forgetting a ticket can't lead to a second run.
pub struct Ledger<O> {
    instance: InstanceName,
    incarnation: Incarnation,
    limits: LedgerLimits,
    records: HashMap<Ticket, Record<O>>,
    by_expiry: BTreeMap<(Instant, u64), Ticket>,
    by_age: BTreeMap<u64, Ticket>,
    outcome_bytes: usize,
    next_sequence: u64,
    /// Unknown tickets with a stamp up to this time are refused as not run, because an earlier copy
    /// may have been refused.
    refused_until: Option<Instant>,
}

impl<O: Clone> Ledger<O> {
    /// Returns an empty ledger for one incarnation of an instance.
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

    /// Decides about a request with `ticket`. A new ticket is recorded as in flight.
    pub fn admit(&mut self, ticket: &Ticket, content: Digest, now: Instant) -> Admission<O> {
        let binding = &ticket.binding;
        if binding.instance != self.instance || binding.incarnation != self.incarnation {
            return Admission::WrongIncarnation;
        }
        if let Some(record) = self.records.get(ticket) {
            return admission_for_record(record, content);
        }
        let expiry = binding.stamp.plus_ms(self.limits.binding_lifetime_ms);
        if expiry <= now || binding.stamp > now.plus_ms(MAX_STAMP_AHEAD_MS) {
            return Admission::Expired;
        }
        self.expire(now);
        if self.records.len() >= self.limits.max_tickets {
            // The stamp may be ahead of this clock, by up to MAX_STAMP_AHEAD_MS.
            self.refused_until = self.refused_until.max(Some(now.max(binding.stamp)));
        }
        // A refused ticket is not recorded, so this check must also refuse its late copies. The
        // caller gets a later stamp with its next lookup.
        if self.refused_until.is_some_and(|until| binding.stamp <= until) {
            return Admission::Full;
        }
        self.insert(ticket.clone(), content, expiry);
        Admission::Run
    }

    /// Records the outcome of a ticket in flight.
    ///
    /// `bytes` is the size that counts against the memory limit. Only the first outcome of a ticket
    /// is recorded; later ones are ignored.
    pub fn record(&mut self, ticket: &Ticket, outcome: O, bytes: usize) {
        let Some(record) = self.records.get_mut(ticket) else {
            return;
        };
        if !matches!(record.state, RecordState::InFlight) {
            return;
        }
        record.state = RecordState::Ended { outcome, bytes };
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
            let in_flight = matches!(
                self.records.get(&ticket),
                Some(Record { state: RecordState::InFlight, .. })
            );
            if in_flight {
                // Keeps the record, so that the outcome can still be recorded, and checks it again
                // later.
                let later = now.plus_ms(self.limits.binding_lifetime_ms.max(1));
                self.by_expiry.insert((later, sequence), ticket);
                continue;
            }
            if let Some(record) = self.records.remove(&ticket) {
                self.by_age.remove(&record.sequence);
                if let RecordState::Ended { bytes, .. } = record.state {
                    self.outcome_bytes -= bytes;
                }
            }
        }
    }

    /// Returns the unexpired tickets whose requests have ended, for the hand-over at a planned
    /// stop.
    pub fn export(&self, now: Instant) -> Vec<RecordedTicket<O>> {
        let outcome_if_ended = |record: &Record<O>| match &record.state {
            RecordState::InFlight => None,
            RecordState::Ended { outcome, .. } => Some(Some(outcome.clone())),
            RecordState::Dropped => Some(None),
        };
        self.records
            .iter()
            .filter_map(|(ticket, record)| {
                let expiry = ticket.binding.stamp.plus_ms(self.limits.binding_lifetime_ms);
                Some(RecordedTicket {
                    ticket: ticket.clone(),
                    content: record.content,
                    outcome: outcome_if_ended(record)?,
                    ttl_left_ms: expiry.since_ms(now),
                })
            })
            .filter(|recorded| recorded.ttl_left_ms > 0)
            .collect()
    }

    /// Returns the number of stored tickets, which may include expired ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no ticket is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the sum of the sizes of recorded outcomes.
    pub fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }

    /// Returns whether any ticket is in flight.
    pub fn has_in_flight(&self) -> bool {
        self.records.values().any(|r| matches!(r.state, RecordState::InFlight))
    }

    fn insert(&mut self, ticket: Ticket, content: Digest, expiry: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_expiry.insert((expiry, sequence), ticket.clone());
        self.records.insert(ticket, Record { content, state: RecordState::InFlight, sequence });
    }

    fn drop_oldest_outcomes(&mut self) {
        while self.outcome_bytes > self.limits.max_outcome_bytes {
            let Some((_, ticket)) = self.by_age.pop_first() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&ticket)
                && let RecordState::Ended { bytes, .. } = record.state
            {
                record.state = RecordState::Dropped;
                self.outcome_bytes -= bytes;
            }
        }
    }
}

fn admission_for_record<O: Clone>(record: &Record<O>, content: Digest) -> Admission<O> {
    if record.content != content {
        return Admission::Conflict;
    }
    match &record.state {
        RecordState::InFlight => Admission::Wait,
        RecordState::Ended { outcome, .. } => Admission::Recorded(outcome.clone()),
        RecordState::Dropped => Admission::OutcomeDropped,
    }
}
