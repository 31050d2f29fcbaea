//! Requests with an idempotency key in place of a ticket.
//!
//! A row of the platform's table service binds the key to a ticket, on the condition that no row
//! exists. From then on the ticket decides, so the request runs at most once.

use std::sync::Arc;

use pollenshed_protocol::{
    peer::{AnswerReply, NotRunReason, answer_reply},
    platform::CLAIM_TABLE,
};
use pollenshed_state::{
    ids::{Binding, Digest, Ticket},
    time::Instant,
};
use pollenshed_transport::platform::{PlatformError, Put};
use serde::{Deserialize, Serialize};

use super::{http::Classified, ticketed};
use crate::{instance::Shared, util::lock, wire};

/// Claims per second of all instances of a user. The store bears several hundred writes a second for
/// everything.
const CLAIMS_PER_S: u64 = 50;

/// Longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Counts the claims of this instance in the current second.
#[derive(Debug, Default)]
pub struct ClaimBudget {
    second: u64,
    taken: u64,
}

impl ClaimBudget {
    /// Takes one claim of this instance's share. At least one a second is allowed.
    fn take(&mut self, instances: u64, now: Instant) -> bool {
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
    /// Digest of the request's content.
    content: Digest,
}

/// A claim row as the store has it.
struct Claimed {
    claim: Claim,
    revision: u64,
    is_ours: bool,
}

/// Runs a request under the ticket that its key is bound to.
pub async fn run(shared: &Arc<Shared>, key: &str, work: Classified) -> AnswerReply {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return wire::not_run(NotRunReason::Invalid, "an idempotency key has 1 to 256 bytes");
    }
    let row_key = Digest::of(format!("{}\n{key}", work.request.service).as_bytes()).hex();
    let content = wire::content_digest(&work.request);
    let claimed = match claim(shared, &row_key, 0, content).await {
        Ok(claimed) => claimed,
        Err(refused) => return refused,
    };
    if claimed.claim.content != content {
        return wire::conflict();
    }
    let reply = run_claimed(shared, &claimed, &work).await;
    if claimed.is_ours || !never_runs(&reply) {
        return reply;
    }
    // The earlier ticket will never run, so the key can be bound to a new one.
    match claim(shared, &row_key, claimed.revision, content).await {
        Ok(renewed) => run_claimed(shared, &renewed, &work).await,
        Err(refused) => refused,
    }
}

/// Tells whether the reply says that the claimed ticket will never run.
///
/// The other refusals are given before the ledger of the named entry is looked at, so an earlier copy
/// may have run under the ticket.
fn never_runs(reply: &AnswerReply) -> bool {
    match &reply.outcome {
        Some(answer_reply::Outcome::NotRun(not_run)) => {
            !matches!(not_run.reason(), NotRunReason::Invalid | NotRunReason::StoreUnavailable)
        }
        _ => false,
    }
}

async fn run_claimed(shared: &Arc<Shared>, claimed: &Claimed, work: &Classified) -> AnswerReply {
    match claimed.claim.ticket.parse() {
        Ok(ticket) => ticketed::run(shared, ticket, work.clone()).await,
        Err(_) => wire::not_run(NotRunReason::StoreUnavailable, "the claim row can't be read"),
    }
}

/// Binds a key to a new ticket if its row has the expected revision; else returns the present row.
async fn claim(
    shared: &Arc<Shared>,
    row_key: &str,
    expected_revision: u64,
    content: Digest,
) -> Result<Claimed, AnswerReply> {
    let now = shared.clock.now();
    let instances = lock(&shared.membership).members(now).count() as u64;
    if !lock(&shared.claims).take(instances, now) {
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
    let put = tokio::task::spawn_blocking(move || put(&store, &row_key, expected_revision, claim));
    match put.await {
        Ok(Ok(claimed)) => Ok(claimed),
        Ok(Err(e)) => {
            log::info!(error:% = e; "entry: a claim failed");
            Err(wire::not_run_retry_after(NotRunReason::StoreUnavailable, 1_000, e.to_string()))
        }
        Err(e) => Err(wire::not_run(NotRunReason::StoreUnavailable, e.to_string())),
    }
}

/// Writes a claim. A lost reply is settled by reading the row back.
fn put(
    store: &pollenshed_transport::platform::Platform,
    row_key: &str,
    expected_revision: u64,
    claim: Claim,
) -> Result<Claimed, PlatformError> {
    let value = serde_json::to_value(&claim).map_err(malformed)?;
    let row = match store.put_row(CLAIM_TABLE, row_key, expected_revision, value) {
        Ok(Put::Written(row)) => Some(row),
        Ok(Put::Refused(row)) => row,
        Err(PlatformError::Unavailable(_)) => store.get_row(CLAIM_TABLE, row_key)?,
        Err(e) => return Err(e),
    };
    let Some(row) = row else {
        return Err(PlatformError::Unavailable("the claim was not written".to_owned()));
    };
    let found: Claim = serde_json::from_value(row.value).map_err(malformed)?;
    Ok(Claimed { is_ours: found == claim, claim: found, revision: row.revision })
}

fn malformed(error: serde_json::Error) -> PlatformError {
    PlatformError::Malformed(format!("claim row: {error}"))
}
