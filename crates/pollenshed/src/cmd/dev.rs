use std::{
    net::SocketAddr,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use clap::{ArgMatches, Command};
use eyre::{Result, WrapErr, eyre};
use pollenshed::instance::Instance;
use pollenshed_protocol::platform::{CONFIG_TABLE, HEAD_KEY, Head, InstanceList, ListedInstance};
use pollenshed_standins::{
    backend::{Backend, Behaviour},
    platform::Platform,
};
use pollenshed_state::{
    config::{self, Config},
    settings::{self, Settings},
};
use pollenshed_transport::logs;
use serde_json::{Value, json};

use super::{EXIT_FAILED, print_line, report_error};

const ABOUT: &str = "Runs one instance with a platform and backend servers on loopback, to try out";

const USAGE: &str = "\
Runs one instance, a stand-in of the platform and four backend server stand-ins in
one process on loopback. It needs no set-up and keeps nothing. It prints the
addresses for callers and operators and commands to try. Ctrl-C stops it as planned.";

const EXAMPLE: &str = "\
Example:
    pollenshed dev

Exit codes:
    0  stopped as planned
    1  could not start";

/// Maximum time until the instance serves its first requests.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of calls to the platform stand-in.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of writing the last log lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Slots of each backend server stand-in.
const SLOTS: u64 = 3;

/// Defines the command line of `pollenshed dev`.
pub fn command() -> Command {
    Command::new("dev").about(ABOUT).long_about(USAGE).after_help(EXAMPLE)
}

/// Runs `pollenshed dev`.
pub fn run(_args: &ArgMatches) -> ExitCode {
    match dev() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_error(EXIT_FAILED, format!("{e:#}")),
    }
}

fn dev() -> Result<()> {
    logs::init().wrap_err("cannot start the log writer")?;
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    let platform = Platform::bind(any_port)?;
    let behaviour = Behaviour {
        name: "tavole".to_owned(),
        slots: SLOTS,
        service_time: Duration::from_millis(5),
    };
    let mut backends = Backend::bind_many(2, &behaviour)?;
    let behaviour = Behaviour { name: "anagrafe".to_owned(), ..behaviour };
    backends.extend(Backend::bind_many(2, &behaviour)?);
    let addresses: Vec<_> = backends.iter().map(Backend::address).collect();
    submit(&platform, &build_config(&addresses)?)?;
    let instance = Instance::spawn(dev_settings(&platform)?)?;
    list_instance(&platform, &instance);
    wait_until_serving(&instance)?;
    print_ready(&instance);
    instance.wait_for_signal()?;
    print_line(format_args!("stopping"));
    instance.stop();
    logs::flush(FLUSH_TIMEOUT);
    Ok(())
}

/// Builds a configuration of two services. The first half of the addresses are the backend servers
/// of one, the second half those of the other.
fn build_config(addresses: &[SocketAddr]) -> Result<Config> {
    let servers = |service: &str, addresses: &[SocketAddr]| -> Vec<Value> {
        let server = |(i, address): (usize, &SocketAddr)| {
            json!({
                "name": format!("{service}-{}", i + 1), "failure_domain": "local-a",
                "address": address.to_string(), "slots": SLOTS, "connections": 360,
            })
        };
        addresses.iter().enumerate().map(server).collect()
    };
    let service = |name: &str, operations: Value, addresses: &[SocketAddr]| {
        json!({
            "name": name, "operations": operations,
            "max_request_bytes": 1_048_576, "max_answer_bytes": 1_048_576,
            "max_upload_bytes": 0,
            "shift": {"cap_percent": 10, "cold_cap_percent": 5, "interval_ms": 10_000},
            "retry_budget_percent": 10, "backend_servers": servers(name, addresses),
        })
    };
    let read = json!({"methods": ["GET", "HEAD"], "path_prefix": "/", "rank": "urgent", "idempotent": true});
    let file = json!({"methods": ["POST"], "path_prefix": "/filings", "rank": "standard", "idempotent": false});
    let (tavole, anagrafe) = addresses.split_at(addresses.len() / 2);
    let document = json!({
        "format": 1, "user": "dev",
        "regions": [{"name": "local", "failure_domains": ["local-a"]}],
        "network": {
            "between_failure_domains_us": 1_500, "between_regions_us": 10_000,
            "to_clients_us": 10_000, "region_link_bits_per_s": 4_000_000_000_u64,
            "region_link_share_percent": 50,
        },
        "ranks": [
            {"rank": "urgent", "min_share_percent": 50, "deadline_ms": 2_000},
            {"rank": "standard", "min_share_percent": 30, "deadline_ms": 5_000},
            {"rank": "deferrable", "min_share_percent": 10, "deadline_ms": 10_000},
        ],
        "services": [
            service("tavole", json!([read]), tavole),
            service("anagrafe", json!([read, file]), anagrafe),
        ],
        "drains": [],
    });
    config::parse("dev", &document.to_string()).map_err(|findings| eyre!("{findings}"))
}

/// Stores the configuration at the platform stand-in as version 1, as `pollenshedctl submit` would.
fn submit(platform: &Platform, config: &Config) -> Result<()> {
    let client =
        pollenshed_transport::platform::Platform::open(platform.address(), PLATFORM_TIMEOUT);
    client.put_object(&config.digest().hex(), config.canonical_json().as_bytes())?;
    let head = Head {
        version: 1,
        digest: config.digest().to_string(),
        submission_id: "dev".to_owned(),
        past: Vec::new(),
    };
    client.put_row(CONFIG_TABLE, HEAD_KEY, 0, serde_json::to_value(head)?)?;
    Ok(())
}

/// Returns settings with short times, so that the instance serves soon after its start.
fn dev_settings(platform: &Platform) -> Result<Settings> {
    let document = json!({
        "instance": "dev-1", "failure_domain": "local-a",
        "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
        "relay_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
        "platform_address": platform.address().to_string(),
        "timing": {
            "gossip_period_ms": 100, "suspect_after_ms": 400, "fence_after_ms": 300,
            "dead_after_ms": 900, "headroom_ttl_ms": 800, "lookup_ttl_ms": 1_000,
        },
    });
    settings::parse("dev", &document.to_string()).map_err(|findings| eyre!("{findings}"))
}

/// Sets the platform's instance list to this one instance.
fn list_instance(platform: &Platform, instance: &Instance) {
    let settings = &instance.shared().settings;
    let listed = ListedInstance {
        name: settings.instance.clone(),
        failure_domain: settings.failure_domain.clone(),
        peer_address: settings.peer_address,
        leaving: false,
    };
    platform.set_instances(InstanceList { instances: vec![listed], ..InstanceList::default() });
}

fn wait_until_serving(instance: &Instance) -> Result<()> {
    let start = Instant::now();
    let is_served = |service: &str| {
        let url = format!("http://{}/v1/run/{service}/ready", instance.caller_address());
        ureq::get(url).call().is_ok()
    };
    while !(is_served("tavole") && is_served("anagrafe")) {
        if start.elapsed() > START_TIMEOUT {
            return Err(eyre!("no request was served within {START_TIMEOUT:?}"));
        }
        // Requests are refused until the fence of the owner opens, shortly after the start.
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

fn print_ready(instance: &Instance) {
    let callers = instance.caller_address();
    let operators = instance.operator_address();
    print_line(format_args!("ready: callers http://{callers}"));
    print_line(format_args!("ready: operators http://{operators}"));
    print_line(format_args!(""));
    print_line(format_args!("# Which entries to use for a service:"));
    print_line(format_args!("curl 'http://{callers}/v1/lookup?service=anagrafe'"));
    print_line(format_args!("# An idempotent read:"));
    print_line(format_args!("curl -i 'http://{callers}/v1/run/tavole/tables/2026'"));
    print_line(format_args!("# A filing that is sent twice with one ticket and runs once:"));
    print_line(format_args!(
        "ticket=$(curl -s 'http://{callers}/v1/lookup?service=anagrafe' | \
         sed 's/.*\"binding\":\"\\([^\"]*\\)\".*/\\1/')/filing-$RANDOM"
    ));
    for _ in 0..2 {
        print_line(format_args!(
            "curl -i -H \"pollenshed-ticket: $ticket\" -d 'feast on the 4th' \
             http://{callers}/v1/run/anagrafe/filings"
        ));
    }
    print_line(format_args!("# What this instance knows:"));
    print_line(format_args!("curl 'http://{operators}/v1/status'"));
}
