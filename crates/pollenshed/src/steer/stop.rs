//! Signal handling and the planned stop.

use std::{rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use pollenshed_transport::listen::{SHUTDOWN_GRACE_PERIOD, StopPhase};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

use super::{core::Core, gossip, settings::SteerSettings};

/// Time in which callers look up other instances before this one stops accepting requests.
const LEAVING_PERIOD: Duration = Duration::from_millis(2_500);

/// Time before the platform kills the process at which the process exits by itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Minimum time for connections to close after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which the number of requests in progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handlers of the signals that stop the process or reload its settings.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub fn open() -> Result<Signals> {
        let open = |kind| signal(kind).wrap_err("cannot handle a signal");
        Ok(Signals {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP reads the settings again and logs whether the limits in
    /// them changed.
    async fn wait_for_stop(&mut self, core: &Core) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(core),
            }
        }
    }
}

/// Reads and validates the settings again, but does not apply them: addresses can't change while
/// the process runs.
fn reload(core: &Core) {
    let Some(path) = super::settings_path() else { return };
    match SteerSettings::open(&path) {
        Ok(settings) => {
            let changed = settings.bounds != core.settings.bounds;
            log::info!("settings: read again; bounds_changed={changed}");
        }
        Err(e) => log::error!("settings: refused, the former ones stay in force; error={e:#}"),
    }
}

/// Waits for a signal and performs a planned stop. Lookups name only other instances from then on,
/// requests are accepted until callers have had time to switch, and requests in progress are
/// completed. `serving` ends when the last connection of a caller has: a response whose body is
/// still being passed on is no longer a request in progress.
pub async fn wait_and_stop(core: &Rc<Core>, mut signals: Signals, serving: JoinHandle<()>) {
    signals.wait_for_stop(core).await;
    let start = Instant::now();
    core.set_stop_phase(StopPhase::Leaving);
    log::info!("instance: stopping; in_flight={}", core.in_flight.get());
    gossip::send_to_all(core).await;
    let end = start + Duration::from_millis(core.bounds.stop_ms).saturating_sub(STOP_MARGIN);
    sleep(LEAVING_PERIOD).await;
    core.set_stop_phase(StopPhase::Closing);
    // Requests that arrive during this time are completed as well.
    sleep(SHUTDOWN_GRACE_PERIOD + POLL_INTERVAL).await;
    while core.in_flight.get() > 0 && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
    // A caller may keep its connection open for good, so it is cut at the end.
    if timeout_at(end.max(Instant::now() + CLOSE_TIMEOUT), serving).await.is_err() {
        log::warn!("instance: connections cut at the end of the stop");
    }
}
