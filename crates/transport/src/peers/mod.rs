//! Connections to other instances and the ports on which they connect.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use pollenshed_protocol::peer::{control_client::ControlClient, work_client::WorkClient};
use tonic::transport::{Channel, Endpoint};

/// Largest message between instances.
pub const MAX_MESSAGE_BYTES: usize = 40 * 1024 * 1024;

/// Time within which a connection to a peer must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Period of HTTP/2 pings, which find connections whose other side is gone.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Silence after a ping that closes the connection.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to peers, made when first used.
#[derive(Debug)]
pub struct Peers {
    local: Option<IpAddr>,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Peers {
    /// Prepares connections that come from the address `local`, as long as it is a definite one.
    pub fn open(local: IpAddr) -> Peers {
        let local = (!local.is_unspecified()).then_some(local);
        Peers { local, channels: Mutex::default() }
    }

    /// Returns a client of the service `Work` at `address`. Must be called inside a runtime.
    pub fn work(&self, address: SocketAddr) -> WorkClient<Channel> {
        WorkClient::new(self.channel(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Returns a client of the service `Control` at `address`. Must be called inside a runtime.
    pub fn control(&self, address: SocketAddr) -> ControlClient<Channel> {
        ControlClient::new(self.channel(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Forgets connections to addresses for which `keep` is false.
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
