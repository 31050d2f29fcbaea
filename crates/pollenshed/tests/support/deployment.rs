//! Complete deployments of the two users, from the configuration that the operators' library
//! prints.

use std::{
    fs,
    path::Path,
    time::{Duration, Instant},
};

use pollenshed_protocol::caller::BACKEND_SERVER_HEADER;
use pollenshed_standins::{
    backend::{Backend, Behaviour},
    platform::Platform,
};
use serde_json::Value;

use super::{Daemon, Fleet, Workdir, domain_of, wait_for};

/// Number of instances of a user. They are spread over the failure domains in turn, so the first
/// failure domains may have one more than the others.
pub const INSTANCES: usize = 10;

/// Reads the configuration of a user as the operators' library prints it.
pub fn golden_config(user: &str) -> Value {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../operators/tests/golden");
    let text = fs::read_to_string(folder.join(format!("{user}.json"))).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// Returns the failure domains of a configuration, in its order.
pub fn domains(config: &Value) -> Vec<String> {
    let regions = config["regions"].as_array().unwrap();
    let domains = regions.iter().flat_map(|r| r["failure_domains"].as_array().unwrap());
    domains.map(|d| d.as_str().unwrap().to_owned()).collect()
}

/// Returns the names of the services of a configuration.
pub fn services(config: &Value) -> Vec<String> {
    let services = config["services"].as_array().unwrap();
    services.iter().map(|s| s["name"].as_str().unwrap().to_owned()).collect()
}

/// Returns the failure domain of a backend server.
pub fn server_domain<'a>(config: &'a Value, server: &str) -> Option<&'a str> {
    let services = config["services"].as_array().unwrap();
    let mut servers = services.iter().flat_map(|s| s["backend_servers"].as_array().unwrap());
    servers.find(|s| s["name"] == server)?["failure_domain"].as_str()
}

/// Returns the declared slots of a backend server.
pub fn server_slots(config: &Value, server: &str) -> u64 {
    let services = config["services"].as_array().unwrap();
    let mut servers = services.iter().flat_map(|s| s["backend_servers"].as_array().unwrap());
    servers.find(|s| s["name"] == server).unwrap()["slots"].as_u64().unwrap()
}

/// Starts a stand-in for each declared backend server and writes its address into the
/// configuration.
fn bind_backends(config: &mut Value, service_time: Duration) -> Vec<(String, Backend)> {
    let mut backends = Vec::new();
    for service in config["services"].as_array_mut().unwrap() {
        for server in service["backend_servers"].as_array_mut().unwrap() {
            let name = server["name"].as_str().unwrap().to_owned();
            let slots = server["slots"].as_u64().unwrap();
            let behaviour = Behaviour { name: name.clone(), slots, service_time };
            let backend = Backend::bind("127.0.0.1:0".parse().unwrap(), behaviour).unwrap();
            server["address"] = backend.address().to_string().into();
            backends.push((name, backend));
        }
    }
    backends
}

/// Starts all backend servers and [`INSTANCES`] instances of a configuration, and waits until every
/// instance serves every service from its own failure domain.
pub fn start(mut config: Value, service_time: Duration) -> Fleet {
    let workdir = Workdir::create();
    let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let backends = bind_backends(&mut config, service_time);
    let mut fleet =
        Fleet { workdir, platform, backends, daemons: Vec::new(), config: config.clone() };
    fleet.submit(&config);
    let domains = domains(&config);
    for number in 0..INSTANCES {
        let domain = &domains[number % domains.len()];
        let instance = format!("{domain}-{}", number / domains.len() + 1);
        let settings = fleet.settings(&instance, domain);
        fleet.daemons.push(Daemon::spawn(&fleet.workdir, &settings));
    }
    fleet.list_instances();
    fleet.wait_until_in_force(1);
    wait_until_warm(&fleet);
    for daemon in &fleet.daemons {
        for service in services(&config) {
            wait_for("every entry to be served at home", || {
                let server = read_from(daemon, &service, &read_path(&config, &service))?;
                (server_domain(&config, &server)? == domain_of(&daemon.name)).then_some(())
            });
        }
    }
    fleet
}

/// Returns a path below an operation of the service that allows `GET`.
fn read_path(config: &Value, service: &str) -> String {
    let services = config["services"].as_array().unwrap();
    let service = services.iter().find(|s| s["name"] == service).unwrap();
    let operations = service["operations"].as_array().unwrap();
    let is_read = |o: &&Value| o["methods"].as_array().unwrap().contains(&"GET".into());
    let prefix = operations.iter().find(is_read).unwrap()["path_prefix"].as_str().unwrap();
    format!("{}/ready", prefix.trim_end_matches('/'))
}

/// Waits until the owners of all backend servers use all their slots.
pub fn wait_until_warm(fleet: &Fleet) {
    let began = Instant::now();
    wait_for("all slots of every backend server", || {
        let statuses: Option<Vec<_>> = fleet.daemons.iter().map(Daemon::status).collect();
        let owned = statuses?.into_iter().flat_map(|s| s.owned_backend_servers);
        let full = |name: &str, limit| limit == server_slots(&fleet.config, name);
        let warm = owned.filter(|s| s.state == "ok" && full(&s.name, s.limit)).count();
        (warm >= fleet.backends.len()).then_some(())
    });
    log::debug!("all backend servers were warm after {:?}", began.elapsed());
}

/// Reads a path through an entry and returns the backend server that answered.
pub fn read_from(daemon: &Daemon, service: &str, path: &str) -> Option<String> {
    let url = format!("http://{}/v1/run/{service}{path}", daemon.caller_endpoint);
    let answer = ureq::get(url).call().ok()?;
    Some(answer.headers().get(BACKEND_SERVER_HEADER)?.to_str().ok()?.to_owned())
}

/// Event text of the log line that an instance writes for each step of a ramp.
pub const SHIFT_STEP: &str = "shift: traffic moves";

/// Returns the largest sum of steps that a ramp took in any interval, in parts per million, from an
/// instance's log.
///
/// The interval includes both of its ends, as in the rule of the ramp. The time is that of the
/// decision on the instance's own clock, because the line itself can be written late.
pub fn largest_shift_ppm(log: &str, service: &str, interval_ms: u64) -> u64 {
    let steps: Vec<(u64, u64)> = log.lines().filter_map(|l| logged_step(l, service)).collect();
    let sum_from = |first: usize| -> u64 {
        let began_us = steps[first].0;
        let inside =
            steps[first..].iter().take_while(|(at, _)| at - began_us <= interval_ms * 1000);
        inside.map(|(_, ppm)| ppm).sum()
    };
    (0..steps.len()).map(sum_from).max().unwrap_or(0)
}

/// Reads the time in microseconds and the size of a step from a log line. It panics if the line of
/// a step lacks these fields, because the step would be missed otherwise.
fn logged_step(line: &str, service: &str) -> Option<(u64, u64)> {
    if !line.contains(SHIFT_STEP) || log_field(line, "service") != Some(service) {
        return None;
    }
    let number = |key| log_field(line, key).and_then(|value| value.parse().ok());
    let step = number("at_us").zip(number("moved_ppm"));
    Some(step.unwrap_or_else(|| panic!("step without at_us or moved_ppm: {line}")))
}

/// Returns the value of a `key=value` field of a log line. The value must not contain spaces.
pub fn log_field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Tells whether a log line reports a step of the service's ramp to a position that lists a share
/// for `domain`.
pub fn is_step_to(line: &str, service: &str, domain: &str) -> bool {
    let position = log_field(line, "position_ppm").unwrap_or_default();
    let mut parts = position.split(',').filter_map(|part| part.split_once(':'));
    line.contains(SHIFT_STEP)
        && log_field(line, "service") == Some(service)
        && parts.any(|(name, _)| name == domain)
}
