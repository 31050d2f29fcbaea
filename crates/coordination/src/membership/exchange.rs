//! The content of one gossip message.

use pollenshed_state::{
    ids::{FailureDomainName, InstanceName},
    time::Instant,
};

use super::{
    record::{Heartbeat, MemberRecord},
    roster::Bucket,
    table::{Member, Membership},
};

/// What one instance tells another about members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Whole records of others.
    pub records: Vec<MemberRecord>,
    /// Counters of the members that both sides should know.
    pub buckets: Vec<Bucket>,
    /// Counters of members in buckets that are known to differ.
    pub heartbeats: Vec<Heartbeat>,
}

impl Membership {
    /// Returns a hash of the part of the table that instances of `domain` share with this one.
    pub fn digest(&self, domain: &FailureDomainName, now: Instant) -> u64 {
        let buckets = self.roster(domain, now).buckets();
        buckets.iter().fold(0, |sum, bucket| sum + u64::from(bucket.hash))
    }

    /// Builds the message for `peer`.
    ///
    /// `heard` is the message that is answered; it is `None` for a request. A request holds one record in turn, an answer also what may be missing in buckets that differ. If two
    /// incarnations of `peer` are known, both are included, so that the later one can overtake.
    pub fn build_exchange(
        &mut self,
        peer: &InstanceName,
        heard: Option<&Exchange>,
        now: Instant,
    ) -> Exchange {
        self.sends += 1;
        let known = || self.record_of(peer).unwrap_or(self.own());
        let domain = heard.map_or_else(known, |h| &h.sender).failure_domain.clone();
        let buckets = self.roster(&domain, now).buckets();
        let differs = |m: &Member| {
            let hash = |of: &[Bucket]| of.iter().find(|b| b.index == m.bucket).map(|b| b.hash);
            heard.is_some_and(|heard| hash(&heard.buckets) != hash(&buckets))
        };
        let mut records = self.next_records(peer, 1, now, |_| true);
        records.extend(self.next_records(peer, self.params.max_records, now, differs));
        if let Some(known) = self.members.get(peer)
            && let Some(rival) = &known.rival
        {
            records.extend([known.record.clone(), rival.clone()]);
        }
        let heartbeats = self.next_heartbeats(peer, now, differs);
        Exchange { sender: self.own().clone(), records, buckets, heartbeats }
    }

    /// Returns the counters that the message holds in buckets that are equal here.
    pub(super) fn read_counters(&self, exchange: &Exchange, now: Instant) -> Vec<Heartbeat> {
        self.roster(&exchange.sender.failure_domain, now).read(&exchange.buckets)
    }

    /// Takes up to `count` records, those that changed and were sent least first, then those sent
    /// longest ago.
    fn next_records(
        &mut self,
        peer: &InstanceName,
        count: usize,
        now: Instant,
        is_wanted: impl Fn(&Member) -> bool,
    ) -> Vec<MemberRecord> {
        let order = |m: &Member| (m.record_sends, m.record_sent);
        let names = self.select(peer, count, now, is_wanted, order);
        let sends = self.sends;
        let taken = names.iter().filter_map(|name| {
            let member = self.members.get_mut(name)?;
            // Counting stops at a few sends, after which records rotate evenly.
            member.record_sends = (member.record_sends + 1).min(MAX_COUNTED_SENDS);
            member.record_sent = sends;
            Some(member.record.clone())
        });
        taken.collect()
    }

    /// Takes up to `max_heartbeats` counters, those sent longest ago first.
    fn next_heartbeats(
        &mut self,
        peer: &InstanceName,
        now: Instant,
        is_wanted: impl Fn(&Member) -> bool,
    ) -> Vec<Heartbeat> {
        let count = self.params.max_heartbeats;
        let names = self.select(peer, count, now, is_wanted, |m| (0, m.heartbeat_sent));
        let sends = self.sends;
        let taken = names.iter().filter_map(|name| {
            let member = self.members.get_mut(name)?;
            member.heartbeat_sent = sends;
            let MemberRecord { counter, stamp_ms, .. } = member.record;
            Some(Heartbeat { key: member.key, counter, stamp_ms })
        });
        taken.collect()
    }

    /// Returns the first `count` members, in the given order, that can be passed on to `peer`.
    fn select(
        &self,
        peer: &InstanceName,
        count: usize,
        now: Instant,
        is_wanted: impl Fn(&Member) -> bool,
        order: impl Fn(&Member) -> (u32, u64),
    ) -> Vec<InstanceName> {
        let mut members: Vec<_> = self
            .members
            .values()
            .filter(|m| m.record.instance != *peer && is_wanted(m))
            .filter(|m| self.judge(m, now).is_running())
            .map(|m| (order(m), &m.record.instance))
            .collect();
        members.sort_unstable();
        members.into_iter().take(count).map(|(_, instance)| instance.clone()).collect()
    }
}

/// A changed record is sent this many times before older ones.
const MAX_COUNTED_SENDS: u32 = 6;
