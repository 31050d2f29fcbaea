use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

use super::{
    SiteNumber,
    address::{Address, v4, v6},
    table::{Prefix, Table},
};

/// A block with its new site, or with `None` to remove the block.
pub type BlockChange = (IpNet, Option<SiteNumber>);

type Changes<A> = Vec<(Prefix<A>, Option<SiteNumber>)>;

/// An immutable map from client blocks to sites.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BlockMap {
    v4: Table<u32>,
    v6: Table<u128>,
}

impl BlockMap {
    /// Builds a map; if a block occurs more than once, its last entry is used.
    pub fn build(blocks: impl IntoIterator<Item = (IpNet, SiteNumber)>) -> BlockMap {
        let (v4, v6) = split_by_family(blocks.into_iter().map(|(block, site)| (block, Some(site))));
        BlockMap { v4: Table::build(v4), v6: Table::build(v6) }
    }

    /// Returns a copy with changes applied. Removing a block that does not exist has no effect.
    pub fn with_changes(&self, changes: impl IntoIterator<Item = BlockChange>) -> BlockMap {
        let (v4, v6) = split_by_family(changes);
        let apply_v4 = |changes: Changes<u32>| {
            if changes.is_empty() { self.v4.clone() } else { self.v4.with_changes(changes) }
        };
        let apply_v6 = |changes: Changes<u128>| {
            if changes.is_empty() { self.v6.clone() } else { self.v6.with_changes(changes) }
        };
        BlockMap { v4: apply_v4(v4), v6: apply_v6(v6) }
    }

    /// Returns the site of the longest block that contains `address`.
    pub fn site_of(&self, address: IpAddr) -> Option<SiteNumber> {
        match address {
            IpAddr::V4(ip) => self.v4.longest_match(v4(ip)).map(|at| self.v4.entry(at).1),
            IpAddr::V6(ip) => self.v6.longest_match(v6(ip)).map(|at| self.v6.entry(at).1),
        }
    }

    /// Returns the longest block that contains `address`, with its site.
    pub fn block_of(&self, address: IpAddr) -> Option<(IpNet, SiteNumber)> {
        match address {
            IpAddr::V4(ip) => self.v4.longest_match(v4(ip)).map(|at| net_v4(self.v4.entry(at))),
            IpAddr::V6(ip) => self.v6.longest_match(v6(ip)).map(|at| net_v6(self.v6.entry(at))),
        }
    }

    /// Returns all blocks in the order of their addresses, IPv4 first.
    pub fn iter(&self) -> impl Iterator<Item = (IpNet, SiteNumber)> {
        let v4 = (0..self.v4.len()).map(|at| net_v4(self.v4.entry(at)));
        v4.chain((0..self.v6.len()).map(|at| net_v6(self.v6.entry(at))))
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns whether the map has no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of heap bytes that the map has allocated.
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes() + self.v6.heap_bytes()
    }
}

fn split_by_family(
    changes: impl IntoIterator<Item = BlockChange>,
) -> (Changes<u32>, Changes<u128>) {
    let (mut four, mut six) = (Vec::new(), Vec::new());
    for (block, site) in changes {
        match block {
            IpNet::V4(net) => four.push((prefix(v4(net.addr()), net.prefix_len()), site)),
            IpNet::V6(net) => six.push((prefix(v6(net.addr()), net.prefix_len()), site)),
        }
    }
    (four, six)
}

fn prefix<A: Address>(address: A, len: u8) -> Prefix<A> {
    debug_assert!(len <= A::BITS);
    Prefix { start: address.truncated(len), len }
}

fn net_v4((prefix, site): (Prefix<u32>, SiteNumber)) -> (IpNet, SiteNumber) {
    (IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::from(prefix.start), prefix.len)), site)
}

fn net_v6((prefix, site): (Prefix<u128>, SiteNumber)) -> (IpNet, SiteNumber) {
    (IpNet::V6(Ipv6Net::new_assert(Ipv6Addr::from(prefix.start), prefix.len)), site)
}
