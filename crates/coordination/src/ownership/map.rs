//! The backend servers that this instance owns, and from when on it may dispatch to them.

use std::{collections::BTreeMap, sync::Arc};

use pollenshed_state::{
    config::Config,
    ids::{BackendServerName, ConfigVersion, Incarnation, InstanceName},
    settings::Timing,
    time::Instant,
};

use super::assignment::{Assignment, LiveEntry};
use crate::membership::MemberState;

/// Gossip periods in which a leaving owner can answer how many of its requests still run. A load
/// report alone misses requests that were sent just before the stop and have not arrived.
const LEAVING_WAIT_PERIODS: u64 = 2;

/// A server that this instance gained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// The server.
    pub server: BackendServerName,
    /// Its owner before, as far as this instance knew.
    pub previous: Option<InstanceName>,
    /// When this instance may start to dispatch.
    pub usable_at: Instant,
}

/// What an update changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipChange {
    /// Servers that this instance owns now and did not before.
    pub gained: Vec<Takeover>,
    /// Servers that this instance no longer owns. It may still hold them for a joining owner.
    pub lost: Vec<BackendServerName>,
}

/// Live entries and the owners that follow from them, shared by requests without a copy.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipView {
    /// Version of the configuration that the owners were computed for.
    pub version: ConfigVersion,
    /// Live entries, in the order of their names.
    pub entries: Vec<LiveEntry>,
    /// Owner of each backend server.
    pub assignment: Assignment,
    /// When this view replaced the one before.
    pub changed_at: Instant,
}

/// Requests of former owners that may hold slots of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedRequests {
    /// Number of these requests.
    pub running: u64,
    /// When the slots of all of them count as free.
    pub until: Instant,
}

/// How a previous or next owner is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerLiveness {
    /// State of the member.
    pub state: MemberState,
    /// Age of its process.
    pub age_ms: u64,
}

/// A server that this instance owns.
#[derive(Debug, Clone, Copy)]
struct Tenure {
    usable_at: Instant,
    inherited: Option<InheritedRequests>,
}

/// A server to which this instance dispatches a little longer than it owns it.
#[derive(Debug, Clone, Copy)]
struct Hold {
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
    /// When this instance began to collect members, at its start or after a long pause.
    began: Option<Instant>,
    view: Arc<OwnershipView>,
    owned: BTreeMap<BackendServerName, Tenure>,
    /// Servers of new owners that have not asked for them yet.
    held: BTreeMap<BackendServerName, Hold>,
}

impl OwnershipMap {
    /// Starts without any server.
    pub fn new(own: InstanceName, timing: &Timing) -> OwnershipMap {
        // Half of what the wait for a live owner exceeds the time in which that owner stops by.
        let stops_by_ms = timing.suspect_after_ms.saturating_add(timing.fence_after_ms);
        let hold_ms = timing.dead_after_ms.saturating_sub(stops_by_ms) / 2;
        OwnershipMap {
            own,
            wait_after_leaving_ms: timing.gossip_period_ms.saturating_mul(LEAVING_WAIT_PERIODS),
            wait_after_dead_ms: timing.fence_after_ms,
            wait_after_live_ms: timing.dead_after_ms,
            hold_ms,
            began: None,
            view: Arc::default(),
            owned: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Recomputes the owners if the configuration's `version` or the live entries changed.
    ///
    /// Without such a change no server changes hands. `liveness_of` tells how a previous or new
    /// owner is judged now; a judgement that makes its servers move changes the live entries, too.
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
        let began = *self.began.get_or_insert(now);
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
        let lost = self.lose(&liveness_of, now);
        let mut gained = Vec::new();
        let view = self.view.clone();
        for (server, _) in view.assignment.iter().filter(|(_, o)| o.instance == self.own) {
            if self.owned.contains_key(server) {
                continue;
            }
            let previous = before.assignment.owner(server).map(|o| o.instance.clone());
            let liveness = previous.as_ref().and_then(&liveness_of);
            // What a young instance takes for the previous owner may never have been one.
            let young_until = began.plus_ms(self.wait_after_live_ms);
            let usable_at = now.plus_ms(self.wait_ms(liveness)).max(young_until);
            self.owned.insert(server.clone(), Tenure { usable_at, inherited: None });
            gained.push(Takeover { server: server.clone(), previous, usable_at });
        }
        OwnershipChange { gained, lost }
    }

    /// Gives up servers that have another owner now, some of them a little later.
    fn lose(
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
            if let Some(tenure) = self.owned.remove(server).filter(|_| was_usable) {
                let until = now.plus_ms(self.hold_ms);
                self.held.insert(server.clone(), Hold { until, inherited: tenure.inherited });
            }
        }
        let may_hold = |server: &BackendServerName| {
            let own = view.entries.iter().find(|e| e.instance == self.own);
            let owner = view.assignment.owner(server);
            own.zip(owner).is_some_and(|(own, owner)| {
                owner.instance != self.own
                    && owner.failure_domain == own.failure_domain
                    && liveness_of(&owner.instance).is_some_and(|s| self.is_new(s))
            })
        };
        let ended: Vec<_> = self.held.keys().filter(|s| !may_hold(s)).cloned().collect();
        for server in ended {
            self.held.remove(&server);
        }
        lost
    }

    /// Returns whether a process is so young that it can't dispatch without a release.
    fn is_new(&self, liveness: OwnerLiveness) -> bool {
        liveness.state == MemberState::Alive && liveness.age_ms < self.wait_after_live_ms
    }

    /// Waits again before dispatching to any owned server, as after a takeover from a live owner.
    ///
    /// After a long pause others have owned the servers, and this instance does not know what they
    /// dispatched.
    pub fn restart_wait(&mut self, now: Instant) {
        let usable_at = now.plus_ms(self.wait_after_live_ms);
        self.owned.values_mut().for_each(|tenure| tenure.usable_at = usable_at);
        self.held.clear();
        self.began = self.began.map(|_| now);
    }

    /// Returns whether this instance has run for so long that it knows the members around it.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.began.is_some_and(|began| now.since_ms(began) >= self.wait_after_live_ms)
    }

    fn wait_ms(&self, previous: Option<OwnerLiveness>) -> u64 {
        match previous {
            // Others may still hold servers for an owner that leaves soon after it joined.
            Some(OwnerLiveness { state: MemberState::Leaving, age_ms })
                if age_ms >= self.wait_after_live_ms.saturating_mul(2) =>
            {
                self.wait_after_leaving_ms
            }
            Some(OwnerLiveness { state: MemberState::Dead, .. }) => self.wait_after_dead_ms,
            _ => self.wait_after_live_ms,
        }
    }

    /// Stops dispatching to `server` for as long as this incarnation of `to` is its owner here.
    ///
    /// Returns false, and changes nothing, if this instance takes another one for the owner.
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

    /// Starts to dispatch to `server` now, because all that could dispatch released it.
    ///
    /// `asked_with` is the view in which they were determined. Returns false if it is out of date or
    /// the server was lost.
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
        let Some(tenure) = self.owned.get_mut(server) else { return false };
        *tenure = Tenure { usable_at: tenure.usable_at.min(now), inherited };
        true
    }

    /// Replaces what is known about requests of former owners.
    pub fn set_inherited(
        &mut self,
        server: &BackendServerName,
        inherited: Option<InheritedRequests>,
    ) {
        if let Some(tenure) = self.owned.get_mut(server) {
            tenure.inherited = inherited;
        }
        if let Some(hold) = self.held.get_mut(server) {
            hold.inherited = inherited;
        }
    }

    /// Returns the requests of former owners that may hold slots of `server`.
    pub fn inherited(&self, server: &BackendServerName) -> Option<InheritedRequests> {
        let of_hold = || self.held.get(server).and_then(|hold| hold.inherited);
        self.owned.get(server).map_or_else(of_hold, |tenure| tenure.inherited)
    }

    /// Ends the dispatch to servers whose new owners had time to ask, and returns them.
    pub fn end_holds(&mut self, now: Instant) -> Vec<BackendServerName> {
        let ended = self.held.iter().filter(|(_, hold)| now >= hold.until);
        let ended: Vec<_> = ended.map(|(server, _)| server.clone()).collect();
        for server in &ended {
            self.held.remove(server);
        }
        ended
    }

    /// Returns the owner of `server`.
    pub fn owner(&self, server: &BackendServerName) -> Option<&LiveEntry> {
        self.view.assignment.owner(server)
    }

    /// Returns the live entries and the owners of all servers as of the last change.
    pub fn view(&self) -> Arc<OwnershipView> {
        self.view.clone()
    }

    /// Returns whether this instance owns `server`, usable or not yet.
    pub fn owns(&self, server: &BackendServerName) -> bool {
        self.owned.contains_key(server)
    }

    /// Returns whether this instance may dispatch to `server`: it owns it and the wait for its
    /// previous owner is over, or its new owner is about to ask for it.
    pub fn is_usable(&self, server: &BackendServerName, now: Instant) -> bool {
        self.owned.get(server).is_some_and(|tenure| now >= tenure.usable_at)
            || self.held.get(server).is_some_and(|hold| now < hold.until)
    }

    /// Returns the servers to which this instance may dispatch.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &BackendServerName> {
        let known = self.owned.keys().chain(self.held.keys());
        known.filter(move |server| self.is_usable(server, now))
    }

    /// Returns the owned servers that wait for their previous owner.
    pub fn waiting(&self, now: Instant) -> impl Iterator<Item = &BackendServerName> {
        self.owned.iter().filter(move |(_, t)| now < t.usable_at).map(|(server, _)| server)
    }
}
