//! Limits of workspaces that hold over all instances, in touch with each other or not
//! (docs/design/workspace-limits.md).
//!
//! Each instance owns an equal part of every limit. It *keeps* what its own callers need and
//! *pledges* the rest for a few seconds to *keepers*, instances that give out *permits* for single
//! requests. No part is ever used by two instances at once, so the sum over all instances can't
//! exceed the limit, whichever messages are lost, late or doubled.

mod bucket;
mod divisor;
mod exchange;
mod messages;
mod pledger;
mod pool;
mod shared_limit;
mod space;

use std::collections::{HashMap, VecDeque};

use pollenshed_state::{
    ids::{InstanceName, WorkspaceName},
    routes::{Bounds, Workspace},
    time::Instant,
};

use self::{
    divisor::Divisor,
    pledger::Pledger,
    pool::Pool,
    shared_limit::SharedLimit,
    space::{PERMIT_MS, Space},
};
pub use self::{
    exchange::{Keepers, LAPSE_MS, SLOTS, slot_rank},
    messages::{
        Ack, Ask, AskNumber, Grant, InstanceKey, Kept, LimitMessage, Mark, Pledge, WorkspaceKey,
    },
    space::{Take, Token},
};

/// The limits of all workspaces, as one instance applies them for its own callers and keeps them
/// for others.
#[derive(Debug)]
pub struct WorkspaceLimits {
    own: InstanceKey,
    /// Tells this run of the instance from earlier ones.
    run: u32,
    started_at: Instant,
    /// When the others were last sure to know this instance.
    confirmed_at: Option<Instant>,
    spaces: HashMap<WorkspaceKey, Space>,
    divisor: Divisor,
    pledgers: [Pledger; SLOTS],
    pools: [Pool; SLOTS],
    /// Number of the last question to a keeper.
    last_ask: AskNumber,
    /// Questions that may still be answered: number, workspace and time.
    asked: VecDeque<(AskNumber, WorkspaceKey, Instant)>,
    ticked_at: Option<Instant>,
}

impl WorkspaceLimits {
    /// Creates the state of an instance that starts at `now` and knows no limit. `run` tells this
    /// run from earlier ones.
    pub fn new(own: &InstanceName, run: u32, now: Instant) -> WorkspaceLimits {
        WorkspaceLimits {
            own: InstanceKey::of(own),
            run,
            started_at: now,
            confirmed_at: None,
            spaces: HashMap::new(),
            divisor: Divisor::default(),
            pledgers: Default::default(),
            pools: Default::default(),
            last_ask: AskNumber::default(),
            asked: VecDeque::new(),
            ticked_at: None,
        }
    }

    /// Replaces the limits by those of a new configuration. What is out of a lowered limit shrinks
    /// at once in proportion, since instances hold parts of a limit and no numbers of requests.
    pub fn configure<'a>(
        &mut self,
        workspaces: impl IntoIterator<Item = &'a Workspace>,
        bounds: &Bounds,
        now: Instant,
    ) {
        let mut limits: HashMap<WorkspaceKey, SharedLimit> = HashMap::new();
        for workspace in workspaces {
            let Some(limit) = &workspace.limit else { continue };
            let limit = SharedLimit::new(limit, bounds);
            let known = limits.entry(WorkspaceKey::of(&workspace.name)).or_insert(limit);
            // Two names with the same key share the lower limit.
            *known = known.min(limit);
        }
        self.spaces.retain(|key, _| limits.contains_key(key));
        for (key, limit) in &limits {
            match self.spaces.get_mut(key) {
                Some(space) => space.set_limit(*limit, now),
                None => {
                    self.spaces.insert(*key, Space::new(*limit, now));
                }
            }
        }
        for (slot, pool) in self.pools.iter_mut().enumerate() {
            pool.configure(slot, &limits, now);
        }
        self.apply_kept_parts(now);
    }

    /// Returns whether no workspace has a limit.
    pub fn is_empty(&self) -> bool {
        self.spaces.is_empty()
    }

    /// Decides on a request. `seed` spreads the times at which refused callers come back.
    pub fn take(
        &mut self,
        workspace: WorkspaceKey,
        keepers: &Keepers,
        seed: u64,
        now: Instant,
    ) -> Take {
        let Some(space) = self.spaces.get_mut(&workspace) else {
            return Take::Admitted(Token::Unlimited);
        };
        let has_keeper = workspace.slots().map(|slot| keepers[slot].is_some());
        match space.take(has_keeper, seed, now) {
            space::Decision::Admitted(token) => Take::Admitted(token),
            space::Decision::Refused { retry_after_ms } => Take::Refused { retry_after_ms },
            space::Decision::Wait => Take::Wait,
            space::Decision::Ask { place } => {
                self.last_ask = self.last_ask.next();
                let slot = workspace.slots()[place];
                let (want, returned) = space.record_ask(place, self.last_ask, now);
                self.asked.retain(|(_, _, at)| now.since_ms(*at) < 2 * PERMIT_MS);
                self.asked.push_back((self.last_ask, workspace, now));
                let ask = Ask {
                    run: self.run,
                    number: self.last_ask,
                    workspace,
                    slot: slot as u32,
                    want,
                    returned,
                };
                Take::Ask { slot, message: LimitMessage::Ask(ask) }
            }
        }
    }

    /// Counts a request that was admitted by [`take`](WorkspaceLimits::take) once, however often it
    /// is decided on.
    pub fn record_demand(&mut self, workspace: WorkspaceKey) {
        if let Some(space) = self.spaces.get_mut(&workspace) {
            space.record_demand();
        }
    }

    /// Gives back the token of a request that did not run and never will.
    pub fn give_back(&mut self, workspace: WorkspaceKey, token: Token, now: Instant) {
        if let Some(space) = self.spaces.get_mut(&workspace) {
            space.give_back(token, now);
        }
    }

    /// Returns the requests per second that callers of this instance ask for.
    pub fn demand_per_s(&self, workspace: WorkspaceKey) -> Option<f64> {
        self.spaces.get(&workspace).map(Space::demand_per_s)
    }

    /// Returns the part of a limit that the instance may use by itself, as a fraction of 1.
    pub fn own_share(&self, workspace: WorkspaceKey) -> Option<f64> {
        self.spaces.get(&workspace).map(Space::own_share)
    }
}

impl WorkspaceKey {
    /// Returns the key of a name, the same in all instances.
    pub fn of(name: &WorkspaceName) -> WorkspaceKey {
        WorkspaceKey(messages::short_hash(b"workspace", name.as_str()))
    }
}
