//! Requests that an instance assigned to backend servers, for itself and for other instances.
//!
//! In a large region one instance assigns all requests of an object, see
//! [`Fleet::choose_ranked`]. The instances that send them report how they end. A report can be lost
//! and an instance can die, so an assignment expires with the deadline of its request.

use std::collections::{BTreeSet, HashMap};

use pollenshed_state::{ids::BackendServerName, time::Instant};

use super::{fleet::Fleet, observe::AttemptEnd, statements::Statement};

/// A request that was assigned to a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The server.
    pub server: BackendServerName,
    /// Key of the run time estimate, see [`Request`](super::Request).
    pub estimate_key: u64,
    /// Key of the object that the request is for.
    pub object_key: Option<u64>,
    /// Whether all slots of the server were taken.
    pub waits: bool,
    /// When the request ends at the latest.
    pub expires_at: Instant,
}

/// The assignments that have not ended, by the id that the sending instance gave them.
#[derive(Debug, Clone, Default)]
pub(super) struct Assignments {
    by_id: HashMap<u64, Assignment>,
    by_expiry: BTreeSet<(Instant, u64)>,
}

impl Fleet {
    /// Records that a request was assigned. `cold_rate_per_s` is the share of the server's rate
    /// that this instance may use while the server is cold. A repeated id replaces the earlier
    /// assignment.
    pub fn record_assignment(
        &mut self,
        id: u64,
        assignment: Assignment,
        cold_rate_per_s: f64,
        now: Instant,
    ) {
        self.take_assignment(id);
        self.count_towards_limit(&assignment.server, now);
        if let Some(server) = self.servers.get_mut(&assignment.server) {
            server.assigned_requests += 1;
            if server.is_cold(now) {
                server.cold_rate.record_sent_request(cold_rate_per_s, now);
            }
        }
        self.assignments.by_expiry.insert((assignment.expires_at, id));
        self.assignments.by_id.insert(id, assignment);
    }

    /// Ends an assignment of a request that another instance sent, and updates what is known of the
    /// server. `statement` is what the server stated with its answer, if it answered. An unknown id
    /// has expired or was never assigned here.
    pub fn end_assignment(
        &mut self,
        id: u64,
        end: AttemptEnd,
        statement: Option<&Statement>,
        now: Instant,
    ) {
        let Some(ended) = self.take_assignment(id) else { return };
        if let Some(statement) = statement {
            self.record_statement(&ended.server, statement, now);
        }
        self.learn(&ended.server, ended.estimate_key, ended.object_key, ended.waits, end, now);
    }

    /// Ends an assignment without learning from it: this instance sent the request itself and has
    /// recorded its end, or it was not sent.
    pub fn drop_assignment(&mut self, id: u64) {
        self.take_assignment(id);
    }

    /// Ends the assignments whose requests have ended by now although no report arrived.
    pub fn expire_assignments(&mut self, now: Instant) {
        while let Some((expires_at, id)) = self.assignments.by_expiry.first().copied()
            && expires_at <= now
        {
            self.take_assignment(id);
        }
    }

    fn take_assignment(&mut self, id: u64) -> Option<Assignment> {
        let assignment = self.assignments.by_id.remove(&id)?;
        self.assignments.by_expiry.remove(&(assignment.expires_at, id));
        if let Some(server) = self.servers.get_mut(&assignment.server) {
            server.assigned_requests = server.assigned_requests.saturating_sub(1);
        }
        Some(assignment)
    }
}
