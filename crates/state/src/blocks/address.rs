//! IPv4 and IPv6 addresses as integers.

use std::net::{Ipv4Addr, Ipv6Addr};

/// An IP address as an integer; integers sort in address order.
pub(super) trait Address: Copy + Ord + Default {
    /// Length of the address in bits.
    const BITS: u8;

    /// Returns the address with all bits after the first `len` cleared.
    fn truncated(self, len: u8) -> Self;

    /// Returns the first 16 bits, by which a table is indexed.
    fn first_16_bits(self) -> u16;
}

impl Address for u32 {
    const BITS: u8 = 32;

    fn truncated(self, len: u8) -> u32 {
        let cleared = u32::from(32 - len.min(32));
        u32::MAX.checked_shl(cleared).unwrap_or(0) & self
    }

    fn first_16_bits(self) -> u16 {
        (self >> 16) as u16
    }
}

impl Address for u128 {
    const BITS: u8 = 128;

    fn truncated(self, len: u8) -> u128 {
        let cleared = u32::from(128 - len.min(128));
        u128::MAX.checked_shl(cleared).unwrap_or(0) & self
    }

    fn first_16_bits(self) -> u16 {
        (self >> 112) as u16
    }
}

pub(super) fn v4(address: Ipv4Addr) -> u32 {
    u32::from(address)
}

pub(super) fn v6(address: Ipv6Addr) -> u128 {
    u128::from(address)
}
