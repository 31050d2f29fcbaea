//! A fleet of real instance processes with stand-ins for the platform and the backend servers, in a
//! temporary folder of its own.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod callers;
pub mod closed_loop;
pub mod deployment;
pub mod faults;
pub mod load;
pub mod raw;
pub mod rounds;
pub mod sources;

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use pollenshed_protocol::{
    operator::StatusBody,
    platform::{CONFIG_TABLE, HEAD_KEY, Head, InstanceList, ListedInstance},
};
use pollenshed_standins::{
    backend::{Backend, Behaviour},
    platform::Platform,
};
use pollenshed_state::{config::Config, ids::Digest};
use serde_json::{Value, json};

/// Longest time that a test waits for a condition. A full shift at 20% in 5 s takes 25 s.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(45);

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);

/// A temporary folder that is removed on drop unless `KEEP_TEST_FOLDERS` is set.
pub struct Workdir {
    /// Path of the folder.
    pub path: PathBuf,
}

impl Workdir {
    /// Creates an empty folder.
    pub fn create() -> Workdir {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::SeqCst);
        let name = format!("pollenshed-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Workdir { path }
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_TEST_FOLDERS").is_none() {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// One instance process. It is killed when dropped.
pub struct Daemon {
    /// Name of the instance.
    pub name: String,
    /// Address where it accepts callers.
    pub caller_endpoint: SocketAddr,
    /// Address where it accepts operators.
    pub operator_endpoint: SocketAddr,
    /// Address where it accepts control messages of peers.
    pub peer_endpoint: SocketAddr,
    /// Address where it accepts requests relayed by peers.
    pub relay_endpoint: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Starts a process with these settings and waits until it has printed its addresses.
    pub fn spawn(workdir: &Workdir, settings: &Value) -> Daemon {
        let name = settings["instance"].as_str().unwrap().to_owned();
        let file = workdir.path.join(format!("{name}.json"));
        fs::write(&file, serde_json::to_string_pretty(settings).unwrap()).unwrap();
        let log = fs::File::create(workdir.path.join(format!("{name}.log"))).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_pollenshed"))
            .arg("serve")
            .arg(&file)
            .env("RUST_LOG", "info")
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut ready = |what: &str| {
            let line = lines.next().expect("the process ended before it was ready").unwrap();
            let prefix = format!("ready: {what} http://");
            line.strip_prefix(&prefix).expect("unexpected ready line").parse().unwrap()
        };
        let (caller_endpoint, operator_endpoint) = (ready("callers"), ready("operators"));
        let (peer_endpoint, relay_endpoint) = (ready("peers"), ready("relay"));
        Daemon { name, caller_endpoint, operator_endpoint, peer_endpoint, relay_endpoint, child }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has exited and returns whether its status is success.
    pub fn wait_for_end(&mut self) -> bool {
        wait_for("the end of the process", || self.child.try_wait().unwrap()).success()
    }

    /// Reads `/v1/status`; `None` if the instance does not answer.
    pub fn status(&self) -> Option<StatusBody> {
        let url = format!("http://{}/v1/status", self.operator_endpoint);
        ureq::get(url).call().ok()?.body_mut().read_json().ok()
    }

    /// Returns the peak resident memory of the process, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `condition` returns a value, and panics after [`CONDITION_TIMEOUT`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < CONDITION_TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Platform, backend servers and instance processes of one user.
pub struct Fleet {
    /// Folder with settings and logs.
    pub workdir: Workdir,
    /// The platform stand-in.
    pub platform: Platform,
    /// Backend server stand-ins by name.
    pub backends: Vec<(String, Backend)>,
    /// Instance processes.
    pub daemons: Vec<Daemon>,
    /// Configuration that was submitted last.
    pub config: Value,
}

/// Failure domains of the test fleet, two in each of two regions.
pub const DOMAINS: [&str; 4] = ["north-a", "north-b", "south-a", "south-b"];

impl Fleet {
    /// Starts backend servers and one instance per failure domain in `domains`, submits a
    /// configuration and waits until it is in force everywhere.
    pub fn start(domains: &[&str], behaviour: &Behaviour) -> Fleet {
        let workdir = Workdir::create();
        let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut backends = Vec::new();
        for domain in domains {
            for number in 1..=2 {
                let name = format!("ledger-{domain}-{number}");
                let behaviour = Behaviour { name: name.clone(), ..behaviour.clone() };
                let backend = Backend::bind("127.0.0.1:0".parse().unwrap(), behaviour).unwrap();
                backends.push((name, backend));
            }
        }
        let config = config_value(domains, &backends, behaviour.slots);
        let mut fleet =
            Fleet { workdir, platform, backends, daemons: Vec::new(), config: config.clone() };
        fleet.submit(&config);
        for domain in domains {
            let settings = fleet.settings(&format!("{domain}-1"), domain);
            let daemon = Daemon::spawn(&fleet.workdir, &settings);
            fleet.daemons.push(daemon);
        }
        fleet.list_instances();
        fleet.wait_until_in_force(1);
        fleet.wait_until_served();
        fleet
    }

    /// Waits until every backend server has an owner that dispatches to it.
    pub fn wait_until_served(&self) {
        wait_for("an owner for every backend server", || {
            let statuses: Option<Vec<_>> = self.daemons.iter().map(Daemon::status).collect();
            let owned = statuses?.into_iter().flat_map(|s| s.owned_backend_servers);
            (owned.filter(|s| s.limit > 0).count() >= self.backends.len()).then_some(())
        });
        // Entries learn from the next gossip that an owner has begun to dispatch.
        for daemon in &self.daemons {
            let url = format!("http://{}/v1/run/ledger/ready", daemon.caller_endpoint);
            wait_for("a served read at each entry", || ureq::get(&url).call().ok());
        }
    }

    /// Returns the settings of an instance that listens on free ports.
    pub fn settings(&self, instance: &str, domain: &str) -> Value {
        json!({
            "instance": instance,
            "failure_domain": domain,
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "relay_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "platform_address": self.platform.address().to_string(),
        })
    }

    /// Sets the platform's list to all running instances.
    pub fn list_instances(&self) {
        let listed = |daemon: &Daemon| ListedInstance {
            name: daemon.name.parse().unwrap(),
            failure_domain: domain_of(&daemon.name).parse().unwrap(),
            peer_address: daemon.peer_endpoint,
            leaving: false,
        };
        let instances = self.daemons.iter().map(listed).collect();
        self.platform.set_instances(InstanceList { instances, ..InstanceList::default() });
    }

    /// Writes a configuration and its head row to the platform, as `pollenshedctl submit` does.
    pub fn submit(&mut self, config: &Value) {
        let parsed: Config = serde_json::from_value(config.clone()).unwrap();
        let document = serde_json::to_vec_pretty(&parsed).unwrap();
        let digest = Digest::of(&document);
        let timeout = Duration::from_secs(5);
        let client =
            pollenshed_transport::platform::Platform::open(self.platform.address(), timeout);
        client.put_object(&digest.hex(), &document).unwrap();
        let row = client.get_row(CONFIG_TABLE, HEAD_KEY).unwrap();
        let revision = row.map_or(0, |row| row.revision);
        let head = Head {
            version: revision + 1,
            digest: digest.to_string(),
            submission_id: format!("test-{revision}"),
            past: Vec::new(),
        };
        let value = serde_json::to_value(head).unwrap();
        client.put_row(CONFIG_TABLE, HEAD_KEY, revision, value).unwrap();
        self.config = config.clone();
    }

    /// Waits until this configuration version or a later one is in force in all instances and all
    /// see each other alive.
    pub fn wait_until_in_force(&self, version: u64) {
        for daemon in &self.daemons {
            wait_for("the configuration to be in force everywhere", || {
                let status = daemon.status()?;
                let alive = status.members.iter().filter(|m| m.state == "alive").count();
                (status.config_version >= version && alive == self.daemons.len()).then_some(())
            });
        }
    }

    /// Counts the lines of an instance's log that contain `text`, such as the event of a new
    /// configuration, and have all these fields.
    pub fn config_lines(&self, name: &str, text: &str, fields: &[(&str, &str)]) -> usize {
        let log = fs::read_to_string(self.workdir.path.join(format!("{name}.log"))).unwrap();
        let has = |line: &str| {
            fields.iter().all(|(key, value)| deployment::log_field(line, key) == Some(value))
        };
        log.lines().filter(|line| line.contains(text) && has(line)).count()
    }

    /// Returns the name of a backend server that ran a request with this body.
    pub fn backend_that_ran(&self, body: &[u8]) -> Option<String> {
        let ran = |b: &Backend| b.runs().iter().any(|run| run.body == body);
        self.backends.iter().find(|(_, b)| ran(b)).map(|(name, _)| name.clone())
    }

    /// Counts the runs of requests with this body over all backend servers.
    pub fn runs_of(&self, body: &[u8]) -> usize {
        self.backends.iter().flat_map(|(_, b)| b.runs()).filter(|run| run.body == body).count()
    }
}

/// Returns the failure domain of an instance named `<failure domain>-<number>`.
pub fn domain_of(instance: &str) -> &str {
    instance.rsplit_once('-').unwrap().0
}

/// Builds the configuration of the test fleet.
pub fn config_value(domains: &[&str], backends: &[(String, Backend)], slots: u64) -> Value {
    let servers: Vec<Value> = backends
        .iter()
        .map(|(name, backend)| {
            let domain = domains.iter().find(|d| name.contains(*d)).unwrap();
            json!({
                "name": name,
                "failure_domain": domain,
                "address": backend.address().to_string(),
                "slots": slots,
                "connections": 360,
            })
        })
        .collect();
    let regions: Vec<Value> = ["north", "south"]
        .iter()
        .map(|region| {
            let domains: Vec<_> = domains.iter().filter(|d| d.starts_with(region)).collect();
            json!({"name": region, "failure_domains": domains})
        })
        .filter(|region| !region["failure_domains"].as_array().unwrap().is_empty())
        .collect();
    json!({
        "format": 1,
        "user": "test",
        "regions": regions,
        "network": {
            "between_failure_domains_us": 1500,
            "between_regions_us": 10000,
            "to_clients_us": 10000,
            "region_link_bits_per_s": 4_000_000_000u64,
            "region_link_share_percent": 50,
        },
        "ranks": [
            {"rank": "urgent", "min_share_percent": 50, "deadline_ms": 2000},
            {"rank": "standard", "min_share_percent": 30, "deadline_ms": 5000},
            {"rank": "deferrable", "min_share_percent": 10, "deadline_ms": 10000},
        ],
        "services": [{
            "name": "ledger",
            "operations": [
                {"methods": ["GET"], "path_prefix": "/", "rank": "urgent", "idempotent": true},
                {"methods": ["POST"], "path_prefix": "/", "rank": "standard", "idempotent": false},
            ],
            "max_request_bytes": 1_048_576,
            "max_answer_bytes": 1_048_576,
            "max_upload_bytes": 268_435_456,
            "shift": {"cap_percent": 20, "cold_cap_percent": 10, "interval_ms": 1000},
            "retry_budget_percent": 10,
            "backend_servers": servers,
        }],
        "drains": [],
    })
}
