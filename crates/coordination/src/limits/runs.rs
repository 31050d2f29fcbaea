//! Internal state transitions of the scheduler's queued and running requests.

use pollenshed_state::{
    ids::{BackendServerName, ServiceName},
    time::Instant,
};

use super::{
    Refusal, RefusalReason, Scheduler, WorkId,
    scheduler::{ABANDONED_HOLD_MS, Queued},
};

/// Lower bound of the delay before a retry, before jitter.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// Upper bound of the delay before a retry, before jitter.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// Spreads retries over half to one and a half times `base_ms`, so that refused callers do not
/// retry at the same time.
pub(super) fn retry_after_ms(base_ms: u64, random: u64) -> u64 {
    let base_ms = base_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    base_ms / 2 + random % (base_ms + 1)
}

impl Scheduler {
    /// Brings the credits of the service's ranks up to date. Must be called before each change of
    /// its queues or running requests, because credit accrues from the state since the last call.
    pub(super) fn advance_shares(&mut self, service: &ServiceName, now: Instant) {
        let slots = self.service_slots(service, now);
        let Some(state) = self.services.get_mut(service) else { return };
        let backlogged = state.backlogged();
        state.shares.advance(now, backlogged, slots, self.policy.shares());
    }

    /// Returns the current limits of the service's servers, added up.
    pub(super) fn service_slots(&self, service: &ServiceName, now: Instant) -> u64 {
        let Some(state) = self.services.get(service) else { return 0 };
        let servers = state.servers.iter().filter_map(|name| self.servers.get(name));
        servers.map(|server| server.limit(now, &self.policy)).sum()
    }

    pub(super) fn make_refusal(
        &self,
        service: &ServiceName,
        reason: RefusalReason,
        random: u64,
        now: Instant,
    ) -> Refusal {
        let base_ms = match reason {
            RefusalReason::Quarantined => self.policy.quarantine_ms,
            _ => self.drain_ms(service, now),
        };
        Refusal { reason, retry_after_ms: retry_after_ms(base_ms, random) }
    }

    /// Returns the time that the service needs to run all queued requests.
    fn drain_ms(&self, service: &ServiceName, now: Instant) -> u64 {
        let slots = self.service_slots(service, now).max(1) as f64;
        let Some(state) = self.services.get(service) else { return 0 };
        (state.queued() as f64 * state.service_time.undecayed_us() / slots / 1000.0) as u64
    }

    /// Ends a queued request with a refusal, which the next `expire` returns.
    pub(super) fn refuse(&mut self, id: WorkId, reason: RefusalReason, now: Instant) {
        if let Some(queued) = self.remove_queued(id, false, now) {
            let refusal = self.make_refusal(&queued.work.service, reason, queued.random, now);
            self.refused.push((id, refusal));
        }
    }

    /// Removes a request from the queues. If it was `served`, its caller moves to the next round.
    pub(super) fn remove_queued(
        &mut self,
        id: WorkId,
        served: bool,
        now: Instant,
    ) -> Option<Queued> {
        let queued = self.queued.remove(&id)?;
        self.advance_shares(&queued.work.service, now);
        self.deadlines.remove(&(queued.work.deadline, id));
        if let Some(state) = self.services.get_mut(&queued.work.service) {
            let rank = queued.work.rank.index();
            if queued.is_parked {
                state.parked.remove(&(rank, queued.seq));
                state.parked_bytes -= queued.held_bytes();
            } else {
                state.ranks[rank].remove(&queued.work.caller, queued.seq, served);
            }
        }
        Some(queued)
    }

    pub(super) fn record_answer(
        &mut self,
        service: &ServiceName,
        name: &BackendServerName,
        rank: usize,
        latency_us: u64,
        now: Instant,
    ) {
        if let Some(server) = self.servers.get_mut(name) {
            server.record_answer(rank, latency_us, now);
        }
        if let Some(state) = self.services.get_mut(service) {
            state.service_time.record(latency_us, now);
            state.rank_service_time[rank].record(latency_us, now);
        }
    }

    /// Records a crash once for all requests on the server, and marks the server down.
    pub(super) fn record_crash(&mut self, id: WorkId, name: &BackendServerName, now: Instant) {
        if self.running.get(&id).is_some_and(|run| run.is_crash_recorded) {
            return;
        }
        let was_alone = self.servers.get(name).is_some_and(|s| s.lone_run.is_some());
        let runs = self.running.values_mut().filter(|r| r.server == *name && !r.is_crash_recorded);
        let contents: Vec<_> = runs
            .map(|run| {
                run.is_crash_recorded = true;
                run.content
            })
            .collect();
        self.quarantine.record_crash(&contents, name, was_alone, now);
        self.mark_down(name);
    }

    pub(super) fn abandon(&mut self, id: WorkId) {
        if let Some(run) = self.running.get_mut(&id) {
            run.is_abandoned = true;
            self.abandoned.insert((run.deadline.plus_ms(ABANDONED_HOLD_MS), id));
        }
    }

    pub(super) fn release_abandoned(&mut self, now: Instant) {
        while let Some((at, id)) = self.abandoned.first().copied() {
            if at > now {
                break;
            }
            self.release(id, now);
        }
    }

    pub(super) fn end_run(&mut self, id: WorkId) {
        let Some(run) = self.running.remove(&id) else { return };
        self.abandoned.remove(&(run.deadline.plus_ms(ABANDONED_HOLD_MS), id));
        self.quarantine.record_end(&run.content, &run.server);
        if let Some(server) = self.servers.get_mut(&run.server) {
            server.end(id);
        }
        if let Some(state) = self.services.get_mut(&run.service) {
            state.shares.end(run.rank, run.is_charged);
        }
        self.forget_removed(&run.server);
    }

    /// Deletes the state of a removed server once its last request has ended.
    pub(super) fn forget_removed(&mut self, name: &BackendServerName) {
        let is_gone = |s: &super::server::Server| s.removed && s.in_use == 0;
        if !self.servers.get(name).is_some_and(is_gone) {
            return;
        }
        if let Some(server) = self.servers.remove(name)
            && let Some(state) = self.services.get_mut(&server.service)
        {
            state.servers.remove(name);
        }
    }
}
