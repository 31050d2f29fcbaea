//! Non-idempotent requests. Each is resent under one ticket until its outcome is known.

use std::{net::SocketAddr, sync::Arc};

use pollenshed_protocol::caller::{
    LookupAnswer, TICKET_HEADER, refused_before_ticket, resend_may_resolve,
};

use crate::{
    Caller, Failure, Outcome,
    client::run_path,
    exchange::{Exchange, Reply},
    wait::RetryTimer,
};

/// Posts `body` to `path` of a service.
pub(crate) fn run(caller: &Caller, service: &str, path: &str, body: &[u8]) -> Outcome {
    run_post(caller, &Post { service, path: &run_path(service, path), body })
}

/// Sends a non-idempotent POST request. If it did not run for a transient reason, retries it under
/// a new ticket as often as the options allow.
pub(crate) fn run_post(caller: &Caller, post: &Post<'_>) -> Outcome {
    let mut timer = RetryTimer::new(&caller.options);
    let mut retries = caller.options.not_run_retries;
    loop {
        let outcome = run_under_new_ticket(caller, post, &mut timer);
        let failure = match &outcome {
            Outcome::NotRun(failure) if retries > 0 && is_transient(failure) => failure,
            _ => return outcome,
        };
        retries -= 1;
        if !timer.back_off(failure.retry_after) {
            return outcome;
        }
    }
}

/// A non-idempotent POST request.
pub(crate) struct Post<'a> {
    pub service: &'a str,
    /// Path of the HTTP request.
    pub path: &'a str,
    pub body: &'a [u8],
}

/// Tells whether a later attempt may succeed.
fn is_transient(failure: &Failure) -> bool {
    failure.status.is_none_or(|status| status == 503)
}

/// Creates a ticket and sends the request under it. Repeats this with a new ticket while nothing
/// was sent, until the deadline.
fn run_under_new_ticket(caller: &Caller, post: &Post<'_>, timer: &mut RetryTimer<'_>) -> Outcome {
    loop {
        let answer = match find_entries(caller, post.service, timer) {
            Ok(answer) => answer,
            Err(failure) => return Outcome::NotRun(failure),
        };
        let ticket = new_ticket(&answer);
        match run_under_ticket(caller, post, &ticket, &answer, timer) {
            TicketResult::Outcome(outcome) => return outcome,
            TicketResult::NothingSent(failure) => {
                caller.lookup_cache.expire(post.service);
                if !timer.back_off(None) {
                    return Outcome::NotRun(failure);
                }
            }
        }
    }
}

/// The result of sending a request under one ticket.
enum TicketResult {
    /// The outcome of the request.
    Outcome(Outcome),
    /// The entry that the ticket is bound to could not be reached. Nothing was sent, so it is safe
    /// to use another ticket.
    NothingSent(Failure),
}

/// Looks up the entries of a service. Retries transient failures until the deadline.
pub(crate) fn find_entries(
    caller: &Caller,
    service: &str,
    timer: &mut RetryTimer<'_>,
) -> Result<Arc<LookupAnswer>, Failure> {
    loop {
        let Some(timeout) = timer.attempt_timeout() else {
            return Err(Failure::local(
                "unreachable",
                "no seed answered the lookup before the deadline",
            ));
        };
        match caller.lookup_cache.find(&caller.pooled_agent, service, timeout) {
            Ok(answer) => return Ok(answer),
            Err(failure) if !is_transient(&failure) => return Err(failure),
            Err(failure) => {
                if !timer.back_off(failure.retry_after) {
                    return Err(failure);
                }
            }
        }
    }
}

/// Returns a new, random ticket. The binding in it names the first entry of the lookup answer.
pub(crate) fn new_ticket(answer: &LookupAnswer) -> String {
    format!("{}/{:016x}{:016x}", answer.binding, fastrand::u64(..), fastrand::u64(..))
}

/// Sends a request under one ticket to one entry after the other until its outcome is known or the
/// deadline passes.
fn run_under_ticket(
    caller: &Caller,
    post: &Post<'_>,
    ticket: &str,
    answer: &LookupAnswer,
    timer: &mut RetryTimer<'_>,
) -> TicketResult {
    let mut sent = SentCopies::default();
    let mut entries: Vec<SocketAddr> = answer.entries.iter().map(|e| e.address).collect();
    let mut next = 0;
    loop {
        let Some(timeout) = timer.attempt_timeout() else {
            return TicketResult::Outcome(sent.outcome());
        };
        let mut headers = caller.headers(timer);
        headers.push((TICKET_HEADER, ticket.to_owned()));
        let exchange = Exchange {
            method: "POST",
            entry: entries[next % entries.len()],
            path: post.path,
            headers: &headers,
            body: Some(post.body),
            timeout,
            max_answer_bytes: caller.options.max_answer_bytes,
        };
        let mut retry_after = None;
        match exchange.run(&caller.unpooled_agent) {
            Reply::Done(answer) => return TicketResult::Outcome(Outcome::Done(answer)),
            Reply::NotRun(failure) if !refused_before_ticket(&failure.reason) => {
                return TicketResult::Outcome(Outcome::NotRun(failure));
            }
            Reply::NotRun(failure) if !is_transient(&failure) => {
                sent.record_refused(failure);
                return TicketResult::Outcome(sent.outcome());
            }
            Reply::NotRun(failure) => {
                retry_after = failure.retry_after;
                sent.record_refused(failure);
            }
            Reply::Unknown(failure) if !resend_may_resolve(&failure.reason) => {
                return TicketResult::Outcome(Outcome::Unknown(failure));
            }
            Reply::Unknown(failure) => sent.record_lost(failure),
            // The entry that the ticket is bound to is probably gone, and lookups will soon return
            // another one. In the second half of the time, the request goes to other entries
            // instead, because the bound entry may be unreachable for this caller only.
            Reply::Unreachable(e) if next == 0 && timer.is_first_half() => {
                return TicketResult::NothingSent(Failure::local("unreachable", e));
            }
            Reply::Unreachable(e) => sent.record_refused(Failure::local("unreachable", e)),
            Reply::Lost(e) => sent.record_lost(Failure::local("connection-lost", e)),
        }
        next += 1;
        if next % entries.len() == 0 {
            entries = add_new_entries(caller, post.service, timer, entries);
        }
        if !timer.back_off(retry_after) {
            return TicketResult::Outcome(sent.outcome());
        }
    }
}

/// Adds the entries of a new lookup to `entries`. The earlier ones stay, because only the entry
/// that the ticket is bound to can run the request.
fn add_new_entries(
    caller: &Caller,
    service: &str,
    timer: &RetryTimer<'_>,
    mut entries: Vec<SocketAddr>,
) -> Vec<SocketAddr> {
    caller.lookup_cache.expire(service);
    let found = timer
        .attempt_timeout()
        .and_then(|t| caller.lookup_cache.find(&caller.pooled_agent, service, t).ok());
    for entry in found.iter().flat_map(|answer| &answer.entries) {
        if !entries.contains(&entry.address) {
            entries.push(entry.address);
        }
    }
    entries
}

/// The last failures of the copies of a request that were sent.
#[derive(Default)]
struct SentCopies {
    /// The last failure of a copy that may have run.
    lost: Option<Failure>,
    /// The last failure of a copy that certainly did not run.
    refused: Option<Failure>,
}

impl SentCopies {
    fn record_lost(&mut self, failure: Failure) {
        self.lost = Some(failure);
    }

    fn record_refused(&mut self, failure: Failure) {
        self.refused = Some(failure);
    }

    /// Returns the outcome after the last copy. It is `NotRun` only if no copy may have run.
    fn outcome(self) -> Outcome {
        match (self.lost, self.refused) {
            (Some(lost), _) => Outcome::Unknown(lost),
            (None, Some(refused)) => Outcome::NotRun(refused),
            (None, None) => Outcome::NotRun(Failure::local("deadline", "nothing was sent")),
        }
    }
}
