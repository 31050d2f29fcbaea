//! gRPC connections to other instances.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use pollenshed_protocol::peer::{control_client::ControlClient, work_client::WorkClient};
use tonic::transport::{Channel, Endpoint};

/// Largest gRPC message between instances, in both directions.
pub const MAX_MESSAGE_BYTES: usize = 40 * 1024 * 1024;

/// Time limit on connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Period of HTTP/2 pings, which detect connections whose peer is gone.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Time without a response to a ping after which a connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// gRPC channels to peers, which connect when they are first used.
#[derive(Debug)]
pub struct Peers {
    local: Option<IpAddr>,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Peers {
    /// Creates a set of channels whose source address is `local`, or chosen by the system if
    /// `local` is unspecified.
    pub fn open(local: IpAddr) -> Peers {
        let local = (!local.is_unspecified()).then_some(local);
        Peers { local, channels: Mutex::default() }
    }

    /// Returns a client of the service `Work` at `address`. Must be called inside a Tokio runtime.
    pub fn work(&self, address: SocketAddr) -> WorkClient<Channel> {
        WorkClient::new(self.channel(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Returns a client of the service `Control` at `address`. Must be called inside a Tokio
    /// runtime.
    pub fn control(&self, address: SocketAddr) -> ControlClient<Channel> {
        ControlClient::new(self.channel(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Drops channels to addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.lock().retain(|address, _| keep(*address));
    }

    fn channel(&self, address: SocketAddr) -> Channel {
        self.lock().entry(address).or_insert_with(|| connect_lazy(address, self.local)).clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn connect_lazy(address: SocketAddr, local: Option<IpAddr>) -> Channel {
    let uri = http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query("/")
        .build()
        .expect("a socket address is a valid authority");
    Endpoint::from(uri)
        .local_address(local)
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE_PERIOD)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .connect_lazy()
}
