//! Updates what is known of a backend server from the end of each request to it.

use pollenshed_state::{ids::BackendServerName, time::Instant};

use super::fleet::Fleet;

/// How a request to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptEnd {
    /// The server answered.
    Answered {
        /// The status of the answer is a server error.
        failed: bool,
        /// Time from the first byte sent to the head of the answer.
        took_ms: f64,
    },
    /// The server refused the request as not run.
    Shed {
        /// The server reported free slots with the refusal.
        has_free_slots: bool,
    },
    /// The server at the address is another one than the announced one.
    OtherServer,
    /// No connection could be made.
    Unreachable,
    /// The connection ended before the answer was complete, or the answer was to another request.
    BrokenOff,
    /// The server did not answer within the silence timeout.
    Silent,
    /// The caller disconnected, or the deadline of the request passed.
    Abandoned,
}

impl Fleet {
    /// Records that this instance sends a request. `cold_rate_per_s` is the share of the server's
    /// rate that this instance may use while the server is cold.
    pub fn record_start(&mut self, name: &BackendServerName, cold_rate_per_s: f64, now: Instant) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.own_requests += 1;
        if server.is_cold(now) {
            server.cold_rate.record_sent_request(cold_rate_per_s, now);
        }
    }

    /// Records the end of a request. `estimate_key` identifies its route and service, `object_key`
    /// its object. `waited` tells whether all slots of the server were taken when the request was
    /// sent.
    pub fn record_end(
        &mut self,
        name: &BackendServerName,
        estimate_key: u64,
        object_key: Option<u64>,
        waited: bool,
        end: AttemptEnd,
        now: Instant,
    ) {
        if let Some(server) = self.servers.get_mut(name) {
            server.own_requests = server.own_requests.saturating_sub(1);
        }
        self.learn(name, estimate_key, object_key, waited, end, now);
    }

    /// Updates what is known of a server from the end of a request of any instance.
    pub(super) fn learn(
        &mut self,
        name: &BackendServerName,
        estimate_key: u64,
        object_key: Option<u64>,
        waited: bool,
        end: AttemptEnd,
        now: Instant,
    ) {
        let Some((domain, service)) = self
            .servers
            .get(name)
            .map(|s| (s.record.failure_domain.clone(), s.record.service.clone()))
        else {
            return;
        };
        let link_delay_ms = self.link_delay_ms(&domain);
        let Some(server) = self.servers.get_mut(name) else { return };
        match end {
            AttemptEnd::Answered { failed, took_ms } => {
                server.record_answer(failed, now);
                if failed {
                    return;
                }
                let was_warm = object_key.is_none_or(|key| server.warm.contains(key));
                if let Some(key) = object_key {
                    server.warm.insert(key);
                }
                if waited {
                    return;
                }
                // What the server states of its machine explains a part of the run, which must not
                // count once more as a slowdown of the server or as the run time of the route.
                let took_ms = (took_ms - 2.0 * link_delay_ms).max(1.0);
                let ran_ms = took_ms / server.statements.pace.explained_factor(took_ms, now);
                let expected_ms = self.run_times.expected_ms(estimate_key, was_warm);
                // A server may be warm for an object that this instance has not sent to it, so a
                // short run of such an object tells nothing about the slowdown.
                if was_warm || ran_ms > expected_ms {
                    server.record_run(ran_ms, expected_ms);
                }
                let ran_ms = ran_ms / server.slowdown().max(1.0);
                self.run_times.observe(estimate_key, ran_ms);
                self.rooms.record_run(&service, estimate_key, ran_ms, now);
            }
            AttemptEnd::Shed { has_free_slots } => server.record_shed(has_free_slots, now),
            AttemptEnd::OtherServer => server.record_other_server(),
            AttemptEnd::Unreachable | AttemptEnd::Silent => server.record_unreachable(now),
            AttemptEnd::BrokenOff => server.record_broken_answer(now),
            AttemptEnd::Abandoned => {}
        }
    }

    /// Records that a server could not be reached, other than by an attempt at a request.
    pub fn record_unreachable(&mut self, name: &BackendServerName, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.record_unreachable(now);
        }
    }

    /// Records that a server reported that it stays cold for `remaining_ms`.
    pub fn record_cold(&mut self, name: &BackendServerName, remaining_ms: u64, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.extend_cold_until(now.plus_ms(remaining_ms));
        }
    }
}
