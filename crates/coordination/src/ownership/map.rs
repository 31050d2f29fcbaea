//! Tracks the backend servers that this instance owns and when it may dispatch to them.

use std::{collections::BTreeMap, sync::Arc};

use pollenshed_state::{
    config::Config,
    ids::{BackendServerName, ConfigVersion, Incarnation, InstanceName},
    settings::Timing,
    time::Instant,
};

use super::assignment::{Assignment, LiveEntry};
use crate::membership::MemberState;

/// Wait after a leaving owner, in gossip periods, during which that owner can report how many of
/// its requests still run. A load report alone misses requests that were sent just before the stop
/// and have not arrived.
const LEAVING_WAIT_PERIODS: u64 = 2;

/// A server that this instance took over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// Backend server that changed hands.
    pub server: BackendServerName,
    /// Its owner in this instance's previous view, if that view had one.
    pub previous: Option<InstanceName>,
    /// When this instance may start to dispatch to it.
    pub usable_at: Instant,
}

/// The servers whose ownership changed in an update.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipChange {
    /// Servers that this instance owns now and did not own before.
    pub gained: Vec<Takeover>,
    /// Servers that this instance no longer owns. It may still dispatch to them for a short time
    /// until a joining owner asks for them.
    pub lost: Vec<BackendServerName>,
}

/// The live entries and the owners computed from them. Requests share one view without copying it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipView {
    /// Configuration version for which the owners were computed.
    pub version: ConfigVersion,
    /// Live entries, sorted by name.
    pub entries: Vec<LiveEntry>,
    /// Owners of the backend servers.
    pub assignment: Assignment,
    /// When this view replaced the previous one.
    pub changed_at: Instant,
}

/// Requests of former owners that may still use slots of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedRequests {
    /// Number of these requests.
    pub running: u64,
    /// When the slots of all these requests count as free.
    pub until: Instant,
}

/// What is known about a previous or next owner, for deciding how long to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerLiveness {
    /// Membership state of the instance.
    pub state: MemberState,
    /// Time since its process started.
    pub age_ms: u64,
}

/// A server that this instance owns.
#[derive(Debug, Clone, Copy)]
struct OwnedServer {
    usable_at: Instant,
    inherited: Option<InheritedRequests>,
}

/// A server to which this instance still dispatches for a short time after it lost ownership.
#[derive(Debug, Clone, Copy)]
struct HeldServer {
    until: Instant,
    inherited: Option<InheritedRequests>,
}

/// One instance's view of the ownership of all backend servers.
#[derive(Debug, Clone)]
pub struct OwnershipMap {
    own: InstanceName,
    wait_after_leaving_ms: u64,
    wait_after_dead_ms: u64,
    wait_after_live_ms: u64,
    hold_ms: u64,
    /// When this instance started to learn its members, after its start or a long pause.
    settling_since: Option<Instant>,
    view: Arc<OwnershipView>,
    owned: BTreeMap<BackendServerName, OwnedServer>,
    /// Lost servers whose new owners have not asked for them yet.
    held: BTreeMap<BackendServerName, HeldServer>,
}

impl OwnershipMap {
    /// Creates a map for instance `own` that owns no servers.
    pub fn new(own: InstanceName, timing: &Timing) -> OwnershipMap {
        // Half of the time between the latest stop of a live previous owner and the end of the new
        // owner's wait.
        let stops_by_ms = timing.suspect_after_ms.saturating_add(timing.fence_after_ms);
        let hold_ms = timing.dead_after_ms.saturating_sub(stops_by_ms) / 2;
        OwnershipMap {
            own,
            wait_after_leaving_ms: timing.gossip_period_ms.saturating_mul(LEAVING_WAIT_PERIODS),
            wait_after_dead_ms: timing.fence_after_ms,
            wait_after_live_ms: timing.dead_after_ms,
            hold_ms,
            settling_since: None,
            view: Arc::default(),
            owned: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Recomputes the owners if the configuration `version` or the live entries changed.
    ///
    /// Otherwise no server changes its owner. `liveness_of` returns the current state of a previous
    /// or new owner. A state change that moves servers also changes the live entries, so checking
    /// these is sufficient.
    pub fn update(
        &mut self,
        version: ConfigVersion,
        config: &Config,
        entries: &[LiveEntry],
        liveness_of: impl Fn(&InstanceName) -> Option<OwnerLiveness>,
        now: Instant,
    ) -> OwnershipChange {
        if self.view.version == version && self.view.entries == entries {
            return OwnershipChange::default();
        }
        let settling_since = *self.settling_since.get_or_insert(now);
        let assignment = Assignment::compute(config, entries);
        let before = std::mem::replace(
            &mut self.view,
            Arc::new(OwnershipView {
                version,
                entries: entries.to_vec(),
                assignment,
                changed_at: now,
            }),
        );
        let lost = self.remove_lost(&liveness_of, now);
        let mut gained = Vec::new();
        let view = self.view.clone();
        for (server, _) in view.assignment.iter().filter(|(_, o)| o.instance == self.own) {
            if self.owned.contains_key(server) {
                continue;
            }
            let previous = before.assignment.owner(server).map(|o| o.instance.clone());
            let liveness = previous.as_ref().and_then(&liveness_of);
            // The view of an instance that has not settled may name a previous owner that never
            // owned the server.
            let settled_at = settling_since.plus_ms(self.wait_after_live_ms);
            let usable_at = now.plus_ms(self.takeover_wait_ms(liveness)).max(settled_at);
            self.owned.insert(server.clone(), OwnedServer { usable_at, inherited: None });
            gained.push(Takeover { server: server.clone(), previous, usable_at });
        }
        OwnershipChange { gained, lost }
    }

    /// Removes servers that have another owner now. A server that was usable stays in `held` for
    /// `hold_ms` if its new owner is a new process of the same failure domain.
    fn remove_lost(
        &mut self,
        liveness_of: impl Fn(&InstanceName) -> Option<OwnerLiveness>,
        now: Instant,
    ) -> Vec<BackendServerName> {
        let view = self.view.clone();
        let is_own = |server: &BackendServerName| {
            view.assignment.owner(server).is_some_and(|o| o.instance == self.own)
        };
        let lost: Vec<_> = self.owned.keys().filter(|s| !is_own(s)).cloned().collect();
        for server in &lost {
            let was_usable = self.is_usable(server, now);
            if let Some(owned) = self.owned.remove(server).filter(|_| was_usable) {
                let until = now.plus_ms(self.hold_ms);
                self.held.insert(server.clone(), HeldServer { until, inherited: owned.inherited });
            }
        }
        let may_hold = |server: &BackendServerName| {
            let own = view.entries.iter().find(|e| e.instance == self.own);
            let owner = view.assignment.owner(server);
            own.zip(owner).is_some_and(|(own, owner)| {
                owner.instance != self.own
                    && owner.failure_domain == own.failure_domain
                    && liveness_of(&owner.instance).is_some_and(|s| self.is_new_process(s))
            })
        };
        let ended: Vec<_> = self.held.keys().filter(|s| !may_hold(s)).cloned().collect();
        for server in ended {
            self.held.remove(&server);
        }
        lost
    }

    /// Returns whether a process started so recently that it can't dispatch without a release.
    fn is_new_process(&self, liveness: OwnerLiveness) -> bool {
        liveness.state == MemberState::Alive && liveness.age_ms < self.wait_after_live_ms
    }

    /// Starts the wait for all owned servers anew, as after a takeover from a live owner.
    ///
    /// During a long pause other instances may have owned the servers, and this instance does not
    /// know which requests they dispatched.
    pub fn restart_wait(&mut self, now: Instant) {
        let usable_at = now.plus_ms(self.wait_after_live_ms);
        self.owned.values_mut().for_each(|owned| owned.usable_at = usable_at);
        self.held.clear();
        self.settling_since = self.settling_since.map(|_| now);
    }

    /// Returns whether this instance has run for `dead_after_ms`, long enough to know the members
    /// of its failure domain.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settling_since.is_some_and(|since| now.since_ms(since) >= self.wait_after_live_ms)
    }

    fn takeover_wait_ms(&self, previous: Option<OwnerLiveness>) -> u64 {
        match previous {
            // Other instances may still hold servers for an owner that leaves soon after it joined.
            Some(OwnerLiveness { state: MemberState::Leaving, age_ms })
                if age_ms >= self.wait_after_live_ms.saturating_mul(2) =>
            {
                self.wait_after_leaving_ms
            }
            Some(OwnerLiveness { state: MemberState::Dead, .. }) => self.wait_after_dead_ms,
            _ => self.wait_after_live_ms,
        }
    }

    /// Stops dispatching to `server` while this view names this incarnation of `to` as its owner.
    ///
    /// Returns false and changes nothing if this view names another owner.
    pub fn release(
        &mut self,
        server: &BackendServerName,
        to: &InstanceName,
        incarnation: Incarnation,
    ) -> bool {
        let is_owner = self
            .owner(server)
            .is_some_and(|o| o.instance == *to && o.incarnation == incarnation && *to != self.own);
        if is_owner {
            self.held.remove(server);
        }
        is_owner
    }

    /// Allows dispatch to `server` from now on, because all members that could dispatch released
    /// it.
    ///
    /// `asked_with` is the view with which the members were asked. Returns false if that view is
    /// out of date or this instance no longer owns the server.
    pub fn accept(
        &mut self,
        asked_with: &Arc<OwnershipView>,
        server: &BackendServerName,
        inherited: Option<InheritedRequests>,
        now: Instant,
    ) -> bool {
        if !Arc::ptr_eq(asked_with, &self.view) {
            return false;
        }
        let Some(owned) = self.owned.get_mut(server) else { return false };
        *owned = OwnedServer { usable_at: owned.usable_at.min(now), inherited };
        true
    }

    /// Replaces the count of requests of former owners that may still use slots of `server`.
    pub fn set_inherited(
        &mut self,
        server: &BackendServerName,
        inherited: Option<InheritedRequests>,
    ) {
        if let Some(owned) = self.owned.get_mut(server) {
            owned.inherited = inherited;
        }
        if let Some(hold) = self.held.get_mut(server) {
            hold.inherited = inherited;
        }
    }

    /// Returns the requests of former owners that may still use slots of `server`.
    pub fn inherited(&self, server: &BackendServerName) -> Option<InheritedRequests> {
        let of_hold = || self.held.get(server).and_then(|hold| hold.inherited);
        self.owned.get(server).map_or_else(of_hold, |owned| owned.inherited)
    }

    /// Stops dispatching to held servers whose hold time is over, and returns them.
    pub fn end_holds(&mut self, now: Instant) -> Vec<BackendServerName> {
        let ended = self.held.iter().filter(|(_, hold)| now >= hold.until);
        let ended: Vec<_> = ended.map(|(server, _)| server.clone()).collect();
        for server in &ended {
            self.held.remove(server);
        }
        ended
    }

    /// Returns the owner of `server` in the current view.
    pub fn owner(&self, server: &BackendServerName) -> Option<&LiveEntry> {
        self.view.assignment.owner(server)
    }

    /// Returns the current view, without copying it.
    pub fn view(&self) -> Arc<OwnershipView> {
        self.view.clone()
    }

    /// Returns whether this instance owns `server`, even if it must still wait to dispatch to it.
    pub fn owns(&self, server: &BackendServerName) -> bool {
        self.owned.contains_key(server)
    }

    /// Returns whether this instance may dispatch to `server`: it owns the server and the wait is
    /// over, or it holds the server until the new owner asks for it.
    pub fn is_usable(&self, server: &BackendServerName, now: Instant) -> bool {
        self.owned.get(server).is_some_and(|owned| now >= owned.usable_at)
            || self.held.get(server).is_some_and(|hold| now < hold.until)
    }

    /// Returns the owned and held servers to which this instance may dispatch.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &BackendServerName> {
        let known = self.owned.keys().chain(self.held.keys());
        known.filter(move |server| self.is_usable(server, now))
    }

    /// Returns the owned servers whose takeover wait is not over.
    pub fn waiting(&self, now: Instant) -> impl Iterator<Item = &BackendServerName> {
        self.owned.iter().filter(move |(_, t)| now < t.usable_at).map(|(server, _)| server)
    }
}
