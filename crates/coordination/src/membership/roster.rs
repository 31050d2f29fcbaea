//! The members that two instances both know, in one order, so that counters need no names.

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

/// Number of parts of a roster. A member that is known to one side only spoils one part.
const BUCKETS: u64 = 16;

/// A part of a roster with the counters of its members.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bucket {
    /// Which part; empty parts are left out.
    pub index: u32,
    /// Hash of names, incarnations, generations and leaving marks. Counters can be read only if the
    /// receiver has the same.
    pub hash: u32,
    /// Low byte of each member's counter, in the order of their names.
    pub counters: Vec<u8>,
}

/// Returns the part of a roster that an instance is in.
pub(super) fn bucket_of(instance: &InstanceName) -> u32 {
    (stable_hash(&[b"bucket", instance.as_str().as_bytes()]) % BUCKETS) as u32
}

/// Running members in the order of their names, the own instance among them.
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
    /// Returns the members that an instance of `domain` should know too.
    ///
    /// Instances of another failure domain know only representatives of this one.
    pub(super) fn roster<'a>(&'a self, domain: &FailureDomainName, now: Instant) -> Roster<'a> {
        let running = self.members.values().filter(|m| self.judge(m, now).is_running());
        let entry = |m: &'a Member| Entry { record: &m.record, key: m.key, bucket: m.bucket };
        let mut members: Vec<_> = running.map(entry).collect();
        let own = self.own();
        members.push(Entry { record: own, key: own.key(), bucket: bucket_of(&own.instance) });
        let own_domain = &self.own().failure_domain;
        if domain != own_domain {
            let near = members.iter().map(|e| e.record).filter(|r| r.failure_domain == *own_domain);
            let count = self.params.representatives_per_domain;
            let known = representatives(near.map(|r| &r.instance), count);
            let is_known = |r: &MemberRecord| known.contains(&&r.instance);
            members.retain(|e| e.record.failure_domain != *own_domain || is_known(e.record));
        }
        members.sort_unstable_by(|a, b| a.record.instance.cmp(&b.record.instance));
        Roster { members }
    }
}

impl<'a> Roster<'a> {
    pub(super) fn buckets(&self) -> Vec<Bucket> {
        let parts = self.parts();
        parts.into_iter().map(|(index, members)| to_bucket(index, &members)).collect()
    }

    fn parts(&self) -> BTreeMap<u32, Vec<Entry<'a>>> {
        let mut parts: BTreeMap<u32, Vec<Entry<'_>>> = BTreeMap::new();
        for entry in &self.members {
            parts.entry(entry.bucket).or_default().push(*entry);
        }
        parts
    }

    /// Restores counters from their low bytes in the buckets that are equal here.
    pub(super) fn read(&self, buckets: &[Bucket]) -> Vec<Heartbeat> {
        let parts = self.parts();
        let mut advanced = Vec::new();
        for bucket in buckets {
            let Some(members) = parts.get(&bucket.index) else { continue };
            if to_bucket(bucket.index, members).hash == bucket.hash {
                let pairs = members.iter().zip(&bucket.counters);
                advanced.extend(pairs.filter_map(|(entry, low)| read_counter(*entry, *low)));
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

/// A running member's counter is within `dead_after_ms` of every copy, which is far less than 128
/// periods, so a difference of 128 or more is an older counter.
fn read_counter(Entry { record, key, .. }: Entry<'_>, low: u8) -> Option<Heartbeat> {
    let ahead = low.wrapping_sub(record.counter as u8);
    let counter = record.counter.saturating_add(u64::from(ahead));
    // The stamp stays as the last whole record had it, which only shortens a binding.
    let beat = Heartbeat { key, counter, stamp_ms: record.stamp_ms };
    (1..128).contains(&ahead).then_some(beat)
}
