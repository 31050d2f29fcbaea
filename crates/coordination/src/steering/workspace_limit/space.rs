//! One workspace with its limit, as an instance sees it that takes requests of its callers.

use pollenshed_state::time::Instant;

use super::{
    bucket::{Bucket, Part},
    messages::{AskNumber, Grant, LimitMessage},
    shared_limit::SharedLimit,
};
use crate::membership::hash::mix;

/// Time from the question for which a permit may be used.
pub(super) const PERMIT_MS: u64 = 300;

/// Time after which a keeper that has not answered is passed over. It is longer than the way to
/// another region and back, and than a small machine waits for its processor.
const ANSWER_MS: u64 = 150;

/// Time for which a keeper that did not answer is not asked.
const SILENT_MS: u64 = 400;

/// Shortest and longest time for which a keeper that has no permits is not asked.
const MIN_DRY_MS: u64 = 300;
const MAX_DRY_MS: u64 = 1_000;

/// Demand for which permits are asked in advance.
const ADVANCE_MS: f64 = 200.0;

/// Most permits in one question.
const MAX_WANTED: u32 = 64;

/// Part of the newest interval in the mean of the demand.
const DEMAND_WEIGHT: f64 = 0.15;

/// What an instance keeps of its share relative to the demand of its own callers, since that
/// varies.
const KEPT_RATIO: f64 = 1.5;

/// Requests at once for which a share must last to be worth keeping. A smaller one serves more
/// callers if it is pledged.
const MIN_KEPT_BURST: f64 = 3.0;

/// Times over which refused callers are spread, beyond the moment at which room is due.
const RETRY_SPREAD_MS: u64 = 1_000;

/// Where the token of an admitted request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token {
    /// The workspace has no limit.
    Unlimited,
    /// The instance's own share.
    Own,
    /// A keeper.
    Permit,
}

/// Decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Take {
    /// The request is within the limit.
    Admitted(Token),
    /// The request is beyond the limit.
    Refused {
        /// Time after which there is likely to be room.
        retry_after_ms: u64,
    },
    /// Decide again when the answer to this question has arrived.
    Ask {
        /// Slot whose keeper gets the question.
        slot: usize,
        /// The question.
        message: LimitMessage,
    },
    /// Decide again when the answer to an earlier question has arrived.
    Wait,
}

pub(super) enum Decision {
    Admitted(Token),
    Refused { retry_after_ms: u64 },
    Ask { place: usize },
    Wait,
}

#[derive(Debug, Clone, Copy)]
struct AskSent {
    number: AskNumber,
    at: Instant,
}

/// What is known of one of the two keepers of a workspace.
#[derive(Debug, Clone, Copy, Default)]
struct KeeperView {
    ask: Option<AskSent>,
    /// Until when the keeper is not asked, and when it expects to have room.
    dry: Option<(Instant, Instant)>,
}

/// A workspace with a limit.
#[derive(Debug)]
pub(super) struct Space {
    limit: SharedLimit,
    own: Bucket,
    permits: u32,
    permits_until: Instant,
    /// Permits for which no request ran, to be told with the next question.
    unused: u32,
    keepers: [KeeperView; 2],
    /// Requests since the last interval of the mean.
    demand_count: u32,
    demand_per_ms: f64,
}

impl Space {
    pub(super) fn new(limit: SharedLimit, now: Instant) -> Space {
        Space {
            limit,
            own: Bucket::new(limit, now),
            permits: 0,
            permits_until: now,
            unused: 0,
            keepers: Default::default(),
            demand_count: 0,
            demand_per_ms: 0.0,
        }
    }

    pub(super) fn set_limit(&mut self, limit: SharedLimit, now: Instant) {
        if self.limit != limit {
            self.limit = limit;
            self.own.set_limit(limit, now);
            self.keepers.iter_mut().for_each(|keeper| keeper.dry = None);
        }
    }

    pub(super) fn set_own_part(&mut self, part: Part, now: Instant) {
        self.own.set_part(part, now);
    }

    pub(super) fn own_share(&self) -> f64 {
        self.own.part().fraction()
    }

    pub(super) fn record_demand(&mut self) {
        self.demand_count += 1;
    }

    /// Adds the requests of the last interval to the mean.
    pub(super) fn observe_demand(&mut self, elapsed_ms: u64) {
        let per_ms = f64::from(self.demand_count) / elapsed_ms.max(1) as f64;
        self.demand_per_ms += DEMAND_WEIGHT * (per_ms - self.demand_per_ms);
        self.demand_count = 0;
    }

    pub(super) fn demand_per_s(&self) -> f64 {
        self.demand_per_ms * 1_000.0
    }

    /// Returns how many sixteenths of its share of the limit the instance has use for.
    pub(super) fn wanted_parts(&self, share: Part) -> u8 {
        if self.limit.burst_requests * share.fraction() < MIN_KEPT_BURST {
            return 0;
        }
        let share_per_ms = self.limit.requests_per_ms * share.fraction();
        let parts = 16.0 * KEPT_RATIO * self.demand_per_ms / share_per_ms;
        parts.ceil().min(16.0) as u8
    }

    /// Decides on a request. `has_keeper` tells for each of the two slots whether there is one.
    pub(super) fn take(&mut self, has_keeper: [bool; 2], seed: u64, now: Instant) -> Decision {
        if self.permits > 0 && now >= self.permits_until {
            self.unused += std::mem::take(&mut self.permits);
        }
        if self.permits > 0 {
            self.permits -= 1;
            return Decision::Admitted(Token::Permit);
        }
        if self.own.take(1, now) == 1 {
            return Decision::Admitted(Token::Own);
        }
        self.keepers.iter_mut().for_each(|keeper| keeper.note_silence(now));
        if self.keepers.iter().any(|keeper| keeper.is_awaited(now)) {
            return Decision::Wait;
        }
        // One half of the questions goes to one keeper first, the other half to the other one.
        let first = (seed % 2) as usize;
        let mut room_at: Option<Instant> = None;
        for place in [first, 1 - first] {
            if !has_keeper[place] {
                continue;
            }
            match self.keepers[place].dry.filter(|(until, _)| now < *until) {
                Some((_, at)) => room_at = Some(room_at.map_or(at, |known| known.min(at))),
                None => return Decision::Ask { place },
            }
        }
        let room_ms = match room_at {
            Some(at) if at > now => at.since_ms(now),
            Some(_) => 0,
            None => self.own.next_token_ms().unwrap_or(MAX_DRY_MS).min(MAX_DRY_MS),
        };
        Decision::Refused { retry_after_ms: room_ms + mix(seed) % RETRY_SPREAD_MS }
    }

    /// Records a question and returns how many permits are wanted, and how many are given back.
    pub(super) fn record_ask(
        &mut self,
        place: usize,
        number: AskNumber,
        now: Instant,
    ) -> (u32, u32) {
        self.keepers[place].ask = Some(AskSent { number, at: now });
        let own_per_ms = self.limit.requests_per_ms * self.own_share();
        let advance = ((self.demand_per_ms - own_per_ms).max(0.0) * ADVANCE_MS) as u32;
        let want = (1 + advance).min(MAX_WANTED);
        (want, std::mem::take(&mut self.unused))
    }

    pub(super) fn record_grant(&mut self, grant: &Grant, now: Instant) {
        let answers =
            |keeper: &&mut KeeperView| keeper.ask.is_some_and(|ask| ask.number == grant.number);
        let Some(keeper) = self.keepers.iter_mut().find(answers) else { return };
        let Some(ask) = keeper.ask.take() else { return };
        let until = ask.at.plus_ms(PERMIT_MS);
        keeper.dry = (grant.room_ms > 0).then(|| {
            let room_ms = u64::from(grant.room_ms);
            (now.plus_ms(room_ms.clamp(MIN_DRY_MS, MAX_DRY_MS)), now.plus_ms(room_ms))
        });
        if now >= until {
            self.unused = self.unused.saturating_add(grant.granted.min(MAX_WANTED));
        } else if grant.granted > 0 {
            self.permits_until = match self.permits {
                0 => until,
                _ => self.permits_until.min(until),
            };
            self.permits = self.permits.saturating_add(grant.granted.min(MAX_WANTED));
        }
    }

    pub(super) fn give_back(&mut self, token: Token, now: Instant) {
        match token {
            Token::Unlimited => {}
            Token::Own => self.own.give_back(1, now),
            Token::Permit => self.unused += 1,
        }
    }
}

impl KeeperView {
    /// Returns whether a question was sent that the keeper is likely to answer.
    fn is_awaited(&self, now: Instant) -> bool {
        self.ask.is_some_and(|ask| now.since_ms(ask.at) < ANSWER_MS)
    }

    /// Passes over a keeper that has not answered in time. Its answer still counts if it comes
    /// before the permits lapse.
    fn note_silence(&mut self, now: Instant) {
        let Some(ask) = self.ask else { return };
        let age_ms = now.since_ms(ask.at);
        if age_ms >= ANSWER_MS && self.dry.is_none() {
            let until = ask.at.plus_ms(ANSWER_MS + SILENT_MS);
            self.dry = Some((until, until));
        }
        if age_ms >= ANSWER_MS + SILENT_MS {
            self.ask = None;
            self.dry = None;
        }
    }
}
