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
//! A message holds the sender's own record, at most `max_heartbeats` counters in rotation and, only if
//! the digests of the two tables differ, at most `max_records` whole records, those that changed last
//! first. Dead and unconfirmed members are never passed on, so that a removed member does not
//! circulate. The size of a message does not depend on the number of callers.
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
mod scope;
mod table;

pub use exchange::Exchange;
pub use peers::PeerTarget;
pub use record::{Candidate, Heartbeat, MemberRecord, MemberState, Params};
pub use scope::{is_in_scope, representatives};
pub use table::{Change, Membership};
