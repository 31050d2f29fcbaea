//! Builds gossip messages and reads the counters in them.

use pollenshed_state::{
    ids::{FailureDomainName, InstanceName},
    time::Instant,
};

use super::{
    record::{Heartbeat, MemberRecord},
    roster::Bucket,
    table::{Member, Membership},
};

/// Content of one gossip message, which is either a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Full records of other members.
    pub records: Vec<MemberRecord>,
    /// Counters of the members that both sides should know, grouped into buckets.
    pub buckets: Vec<Bucket>,
    /// Keyed counters of members in the buckets whose hash differs from the receiver's.
    pub heartbeats: Vec<Heartbeat>,
}

impl Membership {
    /// Returns a hash of the members that this instance and instances of `domain` should both know.
    /// Counters are not part of it.
    pub fn digest(&self, domain: &FailureDomainName, now: Instant) -> u64 {
        let buckets = self.roster(domain, now).buckets();
        buckets.iter().fold(0, |sum, bucket| sum + u64::from(bucket.hash))
    }

    /// Builds the message for `peer`.
    ///
    /// `received` is the message to answer, or `None` to build a request. A request holds one
    /// record in rotation. An answer also holds records and keyed counters from the buckets that
    /// differ. If two incarnations of `peer` are known, both records are included, so that the
    /// later one learns of the other and takes a higher generation.
    pub fn build_exchange(
        &mut self,
        peer: &InstanceName,
        received: Option<&Exchange>,
        now: Instant,
    ) -> Exchange {
        self.sends += 1;
        let known = || self.record_of(peer).unwrap_or(self.own());
        let domain = received.map_or_else(known, |r| &r.sender).failure_domain.clone();
        let buckets = self.roster(&domain, now).buckets();
        let differs = |m: &Member| {
            let hash = |of: &[Bucket]| of.iter().find(|b| b.index == m.bucket).map(|b| b.hash);
            received.is_some_and(|received| hash(&received.buckets) != hash(&buckets))
        };
        let mut records = self.next_records(peer, 1, now, |_| true);
        records.extend(self.next_records(peer, self.params.max_records, now, differs));
        if let Some(known) = self.members.get(peer)
            && let Some(other) = &known.other_incarnation
        {
            records.extend([known.record.clone(), other.clone()]);
        }
        let heartbeats = self.next_heartbeats(peer, now, differs);
        Exchange { sender: self.own().clone(), records, buckets, heartbeats }
    }

    /// Returns the counters from those buckets of the message that have the same hash here.
    pub(super) fn read_counters(&self, exchange: &Exchange, now: Instant) -> Vec<Heartbeat> {
        self.roster(&exchange.sender.failure_domain, now).read(&exchange.buckets)
    }

    /// Returns up to `count` records and marks them as sent. Records that were sent least often
    /// since their last change come first, and among these the ones sent longest ago.
    fn next_records(
        &mut self,
        peer: &InstanceName,
        count: usize,
        now: Instant,
        is_selected: impl Fn(&Member) -> bool,
    ) -> Vec<MemberRecord> {
        let order = |m: &Member| (m.record_sends, m.record_sent);
        let names = self.select(peer, count, now, is_selected, order);
        let sends = self.sends;
        let taken = names.iter().filter_map(|name| {
            let member = self.members.get_mut(name)?;
            // The count stops at a limit, from which on records rotate by the time of their last
            // send.
            member.record_sends = (member.record_sends + 1).min(MAX_COUNTED_SENDS);
            member.record_sent = sends;
            Some(member.record.clone())
        });
        taken.collect()
    }

    /// Returns up to `max_heartbeats` counters, those sent longest ago first, and marks them as
    /// sent.
    fn next_heartbeats(
        &mut self,
        peer: &InstanceName,
        now: Instant,
        is_selected: impl Fn(&Member) -> bool,
    ) -> Vec<Heartbeat> {
        let count = self.params.max_heartbeats;
        let names = self.select(peer, count, now, is_selected, |m| (0, m.heartbeat_sent));
        let sends = self.sends;
        let taken = names.iter().filter_map(|name| {
            let member = self.members.get_mut(name)?;
            member.heartbeat_sent = sends;
            let MemberRecord { counter, stamp_ms, .. } = member.record;
            Some(Heartbeat { key: member.key, counter, stamp_ms })
        });
        taken.collect()
    }

    /// Returns the first `count` running members that `is_selected` accepts, in the given order and
    /// without `peer` itself.
    fn select(
        &self,
        peer: &InstanceName,
        count: usize,
        now: Instant,
        is_selected: impl Fn(&Member) -> bool,
        order: impl Fn(&Member) -> (u32, u64),
    ) -> Vec<InstanceName> {
        let mut members: Vec<_> = self
            .members
            .values()
            .filter(|m| m.record.instance != *peer && is_selected(m))
            .filter(|m| self.state_at(m, now).is_running())
            .map(|m| (order(m), &m.record.instance))
            .collect();
        members.sort_unstable();
        members.into_iter().take(count).map(|(_, instance)| instance.clone()).collect()
    }
}

/// Largest counted number of sends since a record changed. A record below it takes precedence over
/// records that were sent more often.
const MAX_COUNTED_SENDS: u32 = 6;
