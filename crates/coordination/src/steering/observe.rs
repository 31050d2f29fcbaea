//! What the end of a request tells of its backend server.

use pollenshed_state::{ids::BackendServerName, time::Instant};

use super::fleet::Fleet;

/// How a request ended at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptEnd {
    /// The server answered.
    Answered {
        /// The answer tells of a failure of the server.
        failed: bool,
        /// Time from the first byte sent to the head of the answer.
        took_ms: f64,
    },
    /// The server refused the request as not run.
    Shed {
        /// It said that it has free slots.
        has_free_slots: bool,
    },
    /// Another server has the address.
    OtherServer,
    /// No connection could be made.
    Unreachable,
    /// The connection ended without a whole answer.
    BrokenOff,
    /// The server did not answer within the time that it usually needs.
    Silent,
    /// The caller left, or the time of the request was over.
    Abandoned,
}

impl Fleet {
    /// Records that this instance sends a request. `cold_rate_per_s` is its share of the rate of
    /// the server, if the server is cold.
    pub fn record_start(&mut self, name: &BackendServerName, cold_rate_per_s: f64, now: Instant) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.own += 1;
        if server.is_cold(now) {
            server.cold_rate.sent(cold_rate_per_s, now);
        }
    }

    /// Records the end of a request. `work` identifies route and service, `key` the object, and
    /// `waited` tells whether the server was busy when the request was sent.
    pub fn record_end(
        &mut self,
        name: &BackendServerName,
        work: u64,
        key: Option<u64>,
        waited: bool,
        end: AttemptEnd,
        now: Instant,
    ) {
        let Some(domain) = self.servers.get(name).map(|s| s.record.failure_domain.clone()) else {
            return;
        };
        let link_ms = self.link_delay_ms(&domain);
        let Some(server) = self.servers.get_mut(name) else { return };
        server.own = server.own.saturating_sub(1);
        match end {
            AttemptEnd::Answered { failed, took_ms } => {
                server.answered(failed, now);
                if failed {
                    return;
                }
                let was_warm = key.is_none_or(|key| server.warm.contains(key));
                if let Some(key) = key {
                    server.warm.handled(key);
                }
                if waited {
                    return;
                }
                let ran_ms = (took_ms - 2.0 * link_ms).max(1.0);
                let expected_ms = self.run_times.expected_ms(work, was_warm);
                // Whether a server remembers an object that this instance has not sent it is not
                // known, so a short run there tells nothing of its pace.
                if was_warm || ran_ms > expected_ms {
                    server.ran(ran_ms, expected_ms);
                }
                self.run_times.observe(work, ran_ms / server.pace().max(1.0));
            }
            AttemptEnd::Shed { has_free_slots } => server.shed(has_free_slots, now),
            AttemptEnd::OtherServer => server.misdirected(),
            AttemptEnd::Unreachable | AttemptEnd::Silent => server.unreachable(now),
            AttemptEnd::BrokenOff => server.broke_off(now),
            AttemptEnd::Abandoned => {}
        }
    }

    /// Records that a server could not be reached, without a request.
    pub fn record_unreachable(&mut self, name: &BackendServerName, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.unreachable(now);
        }
    }

    /// Records the load that a server reported with an answer.
    pub fn record_load(&mut self, name: &BackendServerName, load: u32, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.report(load, now);
        }
    }

    /// Records that a server said that it is cold for `remaining_ms`.
    pub fn record_cold(&mut self, name: &BackendServerName, remaining_ms: u64, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.cold_at_least_until(now.plus_ms(remaining_ms));
        }
    }
}
