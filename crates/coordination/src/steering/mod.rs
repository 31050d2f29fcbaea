//! Steering: an instance picks the backend server of each request and forwards the request to it.
//!
//! Many instances send to the same backend servers without a shared queue. They agree on a home for
//! each object, the backend server that its requests prefer, and tell each other how many requests
//! they run on each server. A request that can't be answered in time is refused. See
//! docs/platform.md, "Placing, queueing and refusing".
//!
//! A backend server is *cold* for some time after its start and tolerates few requests then. It is
//! *warm* for an object that it handled recently: it runs requests for that object several times
//! faster than a *first run* of an object that it does not have in memory.

mod answer_streak;
mod assignments;
mod body_budget;
mod cold;
mod fleet;
mod homes;
mod idle_limit;
mod object_load;
mod observe;
mod place;
mod rank;
mod rate_limit;
mod region_draw;
mod request;
mod retry_share;
mod room;
mod run_time;
mod server;
mod split;
mod stated_pace;
mod statements;
mod warmth;
pub mod workspace_limit;

pub use answer_streak::{AnswerSource, AnswerStreak};
pub use assignments::Assignment;
pub use body_budget::{
    BodyBudget, BodyKind, LargeAnswers, MAX_READ_PAUSE_MS, large_answer_retry_ms,
};
pub use cold::{ColdRate, cold_senders};
pub use fleet::{Fleet, ServerKey, server_key};
pub use homes::{Claim, Homes};
pub use idle_limit::IdleLimit;
pub use observe::AttemptEnd;
pub use place::{content_digest, object_key, workspace_key};
pub use rank::assigner_rank;
pub use rate_limit::LimitReport;
pub use request::{Choice, ColdLimits, RefusalReason, Request};
pub use retry_share::RetryBudgetShare;
pub use room::RoomLevel;
pub use run_time::RunTimes;
pub use server::Server;
pub use split::WeightedSplit;
pub use statements::{MAX_REST_MS, Statement, StatementChange};
pub use warmth::WarmKeys;
