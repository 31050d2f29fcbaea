//! Asks Linux for the socket at the other end of a loopback connection.
//!
//! `/proc/net/tcp` has the same data, but lists all sockets of the machine: with 55,000 lines, most
//! of them closed connections of other tests, one lookup took 100 ms.

use std::{
    io::Read,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
};

use socket2::{Domain, Protocol, Socket, Type};

const AF_INET: u8 = 2;
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const IPPROTO_TCP: u8 = 6;
/// Message type of requests and answers about one socket, `SOCK_DIAG_BY_FAMILY`.
const BY_FAMILY: u16 = 20;
const REQUEST_FLAG: u16 = 1;
/// Length of `nlmsghdr` and `inet_diag_req_v2`.
const REQUEST_BYTES: u32 = 72;
/// Position of the inode in an answer, at the end of `nlmsghdr` and `inet_diag_msg`.
const INODE_RANGE: std::ops::Range<usize> = 84..88;
/// A cookie that matches any socket.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// Returns the inode of the socket at the other end of an IPv4 loopback connection, as in the links
/// of `/proc/PID/fd`; `None` once that socket is closed.
pub fn peer_inode(stream: &TcpStream) -> Option<u32> {
    let request = request(stream.peer_addr().ok()?, stream.local_addr().ok()?)?;
    let (domain, protocol) = (Domain::from(AF_NETLINK), Protocol::from(NETLINK_SOCK_DIAG));
    let mut socket = Socket::new(domain, Type::DGRAM, Some(protocol)).ok()?;
    socket.send(&request).ok()?;
    let mut answer = [0; 512];
    let length = socket.read(&mut answer).ok()?;
    let kind = u16::from_ne_bytes(answer[4..6].try_into().ok()?);
    let inode = answer[..length].get(INODE_RANGE)?.try_into().ok()?;
    (kind == BY_FAMILY).then(|| u32::from_ne_bytes(inode)).filter(|inode| *inode != 0)
}

/// Builds `nlmsghdr` and `inet_diag_req_v2` for the socket that is bound to `own` and connected to
/// `other`.
fn request(own: SocketAddr, other: SocketAddr) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    bytes.extend(REQUEST_BYTES.to_ne_bytes());
    bytes.extend(BY_FAMILY.to_ne_bytes());
    bytes.extend(REQUEST_FLAG.to_ne_bytes());
    // Sequence number and sender.
    bytes.extend([0; 8]);
    bytes.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // All states.
    bytes.extend(u32::MAX.to_ne_bytes());
    bytes.extend(own.port().to_be_bytes());
    bytes.extend(other.port().to_be_bytes());
    for address in [own, other] {
        bytes.extend(ipv4(address)?.octets());
        bytes.extend([0; 12]);
    }
    // Interface.
    bytes.extend([0; 4]);
    bytes.extend(ANY_COOKIE);
    Some(bytes)
}

fn ipv4(address: SocketAddr) -> Option<Ipv4Addr> {
    match address.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    }
}
