//! Ownership: which live entry dispatches to a backend server, and when it may start.
//!
//! # When a new owner may start
//!
//! Views of different instances differ for a while. A new owner therefore starts when every member
//! that could dispatch has released the server (see below), or after a wait that ensures that the
//! previous owner has stopped. With the default timing this wait is:
//!
//! - The previous owner is leaving: it stopped dispatching before it announced that it leaves. The
//!   new owner waits two gossip periods (500 ms), in which it can ask how many requests still run.
//! - The previous owner is dead: its counter did not advance for `dead_after_ms` (3,000 ms). If it
//!   was paused for that long, its [`Fence`] is closed when it resumes. The new owner waits another
//!   `fence_after_ms` (1,000 ms), which covers a delayed heartbeat.
//! - The previous owner is running or unknown, or either owner started so recently that its view of
//!   the owners may be wrong: the previous owner learns of the change by gossip within
//!   `suspect_after_ms` (1,500 ms, six periods). A pause shorter than `fence_after_ms` delays that
//!   by at most 1,000 ms, and a longer pause closes the fence. The new owner waits `dead_after_ms`,
//!   which is longer than the sum. For half of the difference (250 ms), the previous owner holds a
//!   server for a new process that has not asked for it yet, so that requests can still be
//!   dispatched to it.
//!
//! # Release
//!
//! A new owner N asks all members of its failure domain that are not dead, and all members that
//! these name ([`ReleaseRound`]). N starts if all of them answer within one attempt shorter than
//! `fence_after_ms`, each of them considers this incarnation of N the owner, and at least one is
//! settled, which means that it has run for `dead_after_ms`. A leaving member has stopped
//! dispatching, so it may also be gone. N's view must not change during the attempt. Each answer
//! states how many requests of the member still use slots, and until when. N counts them as slots
//! in use, in addition to those in the load report.
//!
//! Two owners that are both live and hear each other never use more than the server's slots
//! together:
//!
//! - A member that answers removes the server in the same step in which it counts its requests. It
//!   takes the server back only when its own view changes, after the wait above.
//! - Suppose that an owner F did not answer, so no settled member S that answered knows F. If F has
//!   run for `suspect_after_ms`, S and F hear of each other, which contradicts this. If F has run
//!   for less, it started by a release, in which S answered by the same rule, and then S knows F.
//!   So both F and N asked S. The one that asked later was told of the other and had to ask it. The
//!   other answered only after it considered the later one the owner, and stopped dispatching.
//! - A server is held only for a process that started less than `dead_after_ms` ago. Such a process
//!   can't have started to dispatch without a release, and the release ends the hold.
//!
//! # Bound on double dispatch
//!
//! An owner that is cut off from its failure domain but reaches its backend servers keeps
//! dispatching, because it can't distinguish this from being the only instance left. Its successor
//! starts after the wait. Until one of them reads a load report or hears of the other, at most two
//! owners dispatch and at most twice the slots of the server are in use. A release keeps this
//! bound, because the successor passes on its share. An owner whose fence opened after an exchange
//! with one peer has that peer's view; views differ for at most `suspect_after_ms`.

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
