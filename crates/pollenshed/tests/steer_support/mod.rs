//! Starts real `pollenshed steer` processes with a simulated store and simulated backend servers.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod received;

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use pollenshed_standins::steered::{Server, ServerOptions, Store, StoreEndpoint};
use serde_json::{Value, json};

/// Maximum time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Host of the routes in [`config`].
pub const HOST: &str = "calendar.example";

const CALLERS_PORT: u16 = 8641;
const LOOKUP_PORT: u16 = 8644;
const READY_PORT: u16 = 8640;
pub const PEER_PORT: u16 = 7620;
const METRICS_PORT: u16 = 9464;

static NEXT_FLEET: AtomicU16 = AtomicU16::new(0);

/// Polls `condition` until it returns a value. Panics after [`WAIT_TIMEOUT`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "no {what} within {WAIT_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Names in lower case and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body as text.
    pub body: String,
}

impl Answer {
    /// Returns the first header with this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// Connection of a caller.
pub struct Caller(BufReader<TcpStream>);

impl Caller {
    /// Connects to an address and panics if that fails.
    pub fn connect(address: SocketAddr) -> Caller {
        Caller::open(address, WAIT_TIMEOUT).unwrap()
    }

    /// Connects to an address that may have no listener. `timeout` is the limit for connecting and
    /// for each read.
    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Caller> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Caller(BufReader::new(stream)))
    }

    /// Sends a request and returns the response, if the connection lasts until then.
    pub fn exchange(&mut self, text: &str) -> Option<Answer> {
        self.0.get_mut().write_all(text.as_bytes()).ok()?;
        self.read()
    }

    /// Sends a request without waiting for the response.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends a request and ignores errors, because the connection may have ended.
    pub fn send_only(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// Reads a response. Returns `None` if the connection ends before it is complete.
    pub fn read(&mut self) -> Option<Answer> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if line.trim_end().is_empty() {
                break;
            }
            lines.push(line.trim_end().to_owned());
        }
        let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
        let headers: Vec<_> = lines[1..]
            .iter()
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
            .collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).ok()?;
        Some(Answer { status, headers, body: String::from_utf8(body).unwrap() })
    }
}

/// Returns the bytes of a request as text.
pub fn request(method: &str, path: &str, id: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A process of one instance. It is killed on drop.
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address that only this instance uses.
    pub ip: IpAddr,
    /// Path of the settings file.
    pub file: PathBuf,
    child: Child,
}

impl Instance {
    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Sends a request on a new connection and returns the response.
    pub fn call(&self, text: &str) -> Option<Answer> {
        let mut caller = Caller::connect(self.callers());
        caller.send(text);
        caller.read()
    }

    /// Sends an idempotent request.
    pub fn get(&self, path: &str, id: &str) -> Option<Answer> {
        self.call(&request("GET", path, id, "X-Affinity-Key: 1\r\n", ""))
    }

    /// Sends a request that may be executed at most once.
    pub fn post(&self, path: &str, id: &str, body: &str) -> Option<Answer> {
        self.call(&request("POST", path, id, "X-Affinity-Key: 1\r\n", body))
    }

    /// Returns the status of the readiness check.
    pub fn ready(&self) -> Option<u16> {
        let stream = TcpStream::connect(SocketAddr::new(self.ip, READY_PORT)).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        let mut caller = Caller(BufReader::new(stream));
        caller.send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        caller.read().map(|answer| answer.status)
    }

    /// Scrapes the metrics.
    pub fn metrics(&self) -> String {
        let mut caller = Caller::connect(SocketAddr::new(self.ip, METRICS_PORT));
        caller.send("GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n");
        caller.read().unwrap().body
    }

    /// Returns the address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT)
    }

    /// Looks up the instances to use.
    pub fn lookup(&self, query: &str) -> Option<Answer> {
        let mut caller = Caller::connect(SocketAddr::new(self.ip, LOOKUP_PORT));
        caller.send(&format!("GET /resolve?{query} HTTP/1.1\r\nHost: lookup\r\n\r\n"));
        caller.read()
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    /// Returns whether the process succeeded, or `None` if it is still running.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().unwrap().map(|status| status.success())
    }

    /// Returns the log of the process.
    pub fn log(&self) -> String {
        fs::read_to_string(self.file.with_extension("log")).unwrap()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A store, backend servers and instances.
pub struct Fleet {
    /// Simulated store.
    pub store: Store,
    /// Address of the store for instances that get no other one.
    pub store_endpoint: StoreEndpoint,
    /// Backend servers by number.
    pub servers: Vec<Server>,
    /// Instances by number.
    pub instances: Vec<Instance>,
    /// Number of other instances up to which a region is not large, for instances that are started
    /// from now on.
    pub full_mesh_peers: usize,
    /// Memory of instances that are started from now on.
    pub memory_mb: u64,
    folder: PathBuf,
    number: u16,
    sequence: u64,
    /// Start times of the runs of the servers.
    started_at_ms: Vec<u64>,
}

impl Fleet {
    /// Starts a store with a configuration, and a server of the service `tables` for each of
    /// `options`.
    pub fn open(options: Vec<ServerOptions>) -> Fleet {
        let number = NEXT_FLEET.fetch_add(1, Ordering::SeqCst);
        let name = format!("pollenshed-steer-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        let store = Store::open();
        let store_endpoint = store.bind().unwrap();
        store.put("op", "config", config(1).to_string().as_bytes());
        let servers: Vec<_> = options.into_iter().map(|o| Server::bind(o).unwrap()).collect();
        let instances = Vec::new();
        let started_at_ms = vec![1; servers.len()];
        let mut fleet = Fleet {
            store,
            store_endpoint,
            servers,
            instances,
            full_mesh_peers: 40,
            memory_mb: 260,
            folder,
            number,
            sequence: 0,
            started_at_ms,
        };
        for server in 0..fleet.servers.len() {
            fleet.announce(server, "ready");
        }
        fleet
    }

    /// Starts this many servers, named `i-0` and so on, and instances, all in `palermo-a`.
    pub fn with(servers: usize, instances: usize) -> Fleet {
        let options = |number| ServerOptions { name: format!("i-{number}"), ..Default::default() };
        let mut fleet = Fleet::open((0..servers).map(options).collect());
        for _ in 0..instances {
            fleet.start("palermo-a");
        }
        fleet.wait_until_ready();
        fleet
    }

    /// Writes the record of a server to the store.
    pub fn announce(&mut self, server: usize, state: &str) {
        self.sequence += 1;
        let started_at_ms = self.started_at_ms[server];
        let server = &self.servers[server];
        let announcement = server.announcement(state, 0, self.sequence);
        let mut announcement: Value = serde_json::from_slice(&announcement).unwrap();
        announcement["born"] = json!(started_at_ms);
        self.store.put("servers", server.name(), announcement.to_string().as_bytes());
    }

    /// Announces that a server was started again under its name and at its address.
    pub fn restart_server(&mut self, server: usize) {
        self.started_at_ms[server] += 1;
        self.announce(server, "ready");
    }

    /// Starts an instance.
    pub fn start(&mut self, failure_domain: &str) {
        let store = self.store_endpoint.address();
        self.start_with(failure_domain, store);
    }

    /// Starts an instance that uses another address of the store.
    pub fn start_with(&mut self, failure_domain: &str, store: SocketAddr) {
        self.start_with_seed(failure_domain, store, self.ip(0));
    }

    /// Starts an instance that knows only this one at its start.
    pub fn start_with_seed(&mut self, failure_domain: &str, store: SocketAddr, seed: Ipv4Addr) {
        let number = self.instances.len();
        let name = format!("front-{number}");
        let file = self.folder.join(format!("{name}.json"));
        let ip = self.ip(number);
        let mut settings = settings(&name, failure_domain, ip, store);
        settings["memory_mb"] = json!(self.memory_mb);
        settings["full_mesh_peers"] = json!(self.full_mesh_peers);
        settings["seeds"] = json!([format!("{seed}:8649")]);
        fs::write(&file, serde_json::to_string_pretty(&settings).unwrap()).unwrap();
        let child = spawn(&file);
        self.instances.push(Instance { name, ip: ip.into(), file, child });
    }

    /// Kills an instance if it still runs, and starts it again.
    pub fn restart(&mut self, number: usize) {
        let _ = self.instances[number].child.kill();
        let _ = self.instances[number].child.wait();
        let child = spawn(&self.instances[number].file);
        self.instances[number].child = child;
    }

    /// Waits until all instances are ready and know each other.
    pub fn wait_until_ready(&self) {
        for instance in &self.instances {
            wait_for("readiness", || (instance.ready() == Some(200)).then_some(()));
            wait_for("membership", || {
                let answer = instance.lookup("name=calendar.example")?;
                let known = answer.body.matches("8641").count();
                (known == self.instances.len()).then_some(())
            });
        }
    }

    /// Each instance has its own loopback address, so that all use the same ports, as on the users'
    /// machines.
    pub fn ip(&self, instance: usize) -> Ipv4Addr {
        let process = std::process::id() % (1 << 14);
        let number = u32::from(self.number) % (1 << 6);
        let host = (process << 10) | (number << 4) | (instance as u32 + 1);
        Ipv4Addr::from((127 << 24) | host)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.instances.clear();
        if std::env::var_os("KEEP_TEST_FOLDERS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn spawn(file: &PathBuf) -> Child {
    let log =
        fs::OpenOptions::new().create(true).append(true).open(file.with_extension("log")).unwrap();
    Command::new(env!("CARGO_BIN_EXE_pollenshed"))
        .arg("steer")
        .arg(file)
        .env("POLLENSHED_NODE_FILE", file)
        .stdout(Stdio::from(log.try_clone().unwrap()))
        .stderr(log)
        .spawn()
        .unwrap()
}

/// Returns the settings of an instance.
pub fn settings(name: &str, failure_domain: &str, ip: Ipv4Addr, store: SocketAddr) -> Value {
    json!({
        "instance": name,
        "failure_domain": failure_domain,
        "failure_domains": {
            "palermo-a": "palermo", "palermo-b": "palermo", "catania-a": "catania",
        },
        "callers_address": format!("{ip}:{CALLERS_PORT}"),
        "lookup_address": format!("{ip}:{LOOKUP_PORT}"),
        "ready_address": format!("{ip}:{READY_PORT}"),
        "peer_ip": ip.to_string(),
        "peer_port": PEER_PORT,
        "metrics_address": format!("{ip}:{METRICS_PORT}"),
        "store_address": store.to_string(),
        "memory_mb": 260,
        "max_descriptors": 4100,
        "bounds": { "drain": "2000ms", "grace": "6s", "config_apply": "2000ms",
            "quota_window": "5s", "quota_overage": 0.1, "quota_slack": 20 },
    })
}

/// Returns a configuration with an idempotent route `/read/`, and routes `/file/` and `/scan/`
/// whose requests are executed at most once.
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, priority: u32| {
        json!({
            "name": name, "prefix": format!("/{name}/"), "kind": kind, "timeout": "3000ms",
            "target_latency": "500ms", "priority": priority, "service": "tables",
            "max_attempts": 2, "session_affinity": true, "allowed_regions": [],
        })
    };
    json!({
        "version": version,
        "services": [{
            "name": "tables", "health_path": "/healthz", "max_connections": 360, "protocol": "h1",
            "tls": false, "cold_start": "3s", "cold_per_s": 1.9,
        }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4_000_000, "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "virtual_hosts": [{
            "host": HOST,
            "paths": [route("read", "safe", 0), route("file", "unsafe", 1), route("scan", "upload", 1)],
        }],
    })
}
