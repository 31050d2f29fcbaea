//! Requests that crash the backend servers that run them.
//!
//! An answer that breaks off tells little, as answers are lost for many reasons. If the server
//! can't be reached right after it, the server has crashed, and what it ran is suspect. Content that
//! crashed two servers is refused everywhere, as its caller sends it again to any instance.

use std::{rc::Rc, time::Duration};

use pollenshed_state::ids::{BackendServerName, Digest};

use super::core::Core;

/// Time in which broken answers of a server count as one crash.
const CRASH_WINDOW_MS: u64 = 1_500;

/// Pause before the server is tried, so that the process had time to end.
const CHECK_PAUSE: Duration = Duration::from_millis(30);

/// Time in which a server that lives takes a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Records an answer that broke off, and finds out whether its server has crashed.
pub fn broke_off(core: &Rc<Core>, server: &BackendServerName, content: Digest) {
    let now = core.now();
    let mut broken = core.broken.borrow_mut();
    broken.retain(|(at, ..)| now.since_ms(*at) < CRASH_WINDOW_MS);
    let is_checked = broken.iter().any(|(_, known, _)| known == server);
    broken.push((now, server.clone(), content));
    if !is_checked {
        tokio::task::spawn_local(check(core.clone(), server.clone()));
    }
}

async fn check(core: Rc<Core>, server: BackendServerName) {
    tokio::time::sleep(CHECK_PAUSE).await;
    let address = core.fleet.borrow().server(&server).map(|s| s.record.address);
    let Some(address) = address else { return };
    match core.pool.lease(address, Duration::ZERO, CHECK_TIMEOUT).await {
        Ok((lease, _)) => lease.give_back(None),
        Err(error) => crashed(&core, &server, &error),
    }
}

fn crashed(core: &Core, server: &BackendServerName, error: &std::io::Error) {
    let now = core.now();
    let contents: Vec<Digest> = {
        let mut broken = core.broken.borrow_mut();
        let (here, others) = broken.drain(..).partition(|(_, known, _)| known == server);
        *broken = others;
        let here: Vec<_> = here;
        here.into_iter().map(|(_, _, content)| content).collect()
    };
    let mut quarantine = core.quarantine.borrow_mut();
    let was_alone = contents.len() == 1 && quarantine.is_suspect(&contents[0], now);
    quarantine.crashed(&contents, server, was_alone, now);
    log::warn!("backend: crashed; server={server} requests={} error={error}", contents.len());
    core.fleet.borrow_mut().found_unreachable(server, now);
}
