//! What the keeper of a slot holds of the limits, and gives out.

use std::collections::HashMap;

use pollenshed_state::time::Instant;

use super::{
    bucket::{Bucket, Part},
    exchange::LAPSE_MS,
    messages::{Ask, AskNumber, Grant, InstanceKey, Pledge, WorkspaceKey},
    shared_limit::SharedLimit,
};

/// Longest time that a keeper tells for the return of permits.
const MAX_ROOM_MS: u64 = 2_000;

/// Time over which wanted permits are summed up. Those who ask come back in turn, later the more of
/// them there are.
const SHORTAGE_MS: f64 = 1_000.0;

/// Time after which an instance that asks nothing is forgotten. Messages do not take as long.
const ASKER_MS: u64 = 120_000;

#[derive(Debug, Clone)]
struct HeldPledge {
    /// Time of this keeper from which the pledge lasts.
    since_ms: u64,
    until: Instant,
    share: Part,
    kept: Vec<(WorkspaceKey, Part)>,
}

/// The part of each limit that instances have pledged to the keeper of one slot.
#[derive(Debug, Default)]
pub(super) struct Pool {
    is_closed: bool,
    pledges: HashMap<InstanceKey, HeldPledge>,
    /// Sum of the shares of `pledges`.
    shares: u64,
    /// Sum of what is kept of these shares.
    kept: HashMap<WorkspaceKey, u64>,
    /// When the first of `pledges` lapses.
    first_lapse_at: Option<Instant>,
    buckets: HashMap<WorkspaceKey, Bucket>,
    /// Permits that were wanted of late and not given, by workspace, and when last.
    shortages: HashMap<WorkspaceKey, (f64, Instant)>,
    /// Number and time of the latest question of each run of an instance, so that a doubled one
    /// gives nothing back twice.
    last_asks: HashMap<u32, (AskNumber, Instant)>,
}

impl Pool {
    pub(super) fn configure(
        &mut self,
        slot: usize,
        limits: &HashMap<WorkspaceKey, SharedLimit>,
        now: Instant,
    ) {
        let is_own = |key: &WorkspaceKey| key.slots().contains(&slot);
        self.expire(now);
        self.buckets.retain(|key, _| limits.contains_key(key));
        self.shortages.retain(|key, _| limits.contains_key(key));
        for (key, limit) in limits.iter().filter(|(key, _)| is_own(key)) {
            let bucket = self.buckets.entry(*key).or_insert_with(|| Bucket::new(*limit, now));
            bucket.set_limit(*limit, now);
        }
        self.apply_parts(now);
    }

    /// Stops using what was pledged, for good.
    pub(super) fn close(&mut self) {
        self.is_closed = true;
        self.pledges.clear();
        self.buckets.clear();
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns whether any pledges are held.
    pub(super) fn holds_pledges(&self) -> bool {
        !self.pledges.is_empty()
    }

    /// Returns the start of the pledge of an instance that is held.
    pub(super) fn held_ms(&self, from: InstanceKey) -> Option<u64> {
        self.pledges.get(&from).map(|held| held.since_ms)
    }

    /// Takes a pledge that lasts from `since_ms` on.
    pub(super) fn hold(&mut self, pledge: &Pledge, since_ms: u64, now: Instant) {
        self.expire(now);
        let until = Instant::from_ms(since_ms).plus_ms(LAPSE_MS);
        let is_older = self.held_ms(pledge.from).is_some_and(|held_ms| since_ms < held_ms);
        if self.is_closed || until <= now || is_older || since_ms > now.as_ms() {
            return;
        }
        let share = slot_share(pledge.divisor as usize);
        let mut kept: Vec<_> =
            pledge.kept.iter().map(|k| (k.workspace, share.sixteenths(k.parts))).collect();
        kept.sort_unstable();
        kept.dedup_by_key(|(workspace, _)| *workspace);
        let held = HeldPledge { since_ms, until, share, kept };
        let former = self.pledges.remove(&pledge.from);
        let changes = former.as_ref().is_none_or(|f| f.share != held.share || f.kept != held.kept);
        if let Some(former) = &former {
            self.subtract(former);
        }
        self.shares += held.share.0;
        for (workspace, part) in &held.kept {
            *self.kept.entry(*workspace).or_default() += part.0;
        }
        self.pledges.insert(pledge.from, held);
        self.first_lapse_at = self.pledges.values().map(|held| held.until).min();
        if changes {
            self.apply_parts(now);
        }
    }

    /// Stops using what an instance has pledged.
    pub(super) fn drop_pledge(&mut self, from: InstanceKey, now: Instant) {
        self.expire(now);
        let Some(held) = self.pledges.remove(&from) else { return };
        self.subtract(&held);
        self.first_lapse_at = self.pledges.values().map(|held| held.until).min();
        self.apply_parts(now);
    }

    /// Answers a question for permits, unless it is doubled or a later one was answered.
    pub(super) fn answer(&mut self, ask: &Ask, now: Instant) -> Option<Grant> {
        self.expire(now);
        if self.last_asks.get(&ask.run).is_some_and(|(last, _)| !ask.number.is_after(*last)) {
            return None;
        }
        self.last_asks.insert(ask.run, (ask.number, now));
        let mut grant = Grant { number: ask.number, granted: 0, room_ms: 0 };
        let bucket = self.buckets.get_mut(&ask.workspace);
        let room_ms = match bucket {
            Some(bucket) => {
                bucket.give_back(ask.returned, now);
                grant.granted = bucket.take(ask.want, now);
                let missing = f64::from(ask.want - grant.granted);
                let shortage = self.shortages.entry(ask.workspace).or_insert((0.0, now));
                let age_ms = now.since_ms(shortage.1) as f64;
                *shortage = (shortage.0 * (-age_ms / SHORTAGE_MS).exp() + missing, now);
                bucket.token_after_ms(shortage.0).unwrap_or(MAX_ROOM_MS)
            }
            None => MAX_ROOM_MS,
        };
        if grant.granted < ask.want {
            grant.room_ms = room_ms.min(MAX_ROOM_MS) as u32;
        }
        Some(grant)
    }

    /// Forgets the numbers of instances that have not asked for so long that none of their questions
    /// is still under way.
    pub(super) fn forget_askers(&mut self, now: Instant) {
        self.last_asks.retain(|_, (_, at)| now.since_ms(*at) < ASKER_MS);
    }

    /// Drops pledges that have lapsed. Called before each use of the buckets.
    fn expire(&mut self, now: Instant) {
        while let Some(lapse_at) = self.first_lapse_at.filter(|at| *at <= now) {
            let lapsed: Vec<_> =
                self.pledges.extract_if(|_, held| held.until <= lapse_at).collect();
            for (_, held) in &lapsed {
                self.subtract(held);
            }
            self.first_lapse_at = self.pledges.values().map(|held| held.until).min();
            // Tokens accrue up to the lapse only, also if it is noticed later.
            self.apply_parts(lapse_at);
        }
    }

    fn subtract(&mut self, held: &HeldPledge) {
        self.shares -= held.share.0;
        for (workspace, part) in &held.kept {
            if let Some(kept) = self.kept.get_mut(workspace) {
                *kept -= part.0;
            }
        }
    }

    fn apply_parts(&mut self, now: Instant) {
        for (workspace, bucket) in &mut self.buckets {
            let kept = self.kept.get(workspace).copied().unwrap_or(0);
            bucket.set_part(Part(self.shares.saturating_sub(kept)), now);
        }
    }
}

/// Returns the share of one of `instances` in what the keeper of one slot may hold of a limit, half
/// of its share of the whole limit.
pub(super) fn slot_share(instances: usize) -> Part {
    Part(Part::WHOLE.0 / 2 / instances.max(1) as u64)
}
