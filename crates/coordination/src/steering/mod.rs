//! Decisions of an instance that sends each request straight to a backend server.
//!
//! Many instances send to the same backend servers without a common queue. They agree on where an
//! object lives by hashing, learn from each other how many requests run where, and refuse what
//! can't be answered in time. See docs/platform.md, "Placing, queueing and refusing".

mod answer_streak;
mod cold;
mod fleet;
mod homes;
mod idle_limit;
mod object_load;
mod observe;
mod place;
mod retry_share;
mod run_time;
mod server;
mod split;
mod warmth;

pub use answer_streak::AnswerStreak;
pub use cold::{ColdRate, cold_senders};
pub use fleet::{Fleet, ServerKey, server_key};
pub use homes::{Claim, Homes};
pub use idle_limit::IdleLimit;
pub use observe::AttemptEnd;
pub use place::{Choice, ColdLimits, RefusalReason, Request, content_digest, object_key};
pub use retry_share::RetryBudgetShare;
pub use run_time::RunTimes;
pub use server::Server;
pub use split::WeightedSplit;
pub use warmth::WarmKeys;
