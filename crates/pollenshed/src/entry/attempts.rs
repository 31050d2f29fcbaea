//! Records the failed attempts of a request and decides whether another attempt may follow.

use pollenshed_coordination::routing::Target;
use pollenshed_protocol::peer::{AnswerReply, NotRunReason, UnknownReason, answer_reply};
use pollenshed_state::ids::{FailureDomainName, InstanceName};

use crate::wire;

/// What may follow a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextStep {
    /// No further attempt: the outcome is final.
    Stop,
    /// Another owner may be asked. This costs no retry, because no backend server received the
    /// request.
    AskAnotherOwner,
    /// The request may be sent again, which takes a retry from the budget of the service.
    Retry,
}

/// What the failed attempts of one request exclude for the next one.
#[derive(Debug, Default)]
pub(super) struct FailedAttempts {
    pub(super) owners: Vec<InstanceName>,
    pub(super) backend_servers: Vec<String>,
    pub(super) counted_domain: Option<FailureDomainName>,
    /// Whether the request has been counted as an arrival.
    pub(super) is_arrival_counted: bool,
    /// Backend servers whose connection was lost while they may have run the request.
    pub(super) crashed: Vec<String>,
    may_have_run: bool,
}

impl FailedAttempts {
    /// Records a failed attempt and returns what may follow.
    ///
    /// If the reply names no backend server, the owner is excluded. Otherwise only the backend
    /// server is excluded, because its owner may have others.
    pub(super) fn record(&mut self, target: &Target, reply: &AnswerReply) -> NextStep {
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
            _ => NextStep::Stop,
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
    /// A refusal of the last attempt doesn't show that an earlier one did not run.
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

fn after_not_run(reason: NotRunReason) -> NextStep {
    match reason {
        NotRunReason::NotOwner
        | NotRunReason::WrongIncarnation
        | NotRunReason::NoBackendServer
        | NotRunReason::Stopping
        | NotRunReason::ConnectFailed => NextStep::AskAnotherOwner,
        NotRunReason::Shed | NotRunReason::Overloaded => NextStep::Retry,
        NotRunReason::Unspecified
        | NotRunReason::Deadline
        | NotRunReason::Quarantined
        | NotRunReason::Forbidden
        | NotRunReason::StoreUnavailable
        | NotRunReason::Invalid => NextStep::Stop,
    }
}

fn after_unknown(reason: UnknownReason) -> NextStep {
    match reason {
        UnknownReason::ConnectionLost => NextStep::Retry,
        _ => NextStep::Stop,
    }
}
