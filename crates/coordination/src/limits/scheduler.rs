//! The owner's scheduler.

use pollenshed_state::{
    ids::{BackendServerName, ServiceName},
    time::Instant,
};

use super::{
    Assignment, Cancelled, Finished, Headroom, LoadReport, Occupancy, Quarantine, Refusal,
    RefusalReason, SchedulerPolicy, ServerSnapshot, ServerSpec, Submitted, Temperature, Work,
    WorkId,
};

/// Decides which request runs on which of the backend servers that one instance owns.
///
/// This is the API only; nothing is accepted or assigned yet.
#[derive(Debug)]
pub struct Scheduler {
    policy: SchedulerPolicy,
    quarantine: Quarantine,
}

impl Scheduler {
    /// Creates a scheduler without servers.
    pub fn new(policy: SchedulerPolicy) -> Scheduler {
        Scheduler { policy, quarantine: Quarantine::default() }
    }

    /// Replaces the policy. Queued and running requests keep their places.
    pub fn set_policy(&mut self, policy: SchedulerPolicy) {
        self.policy = policy;
    }

    /// Returns the record of content that crashes backend servers.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the record of content that crashes backend servers, for merging peers' entries.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Adds a server or updates a known one's slots.
    pub fn add_server(&mut self, _: ServerSpec, _: Occupancy, _: Temperature, _: Instant) {}

    /// Stops using a server. Its running work stays counted until it ends.
    pub fn remove_server(&mut self, _: &BackendServerName) {}

    /// Sets whether an operator drains the server.
    pub fn set_draining(&mut self, _: &BackendServerName, _: bool) {}

    /// Stops dispatching to the server until `set_up`.
    pub fn set_down(&mut self, _: &BackendServerName) {}

    /// Starts a cold ramp on a server that was down; without effect on others.
    pub fn set_up(&mut self, _: &BackendServerName, _: Instant) {}

    /// Takes in a load report, which can only take capacity away.
    pub fn report(&mut self, _: &BackendServerName, _: LoadReport, _: Instant) {}

    /// Queues the request or refuses it at once. `random` jitters the time of a resend.
    pub fn submit(&mut self, _: Work, _: Instant, _: u64) -> Submitted {
        Submitted::Refused(Refusal {
            reason: RefusalReason::NoBackendServer,
            retry_after_ms: 1_000,
        })
    }

    /// Returns the next request to dispatch now; call until `None`.
    pub fn next(&mut self, _: Instant) -> Option<Assignment> {
        None
    }

    /// Returns the requests that left the queue without a dispatch, each exactly once.
    ///
    /// Call it after each `submit` and after each run of `next`, because both can end requests.
    pub fn expire(&mut self, _: Instant) -> Vec<(WorkId, Refusal)> {
        Vec::new()
    }

    /// Returns when `expire` or `next` has to be called again even if nothing else happens.
    pub fn next_expiry(&self) -> Option<Instant> {
        None
    }

    /// Removes a queued request.
    pub fn cancel(&mut self, _: WorkId, _: Instant) -> Cancelled {
        Cancelled::Absent
    }

    /// Records how a dispatched request ended. Returns whether it was running.
    pub fn finish(&mut self, _: WorkId, _: Finished, _: Instant) -> bool {
        false
    }

    /// Frees the slot of an abandoned request. Returns whether it was abandoned.
    pub fn release(&mut self, _: WorkId, _: Instant) -> bool {
        false
    }

    /// Returns what the owner can take for the service.
    pub fn headroom(&mut self, _: &ServiceName, _: Instant) -> Headroom {
        Headroom::default()
    }

    /// Returns the status of all servers, ordered by name.
    pub fn snapshot(&self, _: Instant) -> Vec<ServerSnapshot> {
        Vec::new()
    }
}
