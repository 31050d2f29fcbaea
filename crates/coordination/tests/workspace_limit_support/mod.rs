//! Plays instances that exchange messages about limits of workspaces over a network that loses,
//! delays and doubles them.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::BTreeMap;

use pollenshed_coordination::steering::workspace_limit::{
    InstanceKey, Keepers, LimitMessage, SLOTS, Take, WorkspaceKey, WorkspaceLimits, slot_rank,
};
use pollenshed_state::{
    ids::InstanceName,
    routes::{Bounds, Workspace, WorkspaceLimit},
    time::Instant,
    units::RequestRate,
};

/// Limit of a workspace, as the users state it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    pub rate_per_s: f64,
    pub burst: u64,
}

pub const LARGE: Limit = Limit { rate_per_s: 344.0, burst: 344 };
pub const MIDDLE: Limit = Limit { rate_per_s: 12.0, burst: 12 };
pub const SMALL: Limit = Limit { rate_per_s: 2.0, burst: 2 };

/// Requests of a workspace a second, at the instances of the first of three regions.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub per_s: f64,
    pub regions: usize,
}

/// What happens to a fleet.
#[derive(Debug, Clone)]
pub enum Disturbance {
    /// An instance is killed and starts again at once.
    Kill(usize),
    /// The keeper of the first workspace is killed and starts again at once.
    KillKeeper,
    /// An instance stands still for some milliseconds.
    Freeze(usize, u64),
    /// The first instances are cut off from the others for some milliseconds.
    Cut(usize, u64),
    /// An instance is stopped in order and starts again at once.
    Stop(usize),
    /// A further instance starts.
    Add,
    /// This part of the messages is lost from now on.
    Loss(f64),
    /// A message in ten takes this many milliseconds from now on.
    Delay(u64),
    /// This part of the messages arrives twice from now on.
    Doubling(f64),
    /// Callers come to this many regions.
    Move(usize),
}

const WINDOW_MS: u64 = 5_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const TICK_MS: u64 = 200;
const REGIONS: usize = 3;

/// Time after which an instance counts as gone or back for others.
const NOTICE_MS: u64 = 1_200;

/// Longest time for which a request waits for permits.
const MAX_WAIT_MS: u64 = 350;

/// Interval at which a waiting request decides again.
const RECHECK_MS: u64 = 10;

struct Player {
    name: InstanceName,
    limits: WorkspaceLimits,
    started_ms: u64,
    frozen_until_ms: u64,
    is_stopped: bool,
    run: u32,
    keepers: Keepers,
    /// Rank as the keeper of each slot.
    ranks: [u64; SLOTS],
    /// Requests that wait for permits: workspace and arrival.
    waiting: Vec<(usize, u64)>,
}

/// A fleet with the requests of workspaces.
pub struct Play {
    rng: fastrand::Rng,
    now_ms: u64,
    players: Vec<Player>,
    spaces: Vec<Workspace>,
    limits: Vec<Limit>,
    demands: Vec<Option<Demand>>,
    /// Messages under way: arrival, sequence, sender, receiver.
    network: BTreeMap<(u64, u64), (usize, usize, LimitMessage)>,
    sequence: u64,
    used_ms: Vec<Vec<u64>>,
    refused: Vec<usize>,
    asked: Vec<usize>,
    loss: f64,
    doubling: f64,
    delay_ms: u64,
    cut: Option<(usize, u64)>,
    /// All messages sent, if they are kept.
    pub messages: Option<Vec<LimitMessage>>,
    known_count: usize,
}

fn workspace(number: usize, limit: Limit) -> Workspace {
    Workspace {
        name: format!("space-{number}").parse().unwrap(),
        rank: None,
        limit: Some(WorkspaceLimit {
            rate: RequestRate((limit.rate_per_s * 1_000.0) as u64),
            burst_requests: limit.burst,
        }),
        home_regions: Vec::new(),
    }
}

pub fn bounds() -> Bounds {
    Bounds {
        quota_window_ms: WINDOW_MS,
        quota_overage: OVERAGE,
        quota_slack: SLACK,
        ..Bounds::default()
    }
}

impl Play {
    pub fn new(instances: usize, limits: &[Limit], seed: u64) -> Play {
        let spaces = limits.iter().enumerate().map(|(number, limit)| workspace(number, *limit));
        let mut play = Play {
            rng: fastrand::Rng::with_seed(seed),
            now_ms: 0,
            players: Vec::new(),
            spaces: spaces.collect(),
            limits: limits.to_vec(),
            demands: vec![None; limits.len()],
            network: BTreeMap::new(),
            sequence: 0,
            used_ms: vec![Vec::new(); limits.len()],
            refused: vec![0; limits.len()],
            asked: vec![0; limits.len()],
            loss: 0.0,
            doubling: 0.0,
            delay_ms: 0,
            cut: None,
            messages: None,
            known_count: 0,
        };
        for _ in 0..instances {
            play.add();
        }
        play
    }

    fn add(&mut self) {
        let name: InstanceName = format!("front-{}", self.players.len()).parse().unwrap();
        let limits = WorkspaceLimits::new(&name, 0, Instant::from_ms(0));
        let ranks = std::array::from_fn(|slot| slot_rank(slot, &name));
        self.players.push(Player {
            ranks,
            name,
            limits,
            started_ms: 0,
            frozen_until_ms: 0,
            is_stopped: false,
            run: 0,
            keepers: [None; SLOTS],
            waiting: Vec::new(),
        });
        self.known_count = self.players.len();
        self.start(self.players.len() - 1);
    }

    /// Starts an instance whose clock begins at 0, as that of a process does.
    fn start(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let player = &mut self.players[index];
        player.run += 1;
        player.started_ms = now_ms;
        player.is_stopped = false;
        let run = player.run * 1_000 + index as u32;
        player.limits = WorkspaceLimits::new(&player.name, run, Instant::from_ms(0));
        player.limits.configure(&self.spaces, &bounds(), Instant::from_ms(0));
        player.waiting.clear();
    }

    pub fn demand(&mut self, workspace: usize, demand: Demand) {
        self.demands[workspace] = Some(demand);
    }

    pub fn set_limit(&mut self, number: usize, limit: Limit) {
        self.limits[number] = limit;
        self.spaces[number] = workspace(number, limit);
        for player in &mut self.players {
            let now = Instant::from_ms(self.now_ms - player.started_ms);
            player.limits.configure(&self.spaces, &bounds(), now);
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.start(index);
    }

    /// Returns the first keeper of a workspace.
    pub fn keeper(&self, number: usize) -> usize {
        let slot = WorkspaceKey::of(&self.spaces[number].name).slots()[0];
        let rank = |i: &usize| self.players[*i].ranks[slot];
        (0..self.players.len()).max_by_key(rank).unwrap()
    }

    pub fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Kill(index) => self.kill(index),
            Disturbance::KillKeeper => self.kill(self.keeper(0)),
            Disturbance::Freeze(index, ms) => {
                self.players[index].frozen_until_ms = self.now_ms + ms;
            }
            Disturbance::Cut(count, ms) => self.cut = Some((count, self.now_ms + ms)),
            Disturbance::Stop(index) => {
                let player = &mut self.players[index];
                let now = Instant::from_ms(self.now_ms - player.started_ms);
                player.is_stopped = true;
                for message in player.limits.close(now) {
                    for to in 0..self.players.len() {
                        self.send(index, to, message.clone());
                    }
                }
                self.start(index);
            }
            Disturbance::Add => self.add(),
            Disturbance::Loss(loss) => self.loss = loss,
            Disturbance::Delay(ms) => self.delay_ms = ms,
            Disturbance::Doubling(doubling) => self.doubling = doubling,
            Disturbance::Move(regions) => {
                for demand in self.demands.iter_mut().flatten() {
                    demand.regions = regions;
                }
            }
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.now_ms + ms);
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.deliver();
            for index in 0..self.players.len() {
                self.step(index);
            }
            self.arrive();
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (count, until_ms) = self.cut.unwrap_or((0, 0));
        self.now_ms < until_ms && (a < count) != (b < count)
    }

    fn send(&mut self, from: usize, to: usize, message: LimitMessage) {
        if let Some(messages) = &mut self.messages {
            messages.push(message.clone());
        }
        let copies = 1 + usize::from(self.rng.f64() < self.doubling);
        for _ in 0..copies {
            if self.rng.f64() < self.loss || self.is_cut(from, to) {
                continue;
            }
            let way_ms = if from % REGIONS == to % REGIONS { 1 } else { 12 };
            let late_ms = if self.rng.u8(..10) == 0 { self.rng.u64(0..=self.delay_ms) } else { 0 };
            self.sequence += 1;
            let key = (self.now_ms + way_ms + late_ms, self.sequence);
            self.network.insert(key, (from, to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let due = self.network.split_off(&(self.now_ms + 1, 0));
        for ((_, sequence), (from, to, message)) in std::mem::replace(&mut self.network, due) {
            let frozen_until_ms = self.players[to].frozen_until_ms;
            if self.now_ms < frozen_until_ms {
                // It waits in the socket.
                self.network.insert((frozen_until_ms, sequence), (from, to, message));
                continue;
            }
            let player = &mut self.players[to];
            let now = Instant::from_ms(self.now_ms - player.started_ms);
            if let Some(answer) = player.limits.handle(&message, now) {
                self.send(to, from, answer);
            }
        }
    }

    /// Returns the keepers as an instance sees them.
    fn keepers_seen_by(&self, index: usize) -> Keepers {
        let is_seen = |other: &usize| {
            let player = &self.players[*other];
            // A start is told to the others at once.
            let is_frozen = self.now_ms < player.frozen_until_ms
                && player.frozen_until_ms - self.now_ms > NOTICE_MS;
            *other == index || !is_frozen && !self.is_cut(index, *other)
        };
        std::array::from_fn(|slot| {
            let seen = (0..self.players.len()).filter(is_seen);
            let best = seen.max_by_key(|i| self.players[*i].ranks[slot])?;
            Some(InstanceKey::of(&self.players[best].name))
        })
    }

    fn step(&mut self, index: usize) {
        let player = &self.players[index];
        if self.now_ms < player.frozen_until_ms {
            return;
        }
        if (self.now_ms + index as u64).is_multiple_of(TICK_MS) {
            let keepers = self.keepers_seen_by(index);
            let known = self.known_count;
            let player = &mut self.players[index];
            player.keepers = keepers;
            let now = Instant::from_ms(self.now_ms - player.started_ms);
            for (slot, message) in player.limits.tick(Some(known), true, &keepers, now) {
                self.send_to_keeper(index, slot, message);
            }
        }
        if self.now_ms.is_multiple_of(RECHECK_MS) {
            for (workspace, since_ms) in std::mem::take(&mut self.players[index].waiting) {
                self.decide(index, workspace, since_ms);
            }
        }
    }

    fn send_to_keeper(&mut self, index: usize, slot: usize, message: LimitMessage) {
        let Some(keeper) = self.players[index].keepers[slot] else { return };
        let to = self.players.iter().position(|p| InstanceKey::of(&p.name) == keeper).unwrap();
        if to != index {
            return self.send(index, to, message);
        }
        let now = Instant::from_ms(self.now_ms - self.players[index].started_ms);
        let mut next = Some(message);
        while let Some(message) = next {
            next = self.players[index].limits.handle(&message, now);
        }
    }

    fn arrive(&mut self) {
        for workspace in 0..self.spaces.len() {
            let Some(demand) = self.demands[workspace] else { continue };
            let mut expected = demand.per_s / 1_000.0;
            while expected > 0.0 {
                if self.rng.f64() < expected {
                    let index = self.rng.usize(..self.players.len());
                    let index = index - index % REGIONS + index % REGIONS % demand.regions;
                    self.asked[workspace] += 1;
                    self.decide_new(index, workspace);
                }
                expected -= 1.0;
            }
        }
    }

    fn decide_new(&mut self, index: usize, workspace: usize) {
        let key = WorkspaceKey::of(&self.spaces[workspace].name);
        if self.now_ms < self.players[index].frozen_until_ms {
            // The caller goes elsewhere.
            return;
        }
        self.players[index].limits.record_demand(key);
        self.decide(index, workspace, self.now_ms);
    }

    fn decide(&mut self, index: usize, workspace: usize, since_ms: u64) {
        let key = WorkspaceKey::of(&self.spaces[workspace].name);
        loop {
            let seed = self.rng.u64(..);
            let player = &mut self.players[index];
            let now = Instant::from_ms(self.now_ms - player.started_ms);
            match player.limits.take(key, &player.keepers.clone(), seed, now) {
                Take::Admitted(_) => self.used_ms[workspace].push(self.now_ms),
                Take::Refused { .. } => self.refused[workspace] += 1,
                Take::Wait if self.now_ms - since_ms >= MAX_WAIT_MS => self.refused[workspace] += 1,
                Take::Wait => player.waiting.push((workspace, since_ms)),
                Take::Ask { slot, message } => {
                    self.send_to_keeper(index, slot, message);
                    continue;
                }
            }
            return;
        }
    }

    pub fn used_between(&self, workspace: usize, from_ms: u64, to_ms: u64) -> usize {
        self.used_ms[workspace].iter().filter(|at| (from_ms..to_ms).contains(*at)).count()
    }

    pub fn asked_and_refused(&self, workspace: usize) -> (usize, usize) {
        (self.asked[workspace], self.refused[workspace])
    }

    /// Returns by how much the requests of some window exceed what the users allow, over all
    /// workspaces. It is negative if none does.
    pub fn worst_excess(&self) -> f64 {
        let limits = self.limits.iter().enumerate();
        let excess = limits.map(|(number, limit)| self.worst_excess_from(number, *limit, 0));
        excess.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the same for one workspace and windows that begin at `from_ms` or later.
    pub fn worst_excess_from(&self, workspace: usize, limit: Limit, from_ms: u64) -> f64 {
        let window_s = WINDOW_MS as f64 / 1_000.0;
        let allowed = (limit.rate_per_s * window_s + limit.burst as f64) * (1.0 + OVERAGE) + SLACK;
        let used: Vec<u64> =
            self.used_ms[workspace].iter().copied().filter(|at| *at >= from_ms).collect();
        let mut first = 0;
        let mut most = 0;
        for last in 0..used.len() {
            while used[last] - used[first] >= WINDOW_MS {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as f64 - allowed
    }
}
