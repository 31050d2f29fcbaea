//! Cancels abandoned requests and frees their slots once the backend server does not run them.

use std::{sync::Arc, time::Duration};

use pollenshed_coordination::limits::WorkId;
use pollenshed_state::config::BackendServer;
use pollenshed_transport::backend::CancelOutcome;

use crate::{instance::Shared, util::lock};

/// Time between two cancel calls for one request.
const CANCEL_PERIOD: Duration = Duration::from_millis(250);

/// Cancel calls that find no such request before its slot is free. The first may have overtaken the
/// request on its way.
const CALLS_WITHOUT_RUN: u32 = 3;

/// Cancel calls at most; afterwards the scheduler's own bound frees the slot.
const MAX_CALLS: u32 = 40;

/// A dispatched request that nobody waits for.
pub(super) struct Abandoned {
    /// Number of the request in the scheduler.
    pub(super) id: WorkId,
    /// Id that the backend server knows.
    pub(super) request_id: String,
    /// The server that may run it.
    pub(super) server: BackendServer,
}

/// Cancels a request until the server says that it does not run it.
///
/// Its slot stays counted until then: a server that has not heard of the deadline or of the cancel
/// call would otherwise run one request more than its slots.
pub(super) fn spawn(shared: &Arc<Shared>, abandoned: Abandoned) {
    let runner = shared.clone();
    let abandoned = Arc::new(abandoned);
    shared.work.spawn(async move {
        let mut without_run = 0;
        for _ in 0..MAX_CALLS {
            let outcome = call(&runner, &abandoned).await;
            without_run += u32::from(outcome == CancelOutcome::NotRunning);
            if outcome == CancelOutcome::Stopped || without_run >= CALLS_WITHOUT_RUN {
                lock(&runner.owner.state).scheduler.release(abandoned.id, runner.clock.now());
                runner.owner.wake_dispatcher();
                return;
            }
            tokio::time::sleep(CANCEL_PERIOD).await;
        }
    });
}

async fn call(shared: &Arc<Shared>, abandoned: &Arc<Abandoned>) -> CancelOutcome {
    let (caller, target) = (shared.clone(), abandoned.clone());
    let task = shared
        .work
        .spawn_blocking(move || caller.backend.cancel(target.server.address, &target.request_id));
    let outcome = task.await.unwrap_or_else(|e| CancelOutcome::Unknown(e.to_string()));
    if let CancelOutcome::Unknown(error) = &outcome {
        let (attempt, backend_server) = (&abandoned.request_id, &abandoned.server.name);
        log::debug!(attempt, backend_server:%, error; "dispatch: cancel failed");
    }
    outcome
}
