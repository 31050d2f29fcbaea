//! Routing: which owner a request goes to, within advertised headroom and link budgets.
//!
//! # Splitting headroom
//!
//! An owner advertises how many requests per second it takes from elsewhere, and into how many parts
//! entries split that. These are the entries of the failure domains that send requests, and one more
//! (see [`SendingDomains`]). Each entry spends at most one part, from a token bucket that starts empty. With
//! a part of 2 requests per second or more, bucket size and refill rate add up to the part, so in any
//! second or longer no more entries than there are parts stay together within the advertised rate. A
//! smaller part is spent in single requests, so that each entry may exceed it by one request in all.
//!
//! More entries than there are parts can send for a while: when failure domains begin to send at the
//! same time, until the next advertisement reaches them, and when the owner and an entry hear each
//! other in one direction only. The owner's [`InboundLimiter`] bounds the sum exactly and refuses the rest as
//! not run. A new entry spends nothing until it has run for `dead_after_ms`, by which time gossip has
//! spread it and the owner counts it.
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

pub use advert::{Advertisement, AdvertisementRejection, Advertisements, InboundLimiter};
pub use link::LinkBudget;
pub use lookup::{RankedEntry, choose_lookup_domain, rank_entries};
pub use router::{NoCapacity, RouteReason, RouteRequest, RouteView, Router, Target};
pub use senders::SendingDomains;
