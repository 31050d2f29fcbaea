//! Membership: which instances are alive, determined by heartbeat counters that spread by gossip.
//!
//! Each instance raises its own counter once per gossip period and exchanges its view with a few
//! peers. A counter that advances proves that its instance is running, whichever peer delivered it.
//! A link that is cut in one direction between two members is therefore harmless while a third
//! member reaches both. The platform's instance list only supplies addresses to try.
//!
//! # Restarts
//!
//! An incarnation is random, so two incarnations of an instance have no order of their own. Records
//! are therefore ordered by `generation`. A process starts at generation 0. When it hears of
//! another incarnation of its own name with the same or a higher generation, it takes the next one.
//! All other instances keep the record with the highest generation and ignore the others, so stale
//! gossip cannot bring an old incarnation back. A peer that knows another incarnation of the name
//! always includes it in its answer, so a restart costs one extra exchange. The module `identity`
//! defines what happens when two processes of one name run at the same time.
//!
//! A process that has just started may not have received its predecessor's record yet, so a stale
//! copy of that record can have the higher generation. An incarnation whose counter still advances
//! is therefore never replaced. It is told of the other incarnation and takes a higher generation.
//! A restart within `suspect_after_ms` of the predecessor's last heartbeat is accepted when that
//! time is over.
//!
//! # Cost
//!
//! A message holds the sender's own record, one other record in rotation, and one byte for each
//! member: the low byte of its counter, in the order of the names. Members are divided into a few
//! buckets by a hash of their names. Both sides compare a hash of each bucket to check that it has
//! the same members on both. Only for buckets that differ, an answer adds at most `max_records`
//! full records, the most recently changed first, and at most `max_heartbeats` counters with keys.
//!
//! With keyed counters alone, 170 members exceeded 24 KB/s, and the age of the oldest counter came
//! close to `dead_after_ms`. With one hash for all members, 500 members never had the same table
//! for long enough to read each other's counters. The configuration version is not part of the
//! hashes, because it changes every few seconds at the two-year size.
//!
//! Dead and unconfirmed members are never passed on, so that a removed member does not keep
//! circulating. The size of a message does not depend on the number of callers.
//!
//! # Scope
//!
//! A table holds every member of the own failure domain. Of each other failure domain it holds only
//! the `representatives_per_domain` members that [`is_in_scope`] selects.

mod beats;
mod exchange;
pub(crate) mod hash;
mod identity;
mod peers;
mod record;
mod roster;
mod scope;
mod table;

pub use beats::{BeatRelay, rounds_per_beat};
pub use exchange::Exchange;
pub use peers::PeerTarget;
pub use record::{Candidate, Heartbeat, MemberRecord, MemberState, Params};
pub use roster::Bucket;
pub use scope::{is_in_scope, representatives};
pub use table::{Change, Membership};
