//! State of the owner's scheduler, and its events other than submission and dispatch.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pollenshed_state::{
    ids::{BackendServerName, Digest, ServiceName},
    time::Instant,
    units::Slots,
};

use super::{
    CacheState, CancelResult, Headroom, LoadReport, Occupancy, Quarantine, Refusal, RefusalReason,
    RunOutcome, SchedulerPolicy, ServerSnapshot, ServerSpec, Work, WorkId, server::Server,
    service::Service,
};

/// Longest time after its deadline for which an abandoned request holds its slot. `release` frees
/// the slot as soon as the backend server reports that it does not run the request; this bound
/// applies to servers that never do.
pub(super) const ABANDONED_HOLD_MS: u64 = 10_000;
/// Fraction of the capacity that local requests and those of other failure domains may use
/// together.
const HEADROOM_SHARE: f64 = 0.85;
/// Memory that a queued request holds in addition to its body.
const WORK_OVERHEAD_BYTES: u64 = 512;

/// A queued request, parked or not.
#[derive(Debug)]
pub(super) struct Queued {
    pub(super) work: Work,
    pub(super) seq: u64,
    /// Jitters the delay before a retry if the request is refused later.
    pub(super) random: u64,
    pub(super) is_parked: bool,
}

impl Queued {
    pub(super) fn held_bytes(&self) -> u64 {
        self.work.body_bytes.0.saturating_add(WORK_OVERHEAD_BYTES)
    }
}

/// A dispatched request.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) server: BackendServerName,
    pub(super) service: ServiceName,
    pub(super) rank: usize,
    pub(super) content: Digest,
    pub(super) deadline: Instant,
    /// Whether the run costs credit of its rank.
    pub(super) is_charged: bool,
    pub(super) is_abandoned: bool,
    /// Whether a crash of the server has been recorded for this run.
    pub(super) is_crash_recorded: bool,
}

/// Decides which request runs on which of the backend servers that one instance owns.
///
/// Services share no slots and no queue, so a flood of one cannot affect another. Within a service
/// each rank gets its minimum share of slot-time, and within a rank callers are served round-robin.
/// Each accepted request ends exactly once: by `finish`, by `cancel` or in the result of `expire`.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) policy: SchedulerPolicy,
    pub(super) quarantine: Quarantine,
    pub(super) servers: BTreeMap<BackendServerName, Server>,
    pub(super) services: BTreeMap<ServiceName, Service>,
    pub(super) queued: HashMap<WorkId, Queued>,
    pub(super) running: HashMap<WorkId, Run>,
    pub(super) deadlines: BTreeSet<(Instant, WorkId)>,
    pub(super) abandoned: BTreeSet<(Instant, WorkId)>,
    pub(super) refused: Vec<(WorkId, Refusal)>,
    pub(super) next_seq: u64,
}

impl Scheduler {
    /// Creates a scheduler without servers.
    pub fn new(policy: SchedulerPolicy) -> Scheduler {
        Scheduler {
            quarantine: Quarantine::new(policy.quarantine_ms),
            policy,
            servers: BTreeMap::new(),
            services: BTreeMap::new(),
            queued: HashMap::new(),
            running: HashMap::new(),
            deadlines: BTreeSet::new(),
            abandoned: BTreeSet::new(),
            refused: Vec::new(),
            next_seq: 0,
        }
    }

    /// Replaces the policy. Queued requests stay queued, and running ones keep their slots.
    pub fn set_policy(&mut self, policy: SchedulerPolicy) {
        self.quarantine.set_retention_ms(policy.quarantine_ms);
        self.policy = policy;
    }

    /// Returns the record of content that crashes backend servers.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Adds peers' entries about content that crashes backend servers.
    pub fn merge_quarantine(&mut self, entries: &[super::QuarantineEntry], now: Instant) {
        self.quarantine.merge(entries, now);
    }

    /// Adds a server, or updates the slots of a known one, whose running requests stay counted.
    ///
    /// `occupancy` and `cache_state` have no effect on a server that is owned already. The service
    /// of a server must not change while it is owned.
    pub fn add_server(
        &mut self,
        spec: ServerSpec,
        occupancy: Occupancy,
        cache_state: CacheState,
        now: Instant,
    ) {
        self.advance_shares(&spec.service, now);
        match self.servers.get_mut(&spec.name) {
            Some(server) => server.update(&spec, occupancy),
            None => {
                let server = Server::new(&spec, occupancy, cache_state, now);
                self.servers.insert(spec.name.clone(), server);
            }
        }
        self.services.entry(spec.service).or_default().servers.insert(spec.name);
    }

    /// Stops dispatching to a server. Its running requests stay counted until they end.
    ///
    /// Queued requests of the service stay queued until their deadlines, because another server may
    /// be added; see [`Scheduler::queued_without_server`].
    pub fn remove_server(&mut self, name: &BackendServerName) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.removed = true;
        self.forget_removed(name);
    }

    /// Returns the queued requests of services whose last server was removed.
    ///
    /// The instance cancels them, so that their entries try other owners, which may run them sooner
    /// than this one gets a server again.
    pub fn queued_without_server(&self) -> Vec<WorkId> {
        let is_kept = |name| self.servers.get(name).is_some_and(|server| !server.removed);
        let lacks_server = |work: &Work| {
            let service = self.services.get(&work.service);
            !service.is_some_and(|state| state.servers.iter().any(is_kept))
        };
        let waiting = self.services.values().filter(|state| state.queued() > 0);
        if waiting.clone().all(|state| state.servers.iter().any(is_kept)) {
            return Vec::new();
        }
        let without_server = self.queued.iter().filter(|(_, queued)| lacks_server(&queued.work));
        without_server.map(|(id, _)| *id).collect()
    }

    /// Sets how many slots of the server the requests of former owners hold, and until when.
    ///
    /// These slots count in addition to those that load reports show as in use.
    pub fn set_inherited(&mut self, name: &BackendServerName, inherited: Option<(u64, Instant)>) {
        if let Some(server) = self.servers.get_mut(name) {
            server.inherited = inherited;
        }
    }

    /// Returns how many requests may hold slots of the server, those of former owners included, and
    /// the time at which all these slots count as free.
    pub fn running_on(&self, name: &BackendServerName, now: Instant) -> (u64, Instant) {
        let Some(server) = self.servers.get(name) else { return (0, now) };
        let runs = self.running.values().filter(|run| run.server == *name);
        let ends = runs.map(|run| run.deadline.plus_ms(ABANDONED_HOLD_MS));
        let ends = ends.chain(server.inherited.map(|(_, until)| until));
        (server.in_use + server.inherited_now(now), ends.max().unwrap_or(now).max(now))
    }

    /// Sets whether the server is drained by an operator or is leaving.
    pub fn set_draining(&mut self, name: &BackendServerName, draining: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.draining = draining;
        }
    }

    /// Stops dispatching to the server until `mark_up`.
    pub fn mark_down(&mut self, name: &BackendServerName) {
        if let Some(server) = self.servers.get_mut(name) {
            server.down = true;
        }
    }

    /// Brings a server that was down back with a cold ramp. Without effect on other servers.
    ///
    /// A crash marks a server down too, so call this for each successful health probe that was sent
    /// after the crash.
    pub fn mark_up(&mut self, name: &BackendServerName, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.mark_up(now);
        }
    }

    /// Applies a load report, which can only take capacity away.
    ///
    /// The owner does not use slots that the report shows in use by others. Two rules keep a wrong
    /// report from stopping a server that works. After every fourth answer of normal latency, one
    /// more of these slots is used all the same, until an answer is shed or a report takes no slot
    /// away. And once reports have taken all slots away for two seconds, one request at a time is
    /// allowed. Neither rule applies while requests of an earlier owner may run on the server.
    /// Reports expire after `report_ttl_ms`, but a reported drain holds until a later report ends
    /// it.
    pub fn apply_report(&mut self, name: &BackendServerName, report: LoadReport, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.apply_report(report, now);
        }
    }

    /// Refuses queued requests whose deadline has passed, and returns all requests that were
    /// refused after they were queued, each exactly once.
    ///
    /// Call it after `submit` and after each run of `next`, because both can refuse queued
    /// requests.
    pub fn expire(&mut self, now: Instant) -> Vec<(WorkId, Refusal)> {
        self.release_abandoned(now);
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.refuse(id, RefusalReason::Deadline, now);
        }
        std::mem::take(&mut self.refused)
    }

    /// Returns the time at which `expire` and `next` must be called even if no other event occurs.
    ///
    /// Ramps and expiring reports free slots too and are not included; call `next` in each probe
    /// period for these.
    pub fn next_expiry(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let release = self.abandoned.first().map(|(at, _)| *at);
        deadline.into_iter().chain(release).min()
    }

    /// Removes a queued request.
    pub fn cancel(&mut self, id: WorkId, now: Instant) -> CancelResult {
        if self.running.contains_key(&id) {
            return CancelResult::Running;
        }
        match self.remove_queued(id, false, now) {
            Some(_) => CancelResult::Removed,
            None => CancelResult::NotFound,
        }
    }

    /// Records how a dispatched request ended. Returns false if it is unknown or was abandoned
    /// before.
    ///
    /// A late outcome of an abandoned request frees its slot and counts like any other.
    ///
    /// A crash marks the server down until `mark_up` and counts against all contents that run
    /// there, so report the crash of one request before the ends of the others.
    pub fn finish(&mut self, id: WorkId, outcome: RunOutcome, now: Instant) -> bool {
        let Some(run) = self.running.get(&id) else { return false };
        let was_abandoned = run.is_abandoned;
        let (service, name) = (run.service.clone(), run.server.clone());
        let (rank, content) = (run.rank, run.content);
        self.advance_shares(&service, now);
        match outcome {
            RunOutcome::Answered { latency_us } => {
                self.record_answer(&service, &name, rank, latency_us, now);
                self.quarantine.record_completion(content, now);
            }
            RunOutcome::Shed => {
                if let Some(server) = self.servers.get_mut(&name) {
                    server.record_shed(now);
                }
            }
            RunOutcome::Crashed => self.record_crash(id, &name, now),
            RunOutcome::Failed => {}
            RunOutcome::Abandoned => {
                self.abandon(id);
                return !was_abandoned;
            }
        }
        self.end_run(id);
        !was_abandoned
    }

    /// Frees the slot of an abandoned request. Returns false if no such request holds one.
    pub fn release(&mut self, id: WorkId, now: Instant) -> bool {
        let Some(run) = self.running.get(&id).filter(|run| run.is_abandoned) else {
            return false;
        };
        let service = run.service.clone();
        self.advance_shares(&service, now);
        self.end_run(id);
        true
    }

    /// Returns the spare capacity of the owner for the service.
    pub fn headroom(&self, service: &ServiceName, now: Instant) -> Headroom {
        let Some(state) = self.services.get(service) else { return Headroom::default() };
        let mut headroom = Headroom::default();
        let mut slots = 0;
        for server in state.servers.iter().filter_map(|name| self.servers.get(name)) {
            let limit = server.limit(now, &self.policy);
            if limit == 0 {
                continue;
            }
            headroom.usable_servers += 1;
            headroom.cold_servers += u64::from(server.is_cold(now, &self.policy));
            headroom.free_slots += limit.saturating_sub(server.in_use);
            slots += limit;
        }
        headroom.free_slots = headroom.free_slots.saturating_sub(state.queued() as u64);
        let capacity_per_s = slots as f64 * 1e6 / state.service_time.undecayed_us();
        let left_per_s = HEADROOM_SHARE * capacity_per_s - state.local_arrivals.rate_per_s(now);
        headroom.remote_requests_per_s = left_per_s.max(0.0) as u64;
        headroom
    }

    /// Returns the status of all servers, ordered by name.
    pub fn snapshot(&self, now: Instant) -> Vec<ServerSnapshot> {
        self.servers
            .iter()
            .map(|(name, server)| ServerSnapshot {
                name: name.clone(),
                service: server.service.clone(),
                in_use: server.in_use,
                limit: server.limit(now, &self.policy),
                slots: Slots(server.slots),
                state: server.state(now, &self.policy),
            })
            .collect()
    }

    /// Returns the number of queued requests of all services.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }
}
