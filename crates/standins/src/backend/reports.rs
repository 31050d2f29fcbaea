//! Answers of the health and load endpoints, which tests can make wrong.

use std::time::Duration;

use pollenshed_protocol::backend::{HealthBody, HealthStatus, LoadBody};

use super::http::Answer;

/// Load and state that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that are running.
    pub in_use: u64,
    /// Requests that can run at the same time.
    pub slots: u64,
    /// Whether the server is draining.
    pub draining: bool,
}

/// How reports relate to the actual state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportMode {
    /// Reports give the actual state.
    Live,
    /// Reports give the state of this long ago.
    Lagging(Duration),
    /// Reports give the state at the time when this mode was set.
    Frozen,
    /// Reports always give this state.
    Fixed(Report),
    /// Both endpoints answer 500.
    Failing,
}

pub(super) fn health_answer(report: Option<Report>) -> Answer {
    let Some(report) = report else { return Answer::text(500, "no report") };
    let status = if report.draining { HealthStatus::Draining } else { HealthStatus::Ok };
    Answer::json(&HealthBody { status })
}

pub(super) fn load_answer(report: Option<Report>) -> Answer {
    let Some(report) = report else { return Answer::text(500, "no report") };
    Answer::json(&LoadBody { in_use: report.in_use, slots: report.slots })
}
