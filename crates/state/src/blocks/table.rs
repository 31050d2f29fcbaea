//! A sorted table of prefixes of one address family.

use super::{SiteNumber, address::Address};

/// Value in `parents` of a prefix that no other prefix encloses.
const NO_PARENT: u32 = u32::MAX;

/// Length of the index: one entry for each value of the first 16 bits, and one for the end.
const INDEX_LEN: usize = (1 << 16) + 1;

/// A prefix whose bits after its length are zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Prefix<A> {
    pub(super) start: A,
    pub(super) len: u8,
}

/// Prefixes with their sites, sorted by start and length.
///
/// Prefixes either enclose each other or are disjoint, and a prefix sorts directly before what it
/// encloses. The longest match of an address is therefore the last prefix that starts at or before
/// it, or one that encloses this prefix; `parents` links each prefix to the longest one that
/// encloses it. Each column is a vector of its own, so that entries need no padding and a search
/// reads only the starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Table<A> {
    starts: Vec<A>,
    lens: Vec<u8>,
    sites: Vec<SiteNumber>,
    parents: Vec<u32>,
    /// Position of the first entry for each value of the first 16 bits.
    index: Vec<u32>,
}

impl<A: Address> Default for Table<A> {
    fn default() -> Table<A> {
        Table::with_capacity(0).build_indexes()
    }
}

impl<A: Address> Table<A> {
    fn with_capacity(len: usize) -> Table<A> {
        Table {
            starts: Vec::with_capacity(len),
            lens: Vec::with_capacity(len),
            sites: Vec::with_capacity(len),
            parents: Vec::new(),
            index: Vec::new(),
        }
    }

    /// Builds a table; if a prefix occurs more than once, its last entry is used.
    pub(super) fn build(mut entries: Vec<(Prefix<A>, Option<SiteNumber>)>) -> Table<A> {
        sort_and_dedup(&mut entries);
        Table::default().merged(&entries)
    }

    /// Returns a copy with changes applied; an entry without a site removes the prefix.
    pub(super) fn with_changes(
        &self,
        mut changes: Vec<(Prefix<A>, Option<SiteNumber>)>,
    ) -> Table<A> {
        sort_and_dedup(&mut changes);
        self.merged(&changes)
    }

    fn merged(&self, changes: &[(Prefix<A>, Option<SiteNumber>)]) -> Table<A> {
        let mut next = Table::with_capacity(self.len() + changes.len());
        let mut copied = 0;
        for (prefix, site) in changes {
            let (position, is_present) = self.position(copied, *prefix);
            next.copy_range(self, copied, position);
            copied = position + usize::from(is_present);
            if let Some(site) = site {
                next.starts.push(prefix.start);
                next.lens.push(prefix.len);
                next.sites.push(*site);
            }
        }
        next.copy_range(self, copied, self.len());
        next.build_indexes()
    }

    /// Returns the index at or after `from` where `prefix` is or belongs, and whether it exists.
    fn position(&self, from: usize, prefix: Prefix<A>) -> (usize, bool) {
        let mut at = from + self.starts[from..].partition_point(|s| *s < prefix.start);
        while at < self.len() && self.starts[at] == prefix.start && self.lens[at] < prefix.len {
            at += 1;
        }
        let is_present =
            at < self.len() && self.starts[at] == prefix.start && self.lens[at] == prefix.len;
        (at, is_present)
    }

    fn copy_range(&mut self, from: &Table<A>, begin: usize, end: usize) {
        self.starts.extend_from_slice(&from.starts[begin..end]);
        self.lens.extend_from_slice(&from.lens[begin..end]);
        self.sites.extend_from_slice(&from.sites[begin..end]);
    }

    fn build_indexes(mut self) -> Table<A> {
        self.starts.shrink_to_fit();
        self.lens.shrink_to_fit();
        self.sites.shrink_to_fit();
        self.parents = Vec::with_capacity(self.len());
        let mut enclosing: Vec<u32> = Vec::new();
        for (at, start) in self.starts.iter().enumerate() {
            while enclosing.last().is_some_and(|e| !self.contains(*e as usize, *start)) {
                enclosing.pop();
            }
            self.parents.push(enclosing.last().copied().unwrap_or(NO_PARENT));
            enclosing.push(at as u32);
        }
        self.index = Vec::with_capacity(INDEX_LEN);
        for (at, start) in self.starts.iter().enumerate() {
            self.index
                .resize(self.index.len().max(usize::from(start.first_16_bits()) + 1), at as u32);
        }
        self.index.resize(INDEX_LEN, self.len() as u32);
        self
    }

    fn contains(&self, at: usize, address: A) -> bool {
        address.truncated(self.lens[at]) == self.starts[at]
    }

    /// Returns the number of prefixes.
    pub(super) fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns the position of the longest prefix that contains `address`.
    pub(super) fn longest_match(&self, address: A) -> Option<usize> {
        let first_bits = usize::from(address.first_16_bits());
        let (begin, end) = (self.index[first_bits] as usize, self.index[first_bits + 1] as usize);
        let after = begin + self.starts[begin..end].partition_point(|s| *s <= address);
        let mut at = after.checked_sub(1)?;
        while !self.contains(at, address) {
            match self.parents[at] {
                NO_PARENT => return None,
                parent => at = parent as usize,
            }
        }
        Some(at)
    }

    /// Returns the prefix and the site at a position that [`Table::longest_match`] returned.
    pub(super) fn entry(&self, at: usize) -> (Prefix<A>, SiteNumber) {
        (Prefix { start: self.starts[at], len: self.lens[at] }, self.sites[at])
    }

    /// Returns the number of heap bytes that the table has allocated.
    pub(super) fn heap_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<A>()
            + self.lens.capacity()
            + self.sites.capacity() * size_of::<SiteNumber>()
            + (self.parents.capacity() + self.index.capacity()) * size_of::<u32>()
    }
}

/// Sorts by prefix and keeps the last entry of each.
fn sort_and_dedup<A: Address>(entries: &mut Vec<(Prefix<A>, Option<SiteNumber>)>) {
    // The sort is stable, so equal prefixes stay in the order in which they were given.
    entries.sort_by_key(|(prefix, _)| *prefix);
    entries.dedup_by(|later, kept| {
        let is_same = later.0 == kept.0;
        if is_same {
            kept.1 = later.1;
        }
        is_same
    });
}
