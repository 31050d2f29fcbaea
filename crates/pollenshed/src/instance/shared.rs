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

/// Maximum number of tickets in the ledger, and of tickets inherited from other entries.
const MAX_TICKETS: usize = 200_000;
/// Maximum size of the answers in the ledger, in bytes.
const MAX_OUTCOME_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of attempts that an owner keeps.
const MAX_ATTEMPTS: usize = 200_000;

/// State shared by the roles of one instance.
///
/// No lock is held across an await. Code that holds several locks takes them in this order:
/// `membership`, `ownership`, `leaving_backend_servers`, the state of `owner`.
pub struct Shared {
    /// Settings, in which the addresses for callers, peers and relays are those of the open
    /// listeners.
    pub settings: Settings,
    /// Monotonic clock that all roles read.
    pub clock: Clock,
    /// Random number that identifies this run of the instance.
    pub incarnation: Incarnation,
    /// Configuration in force.
    pub config: ConfigState,
    /// Instances that are known through gossip, and their liveness.
    pub membership: Mutex<Membership>,
    /// Owners of the backend servers, as computed from the live members.
    pub ownership: Mutex<OwnershipMap>,
    /// Stops dispatching after a pause of this process in which its servers may have got new
    /// owners.
    pub fence: Mutex<Fence>,
    /// Shares, headroom and retry budgets by which the entry routes requests.
    pub routing: Mutex<Routing>,
    /// Tickets that are bound to this incarnation, with their outcomes.
    pub ledger: Mutex<Ledger<AnswerReply>>,
    /// Outcomes that other entries handed over when they stopped as planned.
    pub inherited_tickets: Mutex<InheritedTickets<AnswerReply>>,
    /// Channels that send the outcome of a ticket to copies of its request that wait for it.
    pub outcome_watchers: Mutex<HashMap<Ticket, watch::Sender<Option<AnswerReply>>>>,
    /// Attempts of non-idempotent requests that reached this owner.
    pub attempts: Mutex<Attempts<AnswerReply>>,
    /// Limits on requests and bytes of the entry, by rank.
    pub admission: Mutex<EntryAdmission>,
    /// Rate limit on claims of idempotency keys.
    pub claim_budget: Mutex<ClaimBudget>,
    /// Metrics of all roles.
    pub metrics: Metrics,
    /// Slots and queues of the owned backend servers.
    pub owner: Owner,
    /// Connections to other instances for control messages.
    pub control_peers: Peers,
    /// Connections to other instances for relayed and dispatched requests.
    pub work_peers: Peers,
    /// Backend servers that the platform is about to remove.
    pub leaving_backend_servers: Mutex<LeavingServers>,
    /// Notified when an operator requests a planned stop.
    pub stop_requested: Notify,
    /// HTTP client for backend servers.
    pub backend_client: BackendClient,
    /// Client of the platform's store and instance list.
    pub platform: Platform,
    /// Runtime for relayed and dispatched requests.
    pub work_runtime: Handle,
    /// Runtime for control messages.
    pub control_runtime: Handle,
    leaving: AtomicBool,
}

impl Shared {
    /// Creates the state of a new incarnation.
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
                log::warn!(error:% = e; "instance: cannot send metrics");
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

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Records that a planned stop has begun and marks this instance as leaving for its peers.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        crate::util::lock(&self.membership).set_leaving();
    }
}
