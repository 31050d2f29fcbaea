//! State that all tasks of one instance share. They run on a single thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    rc::Rc,
    time,
};

use pollenshed_coordination::{
    limits::Quarantine,
    steering::{
        self, AnswerStreak, BodyBudget, BodyKind, Fleet, IdleLimit, LargeAnswers, RetryBudgetShare,
        Server, WeightedSplit,
    },
};
use pollenshed_platform::store::StoreEra;
use pollenshed_state::{
    ids::{ConfigVersion, Incarnation, InstanceName, ServiceName},
    routes::{Bounds, RoutePlan, Workspaces},
    time::Instant,
};
use pollenshed_transport::{
    forward::{HeldBodies, Pool},
    listen::StopPhase,
    logs,
    scrape::{GaugeValues, PrometheusMetrics},
};
use tokio::{
    net::UdpSocket,
    sync::{oneshot, watch},
};

use super::{
    assign::AssignAnswer, crashes::BrokenResponse, members::Members, settings::SteerSettings,
    tables::Tables, workspace_limits::LimitState,
};

/// Time for which content that crashed two backend servers is refused. A caller that sends it again
/// does so within its own deadline, at most 20 s on the users' routes.
const CRASHING_CONTENT_MS: u64 = 60_000;

/// Age up to which a response of the store proves that it answers this instance. A reader calls the
/// store more often.
const STORE_ANSWER_FRESH_MS: u64 = 1_500;

/// Time after a failed call until the store counts as healthy again.
const STORE_HEALTHY_AFTER_MS: u64 = 4_000;

/// Age up to which a response of an up-to-date peer replaces reads of the store. It is longer than
/// such a call takes and well below the time limits for changes.
const PEER_SYNC_FRESH_MS: u64 = 1_100;

/// Time after its start for which an instance waits to hear from another one before it reads the
/// store. Instances that start together would otherwise all read the same tables.
const FIRST_PEER_WAIT_MS: u64 = 700;

/// Time after its start for which an instance that hears from others waits for one that has the
/// tables. It covers a read of the store and the transfer from one instance to the next.
const FIRST_TABLES_WAIT_MS: u64 = 1_800;

/// Largest random addition to these times.
const START_JITTER_MS: u64 = 400;

/// Number of instances of a large region that send heartbeats to other regions. Several of them are
/// needed, because heartbeats carry content that crashes servers.
const REPRESENTATIVES: usize = 4;

/// Key by which representatives are ranked.
const REPRESENTATIVES_KEY: u64 = 0;

/// Whether an instance reads the store itself, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreUse {
    /// It has just started, and others may provide the tables.
    WaitsForPeers,
    /// A peer provides the changes.
    FollowsPeer,
    /// It reads for its region.
    ReadsForRegion,
    /// No peer has provided the changes since the start.
    ReadsWithoutPeer,
    /// The last peer that provided the changes has been silent for too long.
    ReadsAfterSilence,
}

impl StoreUse {
    /// Returns whether the instance reads the store itself.
    pub fn reads(self) -> bool {
        match self {
            StoreUse::WaitsForPeers | StoreUse::FollowsPeer => false,
            StoreUse::ReadsForRegion | StoreUse::ReadsWithoutPeer | StoreUse::ReadsAfterSilence => {
                true
            }
        }
    }
}

impl Display for StoreUse {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreUse::WaitsForPeers => "waits-for-peers",
            StoreUse::FollowsPeer => "follows-peer",
            StoreUse::ReadsForRegion => "reads-for-region",
            StoreUse::ReadsWithoutPeer => "reads-without-peer",
            StoreUse::ReadsAfterSilence => "reads-after-silence",
        })
    }
}

/// State that all tasks of one instance share.
pub struct Core {
    /// Settings as read at the start.
    pub settings: SteerSettings,
    /// Limits of the deployment.
    pub bounds: Bounds,
    /// Random number that tells this run of the process from earlier ones.
    pub incarnation: Incarnation,
    /// Configuration in force. `None` until the first one is known.
    pub plan: RefCell<Option<Rc<RoutePlan>>>,
    /// Backend servers, with their loads and the homes of objects.
    pub fleet: RefCell<Fleet>,
    /// Peers, which are the other instances.
    pub members: RefCell<Members>,
    /// Retry budget of each service.
    pub retry_budgets: RefCell<HashMap<ServiceName, RetryBudgetShare>>,
    /// Position in the traffic split of each route that has one, by route name.
    pub weighted_splits: RefCell<HashMap<String, WeightedSplit>>,
    /// Local copies of the store's tables.
    pub tables: RefCell<Tables>,
    /// Counts changes of the tables and wakes the tasks that wait for one.
    pub table_changes: watch::Sender<u64>,
    /// Time of the last failed call to the store.
    pub store_failed_at: Cell<Option<Instant>>,
    /// Time of the last response of the store.
    pub store_answered_at: Cell<Option<Instant>>,
    /// How long the store has answered this instance without interruption.
    pub store_streak: Cell<AnswerStreak>,
    /// Highest era of the store that is known, `None` before its first answer that names one.
    pub store_era: Cell<Option<StoreEra>>,
    /// When the store was found to be restored from a copy.
    pub store_restored_at: Cell<Option<Instant>>,
    /// Time of the last response of an up-to-date peer.
    pub peer_synced_at: Cell<Option<Instant>>,
    /// Limits of workspaces.
    pub limits: LimitState,
    /// Content that crashes backend servers and is refused.
    pub quarantine: RefCell<Quarantine>,
    /// Recent responses that broke off, until it is known whether their servers crashed.
    pub broken_responses: RefCell<Vec<BrokenResponse>>,
    /// Metrics, scraped as text.
    pub metrics: PrometheusMetrics,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Limit of the idle time of these connections, learned from lost requests.
    pub idle_limit: RefCell<IdleLimit>,
    /// Number of callers' requests in progress.
    pub in_flight: Cell<usize>,
    /// Bodies of requests and answers in memory.
    pub bodies: HeldBodies,
    /// Large answers that servers were asked for and have not sent completely.
    pub large_answers: RefCell<LargeAnswers>,
    /// Socket for datagrams between instances.
    pub peer_socket: UdpSocket,
    /// Number of this instance's last heartbeat.
    pub beat: Cell<u64>,
    /// Number of other instances that are known, live or not.
    pub peer_count: Cell<usize>,
    /// Requests that wait for the answer of the instance that assigns them, by id.
    pub awaited_answers: RefCell<HashMap<u64, oneshot::Sender<AssignAnswer>>>,
    /// Instances that did not answer in time, and until when they are not asked.
    pub silent_assigners: RefCell<HashMap<InstanceName, Instant>>,
    /// Whether a peer or the store has provided the homes of objects.
    pub has_homes: Cell<bool>,
    /// When this instance last sent all tables to a peer.
    pub snapshot_sent_at: Cell<Option<Instant>>,
    /// Spreads the end of the wait for peers over instances that start together.
    start_jitter_ms: u64,
    stop: watch::Sender<StopPhase>,
    started_at: time::Instant,
}

impl Core {
    /// Creates the state of an instance that has no configuration and knows no server or peer.
    /// `peer_socket` is bound to the peer address of the settings.
    pub fn new(
        settings: SteerSettings,
        metrics: PrometheusMetrics,
        peer_socket: UdpSocket,
    ) -> Core {
        let mut fleet =
            Fleet::new(settings.failure_domain.clone(), settings.failure_domains.clone());
        fleet.set_seed(fastrand::u64(..));
        fleet.set_orders_room(settings.orders_room);
        let memory_bytes = settings.memory_mb as usize * 1024 * 1024;
        let incarnation = Incarnation(fastrand::u64(1..));
        Core {
            bounds: settings.bounds(),
            incarnation,
            plan: RefCell::new(None),
            fleet: RefCell::new(fleet),
            members: RefCell::new(Members::new(settings.instance.clone())),
            retry_budgets: RefCell::default(),
            weighted_splits: RefCell::default(),
            tables: RefCell::default(),
            table_changes: watch::Sender::new(0),
            store_failed_at: Cell::new(None),
            store_answered_at: Cell::new(None),
            store_streak: Cell::default(),
            store_era: Cell::new(None),
            store_restored_at: Cell::new(None),
            peer_synced_at: Cell::new(None),
            limits: LimitState::new(&settings.instance, incarnation, Instant::default()),
            quarantine: RefCell::new(Quarantine::new(CRASHING_CONTENT_MS)),
            broken_responses: RefCell::default(),
            metrics,
            pool: Pool::default(),
            idle_limit: RefCell::default(),
            in_flight: Cell::new(0),
            bodies: HeldBodies::new(BodyBudget::new(memory_bytes)),
            large_answers: RefCell::default(),
            peer_socket,
            beat: Cell::new(0),
            peer_count: Cell::new(0),
            awaited_answers: RefCell::default(),
            silent_assigners: RefCell::default(),
            has_homes: Cell::new(false),
            snapshot_sent_at: Cell::new(None),
            start_jitter_ms: fastrand::u64(..START_JITTER_MS),
            stop: watch::Sender::new(StopPhase::Serving),
            started_at: time::Instant::now(),
            settings,
        }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Instant {
        let us = self.started_at.elapsed().as_micros();
        Instant::from_us(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// Returns the configuration in force.
    pub fn plan(&self) -> Option<Rc<RoutePlan>> {
        self.plan.borrow().clone()
    }

    /// Returns the version of the configuration in force, or 0 without one.
    pub fn plan_version(&self) -> ConfigVersion {
        self.plan.borrow().as_ref().map_or(ConfigVersion(0), |plan| plan.version)
    }

    /// Returns the phase of the planned stop.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Returns a receiver that observes the phase of the planned stop.
    pub fn watch_stop(&self) -> watch::Receiver<StopPhase> {
        self.stop.subscribe()
    }

    /// Sets the phase of the planned stop and wakes the tasks that observe it.
    pub fn set_stop_phase(&self, phase: StopPhase) {
        self.stop.send_replace(phase);
    }

    /// Returns whether callers may use this instance.
    pub fn is_ready(&self) -> bool {
        // Without a list of backend servers, each request would be refused.
        self.plan.borrow().is_some()
            && self.tables.borrow().servers.version.is_some()
            && self.stop_phase() == StopPhase::Serving
    }

    /// Records a response of the store.
    pub fn store_answered(&self) {
        let now = self.now();
        self.store_answered_at.set(Some(now));
        let mut streak = self.store_streak.get();
        streak.record_answer(self.members.borrow().store_answered_ms(now), now);
        self.store_streak.set(streak);
    }

    /// Records the era of the store. A higher one means that the store was restored from a copy.
    pub fn record_store_era(&self, era: StoreEra) {
        let known = self.store_era.get();
        if known >= Some(era) {
            return;
        }
        self.store_era.set(Some(era));
        if let Some(known) = known {
            log::warn!("store: restored from a copy; era={era} before={known}");
            self.store_restored_at.set(Some(self.now()));
        }
    }

    /// Returns whether the store came back from a copy less than `ms` ago, as far as known.
    pub fn store_was_restored_within(&self, ms: u64) -> bool {
        let now = self.now();
        self.store_restored_at.get().is_some_and(|at| now.since_ms(at) < ms)
    }

    /// Returns the era of the store, 0 before its first answer that names one.
    pub fn current_era(&self) -> StoreEra {
        self.store_era.get().unwrap_or_default()
    }

    /// Records a failed call to the store: there was no response, or it was an error or invalid.
    pub fn store_failed(&self) {
        self.store_failed_at.set(Some(self.now()));
        let mut streak = self.store_streak.get();
        streak.record_failure();
        self.store_streak.set(streak);
    }

    /// Returns for how long the store has answered this instance or a live peer without
    /// interruption, whichever is longer.
    pub fn store_answered_ms(&self) -> u64 {
        let now = self.now();
        let own_ms = self.store_streak.get().duration_ms(now);
        own_ms.max(self.members.borrow().store_answered_ms(now))
    }

    /// Returns whether no call of this instance to the store has failed recently. This is also true
    /// if the instance made none.
    pub fn store_is_healthy(&self) -> bool {
        let now = self.now();
        self.store_failed_at.get().is_none_or(|at| now.since_ms(at) >= STORE_HEALTHY_AFTER_MS)
    }

    /// Returns whether the store is healthy and has answered this instance recently. Being healthy
    /// is not enough: the store may reject an instance that has not called it for a while.
    pub fn store_answered_recently(&self) -> bool {
        let now = self.now();
        let answered = self.store_answered_at.get();
        self.store_is_healthy()
            && answered.is_some_and(|at| now.since_ms(at) < STORE_ANSWER_FRESH_MS)
    }

    /// Returns whether this instance is the one that reads the store for its region.
    pub fn is_region_reader(&self) -> bool {
        let members = self.members.borrow();
        let reader = members.region_reader(
            self.settings.region(),
            &self.settings.failure_domains,
            self.store_is_healthy(),
            self.now(),
        );
        reader == self.settings.instance
    }

    /// Returns whether this instance does the tasks for which one instance is enough: it has the
    /// first name of those that the store answers.
    pub fn runs_singleton_tasks(&self) -> bool {
        let now = self.now();
        let members = self.members.borrow();
        members.usable(now).all(|m| !m.store_healthy || m.record.instance > self.settings.instance)
    }

    /// Returns whether this instance has started without the tables and leaves it to others to read
    /// them from the store. Those whose address the settings of all instances name read them at
    /// once.
    fn waits_for_peers(&self) -> bool {
        if self.tables.borrow().servers.version.is_some() || self.is_seed() {
            return false;
        }
        let now = self.now();
        let hears_peers = self.members.borrow().live_count(now) > 1;
        let wait_ms = if hears_peers { FIRST_TABLES_WAIT_MS } else { FIRST_PEER_WAIT_MS };
        now.as_ms() < wait_ms + self.start_jitter_ms
    }

    /// Returns whether other instances are likely to know this one from their settings. Without
    /// seeds, any instance counts as one.
    fn is_seed(&self) -> bool {
        let seeds = &self.settings.seeds;
        seeds.is_empty() || seeds.iter().any(|seed| seed.ip() == self.settings.peer_ip)
    }

    /// Returns whether this instance has to read the store itself.
    pub fn must_read_store(&self) -> bool {
        self.store_use().reads()
    }

    /// Returns whether this instance has to read the store itself, and why.
    pub fn store_use(&self) -> StoreUse {
        if self.waits_for_peers() {
            return StoreUse::WaitsForPeers;
        }
        match self.peer_silence_ms() {
            None => StoreUse::ReadsWithoutPeer,
            Some(_) if self.is_region_reader() => StoreUse::ReadsForRegion,
            Some(ms) if ms >= PEER_SYNC_FRESH_MS => StoreUse::ReadsAfterSilence,
            Some(_) => StoreUse::FollowsPeer,
        }
    }

    /// Returns the time since the last response of an up-to-date peer.
    pub fn peer_silence_ms(&self) -> Option<u64> {
        self.peer_synced_at.get().map(|at| self.now().since_ms(at))
    }

    /// Returns whether the local tables are up to date with the store.
    pub fn is_current(&self) -> bool {
        let known = self.tables.borrow().operator.version.is_some();
        let is_synced = self.peer_silence_ms().is_some_and(|ms| ms < PEER_SYNC_FRESH_MS);
        known && (is_synced || self.store_is_healthy())
    }

    /// Returns the address of the peer to fetch changes from, other than those in `failed`.
    pub fn sync_source(&self, failed: &[SocketAddr]) -> Option<SocketAddr> {
        // If the region's reader failed or is this instance, the other instances of the region have
        // no newer data.
        let prefers_other_region =
            !failed.is_empty() || !self.store_is_healthy() || self.is_region_reader();
        self.members.borrow().sync_source(
            self.settings.region(),
            &self.settings.failure_domains,
            failed,
            prefers_other_region,
            self.now(),
        )
    }

    /// Returns the address of a peer from which to fetch all tables, other than those in `failed`.
    /// Any peer that callers may use has them.
    pub fn snapshot_source(&self, failed: &[SocketAddr]) -> Option<SocketAddr> {
        let domain = &self.settings.failure_domain;
        let regions = &self.settings.failure_domains;
        self.members
            .borrow()
            .snapshot_source(domain, regions, failed, self.now(), |count| fastrand::usize(..count))
    }

    /// Returns the addresses of the peers of this region that have all tables.
    pub fn near_snapshot_sources(&self) -> Vec<SocketAddr> {
        let regions = &self.settings.failure_domains;
        let members = self.members.borrow();
        let near = members
            .usable(self.now())
            .filter(|m| regions.get(&m.record.failure_domain) == Some(self.settings.region()));
        near.map(|m| m.record.peer_address).collect()
    }

    /// Returns the gauges for a scrape of the metrics.
    pub fn gauges(&self) -> GaugeValues {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let plan = self.plan();
        let workspaces = plan.as_ref().map(|plan| &plan.workspaces);
        let count = |is: &dyn Fn(&Server) -> bool| fleet.servers().filter(|s| is(s)).count();
        GaugeValues {
            config_version: self.plan_version().0,
            workspaces: workspaces.map_or(0, Workspaces::len),
            workspace_keys: workspaces.map_or(0, Workspaces::key_count),
            servers_ready: count(&|s| s.is_ready() && !s.is_suspect()),
            servers_cold: count(&|s| s.is_cold(now)),
            servers_suspect: count(&Server::is_suspect),
            servers_slow: count(&|s| s.has_slow_machine(now)),
            servers_leaving: count(&|s| !s.is_ready()),
            members_live: self.members.borrow().live_count(now),
            in_flight: self.in_flight.get(),
            held_request_bytes: self.bodies.with_budget(|b| b.held_bytes(BodyKind::Request)),
            held_answer_bytes: self.bodies.with_budget(|b| b.held_bytes(BodyKind::Answer)),
            answers_slowed: self.bodies.slowed_answers(),
            store_current: self.is_current(),
            log_lines_dropped: logs::dropped_lines(),
        }
    }

    /// Returns the peer addresses of the live peers of this region.
    pub fn live_near_addresses(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let regions = &self.settings.failure_domains;
        let members = self.members.borrow();
        let near = members.peers().filter(|m| {
            m.is_live(now) && regions.get(&m.record.failure_domain) == Some(self.settings.region())
        });
        near.map(|m| m.record.peer_address).collect()
    }

    /// Returns whether there are so many instances that one of each region assigns all requests of an
    /// object. In a smaller fleet each instance learns enough from its own requests and its peers.
    pub fn assigns_by_object(&self) -> bool {
        self.peer_count.get() > self.settings.full_mesh_peers
    }

    /// Returns whether this instance is one of the few that send heartbeats from a large region to
    /// other regions.
    pub fn is_region_representative(&self) -> bool {
        let rank = |name: &InstanceName| steering::assigner_rank(REPRESENTATIVES_KEY, name);
        let own_rank = rank(&self.settings.instance);
        let regions = &self.settings.failure_domains;
        let members = self.members.borrow();
        let higher = members
            .usable(self.now())
            .filter(|m| regions.get(&m.record.failure_domain) == Some(self.settings.region()))
            .filter(|m| rank(&m.record.instance) > own_rank);
        higher.take(REPRESENTATIVES).count() < REPRESENTATIVES
    }

    /// Returns the live instances of this region, including this one.
    pub fn instances_in_region(&self) -> Vec<InstanceName> {
        self.members.borrow().live_in_region(
            self.settings.region(),
            &self.settings.failure_domains,
            self.now(),
        )
    }
}
