//! Settles attempts whose call failed: only the owner can say that a request did not run.

use std::time::Duration;

use pollenshed_coordination::routing::Target;
use pollenshed_protocol::peer::{
    AnswerReply, NotRunReason, SettleRequest, UnknownReason, settle_reply,
};

use super::{dispatch::relay_address, http::Classified};
use crate::{instance::Shared, wire};

/// Time beyond the deadline in which an owner can still say what became of a request.
pub(super) const SETTLE_GRACE_MS: u64 = 1_000;

/// Period in which a running attempt is asked about again.
const SETTLE_PERIOD: Duration = Duration::from_millis(50);

/// Timeout of one settle call.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the owner what became of an attempt whose call failed.
pub(super) async fn settle(
    shared: &Shared,
    work: &Classified,
    target: &Target,
    id: &str,
    error: String,
) -> AnswerReply {
    let until = work.deadline.plus_ms(SETTLE_GRACE_MS);
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

/// Returns the final outcome, or nothing while it is open.
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
