//! Compact binary encoding of blocks and changes.
//!
//! A change consists of one byte for address family and prefix length (0 to 32 for IPv4, 33 to 161
//! for IPv6), the address bytes that the prefix covers, and the site in two bytes, big-endian. The
//! site [`REMOVED`] removes the block. An IPv4 /24 takes 6 bytes and an IPv6 /48 takes 9.

use std::{
    fmt,
    net::{Ipv4Addr, Ipv6Addr},
};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

use super::{SiteNumber, map::BlockChange};

/// Site value that marks a removed block; no site may have this number.
const REMOVED: u16 = u16::MAX;

/// First byte of an IPv6 change with prefix length 0.
const V6_BASE: u8 = 33;

/// Error returned when bytes are not a valid encoding of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockCodecError {
    /// Offset of the first change that cannot be decoded.
    pub offset_bytes: usize,
}

impl fmt::Display for BlockCodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid block change at byte {}", self.offset_bytes)
    }
}

impl std::error::Error for BlockCodecError {}

/// Appends the encoded changes to `out`. Address bits after the prefix length are not kept.
pub fn encode(changes: impl IntoIterator<Item = BlockChange>, out: &mut Vec<u8>) {
    for (block, site) in changes {
        let covered = usize::from(block.prefix_len().div_ceil(8));
        match block.trunc() {
            IpNet::V4(net) => {
                out.push(net.prefix_len());
                out.extend_from_slice(&net.addr().octets()[..covered]);
            }
            IpNet::V6(net) => {
                out.push(V6_BASE + net.prefix_len());
                out.extend_from_slice(&net.addr().octets()[..covered]);
            }
        }
        out.extend_from_slice(&site.map_or(REMOVED, |s| s.0).to_be_bytes());
    }
}

/// Decodes the output of [`encode`].
pub fn decode(bytes: &[u8]) -> Result<Vec<BlockChange>, BlockCodecError> {
    let mut changes = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let offset_bytes = bytes.len() - rest.len();
        let (change, after) = decode_one(rest).ok_or(BlockCodecError { offset_bytes })?;
        changes.push(change);
        rest = after;
    }
    Ok(changes)
}

fn decode_one(bytes: &[u8]) -> Option<(BlockChange, &[u8])> {
    let (&kind, rest) = bytes.split_first()?;
    let (block, rest) = if kind < V6_BASE {
        let (octets, rest) = octets::<4>(rest, kind)?;
        (IpNet::V4(Ipv4Net::new(Ipv4Addr::from(octets), kind).ok()?), rest)
    } else {
        let len = kind - V6_BASE;
        let (octets, rest) = octets::<16>(rest, len)?;
        (IpNet::V6(Ipv6Net::new(Ipv6Addr::from(octets), len).ok()?), rest)
    };
    let (site, rest) = rest.split_first_chunk::<2>()?;
    let site = u16::from_be_bytes(*site);
    Some(((block.trunc(), (site != REMOVED).then_some(SiteNumber(site))), rest))
}

fn octets<const N: usize>(bytes: &[u8], len: u8) -> Option<([u8; N], &[u8])> {
    let covered = usize::from(len.div_ceil(8));
    let (address, rest) = bytes.split_at_checked(covered)?;
    let mut octets = [0; N];
    octets.get_mut(..covered)?.copy_from_slice(address);
    Some((octets, rest))
}
