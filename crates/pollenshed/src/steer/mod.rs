//! An instance that steers plain HTTP requests on the users' platform (docs/platform.md).
//!
//! Each instance accepts requests of callers, chooses a backend server for each and sends the
//! request to it directly. It reads configuration, evacuations and backend servers from the
//! platform's store, and learns the load of the servers from its peers. All tasks run on one
//! thread, because the machines have only a fraction of a CPU core.

mod apply;
mod assign;
mod attempt;
mod callers;
mod core;
mod crashes;
mod exchange;
mod gossip;
mod homes;
mod identity;
mod keys;
mod large_answers;
mod lookup;
pub mod members;
mod peer_view;
mod pipelining;
mod reader;
mod registration;
pub mod settings;
mod stop;
pub mod tables;
pub mod workspace_limits;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use http::Request;
use hyper::body::Incoming;
use pollenshed_state::routes::CallerLimits;
use pollenshed_transport::{
    forward::ResponseBody,
    listen::{self, ListenLimits},
    scrape::PrometheusMetrics,
};
use tokio::{net::UdpSocket, task::spawn_local};

use self::{core::Core, settings::SteerSettings, tables::Table};

/// Limits for callers until a configuration is known.
const DEFAULT_CALLER_LIMITS: CallerLimits = CallerLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 64 * 1024 * 1024,
    head_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// Connections of callers may use this fraction of the file descriptors: one half. The rest is for
/// backend servers.
const CALLER_DESCRIPTORS_DIVISOR: usize = 2;

/// Connections of peers may use this fraction of the file descriptors: one part in 8.
const PEER_DESCRIPTORS_DIVISOR: usize = 8;

/// Maximum number of connections to each of the lookup, readiness and metrics addresses.
const MAX_AUXILIARY_CONNECTIONS: usize = 256;

/// Runs one instance until a signal stops it.
pub async fn run(settings: SteerSettings) -> Result<()> {
    let metrics = PrometheusMetrics::open().wrap_err("cannot create the metrics")?;
    let peer_socket = UdpSocket::bind(settings.peer_address())
        .await
        .wrap_err_with(|| format!("cannot bind {}", settings.peer_address()))?;
    let core = Rc::new(Core::new(settings, metrics, peer_socket));
    let settings = &core.settings;
    let callers = bind(settings.callers_address)?;
    let lookups = bind(settings.lookup_address)?;
    let ready = bind(settings.ready_address)?;
    let scrapes = bind(settings.metrics_address)?;
    let peers = bind(settings.peer_address())?;
    let signals = stop::Signals::open()?;
    log::info!(
        "instance: started; instance={} incarnation={} failure_domain={} callers={}",
        settings.instance,
        core.incarnation,
        settings.failure_domain,
        settings.callers_address
    );

    for table in Table::ALL {
        spawn_local(reader::follow(core.clone(), table));
    }
    spawn_local(peer_view::follow(core.clone()));
    spawn_local(serve_peers(core.clone(), peers));
    spawn_local(homes::restore(core.clone()));
    spawn_local(homes::persist(core.clone()));
    spawn_local(registration::keep_rows(core.clone()));
    spawn_local(gossip::run(core.clone()));
    spawn_local(workspace_limits::run(core.clone()));
    spawn_local(serve_auxiliary(core.clone(), lookups, |core, request| {
        lookup::handle_lookup(core, request)
    }));
    spawn_local(serve_auxiliary(core.clone(), ready, lookup::handle_readiness));
    spawn_local(serve_auxiliary(core.clone(), scrapes, |core, _| {
        http::Response::new(ResponseBody::from(core.metrics.render(core.gauges())))
    }));
    let limits = {
        let core = core.clone();
        move || caller_limits(&core)
    };
    let serving = spawn_local(listen::serve_pipelined(
        callers,
        limits,
        callers::handler(core.clone()),
        Rc::new(pipelining::RouteOverlap(core.clone())),
        core.watch_stop(),
    ));
    stop::wait_and_stop(&core, signals, serving).await;
    log::info!(
        "instance: stopped; instance={} in_flight={}",
        core.settings.instance,
        core.in_flight.get()
    );
    Ok(())
}

fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener> {
    listen::bind(address).wrap_err_with(|| format!("cannot bind {address}"))
}

fn caller_limits(core: &Core) -> ListenLimits {
    let limits = core.plan().map_or(DEFAULT_CALLER_LIMITS, |plan| plan.caller_limits);
    ListenLimits {
        max_head_bytes: limits.max_head_bytes as usize,
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
        max_connections: core.settings.max_descriptors / CALLER_DESCRIPTORS_DIVISOR,
    }
}

async fn serve_auxiliary(
    core: Rc<Core>,
    listener: tokio::net::TcpListener,
    reply: impl Fn(&Rc<Core>, &Request<Incoming>) -> http::Response<ResponseBody> + Copy + 'static,
) {
    let stop = core.watch_stop();
    let handler = move |request: Request<Incoming>, _| {
        let response = reply(&core, &request);
        async move { response }
    };
    listen::serve(listener, auxiliary_limits, handler, stop).await;
}

async fn serve_peers(core: Rc<Core>, listener: tokio::net::TcpListener) {
    let stop = core.watch_stop();
    // Each other instance of the region keeps a connection to the one that reads the store.
    let limits = ListenLimits {
        max_connections: core.settings.max_descriptors / PEER_DESCRIPTORS_DIVISOR,
        ..auxiliary_limits()
    };
    let handler = move |request: Request<Incoming>, _| peer_view::handle(core.clone(), request);
    listen::serve(listener, move || limits, handler, stop).await;
}

fn auxiliary_limits() -> ListenLimits {
    ListenLimits {
        max_head_bytes: DEFAULT_CALLER_LIMITS.max_head_bytes as usize,
        idle_timeout: Duration::from_millis(DEFAULT_CALLER_LIMITS.idle_timeout_ms),
        max_connections: MAX_AUXILIARY_CONNECTIONS,
    }
}

/// Environment variable in which the platform names the settings file.
pub const SETTINGS_VARIABLE: &str = "POLLENSHED_NODE_FILE";

/// Returns the path of the settings file, if the platform names one.
pub fn settings_path() -> Option<std::path::PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(Into::into)
}
