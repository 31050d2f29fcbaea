//! Ownership: which live entry dispatches to a backend server, and when it may.
//!
//! # When a new owner may start
//!
//! Views of different instances differ for a while, so a new owner starts when all that could
//! dispatch have released the server (below), and without a release when the previous owner has
//! stopped for sure. With the default timing the wait without a release is:
//!
//! - The previous owner is leaving: it stopped before it said so. The new owner waits two gossip
//!   periods (500 ms) in which it can ask for the number of requests that still run.
//! - The previous owner is dead: its counter stood still for `dead_after_ms` (3,000 ms). If it was
//!   paused for that long, its [`Fence`] is closed when it wakes. The new owner waits another
//!   `fence_after_ms` (1,000 ms), which covers a heartbeat that was late on its way.
//! - The previous owner runs, or none is known, or it or the new owner is so young that its view of
//!   the owners may be wrong: the previous owner learns of the change by gossip within
//!   `suspect_after_ms` (1,500 ms, six periods). A pause shorter than `fence_after_ms` delays that by
//!   at most 1,000 ms, and a longer one closes the fence. The new owner waits `dead_after_ms`, which
//!   is more than the sum. Half of the rest (250 ms) the previous owner holds a server for a new
//!   process that has not asked yet, so that the server is not without a dispatcher meanwhile.
//!
//! # Release
//!
//! A new owner N asks all members of its failure domain that are not dead, and all that these name
//! ([`ReleaseRound`]). N starts if all of them answer in one try shorter than `fence_after_ms`, each
//! one takes this incarnation of N for the owner, and at least one is settled: it has run for
//! `dead_after_ms`. A member that is leaving has stopped, so it may also be gone. N's view must not
//! have changed meanwhile. Each answer states how many requests of the member still hold slots, and
//! until when; N counts them as slots in use, in addition to what the load report shows.
//!
//! Two owners that both live and hear each other never use more than the slots together:
//!
//! - Who has answered has removed the server in the same step in which it counted its requests, and
//!   takes it back only by a change of its own view, with the wait above.
//! - An owner F that did not answer is not known to a settled member S that answered. If F has run
//!   for `suspect_after_ms`, S and F hear of each other, which contradicts this. If F is younger, it
//!   started by a release in which, by the same rule, S answered, and then S knows F. So F and N both
//!   asked S. The one that asked later was told of the other and had to ask it, and that one
//!   answered only after it took the later one for the owner, and stopped.
//! - A held server is held only for a process younger than `dead_after_ms`, which can't have started
//!   without a release, and the release ends the hold.
//!
//! # Bound on double dispatch
//!
//! An owner that is cut off from its failure domain but reaches its backend servers keeps serving,
//! because it can't tell that from being the only one left. Its successor starts after the wait, so
//! at most two owners dispatch and at most twice the slots of the server are in use, until one of
//! them reads a load report or hears of the other. A release does not change that: the successor
//! passes its part on. An owner whose fence opened after an exchange with one peer has that peer's
//! view; views differ for `suspect_after_ms` at most.

mod assignment;
mod fence;
mod heirs;
mod map;
mod release;
mod rendezvous;

pub use assignment::{Assignment, LiveEntry, failover_order, live_entries};
pub use fence::Fence;
pub use heirs::rank_heirs;
pub use map::{
    InheritedRequests, OwnerLiveness, OwnershipChange, OwnershipMap, OwnershipView, Takeover,
};
pub use release::{ReleaseAnswer, ReleaseRound, sum_inherited_requests};
pub use rendezvous::owner_of;
