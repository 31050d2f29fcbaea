//! The members that two instances should both know, in the same order on both sides. Counters are
//! matched by position, so that messages need no names for them.

use std::collections::BTreeMap;

use pollenshed_state::{
    ids::{FailureDomainName, InstanceName},
    time::Instant,
};
use serde::{Deserialize, Serialize};

use super::{
    hash::{mix, stable_hash},
    record::{Heartbeat, MemberRecord},
    scope::representatives,
    table::{Member, Membership},
};

/// Number of buckets of a roster. A member that only one side knows makes only the counters of its
/// bucket unreadable.
const BUCKETS: u64 = 16;

/// Counters of the members in one bucket of a roster.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bucket {
    /// Index of the bucket. Empty buckets are omitted.
    pub index: u32,
    /// Hash of the members' names, incarnations, generations and leaving flags. The counters can be
    /// read only if the receiver computes the same hash.
    pub hash: u32,
    /// Low byte of each member's counter, in the order of the members' names.
    pub counters: Vec<u8>,
}

/// Returns the index of the bucket that an instance belongs to.
pub(super) fn bucket_of(instance: &InstanceName) -> u32 {
    (stable_hash(&[b"bucket", instance.as_str().as_bytes()]) % BUCKETS) as u32
}

/// Running members, including the own instance, sorted by name.
pub(super) struct Roster<'a> {
    members: Vec<Entry<'a>>,
}

#[derive(Clone, Copy)]
struct Entry<'a> {
    record: &'a MemberRecord,
    key: u64,
    bucket: u32,
}

impl Membership {
    /// Returns the members that an instance of `domain` should know as well.
    ///
    /// Instances of another failure domain know only the representatives of this one.
    pub(super) fn roster<'a>(&'a self, domain: &FailureDomainName, now: Instant) -> Roster<'a> {
        let running = self.members.values().filter(|m| self.state_at(m, now).is_running());
        let entry = |m: &'a Member| Entry { record: &m.record, key: m.key, bucket: m.bucket };
        let mut members: Vec<_> = running.map(entry).collect();
        let own = self.own();
        members.push(Entry { record: own, key: own.key(), bucket: bucket_of(&own.instance) });
        let own_domain = &self.own().failure_domain;
        if domain != own_domain {
            let own_members =
                members.iter().map(|e| e.record).filter(|r| r.failure_domain == *own_domain);
            let count = self.params.representatives_per_domain;
            let known = representatives(own_members.map(|r| &r.instance), count);
            let is_known = |r: &MemberRecord| known.contains(&&r.instance);
            members.retain(|e| e.record.failure_domain != *own_domain || is_known(e.record));
        }
        members.sort_unstable_by(|a, b| a.record.instance.cmp(&b.record.instance));
        Roster { members }
    }
}

impl<'a> Roster<'a> {
    pub(super) fn buckets(&self) -> Vec<Bucket> {
        let by_bucket = self.by_bucket();
        by_bucket.into_iter().map(|(index, members)| to_bucket(index, &members)).collect()
    }

    fn by_bucket(&self) -> BTreeMap<u32, Vec<Entry<'a>>> {
        let mut by_bucket: BTreeMap<u32, Vec<Entry<'_>>> = BTreeMap::new();
        for entry in &self.members {
            by_bucket.entry(entry.bucket).or_default().push(*entry);
        }
        by_bucket
    }

    /// Restores the counters that advanced from their low bytes, in the buckets whose hash is the
    /// same here.
    pub(super) fn read(&self, buckets: &[Bucket]) -> Vec<Heartbeat> {
        let by_bucket = self.by_bucket();
        let mut advanced = Vec::new();
        for bucket in buckets {
            let Some(members) = by_bucket.get(&bucket.index) else { continue };
            if to_bucket(bucket.index, members).hash == bucket.hash {
                let pairs = members.iter().zip(&bucket.counters);
                advanced.extend(pairs.filter_map(|(entry, low)| restore_counter(*entry, *low)));
            }
        }
        advanced
    }
}

fn to_bucket(index: u32, members: &[Entry<'_>]) -> Bucket {
    let hash = members.iter().fold(0u64, |sum, Entry { record, key, .. }| {
        let rest = mix(record.generation << 1 | u64::from(record.leaving));
        sum.wrapping_add(mix(key ^ rest))
    });
    let counters = members.iter().map(|e| e.record.counter as u8).collect();
    Bucket { index, hash: (hash >> 32) as u32, counters }
}

/// Restores a counter from its low byte, or returns `None` if it did not advance.
///
/// Every copy of a running member's counter is at most `dead_after_ms` old, which is far less than
/// 128 periods. A difference of 128 or more therefore means an older counter.
fn restore_counter(Entry { record, key, .. }: Entry<'_>, low: u8) -> Option<Heartbeat> {
    let ahead = low.wrapping_sub(record.counter as u8);
    let counter = record.counter.saturating_add(u64::from(ahead));
    // The time stamp stays that of the last full record, which only shortens a binding.
    let heartbeat = Heartbeat { key, counter, stamp_ms: record.stamp_ms };
    (1..128).contains(&ahead).then_some(heartbeat)
}
