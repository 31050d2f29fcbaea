//! Replication of accepted state: submissions, the versions that an instance applies, and its
//! readers.
//!
//! The platform's table service decides the order of configurations, so this module has no
//! consensus log. [`Submission`] advances the head row by one conditional write, [`Replica`]
//! decides what an instance does with an offered version, and [`poll_plan`] decides which instances
//! read the store. [`History`] keeps the latest changes of the configuration for peers; the
//! `config_size` example measures them. [`ReplicatedMap`] sends changes of the client-block map as
//! deltas; the `block_delta` example measures them.

mod delta;
mod head;
mod history;
mod log;
mod readers;
mod replica;
mod submission;

pub use delta::{Splice, SpliceMismatch, apply, diff};
pub use head::{HeadState, MAX_PAST_SUBMISSIONS, PastSubmission, StoredHead, SubmissionId};
pub use history::{Change, History, MAX_CHANGES, MAX_HISTORY_BYTES, VersionedDigest};
pub use log::{LogPosition, PositionMismatch, ReplicatedMap, Update};
pub use readers::{PollPlan, READERS_PER_DOMAIN, poll_delay_ms, poll_plan};
pub use replica::{Offer, Replica, Report, Source};
pub use submission::{Outcome, Plan, Reply, Step, Submission};
