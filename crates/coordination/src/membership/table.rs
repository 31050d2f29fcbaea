//! The table of members and the state of each.

use std::collections::BTreeMap;

use pollenshed_state::{
    ids::{ConfigVersion, InstanceName},
    time::Instant,
};

use super::{
    exchange::Exchange,
    identity::Identity,
    record::{Candidate, Heartbeat, MemberRecord, MemberState, Params},
    roster::bucket_of,
    scope::{is_in_scope, preference},
};

/// A change that a merge made, for log lines and for recomputing ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The table has a new member.
    Joined(InstanceName),
    /// A member runs as a new incarnation.
    Restarted(InstanceName),
    /// A member began to stop.
    Leaving(InstanceName),
    /// A member that was dead or unconfirmed is running.
    Revived(InstanceName),
    /// Another process uses the own name, so the own generation was raised to this value.
    OwnGenerationRaised(u64),
    /// A process with the own name started later, so this process must stop.
    Superseded,
}

#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// [`MemberRecord::key`], cached because each message needs it for every member.
    pub(super) key: u64,
    pub(super) bucket: u32,
    /// Another incarnation of the name, which may be older or newer. Both records are sent to the
    /// member itself.
    pub(super) other_incarnation: Option<MemberRecord>,
    /// When the counter last advanced or the member was added, moved forward by own pauses.
    pub(super) advanced_at: Instant,
    pub(super) is_confirmed: bool,
    pub(super) heartbeat_sent: u64,
    pub(super) record_sent: u64,
    pub(super) record_sends: u32,
}

/// One instance's view of all members.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(super) own: Identity,
    pub(super) params: Params,
    pub(super) members: BTreeMap<InstanceName, Member>,
    pub(super) by_key: BTreeMap<u64, InstanceName>,
    pub(super) candidates: Vec<Candidate>,
    pub(super) sends: u64,
    last_tick: Instant,
}

impl Membership {
    /// Creates a table that holds only the own record.
    pub fn new(own: MemberRecord, params: Params, now: Instant) -> Membership {
        Membership {
            own: Identity::new(own),
            params,
            members: BTreeMap::new(),
            by_key: BTreeMap::new(),
            candidates: Vec::new(),
            sends: 0,
            last_tick: now,
        }
    }

    /// Returns the own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own.record
    }

    /// Returns whether a process that started later uses the own name, so that this one must stop.
    pub fn is_superseded(&self) -> bool {
        self.own.superseded
    }

    /// Marks the own instance as stopping.
    pub fn set_leaving(&mut self) {
        self.own.record.leaving = true;
    }

    /// Sets the version of the configuration that this instance applies.
    pub fn set_config_version(&mut self, version: ConfigVersion) {
        self.own.record.config_version = version;
    }

    /// Replaces the candidates by the platform's list. Candidates are only tried as peers and are
    /// not members.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        let own = &self.own.record.instance;
        self.candidates = candidates.into_iter().filter(|c| c.instance != *own).collect();
    }

    /// Raises the own counter and removes members that have been dead for `tombstone_ms`.
    ///
    /// A pause of this process does not count as silence of others.
    pub fn tick(&mut self, now: Instant) {
        let gap_us = now.since_us(self.last_tick);
        let excess_us = gap_us.saturating_sub(self.params.pause_after_ms.saturating_mul(1000));
        if excess_us > 0 {
            for member in self.members.values_mut() {
                member.advanced_at = member.advanced_at.plus_us(excess_us);
            }
        }
        self.last_tick = self.last_tick.max(now);
        self.own.record.counter += 1;
        self.own.record.stamp_ms = now.as_ms();
        self.forget_dead(now);
        self.drop_surplus_members(now);
    }

    fn forget_dead(&mut self, now: Instant) {
        let after_ms = self.params.dead_after_ms.saturating_add(self.params.tombstone_ms);
        let by_key = &mut self.by_key;
        self.members.retain(|_, member| {
            let is_kept = now.since_ms(member.advanced_at) < after_ms;
            if !is_kept {
                by_key.remove(&member.key);
            }
            is_kept
        });
    }

    /// Merges a peer's message. Only the sender's own record is first-hand; all others may be
    /// stale.
    pub fn merge(&mut self, exchange: &Exchange, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let counters = self.read_counters(exchange, now);
        self.merge_record(&exchange.sender, true, now, &mut changes);
        for record in &exchange.records {
            self.merge_record(record, false, now, &mut changes);
        }
        for heartbeat in counters.iter().chain(&exchange.heartbeats) {
            self.merge_heartbeat(heartbeat, now, &mut changes);
        }
        changes
    }

    fn merge_record(
        &mut self,
        record: &MemberRecord,
        is_first_hand: bool,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        if record.instance == self.own.record.instance {
            return self.merge_own_name(record, now, changes);
        }
        match self.members.get(&record.instance) {
            None => self.insert_if_in_scope(record, is_first_hand, now, changes),
            Some(known) if known.record.incarnation == record.incarnation => {
                self.update_record(record, is_first_hand, now, changes);
            }
            Some(known) if record.generation < known.record.generation && !is_first_hand => {}
            Some(known) => {
                let is_higher = record.generation > known.record.generation;
                let is_alive = self.state_at(known, now) == MemberState::Alive;
                if is_higher && !is_alive {
                    self.by_key.remove(&known.key);
                    self.add_member(record, is_first_hand, now);
                    changes.push(Change::Restarted(record.instance.clone()));
                } else if let Some(known) = self.members.get_mut(&record.instance) {
                    known.other_incarnation = Some(record.clone());
                }
            }
        }
    }

    fn merge_own_name(&mut self, record: &MemberRecord, now: Instant, changes: &mut Vec<Change>) {
        let was_superseded = self.own.superseded;
        if self.own.observe(record, now) {
            changes.push(Change::OwnGenerationRaised(self.own.record.generation));
        }
        if self.own.superseded && !was_superseded {
            changes.push(Change::Superseded);
        }
    }

    fn insert_if_in_scope(
        &mut self,
        record: &MemberRecord,
        is_first_hand: bool,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        let domain = &record.failure_domain;
        let others = self
            .members
            .values()
            .filter(|m| m.record.failure_domain == *domain && self.state_at(m, now).is_running())
            .map(|m| &m.record.instance);
        let own_domain = &self.own.record.failure_domain;
        let count = self.params.representatives_per_domain;
        if is_in_scope(record, own_domain, others, count) {
            self.add_member(record, is_first_hand, now);
            changes.push(Change::Joined(record.instance.clone()));
        }
    }

    /// Removes members of other failure domains if enough running members are preferred to them.
    ///
    /// A member that was kept while a preferred one was unconfirmed would otherwise stay. Few
    /// messages would mention it, and it would wrongly count as dead.
    fn drop_surplus_members(&mut self, now: Instant) {
        let own_domain = &self.own.record.failure_domain;
        let mut by_domain: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for member in self.members.values().filter(|m| m.record.failure_domain != *own_domain) {
            let order = std::cmp::Reverse(preference(&member.record.instance));
            let is_running = self.state_at(member, now).is_running();
            let domain = by_domain.entry(&member.record.failure_domain).or_default();
            domain.push((order, &member.record.instance, is_running));
        }
        let mut surplus = Vec::new();
        for members in by_domain.values_mut() {
            members.sort_unstable();
            let mut running = 0;
            for (_, instance, is_running) in members {
                if running >= self.params.representatives_per_domain {
                    surplus.push((*instance).clone());
                }
                running += usize::from(*is_running);
            }
        }
        for instance in surplus {
            if let Some(member) = self.members.remove(&instance) {
                self.by_key.remove(&member.key);
            }
        }
    }

    fn add_member(&mut self, record: &MemberRecord, is_first_hand: bool, now: Instant) {
        self.by_key.insert(record.key(), record.instance.clone());
        let member = Member {
            record: record.clone(),
            key: record.key(),
            bucket: bucket_of(&record.instance),
            other_incarnation: None,
            advanced_at: now,
            is_confirmed: is_first_hand,
            heartbeat_sent: 0,
            record_sent: 0,
            record_sends: 0,
        };
        self.members.insert(record.instance.clone(), member);
    }

    fn update_record(
        &mut self,
        record: &MemberRecord,
        is_first_hand: bool,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        let heartbeat =
            Heartbeat { key: record.key(), counter: record.counter, stamp_ms: record.stamp_ms };
        self.merge_heartbeat(&heartbeat, now, changes);
        let Some(member) = self.members.get_mut(&record.instance) else { return };
        member.is_confirmed |= is_first_hand;
        let known = &mut member.record;
        let before = (known.generation, known.leaving);
        known.generation = known.generation.max(record.generation);
        known.config_version = known.config_version.max(record.config_version);
        if record.leaving && !known.leaving {
            known.leaving = true;
            changes.push(Change::Leaving(record.instance.clone()));
        }
        if before != (known.generation, known.leaving) {
            member.record_sends = 0;
        }
    }

    fn merge_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant, changes: &mut Vec<Change>) {
        let Some(instance) = self.by_key.get(&heartbeat.key) else { return };
        let Some(known) = self.members.get(instance) else { return };
        if heartbeat.counter <= known.record.counter {
            return;
        }
        let was_running = self.state_at(known, now).is_running();
        let instance = instance.clone();
        let Some(member) = self.members.get_mut(&instance) else { return };
        member.record.counter = heartbeat.counter;
        member.record.stamp_ms = member.record.stamp_ms.max(heartbeat.stamp_ms);
        member.advanced_at = now;
        member.is_confirmed = true;
        if !was_running {
            member.record_sends = 0;
            changes.push(Change::Revived(instance));
        }
    }

    /// Returns the state of `member`. Time during a pause of this process does not count as
    /// silence.
    pub(super) fn state_at(&self, member: &Member, now: Instant) -> MemberState {
        let observed_until = now.min(self.last_tick.plus_ms(self.params.pause_after_ms));
        let silence_ms = observed_until.since_ms(member.advanced_at);
        if silence_ms >= self.params.dead_after_ms {
            MemberState::Dead
        } else if !member.is_confirmed {
            MemberState::Unconfirmed
        } else if member.record.leaving {
            MemberState::Leaving
        } else if silence_ms >= self.params.suspect_after_ms {
            MemberState::Suspect
        } else {
            MemberState::Alive
        }
    }

    /// Returns the state of an instance, or `None` if it is unknown. The own instance is alive or
    /// leaving.
    pub fn state_of(&self, instance: &InstanceName, now: Instant) -> Option<MemberState> {
        if *instance == self.own.record.instance {
            return Some(self.own_state());
        }
        self.members.get(instance).map(|m| self.state_at(m, now))
    }

    fn own_state(&self) -> MemberState {
        if self.own.record.leaving { MemberState::Leaving } else { MemberState::Alive }
    }

    /// Returns the record of an instance, or `None` if it is unknown.
    pub fn record_of(&self, instance: &InstanceName) -> Option<&MemberRecord> {
        if *instance == self.own.record.instance {
            return Some(&self.own.record);
        }
        self.members.get(instance).map(|m| &m.record)
    }

    /// Returns all members with their states, the own instance first.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = (&MemberRecord, MemberState)> {
        let others = self.members.values().map(move |m| (&m.record, self.state_at(m, now)));
        std::iter::once((&self.own.record, self.own_state())).chain(others)
    }
}
