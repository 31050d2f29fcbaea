//! Limits, by rank, on the requests and bytes that an entry holds for its callers.

use std::sync::Arc;

use hyper::{Response, StatusCode, header::RETRY_AFTER};
use pollenshed_protocol::caller::Outcome;
use pollenshed_state::{config::Rank, units::ByteSize};
use pollenshed_transport::edge::ResponseBody;

use super::answer::refusal;
use crate::{instance::Shared, util::lock};

/// Reserves capacity of this entry for one request until it is dropped.
pub struct Admitted {
    shared: Arc<Shared>,
    rank: Rank,
    held: ByteSize,
}

impl Admitted {
    /// Reserves capacity for a request that will hold `held` bytes, or refuses it as not run.
    pub fn admit(
        shared: &Arc<Shared>,
        rank: Rank,
        held: ByteSize,
    ) -> Result<Admitted, Box<Response<ResponseBody>>> {
        let now = shared.clock.now();
        match lock(&shared.admission).admit(rank, held, now, fastrand::u64(..)) {
            Ok(()) => Ok(Admitted { shared: shared.clone(), rank, held }),
            Err(refused) => {
                log::info!(
                    rank:%,
                    reason:% = refused.reason,
                    held_bytes = held.0,
                    retry_after_ms = refused.retry_after_ms;
                    "entry: request refused; no room for its rank"
                );
                let detail = "the entry holds as many requests of this rank as it may";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let mut answer = refusal(status, Outcome::NotRun, "entry-full", detail);
                let seconds = refused.retry_after_ms.div_ceil(1_000).max(1);
                answer.headers_mut().insert(RETRY_AFTER, seconds.into());
                Err(Box::new(answer))
            }
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        lock(&self.shared.admission).finish(self.rank, self.held);
    }
}
