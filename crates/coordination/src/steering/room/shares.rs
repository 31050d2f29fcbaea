//! Fair shares of the workspaces of a rank while there is too little room for all of them.

use std::collections::HashMap;

use pollenshed_state::time::Instant;

/// Time constant of the demand of a workspace.
const DEMAND_TIME_MS: f64 = 4_000.0;

/// Time constant of the usual demand of a workspace.
const USUAL_TIME_MS: f64 = 60_000.0;

/// Multiple of its usual demand up to which a workspace is within it, since demand varies.
const USUAL_FACTOR: f64 = 1.25;

/// The same for what is learnt as usual while there is too little room, so that a flood becomes
/// usual only over minutes.
const SHORT_LEARNT_FACTOR: f64 = 1.1;

/// The same while there is room, so that the first seconds of a flood are not learnt as usual.
const LEARNT_FACTOR: f64 = 2.0;

/// Requests in [`DEMAND_TIME_MS`] that a workspace may send in any case, however seldom it usually does.
const USUAL_EXTRA_REQUESTS: f64 = 1.0;

/// Weight of a request in the mean work of a request.
const WORK_WEIGHT: f64 = 0.1;

/// Maximum number of workspaces that are told apart; the others share one entry.
const MAX_WORKSPACES: usize = 4_096;

/// Key of requests without a workspace.
const NO_WORKSPACE: u64 = 0;

/// A sum that loses two thirds of its value in its time constant.
#[derive(Debug, Clone, Copy)]
struct DecayingSum {
    sum: f64,
    at_ms: f64,
}

impl DecayingSum {
    fn add(&mut self, amount: f64, at_ms: f64, time_ms: f64) {
        self.sum = self.value(at_ms, time_ms) + amount;
        self.at_ms = at_ms;
    }

    fn value(&self, at_ms: f64, time_ms: f64) -> f64 {
        self.sum * (-(at_ms - self.at_ms).max(0.0) / time_ms).exp()
    }
}

/// Work that a workspace asked for, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Demand {
    lately: DecayingSum,
    usually: DecayingSum,
}

/// Demand of the workspaces of one rank for one service.
///
/// What a workspace sends beyond its usual demand gives way to what others send within theirs. So
/// one that sends many times its usual gets what they leave, and takes nothing from them.
#[derive(Debug, Clone)]
pub(super) struct WorkspaceShares {
    by_workspace: HashMap<u64, Demand>,
    total: DecayingSum,
    started_at: Instant,
    work_ms: f64,
}

impl WorkspaceShares {
    pub(super) fn new(now: Instant) -> WorkspaceShares {
        let total = DecayingSum { sum: 0.0, at_ms: now.as_ms() as f64 };
        WorkspaceShares { by_workspace: HashMap::new(), total, started_at: now, work_ms: 0.0 }
    }

    /// Returns whether requests of several workspaces were seen.
    pub(super) fn are_several(&self) -> bool {
        self.by_workspace.len() > 1
    }

    /// Records that a request asks for `work_ms`. Returns whether it is beyond what its workspace
    /// usually asks for. `is_short` tells whether there is too little room, `random` is between 0
    /// and 1.
    pub(super) fn record(
        &mut self,
        workspace: Option<u64>,
        work_ms: f64,
        is_short: bool,
        random: f64,
        now: Instant,
    ) -> bool {
        let weight = if self.work_ms > 0.0 { WORK_WEIGHT } else { 1.0 };
        self.work_ms += weight * (work_ms - self.work_ms);
        let key = workspace.unwrap_or(NO_WORKSPACE);
        let has_entry =
            self.by_workspace.len() < MAX_WORKSPACES || self.by_workspace.contains_key(&key);
        let key = if has_entry { key } else { NO_WORKSPACE };
        let now_ms = now.as_ms() as f64;
        self.total.add(work_ms, now_ms, DEMAND_TIME_MS);
        let none = DecayingSum { sum: 0.0, at_ms: now_ms };
        let demand = self.by_workspace.entry(key).or_insert(Demand { lately: none, usually: none });
        demand.lately.add(work_ms, now_ms, DEMAND_TIME_MS);
        let demand = *demand;
        let lately = self.per_ms(demand.lately, DEMAND_TIME_MS, now);
        let usually = self.per_ms(demand.usually, USUAL_TIME_MS, now);
        let extra = USUAL_EXTRA_REQUESTS * self.work_ms / DEMAND_TIME_MS;
        let ratio_up_to = |factor: f64| ((factor * usually + extra) / lately).min(1.0);
        let has_begun = now.since_ms(self.started_at) as f64 >= DEMAND_TIME_MS;
        let learnt_ratio = match (is_short, has_begun) {
            (true, _) => ratio_up_to(SHORT_LEARNT_FACTOR),
            (false, true) => ratio_up_to(LEARNT_FACTOR),
            (false, false) => 1.0,
        };
        if let Some(demand) = self.by_workspace.get_mut(&key) {
            demand.usually.add(work_ms * learnt_ratio, now_ms, USUAL_TIME_MS);
        }
        is_short && self.are_several() && random > ratio_up_to(USUAL_FACTOR)
    }

    /// Returns the work that all workspaces together asked for lately, per millisecond.
    pub(super) fn demand_per_ms(&self, now: Instant) -> f64 {
        self.per_ms(self.total, DEMAND_TIME_MS, now)
    }

    /// Returns a decaying sum as work in a millisecond.
    fn per_ms(&self, sum: DecayingSum, time_ms: f64, now: Instant) -> f64 {
        let age_ms = now.since_ms(self.started_at) as f64;
        let seen_ms = time_ms * (1.0 - (-age_ms / time_ms).exp());
        sum.value(now.as_ms() as f64, time_ms) / seen_ms.max(1.0)
    }
}
