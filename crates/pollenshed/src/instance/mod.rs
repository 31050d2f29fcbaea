//! A running instance: its shared state, its listeners and its planned stop.

mod explain;
mod operators;
mod servers;
mod shared;
mod stop;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::{Result, WrapErr};
use pollenshed_state::settings::Settings;
use pollenshed_transport::edge::Edge;
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
};

pub use shared::Shared;

use crate::{entry, gossip, owner, reader};

/// Threads of the runtime that serves callers.
const CALLER_THREADS: usize = 2;
/// Threads of the runtime that relays and dispatches requests.
const WORK_THREADS: usize = 2;
/// Threads of the runtime for gossip and the other control messages between instances.
const CONTROL_THREADS: usize = 1;
/// Maximum number of threads of one runtime for blocking calls, such as those to backend servers.
const MAX_BLOCKING_THREADS: usize = 256;

/// A running instance.
pub struct Instance {
    shared: Arc<Shared>,
    edge: Edge,
    operator_address: SocketAddr,
    callers: Runtime,
    work: Runtime,
    control: Runtime,
}

impl Instance {
    /// Opens all listeners and starts all roles.
    ///
    /// Callers, work and control messages have separate runtimes, so that overload of one can't
    /// stall the others.
    pub fn spawn(mut settings: Settings) -> Result<Instance> {
        let callers = build_runtime("callers", CALLER_THREADS)?;
        let work = build_runtime("work", WORK_THREADS)?;
        let control = build_runtime("control", CONTROL_THREADS)?;

        let relay_listener =
            work.block_on(servers::listen(settings.relay_address)).wrap_err("relay_address")?;
        let peer_listener =
            control.block_on(servers::listen(settings.peer_address)).wrap_err("peer_address")?;
        settings.relay_address = relay_listener.local_addr()?;
        settings.peer_address = peer_listener.local_addr()?;
        let edge_listener = callers
            .block_on(servers::listen(settings.caller_address))
            .wrap_err("caller_address")?;
        settings.caller_address = edge_listener.local_addr()?;

        let shared =
            Arc::new(Shared::new(settings, work.handle().clone(), control.handle().clone()));
        work.spawn(servers::serve_work(shared.clone(), relay_listener));
        control.spawn(servers::serve_control(shared.clone(), peer_listener));
        control.spawn(gossip::run(shared.clone()));
        control.spawn(owner::run_releases(shared.clone()));
        control.spawn(reader::run(shared.clone()));
        work.spawn(owner::run(shared.clone()));
        let edge = callers.block_on(entry::serve_callers(shared.clone(), edge_listener))?;
        let operator_address = operators::serve(shared.clone())?;
        log::info!(
            instance:% = shared.settings.instance,
            failure_domain:% = shared.settings.failure_domain,
            incarnation:% = shared.incarnation,
            caller_address:% = shared.settings.caller_address,
            peer_address:% = shared.settings.peer_address,
            relay_address:% = shared.settings.relay_address,
            operator_address:%;
            "instance: running"
        );
        Ok(Instance { shared, edge, operator_address, callers, work, control })
    }

    /// Returns the state that all roles share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the address on which the instance serves callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.edge.address()
    }

    /// Returns the address of the operators' HTTP interface.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Waits for SIGTERM, SIGINT or an operator's request to stop.
    pub fn wait_for_signal(&self) -> Result<()> {
        self.control.block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                () = self.shared.stop_requested.notified() => {}
            }
            Ok(())
        })
    }

    /// Performs a planned stop. Requests in flight may finish until the stop timeout of the
    /// settings.
    pub fn stop(self) {
        let began = self.shared.clock.now();
        self.edge.request_close();
        self.control.block_on(stop::leave(&self.shared));
        let timeout = Duration::from_millis(self.shared.settings.timing.stop_timeout_ms);
        let closed =
            self.callers.block_on(async { tokio::time::timeout(timeout, self.edge.drain()).await });
        if closed.is_err() {
            let stop_timeout_ms = self.shared.settings.timing.stop_timeout_ms;
            let connections = self.edge.open_connections();
            log::warn!(
                connections,
                stop_timeout_ms;
                "stop: timed out waiting for callers' connections to close"
            );
        }
        self.control.block_on(stop::finish(&self.shared, began));
        self.kill();
    }

    /// Ends the instance at once and aborts requests in flight.
    pub fn kill(self) {
        self.callers.shutdown_background();
        self.work.shutdown_background();
        self.control.shutdown_background();
    }
}

fn build_runtime(name: &str, threads: usize) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .thread_name(name)
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime's threads")
}
