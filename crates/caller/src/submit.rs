//! Non-idempotent requests: one ticket, resent until its outcome is known.

use std::{net::SocketAddr, sync::Arc};

use pollenshed_protocol::caller::{LookupAnswer, TICKET_HEADER, is_about_copy, may_clear_up};

use crate::{
    Caller, Outcome, Refusal,
    client::run_path,
    exchange::{Exchange, Reply},
    wait::Patience,
};

/// Submits a request; a refused one again under a new ticket if the options allow it.
pub(crate) fn run(caller: &Caller, service: &str, path: &str, body: &[u8]) -> Outcome {
    run_post(caller, &Post { service, path: &run_path(service, path), body })
}

/// Posts something non-idempotent; a refused request again under a new ticket if the options allow.
pub(crate) fn run_post(caller: &Caller, post: &Post<'_>) -> Outcome {
    let mut patience = Patience::new(&caller.options);
    let mut retries = caller.options.not_run_retries;
    loop {
        let outcome = run_under_new_ticket(caller, post, &mut patience);
        let refusal = match &outcome {
            Outcome::NotRun(refusal) if retries > 0 && may_pass(refusal) => refusal,
            _ => return outcome,
        };
        retries -= 1;
        if !patience.pause(refusal.retry_after) {
            return outcome;
        }
    }
}

/// What is posted.
pub(crate) struct Post<'a> {
    pub service: &'a str,
    /// Path of the HTTP request.
    pub path: &'a str,
    pub body: &'a [u8],
}

/// Tells whether the reason of a refusal may be gone after a while.
fn may_pass(refusal: &Refusal) -> bool {
    refusal.status.is_none_or(|status| status == 503)
}

/// Creates a ticket and sends the request under it.
fn run_under_new_ticket(caller: &Caller, post: &Post<'_>, patience: &mut Patience<'_>) -> Outcome {
    loop {
        let answer = match find(caller, post.service, patience) {
            Ok(answer) => answer,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        let ticket = new_ticket(&answer);
        match run_under_ticket(caller, post, &ticket, &answer, patience) {
            Ended::Outcome(outcome) => return outcome,
            Ended::NothingSent(refusal) => {
                caller.directory.expire(post.service);
                if !patience.pause(None) {
                    return Outcome::NotRun(refusal);
                }
            }
        }
    }
}

/// How far a ticket came.
enum Ended {
    /// This is the outcome of the request.
    Outcome(Outcome),
    /// The entry that the ticket names was not reached and nothing was sent, so another ticket may
    /// be used.
    NothingSent(Refusal),
}

/// Looks up the entries of a service; asks again until the deadline if nobody can be reached.
pub(crate) fn find(
    caller: &Caller,
    service: &str,
    patience: &mut Patience<'_>,
) -> Result<Arc<LookupAnswer>, Refusal> {
    loop {
        let Some(timeout) = patience.attempt() else {
            return Err(Refusal::local("unreachable", "no seed answered in time"));
        };
        match caller.directory.find(&caller.pooled, service, timeout) {
            Ok(answer) => return Ok(answer),
            Err(refusal) if !may_pass(&refusal) => return Err(refusal),
            Err(refusal) => {
                if !patience.pause(refusal.retry_after) {
                    return Err(refusal);
                }
            }
        }
    }
}

/// Returns a ticket that nobody used before.
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
    patience: &mut Patience<'_>,
) -> Ended {
    let mut sent = Sent::default();
    let mut entries: Vec<SocketAddr> = answer.entries.iter().map(|e| e.address).collect();
    let mut next = 0;
    loop {
        let Some(timeout) = patience.attempt() else {
            return Ended::Outcome(sent.outcome());
        };
        let mut headers = caller.headers(patience);
        headers.push((TICKET_HEADER, ticket.to_owned()));
        let exchange = Exchange {
            method: "POST",
            entry: entries[next % entries.len()],
            path: post.path,
            headers: &headers,
            body: Some(post.body),
            timeout,
        };
        let mut retry_after = None;
        match exchange.run(&caller.fresh) {
            Reply::Done(answer) => return Ended::Outcome(Outcome::Done(answer)),
            Reply::NotRun(refusal) if !is_about_copy(&refusal.reason) => {
                return Ended::Outcome(Outcome::NotRun(refusal));
            }
            Reply::NotRun(refusal) if !may_pass(&refusal) => {
                sent.refused(refusal);
                return Ended::Outcome(sent.outcome());
            }
            Reply::NotRun(refusal) => {
                retry_after = refusal.retry_after;
                sent.refused(refusal);
            }
            Reply::Unknown(refusal) if !may_clear_up(&refusal.reason) => {
                return Ended::Outcome(Outcome::Unknown(refusal));
            }
            Reply::Unknown(refusal) => sent.lost(refusal),
            // Most likely the named entry is gone and lookups will soon name another. Later, other
            // entries get the request, because the named one may be cut off from this caller only.
            Reply::Unreachable(e) if next == 0 && patience.is_first_half() => {
                return Ended::NothingSent(Refusal::local("unreachable", e));
            }
            Reply::Unreachable(e) => sent.refused(Refusal::local("unreachable", e)),
            Reply::Lost(e) => sent.lost(Refusal::local("connection-lost", e)),
        }
        next += 1;
        if next % entries.len() == 0 {
            entries = more_entries(caller, post.service, patience, entries);
        }
        if !patience.pause(retry_after) {
            return Ended::Outcome(sent.outcome());
        }
    }
}

/// Adds the entries of a new lookup; those that the ticket began with are kept, because only the
/// entry that the ticket names can run it.
fn more_entries(
    caller: &Caller,
    service: &str,
    patience: &Patience<'_>,
    mut entries: Vec<SocketAddr>,
) -> Vec<SocketAddr> {
    caller.directory.expire(service);
    let found =
        patience.attempt().and_then(|t| caller.directory.find(&caller.pooled, service, t).ok());
    for entry in found.iter().flat_map(|answer| &answer.entries) {
        if !entries.contains(&entry.address) {
            entries.push(entry.address);
        }
    }
    entries
}

/// What is known about the copies of a request that were sent.
#[derive(Default)]
struct Sent {
    /// The last copy that may have been received.
    lost: Option<Refusal>,
    /// The last copy that was certainly not run.
    refused: Option<Refusal>,
}

impl Sent {
    fn lost(&mut self, refusal: Refusal) {
        self.lost = Some(refusal);
    }

    fn refused(&mut self, refusal: Refusal) {
        self.refused = Some(refusal);
    }

    /// Returns the outcome when no more copies are sent: `not-run` only if no copy may have run.
    fn outcome(self) -> Outcome {
        match (self.lost, self.refused) {
            (Some(lost), _) => Outcome::Unknown(lost),
            (None, Some(refused)) => Outcome::NotRun(refused),
            (None, None) => Outcome::NotRun(Refusal::local("deadline", "nothing was sent")),
        }
    }
}
