//! Tests of the proxy's faults with plain sockets on both sides.

mod support;

use std::{
    io::{ErrorKind, Read, Write},
    net::{IpAddr, Ipv4Addr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_standins::proxy::{Direction, Proxy, peer_inode};
use support::CONDITION_TIMEOUT;

/// A proxy with one open connection: the caller's end and the target's end.
fn connected() -> (Proxy, TcpStream, TcpStream, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::bind(listener.local_addr().unwrap()).unwrap();
    let caller = TcpStream::connect(proxy.address()).unwrap();
    let (target, _) = listener.accept().unwrap();
    for stream in [&caller, &target] {
        stream.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    }
    (proxy, caller, target, listener)
}

fn pass(from: &mut TcpStream, to: &mut TcpStream, text: &str) {
    from.write_all(text.as_bytes()).unwrap();
    expect_arrival(to, text);
}

fn expect_arrival(to: &mut TcpStream, text: &str) {
    let mut bytes = vec![0; text.len()];
    to.read_exact(&mut bytes).unwrap();
    expect_that!(String::from_utf8_lossy(&bytes), eq(text));
}

/// Guards against a proxy that changes, reorders or loses bytes, or that hides the end of a stream.
#[gtest]
fn bytes_and_ends_pass_both_ways() {
    let (proxy, mut caller, mut target, _listener) = connected();
    pass(&mut caller, &mut target, "question");
    pass(&mut target, &mut caller, "answer");
    drop(target);
    expect_that!(caller.read(&mut [0]).unwrap(), eq(0));
    expect_that!(proxy.forwarded_bytes(Direction::ToCaller), eq(6));
}

/// Guards against a one-way cut that also stops the other way or closes the connection.
#[gtest]
fn one_way_cut_loses_one_direction_only() {
    let (mut proxy, mut caller, mut target, _listener) = connected();
    proxy.cut_one_way(Direction::ToTarget);
    caller.write_all(b"lost").unwrap();
    pass(&mut target, &mut caller, "answer");
    target.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let error = target.read(&mut [0]).unwrap_err();
    expect_that!(error.kind(), any![eq(ErrorKind::WouldBlock), eq(ErrorKind::TimedOut)]);
    target.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    proxy.heal().unwrap();
    pass(&mut caller, &mut target, "found");
}

/// Guards against a delay that does not apply, and a freeze that loses bytes.
#[gtest]
fn delay_and_freeze_keep_all_bytes() {
    let (proxy, mut caller, mut target, _listener) = connected();
    proxy.set_delay(Duration::from_millis(50));
    let start = Instant::now();
    pass(&mut caller, &mut target, "late");
    expect_that!(start.elapsed(), ge(Duration::from_millis(50)));
    proxy.set_delay(Duration::ZERO);
    proxy.freeze();
    caller.write_all(b"kept").unwrap();
    target.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    expect_that!(target.read(&mut [0]).is_err(), eq(true));
    target.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    proxy.resume();
    expect_arrival(&mut target, "kept");
}

/// Guards against a reset that looks like a regular close, and a refusal that cuts open
/// connections.
#[gtest]
fn reset_and_refusal_are_told_apart() {
    let (mut proxy, mut caller, mut target, listener) = connected();
    proxy.refuse_new();
    let refused = TcpStream::connect(proxy.address()).unwrap_err();
    expect_that!(refused.kind(), eq(ErrorKind::ConnectionRefused));
    pass(&mut caller, &mut target, "open");
    proxy.reset_connections();
    expect_that!(caller.read(&mut [0]).unwrap_err().kind(), eq(ErrorKind::ConnectionReset));
    expect_that!(target.read(&mut [0]).unwrap_err().kind(), eq(ErrorKind::ConnectionReset));
    proxy.accept_new().unwrap();
    let mut caller = TcpStream::connect(proxy.address()).unwrap();
    let (mut target, _) = listener.accept().unwrap();
    pass(&mut caller, &mut target, "again");
}

/// Guards against a connection that is closed too early, too late or in the wrong direction.
#[gtest]
fn connection_ends_after_given_bytes() {
    let (proxy, mut caller, mut target, _listener) = connected();
    proxy.cut_after(Direction::ToCaller, Some(3));
    pass(&mut caller, &mut target, "question");
    target.write_all(b"answer").unwrap();
    let mut bytes = Vec::new();
    let _ = caller.read_to_end(&mut bytes);
    expect_that!(String::from_utf8_lossy(&bytes), eq("ans"));
    support::wait_for("the closed connection", || (proxy.connections() == 0).then_some(()));
}

/// Guards against a cut of one source that hits other processes, or that a heal does not end.
#[gtest]
fn cut_of_one_source_spares_the_others() {
    let (mut proxy, mut caller, mut target, listener) = connected();
    let other = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    other.bind(&"127.0.1.9:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    other.connect(&proxy.address().into()).unwrap();
    let mut other = TcpStream::from(other);
    let (mut other_target, _) = listener.accept().unwrap();
    other_target.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    proxy.cut_source([127, 0, 1, 9].into());
    other.write_all(b"lost").unwrap();
    pass(&mut caller, &mut target, "question");
    let error = other_target.read(&mut [0]).unwrap_err();
    expect_that!(error.kind(), any![eq(ErrorKind::WouldBlock), eq(ErrorKind::TimedOut)]);
    proxy.heal().unwrap();
    other_target.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    pass(&mut other, &mut other_target, "later");
}

/// Guards against confusing processes that connect from the same address, and against a connection
/// that passes a cut because it is new or its process is not found.
#[gtest]
fn processes_that_share_an_address_are_cut_apart() {
    const CUT: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1));
    const OTHER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 2));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // All connections come from the test's own process, so the socket's inode tells them apart.
    let inodes = Arc::new(Mutex::new(Vec::new()));
    let seen = inodes.clone();
    let identify = Arc::new(move |caller: &TcpStream| {
        let (mut seen, inode) = (seen.lock().unwrap(), peer_inode(caller)?);
        if !seen.contains(&inode) {
            seen.push(inode);
        }
        [Some(OTHER), Some(CUT), None][seen.iter().position(|i| *i == inode)?]
    });
    let mut proxy = Proxy::bind_identifying(listener.local_addr().unwrap(), identify).unwrap();
    let mut first = TcpStream::connect(proxy.address()).unwrap();
    let (mut target, _) = listener.accept().unwrap();
    target.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    proxy.cut_source(CUT);
    let others: Vec<_> = (0..2).map(|_| connect_blackholed(&proxy)).collect();
    pass(&mut first, &mut target, "question");
    listener.set_nonblocking(true).unwrap();
    expect_that!(listener.accept().map(drop), err(anything()));
    expect_that!(inodes.lock().unwrap().len(), eq(3));
    proxy.heal().unwrap();
    for mut other in others {
        expect_that!(
            other.read(&mut [0]).map_err(|e| e.kind()),
            err(eq(ErrorKind::ConnectionReset))
        );
    }
}

/// Connects and sends bytes that must not arrive.
fn connect_blackholed(proxy: &Proxy) -> TcpStream {
    let mut caller = TcpStream::connect(proxy.address()).unwrap();
    caller.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    caller.write_all(b"lost").unwrap();
    expect_that!(caller.read(&mut [0]).map(drop), err(anything()));
    caller.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    caller
}

/// Guards against a port that another process gets while the proxy refuses connections, after which
/// it can't accept any again.
#[gtest]
fn a_port_that_refuses_connections_stays_taken() {
    let (mut proxy, _caller, _target, listener) = connected();
    proxy.refuse_new();
    let error = TcpListener::bind(proxy.address()).unwrap_err();
    expect_that!(error.kind(), eq(ErrorKind::AddrInUse));
    let error = TcpStream::connect(proxy.address()).unwrap_err();
    expect_that!(error.kind(), eq(ErrorKind::ConnectionRefused));
    proxy.heal().unwrap();
    let mut caller = TcpStream::connect(proxy.address()).unwrap();
    let (mut target, _) = listener.accept().unwrap();
    pass(&mut caller, &mut target, "question");
}
