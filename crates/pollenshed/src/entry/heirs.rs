//! Hands ticket outcomes over at a planned stop, and answers for entries that are gone.
//!
//! The heirs of an entry are the peers that keep copies of its ticket outcomes after it stops.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pollenshed_coordination::{
    ledger::{Admission, RecordedTicket},
    ownership::{live_entries, rank_heirs},
};
use pollenshed_protocol::peer::{
    AnswerReply, HandOverRequest, RelayRequest, TicketOutcome, UnknownReason,
};
use pollenshed_state::ids::{InstanceName, Ticket};

use super::http::ClassifiedRequest;
use crate::{instance::Shared, util::lock, wire};

/// Heirs of one entry. With two, the outcomes survive the failure of one heir.
const HEIR_COUNT: usize = 2;

/// Size at which a message of outcomes ends. A single outcome may be larger.
const TARGET_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends all ticket outcomes of this incarnation to its heirs, at a planned stop.
pub async fn hand_over_outcomes(shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let recorded = lock(&shared.ledger).export(now);
    if recorded.is_empty() {
        return;
    }
    for (heir, address) in heirs_of(shared, &shared.settings.instance) {
        let is_complete = send_outcomes(shared, address, &recorded).await;
        log::info!(
            heir:%,
            tickets = recorded.len(),
            outcome = if is_complete { "complete" } else { "failed" };
            "stop: ticket outcomes handed over to an heir"
        );
    }
}

async fn send_outcomes(
    shared: &Shared,
    address: SocketAddr,
    recorded: &[RecordedTicket<AnswerReply>],
) -> bool {
    let mut rest = recorded;
    while !rest.is_empty() {
        let outcomes = next_message(rest);
        rest = &rest[outcomes.len()..];
        let request = HandOverRequest {
            from_instance: shared.settings.instance.to_string(),
            from_incarnation: shared.incarnation.0,
            outcomes,
            complete: rest.is_empty(),
        };
        let mut client = shared.control_peers.control(address);
        match tokio::time::timeout(MESSAGE_TIMEOUT, client.hand_over(request)).await {
            Ok(Ok(reply)) if reply.get_ref().accepted => {}
            _ => return false,
        }
    }
    true
}

/// Returns the outcomes for the next message: as many as fit, and at least one.
fn next_message(recorded: &[RecordedTicket<AnswerReply>]) -> Vec<TicketOutcome> {
    let mut bytes = 0;
    let mut outcomes = Vec::new();
    for record in recorded {
        bytes += record.outcome.as_ref().map_or(0, wire::reply_bytes);
        if bytes > TARGET_MESSAGE_BYTES && !outcomes.is_empty() {
            break;
        }
        outcomes.push(wire::ticket_to_wire(record));
    }
    outcomes
}

/// Imports ticket outcomes of a stopping peer. Returns whether all of them were kept.
pub fn import_outcomes(shared: &Shared, request: &HandOverRequest) -> bool {
    let now = shared.clock.now();
    let mut inherited = lock(&shared.inherited_tickets);
    let mut records = request.outcomes.iter().map(wire::ticket_from_wire);
    records.all(|record| record.is_some_and(|record| inherited.import(record, now)))
}

/// Returns the outcome of a ticket whose entry is gone, if that entry handed it over to this
/// instance.
pub fn inherited_outcome(
    shared: &Shared,
    ticket: &Ticket,
    classified: &ClassifiedRequest,
) -> Option<AnswerReply> {
    let now = shared.clock.now();
    let content = wire::content_digest(&classified.request);
    match lock(&shared.inherited_tickets).admit(ticket, content, now) {
        Admission::Recorded(reply) => Some(reply),
        Admission::Conflict => Some(wire::conflict()),
        Admission::OutcomeDropped => {
            Some(wire::unknown(UnknownReason::AnswerNotKept, "the answer is no longer kept"))
        }
        _ => None,
    }
}

/// Asks this instance and then the heirs of an entry that is gone for the outcome of a ticket.
pub async fn ask(
    shared: &Shared,
    ticket: &Ticket,
    classified: &ClassifiedRequest,
) -> Option<AnswerReply> {
    if let Some(reply) = inherited_outcome(shared, ticket, classified) {
        return Some(reply);
    }
    for (heir, _) in heirs_of(shared, &ticket.binding.instance) {
        let Some(address) = super::dispatch::relay_address(shared, &heir) else { continue };
        let request = RelayRequest {
            ticket: ticket.to_string(),
            request: Some(classified.request.clone()),
            deadline_left_us: classified.deadline.since_us(shared.clock.now()),
            only_inherited: true,
        };
        let mut client = shared.work_peers.work(address);
        let call = tokio::time::timeout(MESSAGE_TIMEOUT, client.relay(request));
        if let Ok(Ok(reply)) = call.await
            && !wire::is_entry_gone(reply.get_ref())
        {
            return Some(reply.into_inner());
        }
    }
    None
}

/// Returns the heirs of an instance other than this one, with their `peer_address`.
fn heirs_of(shared: &Shared, instance: &InstanceName) -> Vec<(InstanceName, SocketAddr)> {
    let now = shared.clock.now();
    let membership = lock(&shared.membership);
    let entries = live_entries(&membership, now);
    let domain = membership.record_of(instance).map(|r| r.failure_domain.clone());
    let ranked = rank_heirs(instance, domain.as_ref(), &entries);
    let others = ranked.into_iter().filter(|heir| *heir != shared.settings.instance);
    others
        .take(HEIR_COUNT)
        .filter_map(|heir| {
            let address = membership.record_of(&heir)?.peer_address;
            Some((heir, address))
        })
        .collect()
}
