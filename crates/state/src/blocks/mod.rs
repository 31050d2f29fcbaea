//! Maps client address blocks (CIDR prefixes) to the closest site.
//!
//! A [`BlockMap`] is an immutable sorted table with longest-prefix match. [`SharedBlockMap`] gives
//! readers immutable snapshots; a change is applied to a copy, so lookups never wait for it.
//! [`encode`] and [`decode`] convert blocks and changes to and from the compact binary format in
//! which they are sent and stored.

mod address;
mod codec;
mod map;
mod shared;
mod table;

pub use codec::{BlockCodecError, decode, encode};
pub use map::{BlockChange, BlockMap};
pub use shared::SharedBlockMap;

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of a site, an index into the list of sites.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct SiteNumber(pub u16);

impl fmt::Display for SiteNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
