//! What the health and load endpoints say, which need not be true.

use std::time::Duration;

use pollenshed_protocol::backend::{HealthBody, HealthStatus, LoadBody};

use super::http::Answer;

/// What a backend server says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that it runs.
    pub in_use: u64,
    /// Requests that it can run at the same time.
    pub slots: u64,
    /// Whether it is draining.
    pub draining: bool,
}

/// How reports relate to the truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportMode {
    /// Reports are true.
    Live,
    /// Reports tell what was true this long ago.
    Lagging(Duration),
    /// Reports tell what was true when this was set.
    Frozen,
    /// Reports always say this.
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
