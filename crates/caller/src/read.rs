//! Idempotent requests.

use std::net::SocketAddr;

use crate::{
    Caller, Outcome, Refusal,
    client::run_path,
    exchange::{Exchange, Reply},
    wait::Patience,
};

/// Reads from one entry after the other until one answers or the deadline passes.
pub(crate) fn run(caller: &Caller, service: &str, path: &str) -> Outcome {
    let mut patience = Patience::new(&caller.options);
    let mut retries = caller.options.not_run_retries;
    let mut last = Outcome::NotRun(Refusal::local("unreachable", "no entry was reached"));
    loop {
        let retry_after = match round(caller, service, path, &patience, &mut last) {
            Round::Ended(outcome) => return outcome,
            Round::Failed => None,
            Round::Refused(retry_after) if retries > 0 => {
                retries -= 1;
                retry_after
            }
            Round::Refused(_) => return last,
        };
        if !patience.pause(retry_after) {
            return last;
        }
    }
}

enum Round {
    Ended(Outcome),
    /// No entry answered; others may.
    Failed,
    /// An entry refused for a reason that may pass.
    Refused(Option<std::time::Duration>),
}

/// Tries each entry of one lookup answer.
fn round(
    caller: &Caller,
    service: &str,
    path: &str,
    patience: &Patience<'_>,
    last: &mut Outcome,
) -> Round {
    for entry in entries(caller, service, patience, last) {
        let Some(timeout) = patience.attempt() else { break };
        let headers = caller.headers(patience);
        let path = run_path(service, path);
        let exchange =
            Exchange { method: "GET", entry, path: &path, headers: &headers, body: None, timeout };
        match exchange.run(&caller.pooled) {
            Reply::Done(answer) => return Round::Ended(Outcome::Done(answer)),
            Reply::NotRun(refusal) if refusal.status == Some(503) => {
                let retry_after = refusal.retry_after;
                *last = Outcome::NotRun(refusal);
                return Round::Refused(retry_after);
            }
            Reply::NotRun(refusal) => return Round::Ended(Outcome::NotRun(refusal)),
            Reply::Unknown(refusal) => *last = Outcome::Unknown(refusal),
            Reply::Unreachable(e) => {
                *last = Outcome::NotRun(Refusal::local("unreachable", e));
            }
            Reply::Lost(e) => *last = Outcome::Unknown(Refusal::local("connection-lost", e)),
        }
    }
    caller.directory.expire(service);
    Round::Failed
}

/// Returns the entries to try; old ones if nobody answers a lookup.
fn entries(
    caller: &Caller,
    service: &str,
    patience: &Patience<'_>,
    last: &mut Outcome,
) -> Vec<SocketAddr> {
    let Some(timeout) = patience.attempt() else { return Vec::new() };
    let found = match caller.directory.find(&caller.pooled, service, timeout) {
        Ok(answer) => Some(answer),
        Err(refusal) => {
            *last = Outcome::NotRun(refusal);
            caller.directory.last(service)
        }
    };
    found.map(|answer| answer.entries.iter().map(|e| e.address).collect()).unwrap_or_default()
}
