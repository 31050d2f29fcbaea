//! One running instance: its state, its ports and its planned stop.

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

/// Threads that answer callers.
const CALLER_THREADS: usize = 2;
/// Threads that relay and dispatch work.
const WORK_THREADS: usize = 2;
/// Threads that keep the instances together.
const CONTROL_THREADS: usize = 1;
/// Threads for blocking calls to backend servers.
const MAX_BACKEND_THREADS: usize = 256;

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
    /// Opens all ports and starts all roles.
    ///
    /// Work, callers and control have threads of their own, so that a flood of one can't stop the
    /// others.
    pub fn spawn(mut settings: Settings) -> Result<Instance> {
        let callers = runtime("callers", CALLER_THREADS)?;
        let work = runtime("work", WORK_THREADS)?;
        let control = runtime("control", CONTROL_THREADS)?;

        let relay =
            work.block_on(servers::listen(settings.relay_address)).wrap_err("relay_address")?;
        let peer =
            control.block_on(servers::listen(settings.peer_address)).wrap_err("peer_address")?;
        settings.relay_address = relay.local_addr()?;
        settings.peer_address = peer.local_addr()?;
        let edge_listener = callers
            .block_on(servers::listen(settings.caller_address))
            .wrap_err("caller_address")?;
        settings.caller_address = edge_listener.local_addr()?;

        let shared =
            Arc::new(Shared::new(settings, work.handle().clone(), control.handle().clone()));
        work.spawn(servers::serve_work(shared.clone(), relay));
        control.spawn(servers::serve_control(shared.clone(), peer));
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
            "instance: runs"
        );
        Ok(Instance { shared, edge, operator_address, callers, work, control })
    }

    /// Returns the state that all roles share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.edge.address()
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Waits until the process is asked to stop.
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

    /// Stops the instance as planned: nobody is cut off.
    pub fn stop(self) {
        let began = self.shared.clock.now();
        self.edge.request_close();
        self.control.block_on(stop::leave(&self.shared));
        let timeout = Duration::from_millis(self.shared.settings.timing.stop_timeout_ms);
        let drained =
            self.callers.block_on(async { tokio::time::timeout(timeout, self.edge.drain()).await });
        if drained.is_err() {
            let stop_timeout_ms = self.shared.settings.timing.stop_timeout_ms;
            let connections = self.edge.open_connections();
            log::warn!(connections, stop_timeout_ms; "stop: gives up on callers' connections");
        }
        self.control.block_on(stop::finish(&self.shared, began));
        self.kill();
    }

    /// Ends the instance at once; requests in flight are cut off.
    pub fn kill(self) {
        self.callers.shutdown_background();
        self.work.shutdown_background();
        self.control.shutdown_background();
    }
}

fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .max_blocking_threads(MAX_BACKEND_THREADS)
        .thread_name(name)
        .enable_all()
        .build()
        .wrap_err("cannot start threads")
}
