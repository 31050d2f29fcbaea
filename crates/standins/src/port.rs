//! A port that a stand-in keeps while it refuses connections.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

use socket2::{Domain, Socket, Type};

/// Length of the queue of connections that wait to be accepted; the standard library uses the same.
const BACKLOG: i32 = 128;

/// A port that no other process gets while nobody listens on it. Without it, a port that is opened
/// again later may be the source of somebody's connection by then.
#[derive(Debug)]
pub struct HeldPort {
    address: SocketAddr,
    _socket: Socket,
}

impl HeldPort {
    /// Takes a port, a free one if that of the address is 0.
    pub fn bind(address: SocketAddr) -> io::Result<HeldPort> {
        // A free port has no connections that have ended, and without this option nobody else gets
        // the port by asking for it.
        let socket = bind_shared(address, address.port() != 0)?;
        let address = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(HeldPort { address, _socket: socket })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins to accept connections. They are refused again once the listener is dropped.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bind_shared(self.address, true)?;
        socket.listen(BACKLOG)?;
        Ok(TcpListener::from(socket))
    }
}

/// Binds a socket that shares its port with other sockets of this process. Only a socket that
/// listens gets connections. With `reuses_address`, connections of the port that have ended do not
/// count.
fn bind_shared(address: SocketAddr, reuses_address: bool) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_reuse_address(reuses_address)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
