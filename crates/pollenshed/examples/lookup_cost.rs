//! Measures the time to choose entries for member tables of several sizes, and the CPU time of an
//! instance process per lookup over HTTP.
//!
//! `cargo build --release -p pollenshed && cargo run --release -p pollenshed --example lookup_cost
//! target/release/pollenshed`

use std::{
    fs,
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, eyre};
use pollenshed_coordination::{
    membership::{Exchange, MemberRecord, Membership, Params},
    replication::{Outcome, SubmissionId},
    routing::rank_entries,
};
use pollenshed_standins::platform::Platform;
use pollenshed_state::{
    config::Config,
    ids::{ConfigVersion, Incarnation},
    settings::Timing,
    time::Instant as Time,
};
use pollenshed_transport::platform::{Platform as Client, SubmitRequest, submit};
use serde_json::json;

const CONFIG: &str = include_str!("../../operators/tests/golden/cali.json");
/// Concurrent clients of the lookups over HTTP.
const CLIENTS: usize = 4;
/// Choices of entries that are timed for each size of the member table.
const RANKINGS: u32 = 5_000;

fn main() -> Result<()> {
    let config: Config = serde_json::from_str(CONFIG)?;
    println!("members us/ranking");
    for members in [20, 80, 160, 323] {
        println!("{members} {:.1}", ranking_us(&config, members)?);
    }
    let binary = std::env::args()
        .nth(1)
        .ok_or_else(|| eyre!("expected the path of the pollenshed binary"))?;
    measure_lookups(&binary)
}

fn record(number: usize) -> Result<MemberRecord> {
    let address = ([127, 0, 0, 1], 1).into();
    Ok(MemberRecord {
        instance: format!("entry-{number}").parse()?,
        failure_domain: "palermo-a".parse()?,
        incarnation: Incarnation(number as u64),
        generation: 1,
        counter: 1,
        leaving: false,
        peer_address: address,
        relay_address: address,
        caller_address: address,
        config_version: ConfigVersion(0),
        stamp_ms: 0,
    })
}

fn ranking_us(config: &Config, members: usize) -> Result<f64> {
    let mut table = Membership::new(record(0)?, Params::new(&Timing::default()), Time::START);
    for other in 1..members {
        let (sender, records, heartbeats) = (record(other)?, Vec::new(), Vec::new());
        table.merge(&Exchange { sender, records, heartbeats, buckets: Vec::new() }, Time::START);
    }
    let (service, domain) = ("tavole".parse()?, "palermo-a".parse()?);
    let start = Instant::now();
    for client in 0..RANKINGS {
        let client = client.to_be_bytes();
        let entries = rank_entries(config, &table, &service, &domain, &client, 3, Time::START);
        std::hint::black_box(entries.len());
    }
    Ok(start.elapsed().as_secs_f64() * 1e6 / f64::from(RANKINGS))
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn measure_lookups(binary: &str) -> Result<()> {
    let platform = Platform::bind(([127, 0, 0, 1], 0).into())?;
    let request = SubmitRequest {
        id: SubmissionId("lookup-cost".to_owned()),
        document: CONFIG.as_bytes(),
        floor: ConfigVersion(0),
        expected: None,
        timeout: Duration::from_secs(5),
    };
    let client = Client::open(platform.address(), Duration::from_secs(2));
    if !matches!(submit(&client, &request), Outcome::Accepted { .. }) {
        return Err(eyre!("the configuration was not accepted"));
    }
    let file = std::env::temp_dir().join(format!("pollenshed-lookup-{}.json", std::process::id()));
    let any_port = "127.0.0.1:0";
    let settings = json!({
        "instance": "entry-0",
        "failure_domain": "palermo-a",
        "caller_address": any_port,
        "peer_address": any_port,
        "relay_address": any_port,
        "operator_address": any_port,
        "platform_address": platform.address().to_string(),
    });
    fs::write(&file, settings.to_string())?;
    let mut command = Command::new(binary);
    command.arg("serve").arg(&file).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut process = Process(command.spawn()?);
    let out = process
        .0
        .stdout
        .take()
        .ok_or_else(|| eyre!("the standard output of the instance is not a pipe"))?;
    let mut ready = BufReader::new(out).lines().map_while(Result::ok);
    let line = ready.next().ok_or_else(|| eyre!("the instance did not start"))?;
    let callers =
        line.strip_prefix("ready: callers ").ok_or_else(|| eyre!("unexpected output: {line}"))?;
    let url = format!("{callers}/v1/lookup?service=tavole");
    let start = Instant::now();
    while ureq::get(&url).call().is_err() && start.elapsed() < Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(50));
    }
    let failed = AtomicU64::new(0);
    println!("lookups cpu_us/lookup lookups/s rss_MB failed");
    for count in [2_000, 10_000, 40_000, 80_000] {
        let (cpu, start) = (cpu_s(process.0.id()), Instant::now());
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    let agent = ureq::Agent::new_with_defaults();
                    for _ in 0..count / CLIENTS {
                        let response =
                            agent.get(&url).call().map(|mut r| r.body_mut().read_to_vec());
                        failed.fetch_add(u64::from(response.is_err()), Ordering::Relaxed);
                    }
                });
            }
        });
        let cpu_us = (cpu_s(process.0.id()) - cpu) * 1e6 / count as f64;
        let rate = count as f64 / start.elapsed().as_secs_f64();
        let (rss, failed) = (rss_mb(process.0.id()), failed.load(Ordering::Relaxed));
        println!("{count} {cpu_us:.1} {rate:.0} {rss:.1} {failed}");
    }
    fs::remove_file(file)?;
    Ok(())
}

fn cpu_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // User and system time are the 12th and 13th field after the name in parentheses, in hundredths
    // of a second.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let ticks = rest.split_whitespace().skip(11).take(2).filter_map(|f| f.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}

fn rss_mb(pid: u32) -> f64 {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|f| f.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1e6
}
