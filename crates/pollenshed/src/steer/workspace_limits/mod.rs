//! Keeps the limits of workspaces over all instances (docs/design/workspace-limits.md): asks the
//! limits about each request, and exchanges messages with the instances that give out permits.

pub mod wire;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use http::StatusCode;
use pollenshed_coordination::steering::workspace_limit::{
    InstanceKey, Keepers, LimitMessage, SLOTS, Take, Token, WorkspaceKey, WorkspaceLimits,
    slot_rank,
};
use pollenshed_state::{
    ids::{Incarnation, InstanceName},
    routes::{RoutePlan, Workspace},
    time::Instant,
};
use pollenshed_transport::listen::StopPhase;
use prost::Message;
use tokio::{sync::Notify, time::timeout};

use self::wire::LimitDatagram;
use super::{callers::Outcome, core::Core, gossip::PeerDatagram, identity::Identity};

/// Interval at which pledges are looked after.
const TICK: Duration = Duration::from_millis(200);

/// Longest time for which a request waits for permits. Two keepers can be asked meanwhile.
const MAX_WAIT: Duration = Duration::from_millis(350);

/// Interval at which a waiting request decides again without an answer, for keepers that are
/// silent.
const RECHECK: Duration = Duration::from_millis(60);

/// Shortest time between two log lines about one workspace.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Refusals of a workspace since the last log line.
#[derive(Debug, Default)]
struct OverLimit {
    logged_at: Option<Instant>,
    refused: u64,
}

/// The limits and the instances that give out permits.
pub struct LimitState {
    limits: RefCell<WorkspaceLimits>,
    /// Plan from which the limits were taken.
    plan: RefCell<Weak<RoutePlan>>,
    keepers: RefCell<[Option<Keeper>; SLOTS]>,
    /// Whether this instance owned a share of the limits at the last tick.
    has_share: Cell<bool>,
    /// Wakes the requests that wait for permits.
    answered: Notify,
    over_limit: RefCell<HashMap<WorkspaceKey, OverLimit>>,
}

/// The keeper of a slot. This instance has no address.
#[derive(Debug, Clone)]
struct Keeper {
    name: InstanceName,
    address: Option<SocketAddr>,
}

impl LimitState {
    /// Creates the state of an instance that knows no limit.
    pub fn new(instance: &InstanceName, incarnation: Incarnation, now: Instant) -> LimitState {
        LimitState {
            limits: RefCell::new(WorkspaceLimits::new(instance, incarnation.0 as u32, now)),
            plan: RefCell::default(),
            keepers: RefCell::default(),
            has_share: Cell::default(),
            answered: Notify::new(),
            over_limit: RefCell::default(),
        }
    }

    fn keepers(&self) -> Keepers {
        let keepers = self.keepers.borrow();
        std::array::from_fn(|slot| keepers[slot].as_ref().map(|k| InstanceKey::of(&k.name)))
    }
}

/// A request within the limit of its workspace.
pub struct Admission(Option<(WorkspaceKey, Token)>);

impl Admission {
    /// Gives the permit back if the request did not run and never will.
    pub fn settle(self, core: &Core, outcome: &Outcome) {
        let Some((workspace, token)) = self.0 else { return };
        if outcome.promises_not_run() {
            core.limits.limits.borrow_mut().give_back(workspace, token, core.now());
        }
    }
}

/// Decides whether a request is within the limit of its workspace. Waits for permits of other
/// instances if the own share does not suffice.
pub async fn admit(core: &Rc<Core>, identity: &Identity) -> Result<Admission, Outcome> {
    let Some(workspace) = identity.workspace.as_deref().filter(|w| w.limit.is_some()) else {
        return Ok(Admission(None));
    };
    configure(core);
    let key = WorkspaceKey::of(&workspace.name);
    core.limits.limits.borrow_mut().record_demand(key);
    let decided = timeout(MAX_WAIT, decide(core, key)).await;
    match decided {
        Ok(Ok(token)) => {
            core.metrics.record_limit_decision(source(token));
            Ok(Admission(Some((key, token))))
        }
        Ok(Err(retry_after_ms)) => Err(refused(core, workspace, key, retry_after_ms)),
        Err(_) => Err(refused(core, workspace, key, MAX_WAIT.as_millis() as u64)),
    }
}

fn source(token: Token) -> &'static str {
    match token {
        Token::Unlimited => "unlimited",
        Token::Own => "own",
        Token::Permit => "permit",
    }
}

async fn decide(core: &Rc<Core>, key: WorkspaceKey) -> Result<Token, u64> {
    loop {
        let keepers = core.limits.keepers();
        let answered = core.limits.answered.notified();
        let seed = fastrand::u64(..);
        let take = core.limits.limits.borrow_mut().take(key, &keepers, seed, core.now());
        match take {
            Take::Admitted(token) => return Ok(token),
            Take::Refused { retry_after_ms } => return Err(retry_after_ms),
            Take::Ask { slot, message } => {
                // The answer of this instance itself is there at once.
                if send_to_keeper(core, slot, message) {
                    continue;
                }
            }
            Take::Wait => {}
        }
        let _ = timeout(RECHECK, answered).await;
    }
}

fn refused(core: &Core, workspace: &Workspace, key: WorkspaceKey, retry_after_ms: u64) -> Outcome {
    core.metrics.record_limit_decision("refused");
    let now = core.now();
    let mut over_limit = core.limits.over_limit.borrow_mut();
    let over = over_limit.entry(key).or_default();
    over.refused += 1;
    if over.logged_at.is_none_or(|at| now.since_ms(at) >= LOG_INTERVAL_MS) {
        let keepers = core.limits.keepers.borrow();
        let names = key.slots().map(|slot| keepers[slot].as_ref().map_or("-", |k| k.name.as_str()));
        log::info!(
            "limit: over; workspace={} refused={} asked_per_s={:.1} share={:.4} keeper={} second_keeper={}",
            workspace.name,
            over.refused,
            core.limits.limits.borrow().demand_per_s(key).unwrap_or(0.0),
            core.limits.limits.borrow().own_share(key).unwrap_or(0.0),
            names[0],
            names[1],
        );
        *over = OverLimit { logged_at: Some(now), refused: 0 };
    }
    let retry_after_ms = retry_after_ms.max(1);
    Outcome::not_run(StatusCode::TOO_MANY_REQUESTS, "over-limit", retry_after_ms, 0)
}

/// Sends a message to the keeper of a slot. Returns whether that is this instance, which then has
/// answered already.
fn send_to_keeper(core: &Core, slot: usize, message: LimitMessage) -> bool {
    let keeper = core.limits.keepers.borrow()[slot].clone();
    match keeper {
        Some(Keeper { address: Some(address), .. }) => {
            send(core, &message, address);
            false
        }
        Some(Keeper { address: None, .. }) => {
            let mut next = Some(message);
            while let Some(message) = next {
                next = core.limits.limits.borrow_mut().handle(&message, core.now());
            }
            true
        }
        None => false,
    }
}

fn send(core: &Core, message: &LimitMessage, to: SocketAddr) {
    let limit = Some(LimitDatagram::new(message));
    let bytes = PeerDatagram { limit, ..PeerDatagram::default() }.encode_to_vec();
    core.metrics.record_limit_message(bytes.len());
    // A lost message is made up for by a later one, or by the lapse of what it was about.
    let _ = core.peer_socket.try_send_to(&bytes, to);
}

/// Applies a message of a peer.
pub fn handle(core: &Core, datagram: LimitDatagram, from: SocketAddr) {
    let Some(message) = datagram.message() else { return };
    configure(core);
    let answer = core.limits.limits.borrow_mut().handle(&message, core.now());
    if let Some(answer) = answer {
        send(core, &answer, from);
    }
    if matches!(message, LimitMessage::Grant(_)) {
        core.limits.answered.notify_waiters();
    }
}

/// Takes the limits of the configuration in force.
fn configure(core: &Core) {
    let Some(plan) = core.plan() else { return };
    if core.limits.plan.borrow().as_ptr() == Rc::as_ptr(&plan) {
        return;
    }
    *core.limits.plan.borrow_mut() = Rc::downgrade(&plan);
    let workspaces = plan.workspaces.iter().map(AsRef::as_ref);
    core.limits.limits.borrow_mut().configure(workspaces, &core.bounds, core.now());
}

/// Pledges what this instance does not need until the process stops. Then it gives up what others
/// have pledged.
pub async fn run(core: Rc<Core>) {
    let mut stop = core.watch_stop();
    loop {
        configure(&core);
        tick(&core);
        let stopping = stop.wait_for(|phase| *phase > StopPhase::Serving);
        if timeout(TICK, stopping).await.is_ok() {
            break;
        }
    }
    close(&core);
    loop {
        tick(&core);
        tokio::time::sleep(TICK).await;
    }
}

fn tick(core: &Core) {
    let now = core.now();
    if core.limits.limits.borrow().is_empty() {
        return;
    }
    let keepers = std::array::from_fn(|slot| keeper(core, slot, now));
    log_changes(&core.limits.keepers.borrow(), &keepers);
    *core.limits.keepers.borrow_mut() = keepers;
    let (known, live) = {
        let members = core.members.borrow();
        (members.known_count(), members.live_count(now))
    };
    let has_read_instances = core.tables.borrow().instances.version.is_some();
    // An instance that is in touch with the store or with most others is not taken for gone.
    let is_confirmed = live * 2 > known || core.is_current();
    let keepers = core.limits.keepers();
    let messages = core.limits.limits.borrow_mut().tick(
        has_read_instances.then_some(known),
        is_confirmed,
        &keepers,
        now,
    );
    for (slot, message) in messages {
        send_to_keeper(core, slot, message);
    }
    let has_share = core.limits.limits.borrow().has_share(now);
    if core.limits.has_share.replace(has_share) != has_share {
        log::info!("limit: share; owned={has_share} instances={known}");
    }
}

fn log_changes(before: &[Option<Keeper>; SLOTS], after: &[Option<Keeper>; SLOTS]) {
    for (slot, (before, after)) in before.iter().zip(after).enumerate() {
        let name = |k: &Option<Keeper>| k.as_ref().map_or("-".to_owned(), |k| k.name.to_string());
        let (before, after) = (name(before), name(after));
        if before != after {
            log::info!("limit: keeper; slot={slot} keeper={after} before={before}");
        }
    }
}

/// Returns the keeper of a slot: the first usable instance by rendezvous hash.
fn keeper(core: &Core, slot: usize, now: Instant) -> Option<Keeper> {
    let members = core.members.borrow();
    let peers = members.usable(now).map(|m| (&m.record.instance, Some(m.record.peer_address)));
    let own = core.is_ready().then_some((&core.settings.instance, None));
    let (name, address) =
        peers.chain(own).max_by_key(|(name, _)| (slot_rank(slot, name), *name))?;
    Some(Keeper { name: name.clone(), address })
}

fn close(core: &Core) {
    let messages = core.limits.limits.borrow_mut().close(core.now());
    if messages.is_empty() {
        return;
    }
    log::info!("limit: released; slots={}", messages.len());
    let peers: Vec<_> = core.members.borrow().peers().map(|m| m.record.peer_address).collect();
    for message in &messages {
        peers.iter().for_each(|peer| send(core, message, *peer));
    }
}
