//! Limits: slots per backend server, queues by rank, retry budgets and quarantine.
//!
//! [`Scheduler`] is the owner's part: it holds the queues of all backend servers that one instance
//! owns and decides what is dispatched when. [`EntryAdmission`] and [`RetryBudget`] are the entry's
//! part. [`Quarantine`] keeps requests that crash backend servers away from the others. See
//! `docs/design.md`, "Limits, ranks, floods".

mod dispatch;
mod entry;
mod policy;
mod quarantine;
mod queue;
mod retry;
mod runs;
mod scheduler;
mod server;
mod service;
mod shares;
mod submit;
mod work;

pub use entry::EntryAdmission;
pub use policy::SchedulerPolicy;
pub use quarantine::{Quarantine, QuarantineEntry, SECOND_RUN_DELAY_MS, StartDecision};
pub use retry::RetryBudget;
pub use scheduler::Scheduler;
pub use work::{
    Assignment, CacheState, CancelResult, Headroom, LoadReport, Occupancy, Refusal, RefusalReason,
    RunOutcome, ServerSnapshot, ServerSpec, ServerState, SubmitResult, Work, WorkId,
};
