//! A fleet whose processes connect to each other through fault-injecting proxies.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::Command,
    time::{Duration, Instant},
};

use pollenshed_protocol::platform::{InstanceList, ListedInstance};
use pollenshed_standins::{
    backend::{Backend, Behaviour, Run},
    platform::Platform,
    proxy::Proxy,
};
use serde_json::{Value, json};

use super::{Daemon, Fleet, Workdir, config_value, sources, wait_for};

/// Silence after which peers consider an instance dead, in milliseconds.
pub const DEAD_AFTER_MS: u64 = 1_600;

/// Slots of each backend server as configured. The stand-ins have more, so that a request beyond
/// the configured slots runs and is counted instead of being shed.
pub const SLOTS: u64 = 3;

/// Slots that each backend server stand-in really has.
const STANDIN_SLOTS: u64 = 64;

/// An instance: its name and its failure domain.
pub type InstanceLocation = (&'static str, &'static str);

/// One entry in each failure domain of a region.
pub const TWO_ENTRIES: [InstanceLocation; 2] = [("north-a-1", "north-a"), ("north-b-1", "north-b")];

/// Two entries in one failure domain and one in the other domain of the region.
pub const THREE_ENTRIES: [InstanceLocation; 3] =
    [("north-a-1", "north-a"), ("north-a-2", "north-a"), ("north-b-1", "north-b")];

/// Proxies in front of the two ports of one instance that peers use.
pub struct PeerProxies {
    /// In front of the control port.
    pub control: Proxy,
    /// In front of the relay port.
    pub relay: Proxy,
}

/// A fleet with proxies in front of the platform, each instance and each backend server.
pub struct ProxiedFleet {
    /// Processes and stand-ins; its daemons are in the order of `locations`.
    pub fleet: Fleet,
    /// Names and failure domains of the instances.
    pub locations: Vec<InstanceLocation>,
    /// Proxies in front of each instance.
    pub peer_proxies: Vec<PeerProxies>,
    /// Proxies in front of each backend server, in the order of the fleet's backend servers.
    pub server_proxies: Vec<Proxy>,
    /// Proxy in front of the platform.
    pub platform: Proxy,
}

/// Returns the answer of the stand-ins, which depends only on the request, so that an answer to
/// another request is noticed.
pub fn answer_to(method: &str, path: &str, body: &str) -> String {
    let reversed: String = body.chars().rev().collect();
    format!("{method} {path} answers {body}, {reversed}")
}

fn answer_of_run(run: &Run) -> (u16, Vec<u8>) {
    let body = String::from_utf8_lossy(&run.body);
    (200, answer_to(&run.method, &run.path, &body).into_bytes())
}

/// Sends a signal to a process that the test started.
pub fn signal(daemon: &Daemon, name: &str) {
    let status = Command::new("kill").arg(name).arg(daemon.id().to_string()).status().unwrap();
    assert!(status.success(), "kill {name} failed");
}

impl ProxiedFleet {
    /// Starts two backend servers per failure domain and the instances, and waits until requests
    /// are served at every entry.
    pub fn start(locations: &[InstanceLocation], service_time: Duration) -> ProxiedFleet {
        let mut domains: Vec<&str> = locations.iter().map(|(_, domain)| *domain).collect();
        domains.dedup();
        let platform = Platform::bind(local()).unwrap();
        let backends = bind_backends(&domains, service_time);
        let workdir = Workdir::create();
        // Instances connect to backend servers and to the platform from the same address.
        let identify = sources::identify(&workdir.path);
        let bind = |target| Proxy::bind_identifying(target, identify.clone()).unwrap();
        let backend_proxies: Vec<_> = backends.iter().map(|(_, b)| bind(b.address())).collect();
        let config = proxied_config(&domains, &backends, &backend_proxies);
        let platform_proxy = bind(platform.address());
        let fleet =
            Fleet { workdir, platform, backends, daemons: Vec::new(), config: config.clone() };
        let mut proxied = ProxiedFleet {
            fleet,
            locations: Vec::new(),
            peer_proxies: Vec::new(),
            server_proxies: backend_proxies,
            platform: platform_proxy,
        };
        proxied.fleet.submit(&config);
        for location in locations {
            proxied.add(*location);
        }
        proxied.list();
        proxied.wait_until_ready();
        proxied
    }

    /// Starts one more instance behind proxies of its own.
    pub fn add(&mut self, location: InstanceLocation) {
        // The instance announces the addresses of its proxies, so they are bound before it starts
        // and get their targets afterwards.
        let placeholder = local();
        let proxies = PeerProxies {
            control: Proxy::bind(placeholder).unwrap(),
            relay: Proxy::bind(placeholder).unwrap(),
        };
        self.locations.push(location);
        self.peer_proxies.push(proxies);
        let daemon = self.spawn(self.locations.len() - 1, &[]);
        self.fleet.daemons.push(daemon);
    }

    /// Kills an instance and starts it again.
    pub fn restart(&mut self, at: usize) {
        self.fleet.daemons[at].kill();
        self.fleet.daemons[at] = self.spawn(at, &[]);
    }

    /// Kills an instance and starts it again, with all others as seed peers in its settings.
    pub fn restart_with_seeds(&mut self, at: usize) {
        self.fleet.daemons[at].kill();
        let others = self.peer_proxies.iter().enumerate().filter(|(other, _)| *other != at);
        let seeds: Vec<_> = others.map(|(_, proxies)| proxies.control.address()).collect();
        self.fleet.daemons[at] = self.spawn(at, &seeds);
    }

    /// Partitions a failure domain from all others and from the platform: instances of one side
    /// reach neither instances nor backend servers of the other.
    pub fn cut_off(&self, domain: &str) {
        let is_inside = |at: &usize| self.locations[*at].1 == domain;
        let (inside, outside): (Vec<_>, Vec<_>) = (0..self.locations.len()).partition(is_inside);
        let cut_all = |proxy: &Proxy, sources: &[usize]| {
            sources.iter().for_each(|at| proxy.cut_source(own_address(*at)));
        };
        for (at, peer) in self.peer_proxies.iter().enumerate() {
            let others = if is_inside(&at) { &outside } else { &inside };
            cut_all(&peer.control, others);
            cut_all(&peer.relay, others);
        }
        for ((name, _), proxy) in self.fleet.backends.iter().zip(&self.server_proxies) {
            cut_all(proxy, if name.contains(domain) { &outside } else { &inside });
        }
        cut_all(&self.platform, &inside);
    }

    /// Kills an instance and removes it from the platform's list.
    pub fn remove(&mut self, at: usize) {
        self.fleet.daemons.remove(at);
        self.peer_proxies.remove(at);
        self.locations.remove(at);
        self.list();
    }

    fn spawn(&self, at: usize, seeds: &[SocketAddr]) -> Daemon {
        let mut settings = self.settings(at);
        settings["seed_peers"] = json!(seeds);
        let daemon = Daemon::spawn(&self.fleet.workdir, &settings);
        self.peer_proxies[at].control.set_target(daemon.peer_endpoint);
        self.peer_proxies[at].relay.set_target(daemon.relay_endpoint);
        daemon
    }

    fn settings(&self, at: usize) -> Value {
        let (name, domain) = self.locations[at];
        let own = SocketAddr::new(own_address(at), 0).to_string();
        json!({
            "instance": name,
            "failure_domain": domain,
            "caller_address": own,
            "peer_address": own,
            "relay_address": own,
            "operator_address": "127.0.0.1:0",
            "announced_peer_address": self.peer_proxies[at].control.address().to_string(),
            "announced_relay_address": self.peer_proxies[at].relay.address().to_string(),
            "platform_address": self.platform.address().to_string(),
            "timing": {
                "lookup_ttl_ms": 500,
                "gossip_period_ms": 100,
                "suspect_after_ms": 800,
                "dead_after_ms": DEAD_AFTER_MS,
                "fence_after_ms": 700,
                "platform_poll_ms": 300,
                "platform_timeout_ms": 500,
                "probe_period_ms": 200,
                "headroom_ttl_ms": 1000,
                "stop_timeout_ms": 20000,
            },
        })
    }

    /// Sets the platform's list to the current instances.
    pub fn list(&self) {
        self.list_with_leaving(&[]);
    }

    /// Sets the platform's list to the current instances and these leaving backend servers.
    pub fn list_with_leaving(&self, leaving: &[String]) {
        let listed = |(location, proxies): (&InstanceLocation, &PeerProxies)| ListedInstance {
            name: location.0.parse().unwrap(),
            failure_domain: location.1.parse().unwrap(),
            peer_address: proxies.control.address(),
            leaving: false,
        };
        let instances = self.locations.iter().zip(&self.peer_proxies).map(listed).collect();
        let leaving_backend_servers = leaving.to_vec();
        self.fleet.platform.set_instances(InstanceList { instances, leaving_backend_servers });
    }

    /// Waits until all instances see each other, all backend servers have an owner that dispatches
    /// to them, and every entry serves a read.
    pub fn wait_until_ready(&self) {
        self.fleet.wait_until_in_force(1);
        self.fleet.wait_until_served();
    }

    /// Removes the faults of all proxies.
    pub fn heal(&mut self) {
        let peers = self.peer_proxies.iter_mut().flat_map(|p| [&mut p.control, &mut p.relay]);
        for proxy in peers.chain(&mut self.server_proxies) {
            proxy.heal().unwrap();
        }
        self.platform.heal().unwrap();
    }

    /// Returns the index of the instance that owns a backend server.
    pub fn owner_of(&self, backend_server: &str) -> Option<usize> {
        self.fleet.daemons.iter().position(|daemon| {
            let owned = daemon.status().map(|s| s.owned_backend_servers).unwrap_or_default();
            owned.iter().any(|server| server.name == backend_server)
        })
    }

    /// Returns the names of the backend servers that an instance owns.
    pub fn owned_by(&self, at: usize) -> Vec<String> {
        let status = wait_for("a status", || self.fleet.daemons[at].status());
        status.owned_backend_servers.into_iter().map(|server| server.name).collect()
    }

    /// Returns the index of an instance that owns a backend server.
    pub fn any_owner(&self) -> usize {
        let name = &self.fleet.backends[0].0;
        wait_for("an owner of the first backend server", || self.owner_of(name))
    }

    /// Waits until another instance considers this one dead.
    pub fn wait_until_dead(&self, at: usize) {
        let name = self.locations[at].0;
        let other = &self.fleet.daemons[(at + 1) % self.locations.len()];
        wait_for("a peer to consider the instance dead", || {
            let status = other.status()?;
            let member = status.members.iter().find(|m| m.instance.as_str() == name);
            member.is_none_or(|m| m.state == "dead").then_some(())
        });
    }
}

/// Waits for a fixed time, such as the time that a fault lasts.
pub fn sleep_for(time: Duration) {
    let until = Instant::now() + time;
    wait_for("the end of a fixed time", || (Instant::now() >= until).then_some(()));
}

/// Address from which an instance connects to peers.
fn own_address(at: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, u8::try_from(at + 1).unwrap()))
}

fn local() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn bind_backends(domains: &[&str], service_time: Duration) -> Vec<(String, Backend)> {
    let mut backends = Vec::new();
    for domain in domains {
        for number in 1..=2 {
            let name = format!("ledger-{domain}-{number}");
            let behaviour = Behaviour { name: name.clone(), slots: STANDIN_SLOTS, service_time };
            let backend = Backend::bind(local(), behaviour).unwrap();
            backend.set_answer_by(answer_of_run);
            // Requests that run on after their deadline are the harder case.
            backend.set_faults(|faults| faults.ignore_deadline = true);
            backends.push((name, backend));
        }
    }
    backends
}

/// Builds the configuration with the proxies' addresses in place of the backend servers'.
fn proxied_config(domains: &[&str], backends: &[(String, Backend)], proxies: &[Proxy]) -> Value {
    let mut config = config_value(domains, backends, SLOTS);
    let servers = config["services"][0]["backend_servers"].as_array_mut().unwrap();
    for (server, proxy) in servers.iter_mut().zip(proxies) {
        server["address"] = json!(proxy.address().to_string());
    }
    // Idempotent requests with a body, for faults that depend on the body.
    let operation = json!(
        {"methods": ["PUT"], "path_prefix": "/", "rank": "standard", "idempotent": true}
    );
    config["services"][0]["operations"].as_array_mut().unwrap().push(operation);
    config
}
