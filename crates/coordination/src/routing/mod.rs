//! Routing: chooses the owner of a request within advertised headroom and link budgets.
//!
//! # Splitting headroom
//!
//! An owner advertises how many requests per second it accepts from other failure domains, and the
//! number of parts into which entries split this rate: one for each entry of the failure domains
//! that send requests, and one more (see [`SendingDomains`]). Each entry uses at most one part,
//! from a token bucket that starts empty. With a part of 2 requests per second or more, bucket size
//! and refill rate add up to the part. So over any period of a second or longer, entries stay
//! within the advertised rate together, as long as there are no more of them than parts. A smaller
//! part has a bucket of one request, so each entry may exceed it by one request in all.
//!
//! There can be more sending entries than parts for a short time: when several failure domains
//! begin to send at once, until the next advertisement reaches them, or when messages between the
//! owner and an entry pass in one direction only. The owner's [`InboundLimiter`] enforces the total
//! and refuses excess requests as not run. A new entry uses no headroom until it has run for
//! `dead_after_ms`; by then gossip has made it known and owners count it.
//!
//! # Links
//!
//! A region may use `region_link_share_percent` of each direction of a link. Half of that is for
//! its own requests and half for its answers to the other region. Each half is split among the live
//! entries of the region that sends the requests (see [`LinkBudget`]).

mod advert;
mod bucket;
mod link;
mod lookup;
mod router;
mod senders;

pub use advert::{Advertisement, AdvertisementRejection, Advertisements, InboundLimiter};
pub use link::LinkBudget;
pub use lookup::{RankedEntry, choose_lookup_domain, rank_entries};
pub use router::{NoCapacity, RouteReason, RouteRequest, RouteView, Router, Target};
pub use senders::SendingDomains;
