//! The client-block map: from a client's address to the site that is closest to it.
//!
//! A [`BlockMap`] is an immutable sorted table with the longest match by prefix. [`SharedBlockMap`]
//! gives readers a snapshot that they keep as long as they like; a change builds the next table beside
//! it, so no lookup waits for a change. [`encode`] and [`decode`] are the form in which blocks and
//! changes are sent and stored.

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
