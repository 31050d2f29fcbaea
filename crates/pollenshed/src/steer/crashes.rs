//! Detects requests that crash the backend servers which execute them.
//!
//! A response that breaks off proves little, because responses are lost for many reasons. If the
//! server cannot be reached right after it, the server has crashed, and the requests that it
//! executed are suspects. Content that crashed two servers is refused by all instances, because its
//! caller may send it again to any of them. If the server accepts a connection, and the response
//! broke off sooner than the request could have run, the server had only dropped the idle
//! connection, which shows how long its connections may be idle.

use std::{rc::Rc, time::Duration};

use pollenshed_coordination::limits::QuarantineEntry;
use pollenshed_state::{
    ids::{BackendServerName, Digest},
    time::Instant,
};
use pollenshed_transport::forward::MaxIdle;
use prost::Message;

use super::{core::Core, gossip};

/// Responses of a server that break off within this time count as one crash.
const CRASH_WINDOW_MS: u64 = 1_500;

/// Delay before the server is probed, so that a crashing process has time to exit.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Time within which a live server accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Content and the backend servers that it crashed, as sent to peers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct CrashedContent {
    #[prost(bytes = "vec", tag = "1")]
    content: Vec<u8>,
    #[prost(string, repeated, tag = "2")]
    servers: Vec<String>,
    #[prost(uint64, tag = "3")]
    ttl_left_ms: u64,
}

impl CrashedContent {
    /// Encodes a quarantine entry for peers.
    pub fn new(entry: &QuarantineEntry) -> CrashedContent {
        CrashedContent {
            content: entry.content.as_bytes().to_vec(),
            servers: entry.crashed_servers.iter().map(ToString::to_string).collect(),
            ttl_left_ms: entry.ttl_left_ms,
        }
    }

    /// Decodes the quarantine entry. Returns `None` if the digest has the wrong length.
    pub fn entry(&self) -> Option<QuarantineEntry> {
        Some(QuarantineEntry {
            content: Digest::from_bytes(self.content.as_slice().try_into().ok()?),
            crashed_servers: self.servers.iter().filter_map(|name| name.parse().ok()).collect(),
            ttl_left_ms: self.ttl_left_ms,
        })
    }
}

/// A response that broke off.
#[derive(Debug, Clone)]
pub struct BrokenResponse {
    /// Server that broke it off.
    pub server: BackendServerName,
    /// Content of the request.
    pub content: Digest,
    /// When the response broke off.
    pub at: Instant,
    /// How long the connection had been idle before the request. `None` for a new connection, or if
    /// the response broke off after its head.
    pub idle_ms: Option<u64>,
    /// Whether it broke off sooner than the server could have executed the request.
    pub is_too_soon: bool,
}

/// Records a response that broke off. Probes its server, unless another response of the server
/// broke off within [`CRASH_WINDOW_MS`] and started a probe.
pub fn record_broken_response(core: &Rc<Core>, response: BrokenResponse) {
    let server = response.server.clone();
    let mut broken_responses = core.broken_responses.borrow_mut();
    broken_responses.retain(|known| response.at.since_ms(known.at) < CRASH_WINDOW_MS);
    let is_probed = broken_responses.iter().any(|known| known.server == server);
    broken_responses.push(response);
    if !is_probed {
        tokio::task::spawn_local(probe_server(core.clone(), server));
    }
}

async fn probe_server(core: Rc<Core>, server: BackendServerName) {
    tokio::time::sleep(PROBE_DELAY).await;
    let address = core.fleet.borrow().server(&server).map(|s| s.record.address);
    let Some(address) = address else { return };
    match core.pool.lease(address, MaxIdle::NONE, PROBE_TIMEOUT, None).await {
        Ok((lease, _)) => {
            lease.release(None);
            learn_idle_limit(&core, &server);
        }
        Err(error) => record_crash(&core, &server, &error),
    }
}

/// Lowers the limit of the idle time if a live server had dropped idle connections.
fn learn_idle_limit(core: &Core, server: &BackendServerName) {
    let now = core.now();
    let mut limit = core.idle_limit.borrow_mut();
    let broken_responses = core.broken_responses.borrow();
    for response in broken_responses.iter().filter(|b| b.server == *server && b.is_too_soon) {
        let before_ms = limit.max_idle_ms(now);
        limit.record_loss(response.idle_ms, now);
        let limit_ms = limit.max_idle_ms(now);
        if limit_ms != before_ms {
            log::info!(
                "connections: idle limit changed; server={server} idle_ms={:?} \
                 limit_ms={limit_ms:?}",
                response.idle_ms
            );
        }
    }
}

fn record_crash(core: &Rc<Core>, server: &BackendServerName, error: &std::io::Error) {
    let now = core.now();
    let contents: Vec<Digest> = {
        let mut broken_responses = core.broken_responses.borrow_mut();
        let (here, others): (Vec<_>, Vec<_>) =
            broken_responses.drain(..).partition(|known| known.server == *server);
        *broken_responses = others;
        here.into_iter().map(|known| known.content).collect()
    };
    let mut quarantine = core.quarantine.borrow_mut();
    let was_alone = contents.len() == 1 && quarantine.is_suspect(&contents[0], now);
    quarantine.record_crash(&contents, server, was_alone, now);
    let is_refused = contents.iter().any(|content| quarantine.is_refused(content, now));
    drop(quarantine);
    if is_refused {
        // The next copy may arrive at any instance, before heartbeats have spread the news.
        let core = core.clone();
        tokio::task::spawn_local(async move { gossip::send_to_all(&core).await });
    }
    log::warn!("backend: crashed; server={server} requests={} error={error}", contents.len());
    core.fleet.borrow_mut().record_unreachable(server, now);
}
