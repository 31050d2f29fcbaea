//! Routing: which owner a request goes to, within advertised headroom and link budgets.
//!
//! # Splitting headroom
//!
//! An owner advertises how many requests per second it takes from elsewhere, and into how many parts
//! entries split that. These are the entries of the failure domains that send requests, and one more
//! (see [`Senders`]). Each entry spends at most one part, from a token bucket that starts empty. As
//! long as no more entries send than there are parts, this holds: with a share of 2
//! requests per second or more, bucket size and refill rate add up to the share, so in any second or
//! longer all entries together stay within the advertised rate. A smaller share is spent in single
//! requests, so that each entry may exceed it by one request in all.
//!
//! When failure domains begin to send at the same time, their entries together can send more than the
//! advertised rate until the next advertisement. The owner's [`Intake`] bounds the sum exactly and
//! refuses the rest as not run. Views can differ in three ways:
//!
//! - A new entry that the owner does not know yet spends nothing until it has run for
//!   `dead_after_ms`, by which time gossip has spread it.
//! - An entry that the owner does not hear is still counted for `dead_after_ms`, which is longer than
//!   `headroom_ttl_ms`, so it has no usable advertisement left when its share goes to others.
//! - A one-way cut can leave an entry with advertisements of an owner that does not count it. The
//!   owner's [`Intake`] refuses the rest.
//!
//! # Links
//!
//! A region may use `region_link_share_percent` of each direction of a link. Half of that is for its
//! own requests and half for its answers to the other region, and each half is split among the live
//! entries of the region that sends the requests (see [`LinkBudget`]).

mod advert;
mod bucket;
mod link;
mod lookup;
mod router;
mod senders;

pub use advert::{Advertisement, Advertisements, Ignored, Intake};
pub use link::LinkBudget;
pub use lookup::{RankedEntry, lookup_domain, rank_entries};
pub use router::{NoCapacity, RouteReason, RouteRequest, RouteView, Router, Target};
pub use senders::Senders;
