//! Runs requests that carry an idempotency key in place of a ticket.
//!
//! A conditional write to the platform's table service binds the key to a ticket, if the key has no
//! row yet. Every later request with the key runs under the same ticket, so it runs at most once.

use std::sync::Arc;

use pollenshed_protocol::{
    peer::{AnswerReply, NotRunReason, answer_reply},
    platform::CLAIM_TABLE,
};
use pollenshed_state::{
    ids::{Binding, Digest, Ticket},
    time::Instant,
};
use pollenshed_transport::platform::{PlatformError, PutOutcome};
use serde::{Deserialize, Serialize};

use super::{http::ClassifiedRequest, ticketed};
use crate::{instance::Shared, util::lock, wire};

/// Claims per second of all instances together. The store takes several hundred writes a second
/// for all uses.
const CLAIMS_PER_S: u64 = 50;

const MAX_KEY_BYTES: usize = 256;

/// Limits the claims of this instance per second, to protect the store.
#[derive(Debug, Default)]
pub struct ClaimBudget {
    second: u64,
    taken: u64,
}

impl ClaimBudget {
    /// Takes one claim if this instance's equal share of [`CLAIMS_PER_S`] allows it. The share is
    /// at least one claim a second.
    fn try_take(&mut self, instances: u64, now: Instant) -> bool {
        let second = now.as_ms() / 1_000;
        if second != self.second {
            (self.second, self.taken) = (second, 0);
        }
        self.taken += 1;
        self.taken <= (CLAIMS_PER_S / instances.max(1)).max(1)
    }
}

/// Value of a claim row.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Claim {
    /// Ticket under which the request runs.
    ticket: String,
    /// Digest of the content of the first request with the key. Another content is a conflict.
    content: Digest,
}

/// The claim row of a key as stored, which may have been written by another entry.
struct StoredClaim {
    claim: Claim,
    revision: u64,
    is_own: bool,
}

/// Runs a request under the ticket that its idempotency key is bound to.
pub async fn run(shared: &Arc<Shared>, key: &str, classified: ClassifiedRequest) -> AnswerReply {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return wire::not_run(NotRunReason::Invalid, "an idempotency key has 1 to 256 bytes");
    }
    let row_key = Digest::of(format!("{}\n{key}", classified.request.service).as_bytes()).hex();
    let content = wire::content_digest(&classified.request);
    let claimed = match bind_key(shared, &row_key, 0, content).await {
        Ok(claimed) => claimed,
        Err(refused) => return refused,
    };
    if claimed.claim.content != content {
        return wire::conflict();
    }
    let reply = run_under_claim(shared, &claimed, &classified).await;
    if claimed.is_own || !will_never_run(&reply) {
        return reply;
    }
    // The request will never run under the earlier ticket, so the key can be bound to a new one.
    match bind_key(shared, &row_key, claimed.revision, content).await {
        Ok(renewed) => run_under_claim(shared, &renewed, &classified).await,
        Err(refused) => refused,
    }
}

/// Tells whether the reply shows that nothing will ever run under the claimed ticket.
///
/// `Invalid` and `StoreUnavailable` don't show this: they are returned before the named entry
/// checks its ledger, so an earlier copy of the request may have run under the ticket.
fn will_never_run(reply: &AnswerReply) -> bool {
    match &reply.outcome {
        Some(answer_reply::Outcome::NotRun(not_run)) => {
            !matches!(not_run.reason(), NotRunReason::Invalid | NotRunReason::StoreUnavailable)
        }
        _ => false,
    }
}

async fn run_under_claim(
    shared: &Arc<Shared>,
    claimed: &StoredClaim,
    classified: &ClassifiedRequest,
) -> AnswerReply {
    match claimed.claim.ticket.parse() {
        Ok(ticket) => ticketed::run(shared, ticket, classified.clone()).await,
        Err(_) => wire::not_run(NotRunReason::StoreUnavailable, "the claim row can't be read"),
    }
}

/// Binds a key to a new ticket if its row has the expected revision, where 0 means no row.
/// Otherwise returns the row that exists.
async fn bind_key(
    shared: &Arc<Shared>,
    row_key: &str,
    expected_revision: u64,
    content: Digest,
) -> Result<StoredClaim, AnswerReply> {
    let now = shared.clock.now();
    let instances = lock(&shared.membership).members(now).count() as u64;
    if !lock(&shared.claim_budget).try_take(instances, now) {
        return Err(wire::not_run_retry_after(
            NotRunReason::Overloaded,
            1_000,
            "too many requests with an idempotency key; use tickets",
        ));
    }
    let binding = Binding {
        instance: shared.settings.instance.clone(),
        incarnation: shared.incarnation,
        stamp: now,
    };
    let ticket = Ticket { binding, id: format!("key-{:016x}", fastrand::u64(..)) };
    let claim = Claim { ticket: ticket.to_string(), content };
    let (store, row_key) = (shared.platform.clone(), row_key.to_owned());
    let write = tokio::task::spawn_blocking(move || {
        write_claim(&store, &row_key, expected_revision, claim)
    });
    match write.await {
        Ok(Ok(claimed)) => Ok(claimed),
        Ok(Err(e)) => {
            log::info!(error:% = e; "entry: failed to bind an idempotency key to a ticket");
            Err(wire::not_run_retry_after(NotRunReason::StoreUnavailable, 1_000, e.to_string()))
        }
        Err(e) => Err(wire::not_run(NotRunReason::StoreUnavailable, e.to_string())),
    }
}

/// Writes a claim. If the reply is lost, reads the row back to learn whether the write took effect.
fn write_claim(
    store: &pollenshed_transport::platform::Platform,
    row_key: &str,
    expected_revision: u64,
    claim: Claim,
) -> Result<StoredClaim, PlatformError> {
    let value = serde_json::to_value(&claim).map_err(malformed)?;
    let row = match store.put_row(CLAIM_TABLE, row_key, expected_revision, value) {
        Ok(PutOutcome::Written(row)) => Some(row),
        Ok(PutOutcome::Refused(row)) => row,
        Err(PlatformError::Unavailable(_)) => store.get_row(CLAIM_TABLE, row_key)?,
        Err(e) => return Err(e),
    };
    let Some(row) = row else {
        return Err(PlatformError::Unavailable("the claim was not written".to_owned()));
    };
    let found: Claim = serde_json::from_value(row.value).map_err(malformed)?;
    Ok(StoredClaim { is_own: found == claim, claim: found, revision: row.revision })
}

fn malformed(error: serde_json::Error) -> PlatformError {
    PlatformError::Malformed(format!("claim row: {error}"))
}
