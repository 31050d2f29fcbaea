//! The configuration that operators submit and every instance obeys.

mod document;

pub use document::{
    BackendServer, Config, Drain, Network, Operation, ParseRankError, Rank, RankPolicy, Region,
    Service, ShiftPolicy,
};
