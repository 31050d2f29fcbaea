//! Instances of a large region, where one of them assigns all requests of an object, with real
//! processes. The settings make a region of a few instances a large one.

mod steer_support;

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_standins::steered::ServerOptions;
use prost::Message;
use steer_support::{Fleet, Instance, PEER_PORT, request, wait_for};

/// Requests of one object in each step of a test.
const REQUESTS: usize = 12;

/// Run times of the servers. They are long compared with the delays of a busy machine, since a
/// server whose runs take several times as long as usual is not a home.
const RUNS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(90));

/// Starts servers and instances of a large region.
fn large_region(servers: usize, instances: usize) -> Fleet {
    let options = |number| ServerOptions {
        name: format!("i-{number}"),
        uncached_run: RUNS.0,
        cached_run: RUNS.1,
        ..Default::default()
    };
    let mut fleet = Fleet::open((0..servers).map(options).collect());
    fleet.full_mesh_peers = 1;
    for _ in 0..instances {
        fleet.start("palermo-a");
    }
    fleet.wait_until_ready();
    fleet
}

/// Sends idempotent requests of one object, in turn to each of `instances`, and expects answers.
fn read_object(instances: &[&Instance], object: &str, name: &str) {
    for number in 0..REQUESTS {
        let instance = instances[number % instances.len()];
        let headers = format!("X-Affinity-Key: {object}\r\n");
        let id = format!("{name}-{number}");
        let answer = instance.call(&request("GET", "/read/x", &id, &headers, ""));
        expect_that!(answer.map(|a| a.status), some(eq(200)), "{id}");
    }
}

/// Returns the names of the servers that ran requests whose id begins with `name`.
fn servers_of(fleet: &Fleet, name: &str) -> BTreeSet<String> {
    let ran = |server: &&pollenshed_standins::steered::Server| {
        server.runs().iter().any(|run| run.id.starts_with(name))
    };
    fleet.servers.iter().filter(ran).map(|s| s.name().to_owned()).collect()
}

/// Returns the number of requests that instances sent to a server that another one or they
/// themselves assigned.
fn assigned(instance: &Instance) -> usize {
    instance.log().matches("assigned=true").count()
}

/// Guards against an object whose requests run on several servers, where each run is a first run,
/// because each instance chooses for itself.
#[googletest::test]
fn all_instances_send_an_object_to_one_server() {
    let fleet = large_region(6, 4);
    let instances: Vec<&Instance> = fleet.instances.iter().collect();
    for object in ["1", "2", "3"] {
        read_object(&instances, object, &format!("steady-{object}"));
        let servers = servers_of(&fleet, &format!("steady-{object}"));
        expect_that!(servers.len(), eq(1), "object {object} ran on {servers:?}");
    }
    let assigned: Vec<usize> = instances.iter().map(|i| assigned(i)).collect();
    // A query can be lost, after which the instance chooses itself.
    expect_that!(assigned, each(gt(&(REQUESTS / 2))));
}

/// Guards against requests that fail or run elsewhere while the instance that assigns them is dead
/// or paused: the others choose the same server by themselves.
#[googletest::test]
fn requests_go_to_the_same_server_without_their_assigning_instance() {
    let mut fleet = large_region(6, 4);
    let objects: Vec<String> = (1..=4).map(|n| n.to_string()).collect();
    let all: Vec<&Instance> = fleet.instances.iter().collect();
    for object in &objects {
        read_object(&all, object, &format!("before-{object}"));
    }
    // Each of the two assigns the requests of some of the objects, if not of all.
    fleet.instances[3].signal("STOP");
    let rest: Vec<&Instance> = fleet.instances[..3].iter().collect();
    for object in &objects {
        read_object(&rest, object, &format!("paused-{object}"));
    }
    fleet.instances[3].signal("CONT");
    fleet.restart(2);
    let rest: Vec<&Instance> = fleet.instances[..2].iter().collect();
    for object in &objects {
        read_object(&rest, object, &format!("killed-{object}"));
    }
    for object in &objects {
        let home = servers_of(&fleet, &format!("before-{object}"));
        expect_that!(servers_of(&fleet, &format!("paused-{object}")), eq(&home));
        expect_that!(servers_of(&fleet, &format!("killed-{object}")), eq(&home));
    }
}

/// Guards against a request that must run at most once and runs twice, or is refused although it
/// runs, because the answer of the assigning instance comes late.
#[googletest::test]
fn a_late_assignment_does_not_run_a_request_twice() {
    let fleet = large_region(4, 3);
    for round in 0..6 {
        let paused = &fleet.instances[round % 3];
        let sender = &fleet.instances[(round + 1) % 3];
        paused.signal("STOP");
        let id = format!("once-{round}");
        let headers = format!("X-Affinity-Key: {round}\r\n");
        let answer = sender.call(&request("POST", "/file/x", &id, &headers, "x"));
        paused.signal("CONT");
        expect_that!(answer.map(|a| a.status), some(eq(200)), "{id}");
        let runs = fleet.servers.iter().flat_map(|s| s.runs()).filter(|run| run.id == id);
        expect_that!(runs.count(), eq(1), "{id}");
    }
}

/// Guards against a start in which each instance reads the tables from the store: the calls would
/// grow with the number of instances.
#[googletest::test]
fn instances_that_start_get_the_tables_from_a_peer() {
    let start = Instant::now();
    let fleet = large_region(4, 10);
    wait_for("the rows of all instances", || {
        let is_registered = |i: &Instance| fleet.store.get("instances", &i.name).is_some();
        fleet.instances.iter().all(is_registered).then_some(())
    });
    // The reader of a region makes up to four calls a second. At its start the first instance reads
    // four tables. Ten instances made 5 calls each at least before they shared the tables.
    let allowed = 20 + 4 * start.elapsed().as_secs();
    expect_that!(fleet.store.calls(), le(allowed));
}

/// Heartbeat of a peer, with the fields that this test needs.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Heartbeat {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    failure_domain: String,
    #[prost(string, tag = "4")]
    callers_address: String,
    #[prost(string, tag = "5")]
    peer_address: String,
    #[prost(bool, tag = "7")]
    ready: bool,
    #[prost(uint64, tag = "14")]
    heartbeat_interval_ms: u64,
    #[prost(uint64, tag = "16")]
    beat: u64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct PeerDatagram {
    #[prost(message, optional, tag = "1")]
    heartbeat: Option<Heartbeat>,
}

/// Answer of a peer that provides no tables now.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct OtherSources {
    #[prost(string, repeated, tag = "1")]
    addresses: Vec<String>,
}

/// Acts as an instance that has the tables and is always busy, and names `other` instead. It ends
/// with the process of the test.
fn spawn_busy_peer(ip: Ipv4Addr, other: SocketAddr) {
    let socket = UdpSocket::bind((ip, PEER_PORT)).unwrap();
    let listener = TcpListener::bind((ip, PEER_PORT)).unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 8 * 1024];
        for beat in 1.. {
            let (_, from) = socket.recv_from(&mut buffer).unwrap();
            let heartbeat = Heartbeat {
                instance: "busy".to_owned(),
                incarnation: 1,
                failure_domain: "palermo-a".to_owned(),
                callers_address: format!("{ip}:1"),
                peer_address: format!("{ip}:{PEER_PORT}"),
                ready: true,
                heartbeat_interval_ms: 1_000,
                beat,
            };
            let datagram = PeerDatagram { heartbeat: Some(heartbeat) }.encode_to_vec();
            let _ = socket.send_to(&datagram, from);
        }
    });
    let answer = OtherSources { addresses: vec!["nonsense".to_owned(), other.to_string()] };
    let answer = answer.encode_to_vec();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = BufReader::new(stream.unwrap());
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).unwrap_or(0) > 0 {}
            let length = head.to_lowercase().split("content-length: ").nth(1).map_or(0, |rest| {
                rest.lines().next().and_then(|length| length.parse().ok()).unwrap_or(0)
            });
            let _ = reader.read_exact(&mut vec![0; length]);
            let head = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: ";
            let head = format!("{head}{}\r\n\r\n", answer.len());
            let _ = reader.get_mut().write_all(&[head.as_bytes(), &answer].concat());
        }
    });
}

/// Guards against instances that read the store because the few that they know at their start
/// provide others with the tables: in a start of a hundred instances many did.
#[googletest::test]
fn an_instance_that_is_busy_names_others_that_have_the_tables() {
    let mut fleet = large_region(1, 1);
    let busy = fleet.ip(13);
    spawn_busy_peer(busy, fleet.instances[0].peer_address());
    fleet.start_with_seed("palermo-a", fleet.store_endpoint.address(), busy);
    let started = &fleet.instances[1];
    wait_for("readiness", || (started.ready() == Some(200)).then_some(()));
    expect_that!(started.log(), not(contains_substring("use=reads-without-peer")));

    // The first one names the second one as soon as it has heard of it.
    let named = format!("{}", started.peer_address());
    wait_for("the address of the second instance", || {
        let ask = || {
            let mut peer = TcpStream::connect(fleet.instances[0].peer_address()).unwrap();
            let head = "POST /v1/changes HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n";
            peer.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes()).unwrap();
            peer
        };
        // The first of two gets the tables, unless it comes too early for that as well.
        let _first = ask();
        let mut answer = Vec::new();
        ask().read_to_end(&mut answer).ok()?;
        let answer = String::from_utf8_lossy(&answer);
        (answer.starts_with("HTTP/1.1 503 ") && answer.contains(&named)).then_some(())
    });
}
