//! The owner's scheduler: state and events other than submission and dispatch.

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

/// Time after its deadline for which an abandoned request holds its slot at most. `release` frees it
/// as soon as the backend server says that it does not run the request; the time bounds what a
/// server that never says so can hold back.
pub(super) const ABANDONED_HOLD_MS: u64 = 10_000;
/// Part of the capacity that own demand and work of other failure domains may fill together.
const HEADROOM_SHARE: f64 = 0.85;
/// Memory that a waiting request holds beside its body.
const WORK_OVERHEAD_BYTES: u64 = 512;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Queued {
    pub(super) work: Work,
    pub(super) seq: u64,
    /// Jitters the time of a resend if the request is refused later.
    pub(super) random: u64,
    pub(super) is_parked: bool,
}

impl Queued {
    pub(super) fn weight(&self) -> u64 {
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
    pub(super) is_charged: bool,
    pub(super) is_abandoned: bool,
    /// Whether the crash of the server was counted for this run already.
    pub(super) is_judged: bool,
}

/// Decides which request runs on which of the backend servers that one instance owns.
///
/// Services share no slots and no queue, so a flood of one cannot affect another. Within a service
/// the ranks keep their minimum shares of slot-time, and within a rank callers take turns. Each
/// accepted request ends exactly once: by `finish`, by `cancel` or in the result of `expire`.
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

    /// Replaces the policy. Queued and running requests keep their places.
    pub fn set_policy(&mut self, policy: SchedulerPolicy) {
        self.quarantine.set_retention_ms(policy.quarantine_ms);
        self.policy = policy;
    }

    /// Returns the record of content that crashes backend servers.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Takes over peers' entries about content that crashes backend servers.
    pub fn merge_quarantine(&mut self, entries: &[super::QuarantineEntry], now: Instant) {
        self.quarantine.merge(entries, now);
    }

    /// Adds a server, or updates the slots of a known one, whose running work stays counted.
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
        self.account(&spec.service, now);
        match self.servers.get_mut(&spec.name) {
            Some(server) => server.update(&spec, occupancy),
            None => {
                let server = Server::new(&spec, occupancy, cache_state, now);
                self.servers.insert(spec.name.clone(), server);
            }
        }
        self.services.entry(spec.service).or_default().servers.insert(spec.name);
    }

    /// Stops using a server. Its running work stays counted until it ends.
    ///
    /// Work queued for the service stays queued until its deadline, because another server may be
    /// added; see [`Scheduler::queued_without_server`].
    pub fn remove_server(&mut self, name: &BackendServerName) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.removed = true;
        self.forget_removed(name);
    }

    /// Returns the queued requests of services whose last server was removed.
    ///
    /// Other owners may run them sooner than this one gets a server again.
    pub fn queued_without_server(&self) -> Vec<WorkId> {
        let is_kept = |name| self.servers.get(name).is_some_and(|server| !server.removed);
        let is_stranded = |work: &Work| {
            let service = self.services.get(&work.service);
            !service.is_some_and(|state| state.servers.iter().any(is_kept))
        };
        let waiting = self.services.values().filter(|state| state.queued() > 0);
        if waiting.clone().all(|state| state.servers.iter().any(is_kept)) {
            return Vec::new();
        }
        let stranded = self.queued.iter().filter(|(_, queued)| is_stranded(&queued.work));
        stranded.map(|(id, _)| *id).collect()
    }

    /// Counts the given number of requests of former owners as slots in use until the given time.
    ///
    /// They count in addition to what load reports show.
    pub fn set_inherited(&mut self, name: &BackendServerName, inherited: Option<(u64, Instant)>) {
        if let Some(server) = self.servers.get_mut(name) {
            server.inherited = inherited;
        }
    }

    /// Returns the requests that may hold slots of the server, those of former owners included, and
    /// when the slots of all of them count as free.
    pub fn running_on(&self, name: &BackendServerName, now: Instant) -> (u64, Instant) {
        let Some(server) = self.servers.get(name) else { return (0, now) };
        let runs = self.running.values().filter(|run| run.server == *name);
        let ends = runs.map(|run| run.deadline.plus_ms(ABANDONED_HOLD_MS));
        let ends = ends.chain(server.inherited.map(|(_, until)| until));
        (server.in_use + server.inherited_now(now), ends.max().unwrap_or(now).max(now))
    }

    /// Sets whether an operator drains the server.
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

    /// Starts a cold ramp on a server that was down; without effect on others.
    ///
    /// A crash sets a server down too, so call this for each successful health probe that was sent
    /// after the crash.
    pub fn mark_up(&mut self, name: &BackendServerName, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.mark_up(now);
        }
    }

    /// Takes in a load report, which can only take capacity away.
    ///
    /// Slots that the report shows in use beyond the owner's own are not used. Two rules keep a
    /// wrong report from stopping a server that works: every fourth answer of usual latency makes
    /// one reported slot doubted, until an answer is shed or a report claims nothing; and after two
    /// seconds of a claim on all slots one request at a time is allowed. Neither applies while an
    /// earlier owner may have work on the server. Reports expire after `report_ttl_ms`, but a
    /// reported drain holds until a report withdraws it.
    pub fn apply_report(&mut self, name: &BackendServerName, report: LoadReport, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.report(report, now);
        }
    }

    /// Returns the requests that left the queue without a dispatch, each exactly once.
    ///
    /// Call it after `submit` and after each run of `next`, because both can end other requests.
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

    /// Returns when `expire` and `next` have to be called even if nothing else happens.
    ///
    /// Ramps and expiring reports free slots too; call `next` in each probe period for these.
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
        match self.take_queued(id, false, now) {
            Some(_) => CancelResult::Removed,
            None => CancelResult::NotFound,
        }
    }

    /// Records how a dispatched request ended. Returns whether somebody still waited for it.
    ///
    /// A late outcome of an abandoned request frees its slot and counts like any other, but the
    /// result is false, because the request has ended before.
    ///
    /// A crash sets the server down until `mark_up` and makes all contents that run there suspects,
    /// so report the crash of one request before the ends of the others.
    pub fn finish(&mut self, id: WorkId, finished: RunOutcome, now: Instant) -> bool {
        let Some(run) = self.running.get(&id) else { return false };
        let was_abandoned = run.is_abandoned;
        let (service, name) = (run.service.clone(), run.server.clone());
        let (rank, content) = (run.rank, run.content);
        self.account(&service, now);
        match finished {
            RunOutcome::Answered { latency_us } => {
                self.answered(&service, &name, rank, latency_us, now);
                self.quarantine.record_completion(content, now);
            }
            RunOutcome::Shed => {
                if let Some(server) = self.servers.get_mut(&name) {
                    server.shed(now);
                }
            }
            RunOutcome::Crashed => self.crashed(id, &name, now),
            RunOutcome::Failed => {}
            RunOutcome::Abandoned => {
                self.abandon(id);
                return !was_abandoned;
            }
        }
        self.end_run(id);
        !was_abandoned
    }

    /// Frees the slot of an abandoned request. Returns whether it was abandoned.
    pub fn release(&mut self, id: WorkId, now: Instant) -> bool {
        let Some(run) = self.running.get(&id).filter(|run| run.is_abandoned) else {
            return false;
        };
        let service = run.service.clone();
        self.account(&service, now);
        self.end_run(id);
        true
    }

    /// Returns what the owner can take for the service.
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
        let capacity_per_s = slots as f64 * 1e6 / state.time.last_us();
        let left_per_s = HEADROOM_SHARE * capacity_per_s - state.local.rate_per_s(now);
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

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }
}
