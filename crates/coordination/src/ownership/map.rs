//! The backend servers that this instance owns, and from when on it may dispatch to them.

use std::{collections::BTreeMap, sync::Arc};

use pollenshed_state::{
    config::Config,
    ids::{BackendServerName, ConfigVersion, InstanceName},
    settings::Timing,
    time::Instant,
};

use super::assignment::{Assignment, LiveEntry};
use crate::membership::MemberState;

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
    /// Servers that this instance must stop dispatching to at once.
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
}

/// One instance's view of the ownership of all backend servers.
#[derive(Debug, Clone)]
pub struct OwnershipMap {
    own: InstanceName,
    wait_after_dead_ms: u64,
    wait_after_live_ms: u64,
    view: Arc<OwnershipView>,
    owned: BTreeMap<BackendServerName, Instant>,
}

impl OwnershipMap {
    /// Starts without any server.
    pub fn new(own: InstanceName, timing: &Timing) -> OwnershipMap {
        OwnershipMap {
            own,
            wait_after_dead_ms: timing.fence_after_ms,
            wait_after_live_ms: timing.dead_after_ms,
            view: Arc::default(),
            owned: BTreeMap::new(),
        }
    }

    /// Recomputes the owners if the configuration's `version` or the live entries changed.
    ///
    /// Without such a change no server changes hands. `state_of` tells how a previous owner is
    /// judged now; a judgement that makes its servers move changes the live entries, too.
    pub fn update(
        &mut self,
        version: ConfigVersion,
        config: &Config,
        entries: &[LiveEntry],
        state_of: impl Fn(&InstanceName) -> Option<MemberState>,
        now: Instant,
    ) -> OwnershipChange {
        if self.view.version == version && self.view.entries == entries {
            return OwnershipChange::default();
        }
        let assignment = Assignment::compute(config, entries);
        let is_own = |server: &BackendServerName| {
            assignment.owner(server).is_some_and(|o| o.instance == self.own)
        };
        let lost: Vec<_> = self.owned.keys().filter(|s| !is_own(s)).cloned().collect();
        self.owned.retain(|server, _| is_own(server));
        let mut gained = Vec::new();
        for (server, _) in assignment.iter().filter(|(s, _)| is_own(s)) {
            if self.owned.contains_key(server) {
                continue;
            }
            let previous = self.view.assignment.owner(server).map(|o| o.instance.clone());
            let state = previous.as_ref().and_then(&state_of);
            let usable_at = now.plus_ms(self.wait_ms(state));
            self.owned.insert(server.clone(), usable_at);
            gained.push(Takeover { server: server.clone(), previous, usable_at });
        }
        self.view = Arc::new(OwnershipView { version, entries: entries.to_vec(), assignment });
        OwnershipChange { gained, lost }
    }

    /// Waits again before dispatching to any owned server, as after a takeover from a live owner.
    ///
    /// After a long pause others have owned the servers, and this instance does not know what they
    /// dispatched.
    pub fn wait_again(&mut self, now: Instant) {
        let usable_at = now.plus_ms(self.wait_after_live_ms);
        self.owned.values_mut().for_each(|at| *at = usable_at);
    }

    fn wait_ms(&self, previous: Option<MemberState>) -> u64 {
        match previous {
            Some(MemberState::Leaving) => 0,
            Some(MemberState::Dead) => self.wait_after_dead_ms,
            _ => self.wait_after_live_ms,
        }
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

    /// Returns whether this instance owns `server` and the wait for its previous owner is over.
    pub fn is_usable(&self, server: &BackendServerName, now: Instant) -> bool {
        self.owned.get(server).is_some_and(|usable_at| now >= *usable_at)
    }

    /// Returns the servers that this instance owns.
    pub fn owned(&self) -> impl Iterator<Item = &BackendServerName> {
        self.owned.keys()
    }
}
