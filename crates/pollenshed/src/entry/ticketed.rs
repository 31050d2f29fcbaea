//! Runs non-idempotent requests at most once under their ticket.

use std::{sync::Arc, time::Duration};

use pollenshed_coordination::ledger::Admission;
use pollenshed_protocol::peer::{AnswerReply, NotRunReason, RelayRequest, UnknownReason};
use pollenshed_state::{ids::Ticket, time::Instant};
use tokio::sync::watch;

use super::{dispatch, heirs, http::ClassifiedRequest};
use crate::{instance::Shared, util::lock, wire};

/// Time after the deadline during which a copy of a request still waits for the outcome.
const WAIT_GRACE_MS: u64 = 1_500;

/// Runs a request at the entry that its ticket names, here or at a peer.
pub async fn run(
    shared: &Arc<Shared>,
    ticket: Ticket,
    classified: ClassifiedRequest,
) -> AnswerReply {
    if ticket.binding.instance == shared.settings.instance {
        return run_locally(shared, ticket, classified).await;
    }
    relay_to_named_entry(shared, &ticket, &classified).await
}

/// Runs a request whose ticket names this instance, unless the ledger has an outcome for the ticket
/// or refuses it.
pub async fn run_locally(
    shared: &Arc<Shared>,
    ticket: Ticket,
    classified: ClassifiedRequest,
) -> AnswerReply {
    let now = shared.clock.now();
    let content = wire::content_digest(&classified.request);
    let (admission, waiter) = {
        let mut ledger = lock(&shared.ledger);
        let admission = ledger.admit(&ticket, content, now);
        // The ledger stays locked, so that the outcome can't be recorded between admitting and
        // subscribing.
        let waiter = subscribe(shared, &ticket, &admission);
        (admission, waiter)
    };
    match admission {
        Admission::Run => {}
        Admission::Wait => return wait_for_outcome(shared, waiter, classified.deadline).await,
        Admission::Recorded(reply) => return reply,
        Admission::Conflict => return wire::conflict(),
        Admission::OutcomeDropped => {
            return wire::unknown(UnknownReason::AnswerNotKept, "the answer is no longer kept");
        }
        Admission::Expired => {
            return wire::unknown(UnknownReason::TicketExpired, "the ticket has expired");
        }
        Admission::WrongIncarnation => {
            return ask_heirs(shared, &ticket, &classified, "the named entry has restarted").await;
        }
        Admission::Full => {
            return wire::not_run_retry_after(
                NotRunReason::Overloaded,
                1_000,
                "the entry keeps too many tickets",
            );
        }
    }
    let deadline = classified.deadline;
    let runner = shared.clone();
    // A separate task continues if the caller disconnects, so that a resend finds the outcome.
    shared.work_runtime.spawn(async move {
        let reply = dispatch::run(&runner, &classified, &ticket.to_string()).await;
        let bytes = wire::reply_bytes(&reply);
        lock(&runner.ledger).record(&ticket, reply.clone(), bytes);
        if let Some(sender) = lock(&runner.outcome_watchers).remove(&ticket) {
            sender.send_replace(Some(reply));
        }
    });
    wait_for_outcome(shared, waiter, deadline).await
}

fn subscribe(
    shared: &Shared,
    ticket: &Ticket,
    admission: &Admission<AnswerReply>,
) -> Option<watch::Receiver<Option<AnswerReply>>> {
    let mut waiting = lock(&shared.outcome_watchers);
    match admission {
        Admission::Run => {
            let (sender, receiver) = watch::channel(None);
            waiting.insert(ticket.clone(), sender);
            Some(receiver)
        }
        Admission::Wait => waiting.get(ticket).map(watch::Sender::subscribe),
        _ => None,
    }
}

async fn wait_for_outcome(
    shared: &Shared,
    waiter: Option<watch::Receiver<Option<AnswerReply>>>,
    deadline: Instant,
) -> AnswerReply {
    let timed_out = || wire::unknown(UnknownReason::Timeout, "the request had no outcome in time");
    let Some(mut waiter) = waiter else { return timed_out() };
    let left_us = deadline.plus_ms(WAIT_GRACE_MS).since_us(shared.clock.now());
    let outcome = waiter.wait_for(Option::is_some);
    match tokio::time::timeout(Duration::from_micros(left_us), outcome).await {
        Ok(Ok(reply)) => reply.clone().unwrap_or_else(timed_out),
        _ => timed_out(),
    }
}

/// Relays a request to the entry that its ticket names. No other entry may run it.
async fn relay_to_named_entry(
    shared: &Arc<Shared>,
    ticket: &Ticket,
    classified: &ClassifiedRequest,
) -> AnswerReply {
    let address = {
        let membership = lock(&shared.membership);
        membership
            .record_of(&ticket.binding.instance)
            .filter(|r| r.incarnation == ticket.binding.incarnation)
            .map(|r| r.relay_address)
    };
    let Some(address) = address else {
        return ask_heirs(
            shared,
            ticket,
            classified,
            "the named entry is not known or has restarted",
        )
        .await;
    };
    let left_us = classified.deadline.since_us(shared.clock.now());
    let request = RelayRequest {
        ticket: ticket.to_string(),
        request: Some(classified.request.clone()),
        deadline_left_us: left_us,
        only_inherited: false,
    };
    log::info!(
        service = classified.request.service,
        rank:% = classified.operation.rank,
        method = classified.request.method,
        reason = "ticket",
        entry:% = ticket.binding.instance,
        deadline_left_us = left_us;
        "route: relayed to the entry that the ticket names"
    );
    let timeout = Duration::from_micros(left_us) + Duration::from_millis(WAIT_GRACE_MS);
    let mut client = shared.work_peers.work(address);
    match tokio::time::timeout(timeout, client.relay(request)).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => ask_heirs(shared, ticket, classified, status.message()).await,
        Err(_) => wire::unknown(UnknownReason::Timeout, "the named entry did not answer in time"),
    }
}

/// Returns the outcome that the named entry handed over at its planned stop, or `EntryGone`.
async fn ask_heirs(
    shared: &Arc<Shared>,
    ticket: &Ticket,
    classified: &ClassifiedRequest,
    detail: &str,
) -> AnswerReply {
    heirs::ask(shared, ticket, classified)
        .await
        .unwrap_or_else(|| wire::unknown(UnknownReason::EntryGone, detail))
}
