//! Idempotent requests.

use std::net::SocketAddr;

use crate::{
    Caller, Failure, Outcome,
    client::run_path,
    exchange::{ANSWER_TOO_LARGE, Exchange, Reply},
    wait::RetryTimer,
};

/// Sends a GET request to one entry after the other until one answers or the deadline passes.
pub(crate) fn run(caller: &Caller, service: &str, path: &str) -> Outcome {
    let mut timer = RetryTimer::new(&caller.options);
    let mut retries = caller.options.not_run_retries;
    let mut last = Outcome::NotRun(Failure::local("unreachable", "no entry could be reached"));
    loop {
        let retry_after = match try_entries(caller, service, path, &timer, &mut last) {
            EntriesResult::Ended(outcome) => return outcome,
            EntriesResult::Failed => None,
            EntriesResult::Refused(retry_after) if retries > 0 => {
                retries -= 1;
                retry_after
            }
            EntriesResult::Refused(_) => return last,
        };
        if !timer.back_off(retry_after) {
            return last;
        }
    }
}

/// The result of trying the entries of one lookup answer.
enum EntriesResult {
    Ended(Outcome),
    /// No entry gave a final answer. The entries of a new lookup may.
    Failed,
    /// An entry refused the request with status 503, so a later attempt may succeed.
    Refused(Option<std::time::Duration>),
}

/// Tries the entries of one lookup answer in order. Records the last failure in `last`.
fn try_entries(
    caller: &Caller,
    service: &str,
    path: &str,
    timer: &RetryTimer<'_>,
    last: &mut Outcome,
) -> EntriesResult {
    for entry in entries_to_try(caller, service, timer, last) {
        let Some(timeout) = timer.attempt_timeout() else { break };
        let headers = caller.headers(timer);
        let path = run_path(service, path);
        let exchange = Exchange {
            method: "GET",
            entry,
            path: &path,
            headers: &headers,
            body: None,
            timeout,
            max_answer_bytes: caller.options.max_answer_bytes,
        };
        match exchange.run(&caller.pooled_agent) {
            Reply::Done(answer) => return EntriesResult::Ended(Outcome::Done(answer)),
            Reply::NotRun(failure) if failure.status == Some(503) => {
                let retry_after = failure.retry_after;
                *last = Outcome::NotRun(failure);
                return EntriesResult::Refused(retry_after);
            }
            Reply::NotRun(failure) => return EntriesResult::Ended(Outcome::NotRun(failure)),
            Reply::Unknown(failure) => *last = Outcome::Unknown(failure),
            Reply::Unreachable(e) => {
                *last = Outcome::NotRun(Failure::local("unreachable", e));
            }
            Reply::Lost(e) => *last = Outcome::Unknown(Failure::local("connection-lost", e)),
        }
    }
    caller.lookup_cache.expire(service);
    match last {
        // A further try would get the same answer, and keep as much of it in memory.
        Outcome::Unknown(failure) if failure.reason == ANSWER_TOO_LARGE => {
            EntriesResult::Ended(last.clone())
        }
        _ => EntriesResult::Failed,
    }
}

/// Returns the entries to try. If the lookup fails, these are the entries of the last answer.
fn entries_to_try(
    caller: &Caller,
    service: &str,
    timer: &RetryTimer<'_>,
    last: &mut Outcome,
) -> Vec<SocketAddr> {
    let Some(timeout) = timer.attempt_timeout() else { return Vec::new() };
    let found = match caller.lookup_cache.find(&caller.pooled_agent, service, timeout) {
        Ok(answer) => Some(answer),
        Err(failure) => {
            *last = Outcome::NotRun(failure);
            caller.lookup_cache.last(service)
        }
    };
    found.map(|answer| answer.entries.iter().map(|e| e.address).collect()).unwrap_or_default()
}
