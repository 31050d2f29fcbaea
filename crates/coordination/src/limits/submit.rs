//! Admission of requests to the scheduler's queues.

use pollenshed_state::{config::Rank, ids::ServiceName, time::Instant};

use super::{RefusalReason, Scheduler, SubmitResult, Work, WorkId, scheduler::Queued};

impl Scheduler {
    /// Queues the request or refuses it at once.
    ///
    /// It is refused if the queue ahead of it and the mean service time do not let it finish before
    /// its deadline. `random` jitters the delay before a retry. If the queue is full, a queued
    /// request of a rank that holds more than its share may be refused instead, see `victim`.
    pub fn submit(&mut self, work: Work, now: Instant, random: u64) -> SubmitResult {
        self.release_abandoned(now);
        if let Some(state) = self.services.get_mut(&work.service)
            && !work.remote
        {
            state.local_arrivals.record(now);
        }
        let service = work.service.clone();
        let result = match self.check_admission(&work, now) {
            Err(reason) => Err(reason),
            Ok(()) => self.enqueue(work, now, random),
        };
        match result {
            Ok(()) => SubmitResult::Queued,
            Err(reason) => SubmitResult::Refused(self.make_refusal(&service, reason, random, now)),
        }
    }

    fn check_admission(&self, work: &Work, now: Instant) -> Result<(), RefusalReason> {
        if self.queued.contains_key(&work.id) || self.running.contains_key(&work.id) {
            return Err(RefusalReason::Duplicate);
        }
        if self.quarantine.is_refused(&work.content, now) {
            return Err(RefusalReason::Quarantined);
        }
        self.check_servers(work, now)?;
        if work.body_bytes > self.policy.max_queued_bytes {
            return Err(RefusalReason::Overloaded);
        }
        if self.estimated_finish(work, now) > work.deadline || work.deadline <= now {
            return Err(RefusalReason::Deadline);
        }
        Ok(())
    }

    /// Checks that at least one owned server may run the request, now or later.
    pub(super) fn check_servers(&self, work: &Work, now: Instant) -> Result<(), RefusalReason> {
        let Some(state) = self.services.get(&work.service) else {
            return Err(RefusalReason::NoBackendServer);
        };
        let is_usable = |name| self.servers.get(name).is_some_and(|s| s.is_usable());
        let mut usable = state
            .servers
            .iter()
            .filter(|name| is_usable(*name) && !work.excluded.contains(*name))
            .peekable();
        if usable.peek().is_none() {
            return Err(RefusalReason::NoBackendServer);
        }
        let is_suspect = self.quarantine.is_suspect(&work.content, now);
        if is_suspect && usable.all(|name| self.quarantine.has_crashed(&work.content, name, now)) {
            return Err(RefusalReason::Quarantined);
        }
        Ok(())
    }

    /// Estimates when the request would end if it were queued now.
    fn estimated_finish(&self, work: &Work, now: Instant) -> Instant {
        let Some(state) = self.services.get(&work.service) else { return now };
        let servers = || state.servers.iter().filter_map(|name| self.servers.get(name));
        let is_free = |s: &super::server::Server| s.limit(now, &self.policy) > s.in_use;
        if state.queued() == 0 && servers().any(is_free) {
            return now;
        }
        let slots = self.service_slots(&work.service, now);
        let occupancy_unknown_until = servers()
            .filter(|s| s.is_usable())
            .filter_map(|s| s.occupancy_unknown_until(now, &self.policy))
            .min()
            .filter(|_| slots == 0);
        let rank = work.rank.index();
        let wait_us = state.wait_us(rank, &work.caller, slots, self.policy.shares(), now);
        let service_us = state.rank_us(rank, now);
        occupancy_unknown_until.unwrap_or(now).plus_us((wait_us + service_us) as u64)
    }

    fn enqueue(&mut self, work: Work, now: Instant, random: u64) -> Result<(), RefusalReason> {
        let service = work.service.clone();
        self.advance_shares(&service, now);
        let (id, rank, seq) = (work.id, work.rank.index(), self.next_seq);
        self.next_seq += 1;
        self.deadlines.insert((work.deadline, id));
        let queued = Queued { work, seq, random, is_parked: false };
        if let Some(state) = self.services.get_mut(&service) {
            state.ranks[rank].push(&queued.work.caller, seq, id, queued.held_bytes());
        }
        self.queued.insert(id, queued);
        while self.is_queue_over_limit(&service) {
            let victim = self.victim(&service).unwrap_or(id);
            if victim == id {
                self.remove_queued(id, false, now);
                return Err(RefusalReason::Overloaded);
            }
            self.refuse(victim, RefusalReason::Overloaded, now);
        }
        Ok(())
    }

    fn is_queue_over_limit(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|state| {
            state.queued() > self.policy.max_queued
                || state.held_bytes() > self.policy.max_queued_bytes.0
        })
    }

    /// Returns the request to refuse when the queue is full: in the least urgent rank that holds
    /// more than its share of the queue, the newest request of the caller that holds the most
    /// memory.
    fn victim(&self, service: &ServiceName) -> Option<WorkId> {
        let state = self.services.get(service)?;
        let shares = self.policy.shares();
        let is_over_share = |rank: &usize| {
            let queue = &state.ranks[*rank];
            let places = queue.len() as f64 / self.policy.max_queued.max(1) as f64;
            let bytes = queue.held_bytes() as f64 / self.policy.max_queued_bytes.0.max(1) as f64;
            places.max(bytes) > shares[*rank]
        };
        let rank = (0..Rank::ALL.len()).rev().find(is_over_share)?;
        state.ranks[rank].newest_of_largest_caller()
    }
}
