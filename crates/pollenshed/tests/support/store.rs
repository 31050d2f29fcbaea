//! Support for tests of the store: instances that reach the platform through a proxy each, log
//! lines, submissions like those of `pollenshedctl submit`, and paused processes.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{fs, net::SocketAddr, process::Command, time::Duration};

use pollenshed_coordination::replication::{Outcome, SubmissionId};
use pollenshed_protocol::platform::{InstanceList, ListedInstance};
use pollenshed_standins::{platform::Faults, proxy::Proxy};
use pollenshed_state::{config::Config, ids::ConfigVersion};
use pollenshed_transport::platform::{Platform as Client, SubmitRequest, submit};
use serde_json::{Value, json};

use crate::support::{Daemon, Fleet, wait_for};

/// Faults that make the platform answer every call with 503.
pub fn store_unavailable() -> Faults {
    Faults { down: true, ..Faults::default() }
}

impl Fleet {
    /// Submits a configuration like `pollenshedctl submit` and returns the outcome.
    pub fn submit_with_floor(&self, config: &Value, floor: u64) -> Outcome {
        let config: Config = serde_json::from_value(config.clone()).unwrap();
        let document = config.canonical_json();
        let request = SubmitRequest {
            id: SubmissionId(format!("{:016x}", fastrand::u64(..))),
            document: document.as_bytes(),
            floor: ConfigVersion(floor),
            expected: None,
            timeout: Duration::from_secs(10),
        };
        submit(&Client::open(self.platform.address(), Duration::from_secs(2)), &request)
    }

    /// Returns the current configuration with this drain as the only one, which changes its digest.
    pub fn config_with_drain(&self, drain: Value) -> Value {
        let mut config = self.config.clone();
        config["drains"] = json!([drain]);
        config
    }

    /// Starts one more instance with all running ones as seed peers in its settings.
    pub fn spawn_with_seeds(&mut self, name: &str, domain: &str) {
        let mut settings = self.settings(name, domain);
        let seeds: Vec<SocketAddr> = self.daemons.iter().map(|d| d.peer_endpoint).collect();
        settings["seed_peers"] = json!(seeds);
        let daemon = Daemon::spawn(&self.workdir, &settings);
        self.daemons.push(daemon);
    }

    /// Kills an instance and removes it from the fleet.
    pub fn remove(&mut self, name: &str) {
        let at = self.daemons.iter().position(|d| d.name == name).unwrap();
        self.daemons.remove(at).kill();
    }

    /// Sends a read and a filing through each entry; all of them must be `done`.
    pub fn expect_served(&self) {
        for daemon in &self.daemons {
            let url = format!("http://{}/v1/run/ledger/page", daemon.caller_endpoint);
            let lookup = format!("http://{}/v1/lookup?service=ledger", daemon.caller_endpoint);
            expect_done(&daemon.name, agent().get(&url).call());
            let answer: Value =
                agent().get(&lookup).call().unwrap().body_mut().read_json().unwrap();
            let binding = answer["binding"].as_str().unwrap();
            let ticket = format!("{binding}/{:016x}", fastrand::u64(..));
            let filing = agent().post(&url).header("pollenshed-ticket", &ticket);
            expect_done(&daemon.name, filing.send("x"));
        }
    }

    /// Waits until each entry serves a read and a filing.
    ///
    /// After restarts an entry may refuse as `not-run`, because it knows no headroom yet or its
    /// backend servers count as cold. Callers resend such a request, and so does this function.
    pub fn wait_until_each_serves(&self) {
        for daemon in &self.daemons {
            let url = format!("http://{}/v1/run/ledger/page", daemon.caller_endpoint);
            wait_for("a served read", || ureq::get(&url).call().ok());
            let key = || format!("{:016x}", fastrand::u64(..));
            wait_for("a served filing", || {
                let lookup = format!("http://{}/v1/lookup?service=ledger", daemon.caller_endpoint);
                let answer: Value = ureq::get(&lookup).call().ok()?.body_mut().read_json().ok()?;
                let ticket = format!("{}/{}", answer["binding"].as_str()?, key());
                ureq::post(&url).header("pollenshed-ticket", &ticket).send("x").ok()
            });
        }
    }

    /// Counts the log lines of an instance that contain a text.
    pub fn log_lines(&self, name: &str, text: &str) -> usize {
        let log = fs::read_to_string(self.workdir.path.join(format!("{name}.log"))).unwrap();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Waits until `reads` further reads have reached the platform.
    pub fn wait_for_reads(&self, reads: u64) {
        let before = self.platform.counts();
        wait_for("reads of the platform", || {
            (self.platform.counts().since(before).reads >= reads).then_some(())
        });
    }

    /// Waits until each instance has its version of this list in force.
    pub fn wait_for_versions(&self, versions: &[u64]) {
        wait_for("the versions in force", || {
            let status = self.daemons.iter().map(|d| d.status().map(|s| s.config_version));
            (status.collect::<Option<Vec<_>>>()? == versions).then_some(())
        });
    }
}

/// Instances of one failure domain, each of which reaches the platform through its own proxy.
pub struct DomainFleet {
    /// The fleet, of this failure domain only.
    pub fleet: Fleet,
    /// Proxy between each instance and the platform, in the order of the instances.
    pub platform_proxies: Vec<Proxy>,
}

impl DomainFleet {
    /// Starts `count` instances named `north-a-1` and so on and waits until all see each other.
    pub fn start(count: usize, behaviour: &pollenshed_standins::backend::Behaviour) -> DomainFleet {
        let mut fleet = Fleet::start(&["north-a"], behaviour);
        fleet.remove("north-a-1");
        let mut platform_proxies = Vec::new();
        for number in 1..=count {
            let proxy = Proxy::bind(fleet.platform.address()).unwrap();
            let mut settings = fleet.settings(&format!("north-a-{number}"), "north-a");
            settings["platform_address"] = json!(proxy.address().to_string());
            let daemon = Daemon::spawn(&fleet.workdir, &settings);
            fleet.daemons.push(daemon);
            platform_proxies.push(proxy);
        }
        list_instances_at(&fleet, |_, daemon| daemon.peer_endpoint);
        fleet.wait_until_in_force(1);
        DomainFleet { fleet, platform_proxies }
    }

    /// Waits until two instances are readers and returns their positions.
    pub fn readers(&self) -> Vec<usize> {
        wait_for("two readers", || {
            let is_reader = |daemon: &Daemon| {
                let count = |text| self.fleet.log_lines(&daemon.name, text);
                count("reader: polls the platform") > count("reader: no longer polls")
            };
            let positions = 0..self.fleet.daemons.len();
            let readers: Vec<_> =
                positions.filter(|n| is_reader(&self.fleet.daemons[*n])).collect();
            (readers.len() == 2).then_some(readers)
        })
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder().http_status_as_error(false).build().into()
}

fn expect_done(name: &str, answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) {
    let mut answer = answer.unwrap();
    let outcome = answer.headers().get("pollenshed-outcome").cloned();
    let reason = answer.headers().get("pollenshed-reason").cloned();
    let body = answer.body_mut().read_to_string().unwrap();
    assert_eq!(outcome.unwrap(), "done", "{name}: {reason:?} {body}");
}

/// Sets the platform's list to all running instances, each with the address that `address` returns.
pub fn list_instances_at(fleet: &Fleet, address: impl Fn(usize, &Daemon) -> SocketAddr) {
    let listed = |(number, daemon): (usize, &Daemon)| ListedInstance {
        name: daemon.name.parse().unwrap(),
        failure_domain: daemon.name[..7].parse().unwrap(),
        peer_address: address(number, daemon),
        leaving: false,
    };
    let instances = fleet.daemons.iter().enumerate().map(listed).collect();
    fleet.platform.set_instances(InstanceList { instances, ..InstanceList::default() });
}

/// Sends a signal to an instance that this test started.
pub fn signal(daemon: &Daemon, signal: &str) {
    let status = Command::new("kill").args([signal, &daemon.pid().to_string()]).status().unwrap();
    assert!(status.success());
}

/// Returns an address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
