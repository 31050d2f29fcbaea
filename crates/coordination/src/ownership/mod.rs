//! Ownership: which live entry dispatches to a backend server, and when it may.
//!
//! # When a new owner may start
//!
//! Views of different instances differ for a while, so a new owner waits until the previous one has
//! stopped. With the default timing:
//!
//! - The previous owner is leaving: it stopped before it said so. No wait.
//! - The previous owner is dead: its counter stood still for `dead_after_ms` (3,000 ms). If it was
//!   paused for that long, its [`Fence`] is closed when it wakes. The new owner waits another
//!   `fence_after_ms` (1,000 ms), which covers a heartbeat that was late on its way.
//! - The previous owner runs, or none is known: it learns of the change by gossip within
//!   `suspect_after_ms` (1,500 ms, six periods). A pause shorter than `fence_after_ms` delays that by
//!   at most 1,000 ms, and a longer one closes the fence. The new owner waits `dead_after_ms`, which
//!   is more than the sum.
//!
//! # Bound on double dispatch
//!
//! An owner that is cut off from its failure domain but reaches its backend servers keeps serving,
//! because it can't tell that from being the only one left. Its successor starts after the wait, so
//! at most two owners dispatch and at most twice the slots of the server are in use, until one of
//! them reads a load report or hears of the other. An owner whose fence opened after an exchange
//! with one peer has that peer's view; views differ for `suspect_after_ms` at most.

mod assignment;
mod fence;
mod heirs;
mod map;
mod rendezvous;

pub use assignment::{Assignment, LiveEntry, domain_order, live_entries};
pub use fence::Fence;
pub use heirs::rank_heirs;
pub use map::{OwnershipChange, OwnershipMap, OwnershipView, Takeover};
pub use rendezvous::owner_of;
