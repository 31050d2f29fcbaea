//! How far less urgent classes of a service give way to more urgent ones.

use std::collections::BTreeMap;

use pollenshed_state::time::Instant;

use super::Class;

/// Shortest time between two changes. Requests that run now go on for about that long.
const CHANGE_PAUSE_MS: u64 = 1_000;

/// Requests of a class from which its refusals are judged. An instance may see few a second.
const MIN_REQUESTS: f64 = 4.0;

/// Part of a class's room that is closed at once if all requests of a more urgent one are refused.
const CLOSING_STEP: f64 = 0.3;

/// Part of a class's room that is opened at once if more urgent ones find theirs.
const OPENING_STEP: f64 = 0.1;

/// Share of the requests of a class that may be refused before less urgent ones give way further.
const TOLERATED_RATIO: f64 = 0.03;

/// The same, relative to the share of the less urgent requests that are refused. Servers hand out
/// their slots in the order of arrival, so the last refusals of urgent requests could only be
/// avoided by servers that are nearly idle.
const TOLERATED_RELATIVE_RATIO: f64 = 0.4;

/// Time without a refusal after which a class that was closed is open again.
const REOPENING_MS: f64 = 20_000.0;

/// Share of the slots that each rank keeps, so that none is starved.
const MIN_OPEN_RATIO: f64 = 0.1;

/// Part of the outcomes that still counts after a change.
const KEPT_RATIO: f64 = 0.5;

/// What became of the latest requests of a class.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    placed: f64,
    refused: f64,
    /// Classes that can give way to it.
    less_urgent: usize,
}

impl Outcomes {
    fn requests(self) -> f64 {
        self.placed + self.refused
    }

    fn refused_ratio(self) -> f64 {
        self.refused / self.requests().max(1.0)
    }
}

/// Shortage of a service: the number of classes, from the least urgent one, that are closed.
#[derive(Debug, Clone, Default)]
pub(super) struct Shortage {
    /// Depth at the last change.
    depth: f64,
    changed_at: Option<Instant>,
    refused_at: Option<Instant>,
    outcomes: BTreeMap<Class, Outcomes>,
}

impl Shortage {
    /// Returns the number of classes that are closed. Without refusals it falls faster and faster.
    pub(super) fn depth(&self, now: Instant) -> f64 {
        let Some(refused_at) = self.refused_at else { return 0.0 };
        let quiet = now.since_ms(refused_at) as f64 / REOPENING_MS;
        (self.depth - quiet * quiet).max(0.0)
    }

    /// Records whether a request of a class found room. `less_urgent` is the number of classes that
    /// can give way to it.
    pub(super) fn record(
        &mut self,
        class: Class,
        found_room: bool,
        less_urgent: usize,
        now: Instant,
    ) {
        let has_effect = less_urgent > 0 && !found_room;
        if !has_effect && self.depth(now) == 0.0 {
            return;
        }
        let outcomes = self.outcomes.entry(class).or_default();
        outcomes.less_urgent = less_urgent;
        if found_room {
            outcomes.placed += 1.0;
        } else {
            outcomes.refused += 1.0;
        }
        if has_effect {
            self.depth = self.depth(now);
            self.refused_at = Some(now);
        }
        let is_due = self.changed_at.is_none_or(|at| now.since_ms(at) >= CHANGE_PAUSE_MS);
        let is_seen = |o: &Outcomes| o.less_urgent > 0 && o.requests() >= MIN_REQUESTS;
        if is_due && self.outcomes.values().any(is_seen) {
            self.change(now);
        }
    }

    /// Closes a further part if a class that others can give way to was refused too often, or else
    /// opens one.
    fn change(&mut self, now: Instant) {
        let depth = self.depth(now);
        let lacks_room = |class: &Class, outcomes: &Outcomes| {
            let tolerated = TOLERATED_RELATIVE_RATIO * self.refused_ratio_below(*class);
            outcomes.requests() >= MIN_REQUESTS
                && outcomes.refused_ratio() > tolerated.max(TOLERATED_RATIO)
        };
        let lacking = self.outcomes.iter().filter(|(class, outcomes)| lacks_room(class, outcomes));
        let wanted = lacking.map(|(_, outcomes)| {
            (depth + CLOSING_STEP * outcomes.refused_ratio()).min(outcomes.less_urgent as f64)
        });
        self.depth = wanted.fold((depth - OPENING_STEP).max(0.0), f64::max);
        self.changed_at = Some(now);
        for outcomes in self.outcomes.values_mut() {
            outcomes.placed *= KEPT_RATIO;
            outcomes.refused *= KEPT_RATIO;
        }
    }

    /// Returns the share of the requests of all classes below this one that were refused. What
    /// workspaces send beyond their usual does not count, since it may take nothing from others.
    fn refused_ratio_below(&self, class: Class) -> f64 {
        let below = self.outcomes.range(class..).filter(|(other, _)| **other > class && !other.1);
        let sum = below.fold(Outcomes::default(), |sum, (_, outcomes)| Outcomes {
            placed: sum.placed + outcomes.placed,
            refused: sum.refused + outcomes.refused,
            less_urgent: 0,
        });
        sum.refused_ratio()
    }

    /// Returns whether classes leave slots free for one that has `less_urgent` classes below it.
    /// Once they are closed as a whole, it is too much itself, and more first runs would not help.
    pub(super) fn reserves(&self, less_urgent: usize, now: Instant) -> bool {
        let depth = self.depth(now);
        depth > 0.0 && depth < less_urgent as f64
    }

    /// Returns the share of the slots of a server that a class may take which has `less_urgent`
    /// classes below it.
    pub(super) fn open_ratio(&self, class: Class, less_urgent: usize, now: Instant) -> f64 {
        let closed = (self.depth(now) - less_urgent as f64).clamp(0.0, 1.0);
        let (_, is_beyond_usual) = class;
        let kept_ratio = if is_beyond_usual { 0.0 } else { MIN_OPEN_RATIO };
        1.0 - closed * (1.0 - kept_ratio)
    }
}

/// The slots of a server that a request may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::steering) struct SlotLimit {
    open_ratio: f64,
    /// Random number from 0 to 1 that rounds the number of slots: servers have few.
    random: f64,
    /// The request may take a free slot where its object is not in memory.
    pub(in crate::steering) takes_any_free: bool,
}

impl SlotLimit {
    /// All slots.
    pub(super) const NONE: SlotLimit =
        SlotLimit { open_ratio: 1.0, random: 0.0, takes_any_free: false };

    pub(super) fn new(open_ratio: f64, random: f64) -> SlotLimit {
        SlotLimit { open_ratio, random, takes_any_free: false }
    }

    /// Returns the limit of a request that also takes slots where its object is not in memory.
    pub(super) fn with_any_free(self) -> SlotLimit {
        SlotLimit { takes_any_free: true, ..self }
    }

    pub(super) fn is_limited(&self) -> bool {
        self.open_ratio < 1.0
    }

    /// Returns whether a server with this load may get the request. A request whose slots are
    /// limited never waits, since more urgent ones would wait behind it.
    pub(in crate::steering) fn allows(&self, load: u32, slots: u32) -> bool {
        !self.is_limited()
            || f64::from(load) + 1.0 <= (f64::from(slots) * self.open_ratio + self.random).floor()
    }
}
