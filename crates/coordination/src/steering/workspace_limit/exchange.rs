//! The messages between instances and keepers.

use pollenshed_state::{ids::InstanceName, time::Instant};

use super::{
    WorkspaceLimits,
    bucket::Part,
    divisor::ABSENCE_MS,
    messages::{Ack, Ask, InstanceKey, Kept, LimitMessage, Mark, Pledge},
    pool::slot_share,
};
use crate::steering::rank::assigner_rank;

/// Number of groups of workspaces, each with a keeper. Four keepers share the work; each instance
/// sends to all of them.
pub const SLOTS: usize = 4;

/// Interval of the pledges of an instance, and the number of instances from which on it grows with
/// them, so that keepers of a large fleet are not flooded.
const PLEDGE_PERIOD_MS: u64 = 1_400;
const PERIOD_INSTANCES: usize = 150;
const MAX_PLEDGE_PERIOD_MS: u64 = 1_500;

/// Shortest interval of pledges, when what an instance has use for changes.
const EARLY_PERIOD_MS: u64 = 400;

/// How long a pledge lasts from its mark on. It outlasts a lost message in a fleet of up to
/// [`PERIOD_INSTANCES`].
pub const LAPSE_MS: u64 = 4_400;

/// Time after its start in which an instance uses no share of a slot whose keeper has not said that
/// it holds none of an earlier run. What an earlier run had pledged has lapsed then.
const SETTLE_MS: u64 = 5_000;

/// Time for which the number of instances must not have grown before an instance uses a share.
const KNOWN_MS: u64 = 1_000;

/// Time for which an instance that is out of touch with the others still uses its share. Then they
/// may divide the limits among themselves.
pub(super) const CONFIRMED_MS: u64 = 45_000;

/// Sets the rank of keepers apart from that of assigners of objects.
const KEEPER_KEY: u64 = 0x6b65_6570_6572;

/// The keeper of each slot, `None` if no instance can be one.
pub type Keepers = [Option<InstanceKey>; SLOTS];

/// Returns the rank of an instance as the keeper of a slot. The highest of the live ones is.
pub fn slot_rank(slot: usize, instance: &InstanceName) -> u64 {
    assigner_rank(KEEPER_KEY + slot as u64, instance)
}

impl WorkspaceLimits {
    /// Does what is due: called several times a second. `known` is the number of instances that
    /// are known, live or not, this one included, and `None` before they were read. `is_confirmed` tells whether the others are sure
    /// to know this one. Returns messages for the keepers of slots.
    pub fn tick(
        &mut self,
        known: Option<usize>,
        is_confirmed: bool,
        keepers: &Keepers,
        now: Instant,
    ) -> Vec<(usize, LimitMessage)> {
        if let Some(known) = known {
            self.divisor.record(known, now);
        }
        if is_confirmed {
            self.confirmed_at = Some(now);
        }
        let elapsed_ms = self.ticked_at.map_or(0, |at| now.since_ms(at));
        self.ticked_at = Some(now);
        if elapsed_ms > 0 {
            self.spaces.values_mut().for_each(|space| space.observe_demand(elapsed_ms));
        }
        self.pools.iter_mut().for_each(|pool| pool.forget_askers(now));
        let mut messages = Vec::new();
        for (slot, keeper) in keepers.iter().enumerate() {
            self.pledgers[slot].set_keeper(*keeper);
            self.pledgers[slot].expire(now);
            if !self.spaces.is_empty() && self.is_pledge_due(slot, now) {
                messages.push((slot, LimitMessage::Pledge(self.pledge(slot, now))));
            }
        }
        self.apply_kept_parts(now);
        messages
    }

    /// Applies a message of another instance and returns the answer to it.
    pub fn handle(&mut self, message: &LimitMessage, now: Instant) -> Option<LimitMessage> {
        match message {
            LimitMessage::Pledge(pledge) => self.hold(pledge, now).map(LimitMessage::Ack),
            LimitMessage::Ask(ask) => self.answer(ask, now),
            LimitMessage::Grant(grant) => {
                let place = self.asked.iter().position(|(number, _, _)| *number == grant.number);
                let (_, workspace, _) = self.asked.remove(place?)?;
                self.spaces.get_mut(&workspace)?.record_grant(grant, now);
                None
            }
            LimitMessage::Ack(ack) => {
                let slot = ack.slot as usize;
                let is_first = self.pledgers.get_mut(slot)?.record_ack(ack, now);
                let pledge = is_first.then(|| LimitMessage::Pledge(self.pledge(slot, now)));
                self.apply_kept_parts(now);
                pledge
            }
        }
    }

    /// Gives up everything that was pledged to this instance, for good: it is about to stop. Returns
    /// messages for all instances, so that those that pledged need not wait for the lapse.
    pub fn close(&mut self, now: Instant) -> Vec<LimitMessage> {
        let mark = Mark { run: self.run, at_ms: now.as_ms() };
        let mut acks = Vec::new();
        for (slot, pool) in self.pools.iter_mut().enumerate() {
            if pool.holds_pledges() {
                let slot = slot as u32;
                let ack = Ack { from: self.own, slot, mark, held_ms: None, released: true };
                acks.push(LimitMessage::Ack(ack));
            }
            pool.close();
        }
        acks
    }

    fn hold(&mut self, pledge: &Pledge, now: Instant) -> Option<Ack> {
        let pool = self.pools.get_mut(pledge.slot as usize)?;
        match pledge.mark {
            Some(mark) if mark.run == self.run => pool.hold(pledge, mark.at_ms, now),
            Some(_) => {}
            // The sender holds to nothing that it has pledged here: it has started again, or other
            // keepers came between.
            None => pool.drop_pledge(pledge.from, now),
        }
        Some(Ack {
            from: self.own,
            slot: pledge.slot,
            mark: Mark { run: self.run, at_ms: now.as_ms() },
            held_ms: pool.held_ms(pledge.from),
            released: pool.is_closed(),
        })
    }

    fn answer(&mut self, ask: &Ask, now: Instant) -> Option<LimitMessage> {
        let pool = self.pools.get_mut(ask.slot as usize)?;
        pool.answer(ask, now).map(LimitMessage::Grant)
    }

    fn pledge(&mut self, slot: usize, now: Instant) -> Pledge {
        let kept = self.wanted_kept(slot);
        let owns_slot = self.owns_slot(slot, now);
        let pledger = &mut self.pledgers[slot];
        pledger.record_sent(now);
        let given = if owns_slot { pledger.give(kept, now) } else { None };
        self.apply_kept_parts(now);
        let (mark, kept) = given.unzip();
        Pledge {
            from: self.own,
            slot: slot as u32,
            mark,
            divisor: self.divisor.count() as u32,
            kept: kept.unwrap_or_default(),
        }
    }

    fn is_pledge_due(&self, slot: usize, now: Instant) -> bool {
        let pledger = &self.pledgers[slot];
        let has_unused = pledger.has_given_nothing() && self.owns_slot(slot, now);
        pledger.is_due(self.period_ms(), now)
            || pledger.is_due(EARLY_PERIOD_MS, now) && has_unused
            || pledger.is_due(EARLY_PERIOD_MS, now) && pledger.differs(&self.wanted_kept(slot))
    }

    fn wanted_kept(&self, slot: usize) -> Vec<Kept> {
        let share = Part(2 * slot_share(self.divisor.count()).0);
        let spaces = self.spaces.iter().filter(|(key, _)| key.slots().contains(&slot));
        let wanted =
            spaces.map(|(key, space)| Kept { workspace: *key, parts: space.wanted_parts(share) });
        wanted.filter(|kept| kept.parts > 0).collect()
    }

    /// Returns whether the instance owns its share of each limit.
    pub fn has_share(&self, now: Instant) -> bool {
        (0..SLOTS).all(|slot| self.owns_slot(slot, now))
    }

    /// Returns whether the instance owns its share of the limits of a slot: the others know it, it
    /// knows them, and no keeper uses what an earlier run had pledged.
    fn owns_slot(&self, slot: usize, now: Instant) -> bool {
        self.divisor.is_steady(KNOWN_MS, now)
            && self.confirmed_at.is_some_and(|at| now.since_ms(at) < CONFIRMED_MS)
            && (self.pledgers[slot].was_cleared() || now.since_ms(self.started_at) >= SETTLE_MS)
    }

    fn period_ms(&self) -> u64 {
        let instances = self.divisor.count().max(PERIOD_INSTANCES) as u64;
        (PLEDGE_PERIOD_MS * instances / PERIOD_INSTANCES as u64).min(MAX_PLEDGE_PERIOD_MS)
    }

    /// Gives the own bucket of each workspace the part of the share that is not pledged.
    pub(super) fn apply_kept_parts(&mut self, now: Instant) {
        let owned: [bool; SLOTS] = std::array::from_fn(|slot| self.owns_slot(slot, now));
        let share = slot_share(self.divisor.count());
        for (key, space) in &mut self.spaces {
            let part = |slot: usize| match owned[slot] {
                true => share.sixteenths(self.pledgers[slot].kept_parts(*key, now)).0,
                false => 0,
            };
            space.set_own_part(Part(key.slots().map(part).iter().sum()), now);
        }
    }
}

const _: () = assert!(SETTLE_MS > LAPSE_MS && ABSENCE_MS > CONFIRMED_MS + 2 * LAPSE_MS);
