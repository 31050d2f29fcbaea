//! The content of one gossip message.

use pollenshed_state::{ids::InstanceName, time::Instant};

use super::{
    record::{Heartbeat, MemberRecord, MemberState},
    table::{Member, Membership},
};

/// What one instance tells another about members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Whole records of others.
    pub records: Vec<MemberRecord>,
    /// Counters of others.
    pub heartbeats: Vec<Heartbeat>,
    /// Digest of the sender's table.
    pub digest: u64,
}

impl Membership {
    /// Returns a hash of the table without counters; equal tables have equal digests.
    ///
    /// Dead and unconfirmed members do not count, because they are not passed on.
    pub fn digest(&self, now: Instant) -> u64 {
        let others = self.members.values().filter(|m| self.judge(m, now).is_running());
        others.fold(self.own().identity_hash(), |sum, m| sum.wrapping_add(m.record.identity_hash()))
    }

    /// Builds the message for `peer`.
    ///
    /// `peer_digest` is the digest that the peer sent last, or `None` if none is known. If two
    /// incarnations of `peer` are known, both are included, so that the later one can overtake.
    pub fn records_for(
        &mut self,
        peer: &InstanceName,
        peer_digest: Option<u64>,
        now: Instant,
    ) -> Exchange {
        let digest = self.digest(now);
        self.sends += 1;
        let mut records = Vec::new();
        if let Some(known) = self.members.get(peer)
            && let Some(rival) = &known.rival
        {
            records.extend([known.record.clone(), rival.clone()]);
        }
        if peer_digest != Some(digest) {
            records.extend(self.next_records(peer, now));
        }
        let heartbeats = self.next_heartbeats(peer, now);
        Exchange { sender: self.own().clone(), records, heartbeats, digest }
    }

    /// Takes records that changed and were sent least, then those sent longest ago.
    fn next_records(&mut self, peer: &InstanceName, now: Instant) -> Vec<MemberRecord> {
        let names = self.select(peer, now, self.params.max_records, |m| {
            (u64::from(m.record_sends), m.record_sent)
        });
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

    /// Takes the counters sent longest ago.
    fn next_heartbeats(&mut self, peer: &InstanceName, now: Instant) -> Vec<Heartbeat> {
        let names = self.select(peer, now, self.params.max_heartbeats, |m| (0, m.heartbeat_sent));
        let sends = self.sends;
        let taken = names.iter().filter_map(|name| {
            let member = self.members.get_mut(name)?;
            member.heartbeat_sent = sends;
            let MemberRecord { counter, stamp_ms, .. } = member.record;
            Some(Heartbeat { key: member.record.key(), counter, stamp_ms })
        });
        taken.collect()
    }

    fn select(
        &self,
        peer: &InstanceName,
        now: Instant,
        count: usize,
        order: impl Fn(&Member) -> (u64, u64),
    ) -> Vec<InstanceName> {
        let mut members: Vec<_> = self
            .members
            .values()
            .filter(|m| m.record.instance != *peer && self.judge(m, now) != MemberState::Dead)
            .filter(|m| self.judge(m, now) != MemberState::Unconfirmed)
            .map(|m| (order(m), m))
            .collect();
        members.sort_by_key(|(order, _)| *order);
        members.into_iter().take(count).map(|(_, m)| m.record.instance.clone()).collect()
    }
}

/// A changed record is sent this many times before older ones.
const MAX_COUNTED_SENDS: u32 = 6;
