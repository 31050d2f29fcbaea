//! Choice of the next request and its server.

use pollenshed_state::{
    ids::{BackendServerName, ServiceName},
    time::Instant,
};

use super::{
    Assignment, RefusalReason, Scheduler, StartDecision, Work, WorkId, scheduler::Run,
    server::Server,
};

/// Requests of a service that may wait outside the fair queues. They are scanned in each `next`.
const MAX_PARKED: usize = 32;
/// Part of the usual service time that must be left for a request to be dispatched. The usual time
/// itself would refuse requests that run faster than the mean.
const MIN_TIME_SHARE: f64 = 0.5;
/// The same while others of the service and rank wait. Without a margin above the usual time, a long
/// queue ends up serving requests at the edge of their deadline, and each that misses it has wasted
/// a slot.
const MIN_TIME_SHARE_IN_QUEUE: f64 = 1.5;

/// Result of looking at the head of the queues.
enum Step {
    Assigned(Assignment),
    Again,
    Nothing,
}

impl Scheduler {
    /// Returns the next request to dispatch now; call until `None`.
    ///
    /// Requests that cannot finish before their deadline or may not run on any server end here; the
    /// next `expire` returns them.
    pub fn next(&mut self, now: Instant) -> Option<Assignment> {
        self.release_abandoned(now);
        let services: Vec<ServiceName> = self
            .services
            .iter()
            .filter(|(_, state)| state.queued() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        services.iter().find_map(|service| self.next_of(service, now))
    }

    fn next_of(&mut self, service: &ServiceName, now: Instant) -> Option<Assignment> {
        self.account(service, now);
        loop {
            let mut free = self.free_servers(service, now);
            if let Some(assignment) = self.try_parked(service, &mut free, now) {
                return Some(assignment);
            }
            if free.is_empty() {
                return None;
            }
            match self.try_queues(service, &free, now) {
                Step::Assigned(assignment) => return Some(assignment),
                Step::Again => {}
                Step::Nothing => return None,
            }
        }
    }

    /// Returns the servers with a free slot, the least loaded first.
    fn free_servers(&self, service: &ServiceName, now: Instant) -> Vec<BackendServerName> {
        let Some(state) = self.services.get(service) else { return Vec::new() };
        let mut free: Vec<_> = state
            .servers
            .iter()
            .filter_map(|name| {
                let server = self.servers.get(name)?;
                let limit = server.limit(now, &self.policy);
                let is_free = server.alone.is_none() && server.in_use < limit;
                is_free.then(|| (server.in_use * 1000 / limit, name.clone()))
            })
            .collect();
        free.sort();
        free.into_iter().map(|(_, name)| name).collect()
    }

    fn free_slots(&self, service: &ServiceName, now: Instant) -> u64 {
        let Some(state) = self.services.get(service) else { return 0 };
        let servers = state.servers.iter().filter_map(|name| self.servers.get(name));
        servers
            .filter(|server| server.alone.is_none())
            .map(|server| server.limit(now, &self.policy).saturating_sub(server.in_use))
            .sum()
    }

    /// Assigns a parked request if one can run, and keeps a server empty for the first suspect.
    fn try_parked(
        &mut self,
        service: &ServiceName,
        free: &mut Vec<BackendServerName>,
        now: Instant,
    ) -> Option<Assignment> {
        let ids: Vec<WorkId> = self.services.get(service)?.parked.values().copied().collect();
        let mut may_reserve = !self.runs_alone(service);
        for id in ids {
            let Some(work) = self.queued.get(&id).map(|queued| &queued.work) else { continue };
            if let Err(reason) = self.check_start(work, now) {
                self.refuse(id, reason, now);
            } else if self.quarantine.is_suspect(&work.content, now) {
                if !may_reserve {
                    continue;
                }
                let Some(server) = self.emptiest_for(work, now) else { continue };
                if self.servers.get(&server).is_some_and(|s| s.in_use == 0) {
                    return self.start(id, server, true, now);
                }
                may_reserve = false;
                free.retain(|name| *name != server);
            } else if let Some(server) = self.server_for(work, free, now) {
                return self.start(id, server, false, now);
            }
        }
        None
    }

    /// Looks at the ranks' next requests in the order of their claims.
    fn try_queues(
        &mut self,
        service: &ServiceName,
        free: &[BackendServerName],
        now: Instant,
    ) -> Step {
        let Some(state) = self.services.get(service) else { return Step::Nothing };
        let may_lend = self.free_slots(service, now) > self.policy.reserved_slots;
        for rank in state.shares.order() {
            if !may_lend && self.services.get(service).is_some_and(|s| s.shares.is_borrower(rank)) {
                continue;
            }
            let Some(id) = self.services.get(service).and_then(|s| s.ranks[rank].head()) else {
                continue;
            };
            let Some(work) = self.queued.get(&id).map(|queued| &queued.work) else { continue };
            if let Err(reason) = self.check_start(work, now) {
                self.refuse(id, reason, now);
                return Step::Again;
            }
            let is_suspect = self.quarantine.is_suspect(&work.content, now);
            if !is_suspect && let Some(server) = self.server_for(work, free, now) {
                return self.start(id, server, false, now).map_or(Step::Nothing, Step::Assigned);
            }
            if self.services.get(service).is_some_and(|s| s.parked.len() < MAX_PARKED) {
                self.park(id, now);
                return Step::Again;
            }
            if is_suspect {
                self.refuse(id, RefusalReason::Quarantined, now);
                return Step::Again;
            }
        }
        Step::Nothing
    }

    fn check_start(&self, work: &Work, now: Instant) -> Result<(), RefusalReason> {
        let rank = work.rank.index();
        let needed_us = self.services.get(&work.service).map_or(0.0, |state| {
            let others_wait = state.ranks[rank].len() > 1;
            let share = if others_wait { MIN_TIME_SHARE_IN_QUEUE } else { MIN_TIME_SHARE };
            state.rank_time[rank].get_us(now) * share
        });
        if now.plus_us(needed_us as u64) >= work.deadline {
            return Err(RefusalReason::Deadline);
        }
        if self.quarantine.is_refused(&work.content, now) {
            return Err(RefusalReason::Quarantined);
        }
        self.check_servers(work, now)
    }

    fn server_for(
        &self,
        work: &Work,
        free: &[BackendServerName],
        now: Instant,
    ) -> Option<BackendServerName> {
        free.iter()
            .find(|name| {
                !work.excluded.contains(*name)
                    && self.quarantine.start_decision(&work.content, name, now)
                        == StartDecision::Allowed
            })
            .cloned()
    }

    /// Returns the server that is empty first for a suspect, if it may run now at all.
    fn emptiest_for(&self, work: &Work, now: Instant) -> Option<BackendServerName> {
        let state = self.services.get(&work.service)?;
        let may_run = |name: &&BackendServerName| {
            self.servers.get(*name).is_some_and(|s| s.limit(now, &self.policy) > 0)
                && !work.excluded.contains(*name)
                && self.quarantine.start_decision(&work.content, name, now)
                    == StartDecision::AllowedAlone
        };
        let in_use = |name: &&BackendServerName| self.servers.get(*name).map_or(0, |s| s.in_use);
        state.servers.iter().filter(may_run).min_by_key(in_use).cloned()
    }

    fn runs_alone(&self, service: &ServiceName) -> bool {
        let is_alone = |server: &Server| server.alone.is_some();
        self.services.get(service).is_some_and(|state| {
            state.servers.iter().any(|name| self.servers.get(name).is_some_and(is_alone))
        })
    }

    fn park(&mut self, id: WorkId, now: Instant) {
        let Some(mut queued) = self.take_queued(id, true, now) else { return };
        if let Some(state) = self.services.get_mut(&queued.work.service) {
            state.parked.insert((queued.work.rank.index(), queued.seq), id);
            state.parked_weight += queued.weight();
        }
        queued.is_parked = true;
        self.deadlines.insert((queued.work.deadline, id));
        self.queued.insert(id, queued);
    }

    fn start(
        &mut self,
        id: WorkId,
        name: BackendServerName,
        is_alone: bool,
        now: Instant,
    ) -> Option<Assignment> {
        let work = self.take_queued(id, true, now)?.work;
        let rank = work.rank.index();
        let is_charged = self.services.get_mut(&work.service)?.shares.start(rank);
        let server = self.servers.get_mut(&name)?;
        server.start();
        if is_alone {
            server.alone = Some(id);
        }
        self.quarantine.record_start(work.content, &name);
        let run = Run {
            server: name.clone(),
            service: work.service,
            rank,
            content: work.content,
            deadline: work.deadline,
            is_charged,
            is_abandoned: false,
            is_judged: false,
        };
        self.running.insert(id, run);
        Some(Assignment { id, server: name })
    }
}
