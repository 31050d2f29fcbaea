use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use pollenshed_coordination::{
    ledger::{Attempts, InheritedTickets, Ledger, LedgerLimits},
    limits::EntryAdmission,
    membership::{MemberRecord, Membership, Params},
    ownership::{Fence, OwnershipMap},
};
use pollenshed_protocol::peer::AnswerReply;
use pollenshed_state::{
    ids::{ConfigVersion, Incarnation, Ticket},
    settings::Settings,
};
use pollenshed_transport::{
    backend::BackendClient,
    metrics::{self, Metrics},
    peers::Peers,
    platform::Platform,
};
use tokio::{
    runtime::Handle,
    sync::{Notify, watch},
};

use crate::{
    config::ConfigState,
    entry::{ClaimBudget, Routing},
    leaving::LeavingServers,
    owner::Owner,
    util::Clock,
};

/// Tickets that one incarnation keeps at most.
const MAX_TICKETS: usize = 200_000;
/// Answers that the ledger keeps at most, in bytes.
const MAX_OUTCOME_BYTES: usize = 64 * 1024 * 1024;
/// Attempts that an owner keeps at most.
const MAX_ATTEMPTS: usize = 200_000;

/// State that the roles of one instance share.
///
/// No lock is held across an await. Where several are held, they are taken in this order:
/// `membership`, `ownership`, `leaving_backend_servers`, the state of `owner`.
pub struct Shared {
    /// Settings with the addresses that were really opened.
    pub settings: Settings,
    /// The monotonic clock of all decisions.
    pub clock: Clock,
    /// This run of the instance.
    pub incarnation: Incarnation,
    /// Configuration in force.
    pub config: ConfigState,
    /// Members as gossip tells.
    pub membership: Mutex<Membership>,
    /// Backend servers that this instance owns.
    pub ownership: Mutex<OwnershipMap>,
    /// Stops dispatching after a pause.
    pub fence: Mutex<Fence>,
    /// Routing state of the entry.
    pub routing: Mutex<Routing>,
    /// Tickets that name this incarnation.
    pub ledger: Mutex<Ledger<AnswerReply>>,
    /// Outcomes that other entries handed over at their planned stop.
    pub inherited_tickets: Mutex<InheritedTickets<AnswerReply>>,
    /// Wakes copies of a request that wait for its outcome.
    pub outcome_watchers: Mutex<HashMap<Ticket, watch::Sender<Option<AnswerReply>>>>,
    /// Attempts of non-idempotent requests that reached this owner.
    pub attempts: Mutex<Attempts<AnswerReply>>,
    /// Limits on requests and bytes of the entry, by rank.
    pub admission: Mutex<EntryAdmission>,
    /// Limits on claims of idempotency keys.
    pub claim_budget: Mutex<ClaimBudget>,
    /// Metrics of all roles.
    pub metrics: Metrics,
    /// Slots and queues of the owned backend servers.
    pub owner: Owner,
    /// Connections for control messages.
    pub control_peers: Peers,
    /// Connections for work.
    pub work_peers: Peers,
    /// Backend servers that the platform is about to take away.
    pub leaving_backend_servers: Mutex<LeavingServers>,
    /// Begins a planned stop.
    pub stop_requested: Notify,
    /// Client of backend servers.
    pub backend_client: BackendClient,
    /// Client of the platform.
    pub platform: Platform,
    /// Runtime for relayed work.
    pub work_runtime: Handle,
    /// Runtime for control messages.
    pub control_runtime: Handle,
    leaving: AtomicBool,
}

impl Shared {
    /// Builds the state of a fresh incarnation.
    pub fn new(settings: Settings, work_runtime: Handle, control_runtime: Handle) -> Shared {
        let clock = Clock::start();
        let now = clock.now();
        let incarnation = Incarnation(fastrand::u64(..));
        let timing = settings.timing;
        let own = MemberRecord {
            instance: settings.instance.clone(),
            failure_domain: settings.failure_domain.clone(),
            incarnation,
            generation: 1,
            counter: 0,
            leaving: false,
            peer_address: settings.announced_peer_address.unwrap_or(settings.peer_address),
            relay_address: settings.announced_relay_address.unwrap_or(settings.relay_address),
            caller_address: settings.caller_address,
            config_version: ConfigVersion(0),
            stamp_ms: now.as_ms(),
        };
        let limits = LedgerLimits {
            binding_lifetime_ms: timing.binding_lifetime_ms,
            max_tickets: MAX_TICKETS,
            max_outcome_bytes: MAX_OUTCOME_BYTES,
        };
        let timeout = Duration::from_millis(timing.platform_timeout_ms);
        Shared {
            clock,
            incarnation,
            config: ConfigState::default(),
            membership: Mutex::new(Membership::new(own, Params::new(&timing), now)),
            ownership: Mutex::new(OwnershipMap::new(settings.instance.clone(), &timing)),
            fence: Mutex::new(Fence::new(&timing, now)),
            routing: Mutex::new(Routing::new(&settings, now)),
            ledger: Mutex::new(Ledger::new(settings.instance.clone(), incarnation, limits)),
            inherited_tickets: Mutex::new(InheritedTickets::new(MAX_TICKETS)),
            outcome_watchers: Mutex::new(HashMap::new()),
            attempts: Mutex::new(Attempts::new(timing.binding_lifetime_ms, MAX_ATTEMPTS)),
            owner: Owner::default(),
            control_peers: Peers::open(settings.peer_address.ip()),
            work_peers: Peers::open(settings.relay_address.ip()),
            leaving_backend_servers: Mutex::default(),
            stop_requested: Notify::new(),
            metrics: metrics::open(settings.metrics_address).unwrap_or_else(|e| {
                log::warn!(error:% = e; "instance: metrics are not sent");
                Metrics::default()
            }),
            admission: Mutex::new(EntryAdmission::new(
                settings.caller_limits.max_connections,
                settings.caller_limits.max_buffered_bytes,
                &[],
            )),
            claim_budget: Mutex::new(ClaimBudget::default()),
            backend_client: BackendClient::open(),
            platform: Platform::open(settings.platform_address, timeout),
            work_runtime,
            control_runtime,
            leaving: AtomicBool::new(false),
            settings,
        }
    }

    /// Tells whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Begins a planned stop.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        crate::util::lock(&self.membership).set_leaving();
    }
}
