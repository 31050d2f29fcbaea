//! Signals and the planned stop.

use std::{rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use pollenshed_transport::listen::{LINGER, StopPhase};
use tokio::{
    net::UdpSocket,
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep},
};

use super::{core::Core, gossip, registration, settings::SteerSettings};

/// Time in which callers get new addresses before an idle instance stops taking requests.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);

/// Time before the end by force at which the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Time for connections to end after the last request.
pub const CLOSING_LIMIT: Duration = Duration::from_millis(300);

/// Pause between two looks at the requests that still run.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Signals that the process handles.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub fn open() -> Result<Signals> {
        let open = |kind| signal(kind).wrap_err("cannot handle a signal");
        Ok(Signals {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop. SIGHUP reads the settings again and reports changes.
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

/// Reads the settings again. Addresses can't change while the process runs, so requests go on.
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

/// Waits for a signal and stops as planned: other instances are named to callers, requests are
/// taken until callers have had time to leave, and those in flight are finished.
pub async fn wait_and_stop(core: &Rc<Core>, gossip: &UdpSocket, mut signals: Signals) {
    signals.wait_for_stop(core).await;
    let start = Instant::now();
    core.set_stop_phase(StopPhase::Leaving);
    log::info!("instance: stopping; in_flight={}", core.in_flight.get());
    gossip::send_to_all(core, gossip).await;
    let end = start + Duration::from_millis(core.bounds.stop_ms).saturating_sub(STOP_MARGIN);
    let unregister = registration::unregister(core);
    let leaving = sleep(LEAVING_TIME);
    tokio::join!(unregister, leaving);
    core.set_stop_phase(StopPhase::Closing);
    // Requests that arrive in this time are finished like those before.
    sleep(LINGER + POLL_PERIOD).await;
    while core.in_flight.get() > 0 && Instant::now() < end {
        sleep(POLL_PERIOD).await;
    }
}
