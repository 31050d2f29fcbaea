//! Membership: which instances are alive, from heartbeat counters spread by gossip.
//!
//! Each instance raises its own counter once a period and exchanges what it knows with a few peers.
//! A counter that advances proves that its instance runs, whichever peer delivered it, so a one-way
//! cut between two members does not matter while a third reaches both. The platform's instance list
//! only supplies addresses to try.
//!
//! # Restarts
//!
//! An incarnation is random, so two incarnations of an instance have no order of their own. Records
//! are therefore ordered by `generation`. A process starts at generation 0. When it hears of another
//! incarnation of its own name with the same or a higher generation, it takes the next one. Everybody
//! else keeps the record of the highest generation and ignores the others, so an old incarnation
//! cannot come back through stale gossip. A peer that knows another incarnation of the name always
//! says so in its answer, so a restart costs one extra exchange. `identity` has the rule for two
//! processes of one name that run at the same time.
//!
//! A process that just started may not have met its predecessor's record yet, so that a stale copy of
//! that one has the higher generation. An incarnation whose counter still advances is therefore never
//! replaced; it is told of the other one and overtakes. A restart within `suspect_after_ms` of the
//! predecessor's last heartbeat is accepted when that time is over.
//!
//! # Cost
//!
//! A message holds the sender's own record, one other record in turn and one byte for each member: the
//! low byte of its counter, in the order of the names. Members are divided into a few buckets by a
//! hash of their names, and both sides check by a hash of each bucket that they mean the same members.
//! Only for buckets that differ, an answer adds at most `max_records` whole records, those that changed
//! last first, and `max_heartbeats` counters with keys.
//!
//! With keyed counters alone, 170 members exceeded 24 KB/s and the oldest counter came close to
//! `dead_after_ms`. With one hash for all members, 500 members never had the same table for long enough
//! to read each other's counters. The configuration version is not part of the hashes, because it
//! changes every few seconds at the two-year size.
//!
//! Dead and unconfirmed members are never passed on, so that a removed member does not circulate. The
//! size of a message does not depend on the number of callers.
//!
//! # Scope
//!
//! A table holds every member of the own failure domain and, of each other failure domain, only the
//! `representatives_per_domain` members that [`is_in_scope`] prefers.

mod exchange;
pub(crate) mod hash;
mod identity;
mod peers;
mod record;
mod roster;
mod scope;
mod table;

pub use exchange::Exchange;
pub use peers::PeerTarget;
pub use record::{Candidate, Heartbeat, MemberRecord, MemberState, Params};
pub use roster::Bucket;
pub use scope::{is_in_scope, representatives};
pub use table::{Change, Membership};
