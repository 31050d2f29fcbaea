//! Callers that send filings, note every outcome and compare it with what the backend servers ran.

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

/// Time after which a caller gives up on a connection. It is longer than any time that an entry
/// takes for an answer, so a caller that gives up found a process that did not answer at all.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);

/// What a caller learned from one sending of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A whole answer of a backend server.
    Done(String),
    /// A refusal with its reason.
    NotRun(String),
    /// The request may have run, with the reason.
    Unknown(String),
    /// No whole answer arrived.
    NoWholeAnswer(String),
}

/// A non-idempotent request and all replies to its sendings.
pub struct Filing {
    /// Ticket with its binding.
    pub ticket: String,
    /// Body, unique in the test.
    pub body: String,
    /// Instance that the ticket names.
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

/// Asks an entry which entries to use, as the client with this address.
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
    /// Gets a ticket from the entry at `entry` for the client with this address.
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

    /// Sends the filing to an entry and notes the reply.
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
    /// filing that did not run. A higher one means that an owner promised not to run an earlier one.
    pub fn attempt(&self, fleet: &Fleet) -> u32 {
        let runs = fleet.backends.iter().flat_map(|(_, b)| b.runs());
        let mut own = runs.filter(|run| run.body == self.body.as_bytes());
        let number = own.next().and_then(|run| run.request_id.rsplit('#').next()?.parse().ok());
        number.unwrap_or_default()
    }

    /// Compares all replies with what the backend servers ran. Returns what is wrong.
    pub fn find_violation(&self, fleet: &Fleet) -> Option<String> {
        let runs = fleet.runs_of(self.body.as_bytes());
        let replies = self.replies();
        let expected = answer_to("POST", "/filings", &self.body);
        let wrong = |what: &str| Some(format!("{}: {what}: {runs} runs, {replies:?}", self.ticket));
        if runs > 1 {
            return wrong("ran more than once");
        }
        for reply in &replies {
            match reply {
                Reply::NotRun(_) if runs > 0 => return wrong("false refusal"),
                Reply::Done(_) if runs == 0 => return wrong("answered without a run"),
                Reply::Done(body) if *body != expected => return wrong("another request's answer"),
                _ => {}
            }
        }
        None
    }

    /// Tells whether a reply said that the filing did not run.
    pub fn was_refused(&self) -> bool {
        self.replies().iter().any(|r| matches!(r, Reply::NotRun(_)))
    }

    /// Tells whether no reply said what became of the filing.
    pub fn is_unknown(&self) -> bool {
        self.replies().iter().all(|r| matches!(r, Reply::Unknown(_) | Reply::NoWholeAnswer(_)))
    }
}
