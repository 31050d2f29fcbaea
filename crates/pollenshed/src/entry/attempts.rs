//! What a request learned from its failed attempts, and whether another one is allowed.

use pollenshed_coordination::routing::Target;
use pollenshed_protocol::peer::{AnswerReply, NotRunReason, UnknownReason, answer_reply};
use pollenshed_state::ids::{FailureDomainName, InstanceName};

use crate::wire;

/// What the next attempt may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// The outcome is final.
    Stop,
    /// Another owner may be asked; no backend server was bothered.
    AskAnother,
    /// The request may be sent to a backend server again, which costs a retry.
    Retry,
}

/// Failed attempts of one request.
#[derive(Debug, Default)]
pub(super) struct Tried {
    pub(super) owners: Vec<InstanceName>,
    pub(super) backend_servers: Vec<String>,
    pub(super) counted_domain: Option<FailureDomainName>,
    /// Whether the request was counted as arrived.
    pub(super) is_arrival_counted: bool,
    /// Backend servers whose connection broke while they ran the request.
    pub(super) crashed: Vec<String>,
    may_have_run: bool,
}

impl Tried {
    /// Takes note of a failed attempt.
    ///
    /// An owner that has nothing for the request is not asked again. A backend server that failed is
    /// excluded, but its owner may have others.
    pub(super) fn note(&mut self, target: &Target, reply: &AnswerReply) -> Next {
        self.counted_domain = Some(target.failure_domain.clone());
        let next = match &reply.outcome {
            Some(answer_reply::Outcome::NotRun(not_run)) => after_not_run(not_run.reason()),
            Some(answer_reply::Outcome::Unknown(unknown)) => {
                self.may_have_run = true;
                if unknown.reason() == UnknownReason::ConnectionLost
                    && !reply.backend_server.is_empty()
                {
                    self.crashed.push(reply.backend_server.clone());
                }
                after_unknown(unknown.reason())
            }
            _ => Next::Stop,
        };
        if reply.backend_server.is_empty() {
            self.owners.push(target.owner.clone());
        } else {
            self.backend_servers.push(reply.backend_server.clone());
        }
        next
    }

    /// Returns the outcome of the request, given the one of its last attempt.
    ///
    /// A refusal of a later attempt says nothing about an earlier one that may have run.
    pub(super) fn outcome(&self, last: AnswerReply) -> AnswerReply {
        match &last.outcome {
            Some(answer_reply::Outcome::NotRun(not_run)) if self.may_have_run => wire::unknown(
                UnknownReason::ConnectionLost,
                format!("an attempt may have run, and another was refused: {}", not_run.detail),
            ),
            _ => last,
        }
    }
}

fn after_not_run(reason: NotRunReason) -> Next {
    match reason {
        NotRunReason::NotOwner
        | NotRunReason::WrongIncarnation
        | NotRunReason::NoBackendServer
        | NotRunReason::Stopping
        | NotRunReason::ConnectFailed => Next::AskAnother,
        NotRunReason::Shed | NotRunReason::Overloaded => Next::Retry,
        NotRunReason::Unspecified
        | NotRunReason::Deadline
        | NotRunReason::Quarantined
        | NotRunReason::Forbidden
        | NotRunReason::StoreUnavailable
        | NotRunReason::Invalid => Next::Stop,
    }
}

fn after_unknown(reason: UnknownReason) -> Next {
    match reason {
        UnknownReason::ConnectionLost => Next::Retry,
        _ => Next::Stop,
    }
}
