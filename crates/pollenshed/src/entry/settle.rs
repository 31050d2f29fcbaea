//! Settles attempts whose call failed, because only the owner knows whether the request ran.

use std::time::Duration;

use pollenshed_coordination::routing::Target;
use pollenshed_protocol::peer::{
    AnswerReply, NotRunReason, SettleRequest, UnknownReason, settle_reply,
};

use super::{dispatch::relay_address, http::ClassifiedRequest};
use crate::{instance::Shared, wire};

/// Time after the deadline during which the owner is still asked for the outcome.
pub(super) const SETTLE_GRACE_MS: u64 = 1_000;

/// Interval at which the owner is asked again while the attempt runs or the owner can't be reached.
const SETTLE_PERIOD: Duration = Duration::from_millis(50);

const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the owner for the outcome of an attempt whose call failed with `error`.
pub(super) async fn settle(
    shared: &Shared,
    classified: &ClassifiedRequest,
    target: &Target,
    id: &str,
    error: String,
) -> AnswerReply {
    let until = classified.deadline.plus_ms(SETTLE_GRACE_MS);
    loop {
        let now = shared.clock.now();
        if now >= until {
            return wire::unknown(UnknownReason::ConnectionLost, error);
        }
        if let Some(reply) = settle_once(shared, target, id).await {
            return reply;
        }
        tokio::time::sleep(SETTLE_PERIOD).await;
    }
}

/// Asks once. Returns the final outcome, or `None` if the attempt still runs or the call failed.
async fn settle_once(shared: &Shared, target: &Target, id: &str) -> Option<AnswerReply> {
    let address = relay_address(shared, &target.owner)?;
    let request =
        SettleRequest { attempt_id: id.to_owned(), owner_incarnation: target.incarnation.0 };
    let mut client = shared.work_peers.work(address);
    let reply = tokio::time::timeout(SETTLE_TIMEOUT, client.settle(request)).await.ok()?.ok()?;
    let reply = reply.into_inner();
    match reply.state() {
        settle_reply::State::NotRun => Some(wire::not_run(
            NotRunReason::ConnectFailed,
            "the owner was not reached in time and has promised not to run the request",
        )),
        settle_reply::State::Ended => reply.reply,
        settle_reply::State::Unknown => {
            Some(wire::unknown(UnknownReason::ConnectionLost, "the owner restarted"))
        }
        settle_reply::State::Running | settle_reply::State::Unspecified => None,
    }
}
