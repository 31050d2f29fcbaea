use std::collections::{BTreeMap, HashMap};

use pollenshed_state::{
    ids::{Digest, Ticket},
    time::Instant,
};

use super::{Admission, RecordedTicket};

/// Tickets and outcomes that other entries handed over at their planned stop.
///
/// A request with such a ticket is answered and never run, because the incarnation that the ticket
/// names has stopped.
pub struct InheritedTickets<O> {
    max_tickets: usize,
    records: HashMap<Ticket, (Digest, Option<O>)>,
    by_expiry: BTreeMap<(Instant, u64), Ticket>,
    next_sequence: u64,
}

impl<O: Clone> InheritedTickets<O> {
    /// Returns an empty table that keeps at most `max_tickets` tickets.
    pub fn new(max_tickets: usize) -> InheritedTickets<O> {
        InheritedTickets {
            max_tickets,
            records: HashMap::new(),
            by_expiry: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Stores a ticket that another entry exported. Returns `false` if the table is full.
    pub fn import(&mut self, recorded: RecordedTicket<O>, now: Instant) -> bool {
        self.expire(now);
        if self.records.contains_key(&recorded.ticket) {
            return true;
        }
        if self.records.len() >= self.max_tickets {
            return false;
        }
        let expiry = now.plus_ms(recorded.ttl_left_ms);
        self.by_expiry.insert((expiry, self.next_sequence), recorded.ticket.clone());
        self.next_sequence += 1;
        self.records.insert(recorded.ticket, (recorded.content, recorded.outcome));
        true
    }

    /// Decides about a request with the ticket of a stopped entry. An unknown ticket is answered
    /// with [`Admission::WrongIncarnation`].
    pub fn admit(&mut self, ticket: &Ticket, content: Digest, now: Instant) -> Admission<O> {
        self.expire(now);
        match self.records.get(ticket) {
            None => Admission::WrongIncarnation,
            Some((known, _)) if *known != content => Admission::Conflict,
            Some((_, Some(outcome))) => Admission::Recorded(outcome.clone()),
            Some((_, None)) => Admission::OutcomeDropped,
        }
    }

    /// Returns the number of stored tickets, which may include expired ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no ticket is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some(first) = self.by_expiry.first_entry()
            && first.key().0 <= now
        {
            self.records.remove(&first.remove());
        }
    }
}
