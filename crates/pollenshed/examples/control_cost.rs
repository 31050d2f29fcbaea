//! Measures CPU time, memory and control traffic of idle instance processes for several numbers of
//! instances.
//!
//! `cargo build --release -p pollenshed && cargo run --release -p pollenshed --example control_cost
//! target/release/pollenshed [without-config | SERVERS]`
//!
//! If SERVERS is given, the configuration has that many backend servers, all in a region without
//! instances, so that the bytes of a change do not include control messages of owners.
//!
//! All instances are in one failure domain and have the configuration of one user, whose backend
//! servers do not answer. Each instance announces a proxy as its peer address. The proxy counts the
//! bytes of control messages, without TCP and IP headers. The bytes of a change are those above the
//! idle rate while changes are submitted.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr, eyre};
use pollenshed_coordination::replication::{Outcome, SubmissionId};
use pollenshed_protocol::{
    operator::StatusBody,
    platform::{InstanceList, ListedInstance},
};
use pollenshed_standins::{
    platform::Platform,
    proxy::{Direction, Proxy},
};
use pollenshed_state::{
    config::{BackendServer, Config},
    ids::ConfigVersion,
    units::Slots,
};
use pollenshed_transport::platform::{Platform as Client, SubmitRequest, submit};
use serde_json::json;

const CONFIG: &str = include_str!("../../operators/tests/golden/cali.json");

/// Number of changes that are submitted and timed.
const CHANGES: usize = 10;
/// Timeout until a change is in force at all instances.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a status request to an instance.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the start of the instances to the measurement, and timeout of a submission.
const WARM_UP: Duration = Duration::from_secs(5);
/// Length of the measurement of idle instances.
const MEASUREMENT: Duration = Duration::from_secs(10);
/// Ticks of CPU time per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

struct Process {
    child: Child,
    proxy: Proxy,
    name: String,
    operators: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() -> Result<()> {
    let binary = std::env::args()
        .nth(1)
        .ok_or_else(|| eyre!("expected the path of the pollenshed binary"))?;
    let directory = std::env::temp_dir().join(format!("pollenshed-cost-{}", std::process::id()));
    fs::create_dir_all(&directory)?;
    println!(
        "instances cpu%/instance rss_MB/instance control_B/s/instance platform_reads/s \
         mean_change_ms max_change_ms document_B B/change/instance"
    );
    for count in [3, 6, 10, 20] {
        measure(count, Path::new(&binary), &directory)?;
    }
    fs::remove_dir_all(&directory).wrap_err("cannot remove the working directory")
}

fn measure(count: usize, binary: &Path, directory: &Path) -> Result<()> {
    let platform = Platform::bind(([127, 0, 0, 1], 0).into())?;
    let mode = std::env::args().nth(2);
    let with_config = mode.as_deref() != Some("without-config");
    let servers = mode.and_then(|text| text.parse().ok());
    if with_config {
        submit_config(&platform, servers, 0)?;
    }
    let fleet: Vec<Process> = (0..count)
        .map(|number| spawn(number, platform.address(), binary, directory))
        .collect::<Result<_>>()?;
    let instances = fleet.iter().map(|p| {
        Ok(ListedInstance {
            name: p.name.parse()?,
            failure_domain: "palermo-a".parse()?,
            peer_address: p.proxy.address(),
            leaving: false,
        })
    });
    let instances = instances.collect::<Result<_>>()?;
    platform.set_instances(InstanceList { instances, ..InstanceList::default() });
    thread::sleep(WARM_UP);
    let before = (cpu_s(&fleet), control_bytes(&fleet), platform.counts().reads);
    thread::sleep(MEASUREMENT);
    let after = (cpu_s(&fleet), control_bytes(&fleet), platform.counts().reads);
    let per_instance = |total: f64| total / count as f64 / MEASUREMENT.as_secs_f64();
    let (start, start_bytes) = (Instant::now(), control_bytes(&fleet));
    let changes =
        if with_config { change_times_ms(&fleet, &platform, servers)? } else { Vec::new() };
    let idle_bytes =
        (after.1 - before.1) as f64 * start.elapsed().as_secs_f64() / MEASUREMENT.as_secs_f64();
    let change_bytes = (control_bytes(&fleet) - start_bytes) as f64 - idle_bytes;
    println!(
        "{count} {:.2} {:.1} {:.0} {:.1} {:.0} {:.0} {} {:.0}",
        per_instance((after.0 - before.0) * 100.0),
        rss_bytes(&fleet) / count as f64 / 1e6,
        // Each byte is sent by one instance and received by another.
        per_instance((after.1 - before.1) as f64 * 2.0),
        (after.2 - before.2) as f64 / MEASUREMENT.as_secs_f64(),
        changes.iter().sum::<f64>() / changes.len().max(1) as f64,
        changes.iter().copied().fold(0.0, f64::max),
        document(servers, 0)?.len(),
        change_bytes * 2.0 / (count * CHANGES) as f64
    );
    Ok(())
}

/// Returns the document of a change, which sets the slots of one backend server.
fn document(servers: Option<usize>, number: usize) -> Result<String> {
    let mut config: Config = serde_json::from_str(CONFIG)?;
    if let Some(servers) = servers {
        let per_service = servers / config.services.len();
        for service in &mut config.services {
            let first = service.backend_servers[0].clone();
            let server = |n: usize| -> Result<BackendServer> {
                Ok(BackendServer {
                    name: format!("{}-server-{n}", service.name).parse()?,
                    failure_domain: "siracusa-a".parse()?,
                    ..first.clone()
                })
            };
            service.backend_servers = (0..per_service).map(server).collect::<Result<_>>()?;
        }
    }
    let server = config.services[1].backend_servers.last_mut();
    server.ok_or_else(|| eyre!("the service has no backend server"))?.slots =
        Slots(1 + number as u64);
    Ok(config.canonical_json())
}

fn submit_config(platform: &Platform, servers: Option<usize>, number: usize) -> Result<()> {
    let document = document(servers, number)?;
    let request = SubmitRequest {
        id: SubmissionId(format!("control-cost-{number}")),
        document: document.as_bytes(),
        floor: ConfigVersion(0),
        expected: None,
        timeout: WARM_UP,
    };
    match submit(&Client::open(platform.address(), WARM_UP), &request) {
        Outcome::Accepted { .. } => Ok(()),
        outcome => Err(eyre!("the configuration was not accepted: {outcome:?}")),
    }
}

/// Submits changes and returns the time until each was in force at all instances, in milliseconds.
fn change_times_ms(
    fleet: &[Process],
    platform: &Platform,
    servers: Option<usize>,
) -> Result<Vec<f64>> {
    let mut times = Vec::new();
    for number in 1..=CHANGES {
        let start = Instant::now();
        submit_config(platform, servers, number)?;
        let version = number as u64 + 1;
        for process in fleet {
            let url = format!("{}/v1/status", process.operators);
            let status = || -> Option<StatusBody> {
                let get = ureq::get(&url).config().timeout_global(Some(STATUS_TIMEOUT)).build();
                get.call().ok()?.body_mut().read_json().ok()
            };
            loop {
                let found = status().map(|s| s.config_version);
                if found >= Some(version) {
                    break;
                }
                if start.elapsed() > CHANGE_TIMEOUT {
                    let name = &process.name;
                    return Err(eyre!("change {number} did not reach {name}: status {found:?}"));
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    Ok(times)
}

fn spawn(number: usize, platform: SocketAddr, binary: &Path, directory: &Path) -> Result<Process> {
    let name = format!("palermo-a-{number}");
    let mut proxy = Proxy::bind(([127, 0, 0, 1], 1).into())?;
    let settings = json!({
        "instance": name,
        "failure_domain": "palermo-a",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "relay_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "platform_address": platform.to_string(),
        "announced_peer_address": proxy.address().to_string(),
    });
    let file: PathBuf = directory.join(format!("{name}.json"));
    fs::write(&file, settings.to_string())?;
    let mut child = Command::new(binary)
        .arg("serve")
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    // The pipe stays open until the process ends, so that the instance can print all of its lines.
    let out = child
        .stdout
        .as_mut()
        .ok_or_else(|| eyre!("the standard output of {name} is not a pipe"))?;
    let mut lines = BufReader::new(out).lines().map_while(Result::ok);
    let mut ready = |prefix: &str| {
        let found = lines.find_map(|l| l.strip_prefix(prefix).map(str::to_owned));
        found.ok_or_else(|| eyre!("{name} did not start"))
    };
    let operators = ready("ready: operators ")?;
    let peers = ready("ready: peers http://")?;
    proxy.set_target(peers.parse()?);
    proxy.heal()?;
    Ok(Process { child, proxy, name, operators })
}

fn cpu_s(fleet: &[Process]) -> f64 {
    let ticks = |p: &Process| -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", p.child.id())).unwrap_or_default();
        // User and system time are the 12th and 13th field after the name in parentheses.
        let rest = stat.rsplit(')').next().unwrap_or_default();
        rest.split_whitespace().skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum()
    };
    fleet.iter().map(ticks).sum::<f64>() / TICKS_PER_S
}

fn rss_bytes(fleet: &[Process]) -> f64 {
    let pages = |p: &Process| -> f64 {
        let statm = fs::read_to_string(format!("/proc/{}/statm", p.child.id())).unwrap_or_default();
        statm.split_whitespace().nth(1).and_then(|f| f.parse().ok()).unwrap_or(0.0)
    };
    fleet.iter().map(pages).sum::<f64>() * 4096.0
}

/// Returns the bytes of control messages that the proxies have forwarded.
fn control_bytes(fleet: &[Process]) -> u64 {
    let both_ways = |p: &Process| {
        p.proxy.forwarded_bytes(Direction::ToTarget) + p.proxy.forwarded_bytes(Direction::ToCaller)
    };
    fleet.iter().map(both_ways).sum()
}
