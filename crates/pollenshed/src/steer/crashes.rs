//! Requests that crash the backend servers that run them.
//!
//! An answer that breaks off tells little, as answers are lost for many reasons. If the server
//! can't be reached right after it, the server has crashed, and what it ran is suspect. Content that
//! crashed two servers is refused everywhere, as its caller sends it again to any instance. If the
//! server can be reached and reset the request at once, it had forgotten the connection.

use std::{rc::Rc, time::Duration};

use pollenshed_coordination::limits::QuarantineEntry;
use pollenshed_state::{
    ids::{BackendServerName, Digest},
    time::Instant,
};
use pollenshed_transport::forward::MaxIdle;
use prost::Message;

use super::core::Core;

/// Time in which broken answers of a server count as one crash.
const CRASH_WINDOW_MS: u64 = 1_500;

/// Pause before the server is tried, so that the process had time to end.
const CHECK_PAUSE: Duration = Duration::from_millis(30);

/// Time in which a server that lives takes a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Content and the backend servers that it crashed, as peers receive it.
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
    /// Returns an entry in the form that peers receive.
    pub fn new(entry: &QuarantineEntry) -> CrashedContent {
        CrashedContent {
            content: entry.content.as_bytes().to_vec(),
            servers: entry.crashed_servers.iter().map(ToString::to_string).collect(),
            ttl_left_ms: entry.ttl_left_ms,
        }
    }

    /// Returns the entry, or `None` if it names no content.
    pub fn entry(&self) -> Option<QuarantineEntry> {
        Some(QuarantineEntry {
            content: Digest::from_bytes(self.content.as_slice().try_into().ok()?),
            crashed_servers: self.servers.iter().filter_map(|name| name.parse().ok()).collect(),
            ttl_left_ms: self.ttl_left_ms,
        })
    }
}

/// An answer that broke off.
#[derive(Debug, Clone)]
pub struct Broken {
    /// The server.
    pub server: BackendServerName,
    /// What it ran.
    pub content: Digest,
    /// When that was.
    pub at: Instant,
    /// How long the connection had been idle, if it was not new.
    pub idle_ms: Option<u64>,
    /// It broke off sooner than the request could have run.
    pub is_too_soon: bool,
}

/// Records an answer that broke off, and finds out whether its server has crashed.
pub fn broke_off(core: &Rc<Core>, answer: Broken) {
    let server = answer.server.clone();
    let mut broken = core.broken.borrow_mut();
    broken.retain(|known| answer.at.since_ms(known.at) < CRASH_WINDOW_MS);
    let is_checked = broken.iter().any(|known| known.server == server);
    broken.push(answer);
    if !is_checked {
        tokio::task::spawn_local(check(core.clone(), server));
    }
}

async fn check(core: Rc<Core>, server: BackendServerName) {
    tokio::time::sleep(CHECK_PAUSE).await;
    let address = core.fleet.borrow().server(&server).map(|s| s.record.address);
    let Some(address) = address else { return };
    match core.pool.lease(address, MaxIdle::NONE, CHECK_TIMEOUT).await {
        Ok((lease, _)) => {
            lease.give_back(None);
            learn_idle_limit(&core, &server);
        }
        Err(error) => crashed(&core, &server, &error),
    }
}

/// Learns from connections that a live server had forgotten.
fn learn_idle_limit(core: &Core, server: &BackendServerName) {
    let now = core.now();
    let mut limit = core.idle_limit.borrow_mut();
    let broken = core.broken.borrow();
    for answer in broken.iter().filter(|b| b.server == *server && b.is_too_soon) {
        let before_ms = limit.max_idle_ms(now);
        limit.record_loss(answer.idle_ms, now);
        let limit_ms = limit.max_idle_ms(now);
        if limit_ms != before_ms {
            log::info!(
                "connections: idle limit; server={server} idle_ms={:?} limit_ms={limit_ms:?}",
                answer.idle_ms
            );
        }
    }
}

fn crashed(core: &Core, server: &BackendServerName, error: &std::io::Error) {
    let now = core.now();
    let contents: Vec<Digest> = {
        let mut broken = core.broken.borrow_mut();
        let (here, others): (Vec<_>, Vec<_>) =
            broken.drain(..).partition(|known| known.server == *server);
        *broken = others;
        here.into_iter().map(|known| known.content).collect()
    };
    let mut quarantine = core.quarantine.borrow_mut();
    let was_alone = contents.len() == 1 && quarantine.is_suspect(&contents[0], now);
    quarantine.record_crash(&contents, server, was_alone, now);
    log::warn!("backend: crashed; server={server} requests={} error={error}", contents.len());
    core.fleet.borrow_mut().record_unreachable(server, now);
}
