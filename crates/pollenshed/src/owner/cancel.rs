//! Cancels abandoned requests and frees their slots once the backend server no longer runs them.

use std::{sync::Arc, time::Duration};

use pollenshed_coordination::limits::WorkId;
use pollenshed_state::config::BackendServer;
use pollenshed_transport::backend::CancelOutcome;

use crate::{instance::Shared, util::lock};

/// Pause between two cancel calls for the same request.
const CANCEL_PERIOD: Duration = Duration::from_millis(250);

/// Replies of "not running" after which the slot is freed. One reply is not enough, because the
/// cancel call may reach the server before the request does.
const MIN_NOT_RUNNING_REPLIES: u32 = 3;

/// Limit of cancel calls per request. After them the slot stays taken until the scheduler's own
/// time limit frees it.
const MAX_CALLS: u32 = 40;

/// A dispatched request whose answer nobody waits for any more.
pub(super) struct Abandoned {
    /// Id of the request in the scheduler.
    pub(super) id: WorkId,
    /// Request id that was sent to the backend server.
    pub(super) request_id: String,
    /// Server that may still run the request.
    pub(super) server: BackendServer,
}

/// Repeats the cancel call in the background until the server reports that it does not run the
/// request.
///
/// The slot counts as used until then. A server that ignores the deadline or missed the cancel call
/// would otherwise run one request more than it has slots.
pub(super) fn spawn(shared: &Arc<Shared>, abandoned: Abandoned) {
    let task_shared = shared.clone();
    let abandoned = Arc::new(abandoned);
    shared.work_runtime.spawn(async move {
        let mut not_running_replies = 0;
        for _ in 0..MAX_CALLS {
            let outcome = call(&task_shared, &abandoned).await;
            not_running_replies += u32::from(outcome == CancelOutcome::NotRunning);
            if outcome == CancelOutcome::Stopped || not_running_replies >= MIN_NOT_RUNNING_REPLIES {
                lock(&task_shared.owner.state)
                    .scheduler
                    .release(abandoned.id, task_shared.clock.now());
                task_shared.owner.wake_dispatcher();
                return;
            }
            tokio::time::sleep(CANCEL_PERIOD).await;
        }
    });
}

async fn call(shared: &Arc<Shared>, abandoned: &Arc<Abandoned>) -> CancelOutcome {
    let (call_shared, target) = (shared.clone(), abandoned.clone());
    let task = shared.work_runtime.spawn_blocking(move || {
        call_shared.backend_client.cancel(target.server.address, &target.request_id)
    });
    let outcome = task.await.unwrap_or_else(|e| CancelOutcome::Unknown(e.to_string()));
    if let CancelOutcome::Unknown(error) = &outcome {
        let (attempt, backend_server) = (&abandoned.request_id, &abandoned.server.name);
        log::debug!(attempt, backend_server:%, error; "dispatch: the cancel call failed");
    }
    outcome
}
