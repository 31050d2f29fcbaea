//! What the parts of one instance share. All of them run on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time,
};

use pollenshed_coordination::{
    limits::Quarantine,
    steering::{AnswerStreak, Fleet, IdleLimit, RetryBudgetShare, Server, WeightedSplit},
};
use pollenshed_state::{
    ids::{ConfigVersion, Incarnation, InstanceName, ServiceName},
    routes::{Bounds, RoutePlan},
    time::Instant,
};
use pollenshed_transport::{
    forward::Pool,
    listen::StopPhase,
    logs,
    scrape::{Levels, Scrape},
};
use tokio::sync::watch;

use super::{crashes::Broken, members::Members, settings::SteerSettings, tables::Tables};

/// Time for which content that crashed two backend servers is refused. A caller that sends it again
/// does so within its own deadline, at most 20 s on the users' routes.
const CRASHING_CONTENT_MS: u64 = 60_000;

/// Time for which an answer of the store shows that it answers this instance: a reader calls it more
/// often.
const CONFIRMED_MS: u64 = 1_500;

/// Time without a failed call after which the store counts as steady.
const STEADY_MS: u64 = 4_000;

/// Time for which the answer of a peer that is current stands in for the store. It exceeds the
/// time that such a call takes and is well below the bounds for changes.
const FED_MS: u64 = 1_100;

/// What the parts of one instance share.
pub struct Core {
    /// Settings at the start.
    pub settings: SteerSettings,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// This run of the instance.
    pub incarnation: Incarnation,
    /// Routes in force; `None` until the first ones are known.
    pub plan: RefCell<Option<Rc<RoutePlan>>>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// Other instances.
    pub members: RefCell<Members>,
    /// Further attempts by service.
    pub budgets: RefCell<HashMap<ServiceName, RetryBudgetShare>>,
    /// Positions of routes that are split.
    pub splits: RefCell<HashMap<String, WeightedSplit>>,
    /// Tables of the store as far as they are known.
    pub tables: RefCell<Tables>,
    /// Counts changes of the tables.
    pub changed: watch::Sender<u64>,
    /// When a call to the store failed last.
    pub store_failed_at: Cell<Option<Instant>>,
    /// When the store answered last.
    pub store_answered_at: Cell<Option<Instant>>,
    /// For how long the store has answered this instance.
    pub store_streak: Cell<AnswerStreak>,
    /// When a peer that is current answered last.
    pub fed_at: Cell<Option<Instant>>,
    /// Content that crashes backend servers.
    pub quarantine: RefCell<Quarantine>,
    /// Answers that broke off lately, whose servers may have crashed.
    pub broken: RefCell<Vec<Broken>>,
    /// Metrics.
    pub metrics: Scrape,
    /// Connections to backend servers.
    pub pool: Pool,
    /// How long they may be idle.
    pub idle_limit: RefCell<IdleLimit>,
    /// Requests of callers that are not answered yet.
    pub in_flight: Cell<usize>,
    /// Bytes of request bodies that are held.
    pub held_bytes: Cell<usize>,
    stop: watch::Sender<StopPhase>,
    started_at: time::Instant,
}

impl Core {
    /// Creates the state of an instance that knows nothing yet.
    pub fn new(settings: SteerSettings, metrics: Scrape) -> Core {
        let fleet = Fleet::new(settings.failure_domain.clone(), settings.failure_domains.clone());
        Core {
            bounds: settings.bounds(),
            incarnation: Incarnation(fastrand::u64(1..)),
            plan: RefCell::new(None),
            fleet: RefCell::new(fleet),
            members: RefCell::new(Members::new(settings.instance.clone())),
            budgets: RefCell::default(),
            splits: RefCell::default(),
            tables: RefCell::default(),
            changed: watch::Sender::new(0),
            store_failed_at: Cell::new(None),
            store_answered_at: Cell::new(None),
            store_streak: Cell::default(),
            fed_at: Cell::new(None),
            quarantine: RefCell::new(Quarantine::new(CRASHING_CONTENT_MS)),
            broken: RefCell::default(),
            metrics,
            pool: Pool::default(),
            idle_limit: RefCell::default(),
            in_flight: Cell::new(0),
            held_bytes: Cell::new(0),
            stop: watch::Sender::new(StopPhase::Serving),
            started_at: time::Instant::now(),
            settings,
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Instant {
        let us = self.started_at.elapsed().as_micros();
        Instant::from_us(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// Returns the routes in force.
    pub fn plan(&self) -> Option<Rc<RoutePlan>> {
        self.plan.borrow().clone()
    }

    /// Returns the version of the routes in force, or 0.
    pub fn plan_version(&self) -> ConfigVersion {
        self.plan.borrow().as_ref().map_or(ConfigVersion(0), |plan| plan.version)
    }

    /// Returns how far a planned stop has come.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Follows the planned stop.
    pub fn watch_stop(&self) -> watch::Receiver<StopPhase> {
        self.stop.subscribe()
    }

    /// Moves the planned stop on.
    pub fn set_stop_phase(&self, phase: StopPhase) {
        self.stop.send_replace(phase);
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        // Without the backend servers each request would be refused.
        self.plan.borrow().is_some()
            && self.tables.borrow().servers.version.is_some()
            && self.stop_phase() == StopPhase::Serving
    }

    /// Records an answer of the store.
    pub fn store_answered(&self) {
        let now = self.now();
        self.store_answered_at.set(Some(now));
        let mut streak = self.store_streak.get();
        streak.record_answer(self.members.borrow().store_answered_ms(now), now);
        self.store_streak.set(streak);
    }

    /// Records a call that the store did not answer.
    pub fn store_failed(&self) {
        self.store_failed_at.set(Some(self.now()));
        let mut streak = self.store_streak.get();
        streak.record_failure();
        self.store_streak.set(streak);
    }

    /// Returns the longest time for which the store has answered this instance or a peer.
    pub fn store_answered_ms(&self) -> u64 {
        let now = self.now();
        let own_ms = self.store_streak.get().duration_ms(now);
        own_ms.max(self.members.borrow().store_answered_ms(now))
    }

    /// Returns whether the store has answered all calls of this instance lately.
    pub fn store_is_steady(&self) -> bool {
        let now = self.now();
        self.store_failed_at.get().is_none_or(|at| now.since_ms(at) >= STEADY_MS)
    }

    /// Returns whether the store has answered this instance just now. One that did not call it for
    /// long is steady and may be turned away all the same.
    pub fn store_is_confirmed(&self) -> bool {
        let now = self.now();
        let answered = self.store_answered_at.get();
        self.store_is_steady() && answered.is_some_and(|at| now.since_ms(at) < CONFIRMED_MS)
    }

    /// Returns whether this instance is the one of its region that reads the store for all.
    pub fn reads_store(&self) -> bool {
        let members = self.members.borrow();
        let first = members.reader_of(
            self.settings.region(),
            &self.settings.failure_domains,
            self.store_is_steady(),
            self.now(),
        );
        first == self.settings.instance
    }

    /// Returns whether this instance is the first by name of those that the store answers, which
    /// does what one instance is enough for.
    pub fn is_first(&self) -> bool {
        let now = self.now();
        let members = self.members.borrow();
        members.usable(now).all(|m| !m.steady || m.record.instance > self.settings.instance)
    }

    /// Returns whether this instance has to call the store itself.
    pub fn needs_store(&self) -> bool {
        let now = self.now();
        let is_fed = self.fed_at.get().is_some_and(|at| now.since_ms(at) < FED_MS);
        !is_fed || self.reads_store()
    }

    /// Returns whether the tables of this instance are as new as the store's.
    pub fn is_current(&self) -> bool {
        let now = self.now();
        let known = self.tables.borrow().operator.version.is_some();
        let fed = self.fed_at.get().is_some_and(|at| now.since_ms(at) < FED_MS);
        known && (fed || self.store_is_steady())
    }

    /// Returns the address of the peer to follow, other than those in `failed`.
    pub fn feeding_peer(&self, failed: &[SocketAddr]) -> Option<SocketAddr> {
        // If the reader of the region failed or is this instance, its other followers know no more.
        let prefers_far = !failed.is_empty() || !self.store_is_steady() || self.reads_store();
        self.members.borrow().feeding_peer(
            self.settings.region(),
            &self.settings.failure_domains,
            failed,
            prefers_far,
            self.now(),
        )
    }

    /// Returns the values that are read when the metrics are scraped.
    pub fn levels(&self) -> Levels {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let count = |is: &dyn Fn(&Server) -> bool| fleet.servers().filter(|s| is(s)).count();
        Levels {
            config_version: self.plan_version().0,
            servers_ready: count(&|s| s.is_ready() && !s.is_suspect()),
            servers_cold: count(&|s| s.is_cold(now)),
            servers_suspect: count(&Server::is_suspect),
            servers_leaving: count(&|s| !s.is_ready()),
            members_live: self.members.borrow().live_count(now),
            in_flight: self.in_flight.get(),
            held_bytes: self.held_bytes.get(),
            store_current: self.is_current(),
            log_lines_dropped: logs::dropped_lines(),
        }
    }

    /// Returns the live instances of this instance's region, this one included.
    pub fn instances_in_region(&self) -> Vec<InstanceName> {
        self.members.borrow().live_in(
            self.settings.region(),
            &self.settings.failure_domains,
            self.now(),
        )
    }
}
