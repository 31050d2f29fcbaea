//! Limits: slots per backend server, queues by rank, retry budgets and quarantine.
//!
//! An owner uses [`Scheduler`], which queues the requests for all backend servers of one instance
//! and decides which is dispatched next. An entry uses [`EntryAdmission`] and [`RetryBudget`].
//! [`Quarantine`] limits how many backend servers a crashing request can take down. See
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
pub use quarantine::{
    Quarantine, QuarantineEntry, SECOND_RUN_DELAY_MS, StartDecision, TOLD_RUN_DELAY_MS,
};
pub use retry::RetryBudget;
pub use scheduler::Scheduler;
pub use work::{
    Assignment, CacheState, CancelResult, Headroom, LoadReport, Occupancy, Refusal, RefusalReason,
    RunOutcome, ServerSnapshot, ServerSpec, ServerState, SubmitResult, Work, WorkId,
};
