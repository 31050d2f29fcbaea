//! Shares a service that is short of room: by rank, then fairly among the workspaces of a rank.
//!
//! This answers demand of 1.0 to 3 times the capacity of a service whose servers run kinds of two
//! or three ranks with very different work, such as urgent runs of 216 ms with a target of 500 ms
//! beside the least urgent runs of 3,520 ms with a target of 4 s, and one workspace that sends 8
//! times its usual. Without it, long runs of little urgency hold all slots when an urgent request
//! arrives, and the workspace that sends most gets most.
//!
//! A service is short of room once a request was refused for want of it. Until then nothing is
//! limited. What is kept is one number for each service ([`Shortage`]), and two sums for each
//! workspace of a rank ([`WorkspaceShares`]); nothing is kept for a caller. See
//! docs/design/room.md.

mod run_mix;
mod shares;
mod shortage;

use std::collections::{BTreeMap, HashMap};

use pollenshed_state::{ids::ServiceName, time::Instant};

use super::{
    fleet::Fleet,
    request::{Choice, ColdLimits, RefusalReason, Request},
};
use crate::membership::hash::mix;

use run_mix::RunMix;
use shares::WorkspaceShares;
use shortage::Shortage;
pub(super) use shortage::SlotLimit;

/// Time after its last request in which a rank counts as one of the service.
const RANK_TTL_MS: u64 = 30_000;

/// Time after a refusal in which callers are still brought back in the order of their ranks.
const ORDERED_RETURN_MS: u64 = 3_000;

/// Share of their remaining time for which callers wait before they come back.
const MAX_RETURN_RATIO: f64 = 1.0 / 3.0;

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETURN_MS: f64 = 50.0;

/// Share of the work of a service up to which a rank may use reserved slots for first runs. They take
/// several times as long as others, and the objects of the rest would be forgotten.
const MAX_FIRST_RUN_SHARE: f64 = 0.25;

/// Tells the draw for the slots from other draws with the same seed.
const SLOT_DRAW: u64 = 0x51;

/// Tells the draw for the share of a workspace from other draws with the same seed.
const SHARE_DRAW: u64 = 0x52;

/// Tells the draw of the time to come back from other draws with the same seed.
const RETURN_DRAW: u64 = 0x53;

/// How much of a service is open to the requests of one rank.
#[derive(Debug, Clone, PartialEq)]
pub struct RoomLevel {
    /// The service.
    pub service: ServiceName,
    /// The rank; 0 is the most urgent.
    pub rank: u32,
    /// Share of the slots of a server that requests of this rank may take; 1 is no limit.
    pub open_ratio: f64,
    /// The same for what workspaces of this rank send beyond their usual.
    pub open_beyond_usual_ratio: f64,
}

/// Class of a request: its rank, and whether it is beyond what its workspace usually asks for. Less
/// urgent classes are greater.
type Class = (u32, bool);

/// The shortages of all services.
#[derive(Debug, Clone, Default)]
pub(super) struct Rooms {
    is_on: bool,
    by_service: HashMap<ServiceName, Room>,
}

/// Demand for one service, and how short of room it is.
#[derive(Debug, Clone, Default)]
struct Room {
    ranks: BTreeMap<u32, Rank>,
    shortage: Shortage,
    refused_at: Option<Instant>,
    runs: RunMix,
}

/// Demand of one rank.
#[derive(Debug, Clone)]
struct Rank {
    seen_at: Instant,
    shares: WorkspaceShares,
}

impl Rooms {
    fn room(&mut self, service: &ServiceName) -> &mut Room {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), Room::default());
        }
        self.by_service.entry(service.clone()).or_default()
    }

    /// Records a run of a service that did not wait for a slot.
    pub(super) fn record_run(
        &mut self,
        service: &ServiceName,
        kind: u64,
        ran_ms: f64,
        now: Instant,
    ) {
        if self.is_on {
            self.room(service).runs.record(kind, ran_ms, now);
        }
    }

    /// Returns the mean time of the runs of a service, or `None` if all of them are of one kind,
    /// whose own estimate is better.
    pub(super) fn mean_run_ms(&self, service: &ServiceName, now: Instant) -> Option<f64> {
        self.by_service.get(service)?.runs.mean_ms(now)
    }
}

impl Room {
    /// Records the demand. Returns the class of the request and which slots it may take.
    fn admit(&mut self, request: &Request<'_>, work_ms: f64, now: Instant) -> (Class, SlotLimit) {
        self.ranks.retain(|_, rank| now.since_ms(rank.seen_at) < RANK_TTL_MS);
        let is_short = self.shortage.depth(now) > 0.0;
        let rank = self
            .ranks
            .entry(request.rank)
            .or_insert_with(|| Rank { seen_at: now, shares: WorkspaceShares::new(now) });
        rank.seen_at = now;
        let random = uniform(request.jitter_seed, SHARE_DRAW);
        let is_beyond = request.tried.is_empty()
            && rank.shares.record(request.workspace, work_ms, is_short, random, now);
        let class = (request.rank, is_beyond);
        let random = uniform(request.jitter_seed, SLOT_DRAW);
        (class, SlotLimit::new(self.open_ratio(class, now), random))
    }

    /// Returns the share of the slots of a server that requests of a class may take. The least
    /// urgent class gives way first, the most urgent one never.
    fn open_ratio(&self, class: Class, now: Instant) -> f64 {
        let most_urgent = self.classes().next();
        if most_urgent.is_none_or(|first| class <= first) {
            return 1.0;
        }
        self.shortage.open_ratio(class, self.less_urgent(class), now)
    }

    /// Returns the classes of the service, the most urgent first.
    fn classes(&self) -> impl Iterator<Item = Class> {
        self.ranks.iter().flat_map(|(number, rank)| {
            let beyond = rank.shares.are_several().then_some((*number, true));
            [(*number, false)].into_iter().chain(beyond)
        })
    }

    fn less_urgent(&self, class: Class) -> usize {
        self.classes().filter(|other| *other > class).count()
    }

    /// Returns whether slots are left free for requests of this class, so that one may take such a
    /// slot where its object is not in memory.
    fn reserves(&self, class: Class, now: Instant) -> bool {
        let demand = |rank: &Rank| rank.shares.demand_per_ms(now);
        let all: f64 = self.ranks.values().map(demand).sum();
        let own = self.ranks.get(&class.0).map_or(0.0, demand);
        own <= MAX_FIRST_RUN_SHARE * all && self.shortage.reserves(self.less_urgent(class), now)
    }

    /// Records what became of a request.
    fn record(&mut self, class: Class, choice: &Choice, now: Instant) {
        let found_room = match choice {
            Choice::Send { .. } => true,
            Choice::Refuse { reason: RefusalReason::Busy | RefusalReason::Reserved, .. } => false,
            Choice::Refuse { .. } => return,
        };
        if !found_room {
            self.refused_at = Some(now);
        }
        self.shortage.record(class, found_room, self.less_urgent(class), now);
    }

    fn level(&self, service: &ServiceName, rank: u32, now: Instant) -> RoomLevel {
        RoomLevel {
            service: service.clone(),
            rank,
            open_ratio: self.open_ratio((rank, false), now),
            open_beyond_usual_ratio: self.open_ratio((rank, true), now),
        }
    }

    /// Returns whether callers compete for the room, so that they come back in order.
    fn orders_returns(&self, now: Instant) -> bool {
        let is_short = self.refused_at.is_some_and(|at| now.since_ms(at) < ORDERED_RETURN_MS);
        is_short && self.classes().count() > 1
    }

    /// Returns when a refused caller should come back. Its waiting time is divided among the
    /// classes, the most urgent first, and each caller gets a random time in the part of its class.
    fn return_after_ms(&self, request: &Request<'_>, class: Class) -> u64 {
        let more_urgent = self.classes().filter(|other| *other < class).count() as f64;
        let part_ms = request.left_ms * MAX_RETURN_RATIO / self.classes().count().max(1) as f64;
        let random = uniform(request.jitter_seed, RETURN_DRAW);
        (part_ms * (more_urgent + random)).max(MIN_RETURN_MS) as u64
    }
}

impl Fleet {
    /// Chooses the server of a request, or refuses it. The choice may assign the object to a new
    /// home, but does not count the request as sent: see [`Fleet::record_start`].
    pub fn choose(&mut self, request: &Request<'_>, cold: &ColdLimits<'_>, now: Instant) -> Choice {
        self.within_room(request, now, |fleet, limit| fleet.place(request, cold, limit, now))
    }

    /// Chooses the server of a request by the order of its object, or refuses it. Does not count
    /// the request as sent or assigned.
    pub fn choose_ranked(
        &mut self,
        request: &Request<'_>,
        cold: &ColdLimits<'_>,
        now: Instant,
    ) -> Choice {
        self.within_room(request, now, |fleet, limit| fleet.place_ranked(request, cold, limit, now))
    }

    /// Sets whether the room of a service that is short of it is given out by rank and workspace.
    pub fn set_orders_room(&mut self, orders_room: bool) {
        self.rooms.is_on = orders_room;
    }

    fn within_room(
        &mut self,
        request: &Request<'_>,
        now: Instant,
        place: impl Fn(&mut Fleet, SlotLimit) -> Choice,
    ) -> Choice {
        if !self.rooms.is_on {
            return place(self, SlotLimit::NONE);
        }
        let work_ms = self.run_times.expected_ms(request.estimate_key, true);
        let (class, limit) = self.rooms.room(request.service).admit(request, work_ms, now);
        let mut choice = place(self, limit);
        if let Choice::Refuse { reason, .. } = &mut choice
            && *reason == RefusalReason::Busy
            && limit.is_limited()
        {
            *reason = RefusalReason::Reserved;
        }
        let all_rest = matches!(choice, Choice::Refuse { .. })
            && self
                .return_after_ms(request.service, request.home_regions, request.jitter_seed, now)
                .is_some();
        let room = self.rooms.room(request.service);
        if request.tried.is_empty() {
            room.record(class, &choice, now);
        }
        let is_busy = matches!(choice, Choice::Refuse { reason: RefusalReason::Busy, .. });
        if is_busy && room.reserves(class, now) {
            choice = place(self, limit.with_any_free());
        }
        let room = self.rooms.room(request.service);
        if let Choice::Refuse { reason, retry_after_ms } = &mut choice
            && !all_rest
            && matches!(reason, RefusalReason::Busy | RefusalReason::Reserved)
            && room.orders_returns(now)
        {
            *retry_after_ms = room.return_after_ms(request, class);
        }
        choice
    }

    /// Returns how much of each service is open to each rank that sent requests lately.
    pub fn room_levels(&self, now: Instant) -> Vec<RoomLevel> {
        let rooms = self.rooms.by_service.iter();
        let levels = rooms.flat_map(|(service, room)| {
            room.ranks.keys().map(|rank| room.level(service, *rank, now))
        });
        levels.collect()
    }

    /// Returns how much of a service is open to a rank. `None` if no request came lately.
    pub fn room_level(&self, service: &ServiceName, rank: u32, now: Instant) -> Option<RoomLevel> {
        self.rooms.by_service.get(service).map(|room| room.level(service, rank, now))
    }
}

/// Returns a number from 0 to 1, another one for each draw with the same seed.
fn uniform(seed: u64, draw: u64) -> f64 {
    (mix(seed ^ (draw << 32)) >> 11) as f64 / (1_u64 << 53) as f64
}
