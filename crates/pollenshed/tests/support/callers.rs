//! Callers that send filings, which are non-idempotent requests, record every reply and compare the
//! replies with what the backend servers ran.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use pollenshed_protocol::caller::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, LookupAnswer, OUTCOME_HEADER, REASON_HEADER,
    TICKET_HEADER,
};
use ureq::Agent;

use super::{Fleet, faults::answer_to, wait_for};

/// Timeout of one request. An entry that answers at all takes less, so a caller that times out met
/// a process that does not answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);

/// Result of sending a request once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A complete answer of a backend server.
    Done(String),
    /// The request did not run, with the reason.
    NotRun(String),
    /// The request may have run, with the reason.
    Unknown(String),
    /// No complete answer with a valid outcome arrived, with the error.
    NoWholeAnswer(String),
}

/// A non-idempotent request and the replies to all its copies.
pub struct Filing {
    /// Ticket, which starts with its binding.
    pub ticket: String,
    /// Body, unique in the test.
    pub body: String,
    /// Instance that the ticket's binding names.
    pub named_instance: String,
    /// Address of that instance at the time of the lookup.
    pub address: SocketAddr,
    replies: Mutex<Vec<Reply>>,
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(CALLER_TIMEOUT));
    config.build().into()
}

/// Asks an entry which entries to use, as the client 10.0.0.`client`.
pub fn lookup(entry: SocketAddr, client: u8) -> Option<LookupAnswer> {
    let url = format!("http://{entry}/v1/lookup?service=ledger&client=10.0.0.{client}");
    agent().get(url).call().ok()?.body_mut().read_json().ok()
}

/// Sends a non-idempotent request with a ticket over a connection of its own.
pub fn post(entry: SocketAddr, ticket: &str, body: &str, deadline_ms: u64) -> Reply {
    post_with(entry, (TICKET_HEADER, ticket), body, deadline_ms)
}

/// Sends a non-idempotent request with an idempotency key over a connection of its own.
pub fn post_keyed(entry: SocketAddr, key: &str, body: &str, deadline_ms: u64) -> Reply {
    post_with(entry, (IDEMPOTENCY_KEY_HEADER, key), body, deadline_ms)
}

fn post_with(entry: SocketAddr, id: (&str, &str), body: &str, deadline_ms: u64) -> Reply {
    let request = agent()
        .post(format!("http://{entry}/v1/run/ledger/filings"))
        .header(id.0, id.1)
        .header(DEADLINE_HEADER, deadline_ms.to_string());
    reply_of(request.send(body))
}

/// Sends an idempotent request with a body over a connection of its own.
pub fn put(entry: SocketAddr, path: &str, body: &str) -> Reply {
    reply_of(agent().put(format!("http://{entry}/v1/run/ledger{path}")).send(body))
}

/// Sends an idempotent request over a connection of its own.
pub fn get(entry: SocketAddr, path: &str) -> Reply {
    reply_of(agent().get(format!("http://{entry}/v1/run/ledger{path}")).call())
}

fn reply_of(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Reply {
    let mut answer = match result {
        Ok(answer) => answer,
        Err(e) => return Reply::NoWholeAnswer(e.to_string()),
    };
    let header = |name: &str| {
        answer.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (header(OUTCOME_HEADER), header(REASON_HEADER));
    let body = match answer.body_mut().read_to_string() {
        Ok(body) => body,
        Err(e) => return Reply::NoWholeAnswer(e.to_string()),
    };
    match outcome.as_str() {
        "done" => Reply::Done(body),
        "not-run" => Reply::NotRun(reason),
        "unknown" => Reply::Unknown(reason),
        other => Reply::NoWholeAnswer(format!("outcome {other:?}")),
    }
}

impl Filing {
    /// Gets a binding from `entry` for the client 10.0.0.`client` and builds a ticket.
    pub fn prepare(entry: SocketAddr, client: u8, body: String) -> Filing {
        let answer = wait_for("a lookup", || lookup(entry, client));
        let first = &answer.entries[0];
        Filing {
            ticket: format!("{}/{}", answer.binding, body.replace(' ', "-")),
            body,
            named_instance: first.instance.to_string(),
            address: first.address,
            replies: Mutex::default(),
        }
    }

    /// Sends the filing to an entry and records the reply.
    pub fn send(&self, entry: SocketAddr, deadline_ms: u64) -> Reply {
        let reply = post(entry, &self.ticket, &self.body, deadline_ms);
        self.replies.lock().unwrap_or_else(PoisonError::into_inner).push(reply.clone());
        reply
    }

    /// Returns the replies so far.
    pub fn replies(&self) -> Vec<Reply> {
        self.replies.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of the attempt that ran at a backend server: 0 for the first, and for a
    /// filing that did not run. A higher number means that an owner promised not to run an earlier
    /// attempt.
    pub fn attempt(&self, fleet: &Fleet) -> u32 {
        let runs = fleet.backends.iter().flat_map(|(_, b)| b.runs());
        let mut own = runs.filter(|run| run.body == self.body.as_bytes());
        let number = own.next().and_then(|run| run.request_id.rsplit('#').next()?.parse().ok());
        number.unwrap_or_default()
    }

    /// Returns how the replies contradict what the backend servers ran, if they do.
    pub fn find_violation(&self, fleet: &Fleet) -> Option<String> {
        let runs = fleet.runs_of(self.body.as_bytes());
        let replies = self.replies();
        let expected = answer_to("POST", "/filings", &self.body);
        let violation =
            |what: &str| Some(format!("{}: {what}: {runs} runs, {replies:?}", self.ticket));
        if runs > 1 {
            return violation("ran more than once");
        }
        for reply in &replies {
            match reply {
                Reply::NotRun(_) if runs > 0 => return violation("refused although it ran"),
                Reply::Done(_) if runs == 0 => return violation("answered without a run"),
                Reply::Done(body) if *body != expected => {
                    return violation("another request's answer");
                }
                _ => {}
            }
        }
        None
    }

    /// Tells whether a reply states that the filing did not run.
    pub fn was_refused(&self) -> bool {
        self.replies().iter().any(|r| matches!(r, Reply::NotRun(_)))
    }

    /// Tells whether no reply states whether the filing ran.
    pub fn is_unknown(&self) -> bool {
        self.replies().iter().all(|r| matches!(r, Reply::Unknown(_) | Reply::NoWholeAnswer(_)))
    }
}
