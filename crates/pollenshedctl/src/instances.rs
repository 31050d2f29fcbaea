//! Asks instances over their operators' HTTP interface.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use eyre::{Result, WrapErr, ensure, eyre};
use pollenshed_protocol::operator::StatusBody;
use pollenshed_state::ids::InstanceName;
use serde::de::DeserializeOwned;

/// Time within which one instance must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Declares `--instance`.
pub fn argument(help: &'static str) -> Arg {
    Arg::new("instance")
        .long("instance")
        .value_name("ADDR")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

/// Returns all values of `--instance`.
pub fn addresses(args: &ArgMatches) -> Vec<SocketAddr> {
    args.get_many("instance").into_iter().flatten().copied().collect()
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .build();
    config.into()
}

/// Reads a JSON body from an instance.
pub fn get<T: DeserializeOwned>(address: SocketAddr, path_and_query: &str) -> Result<T> {
    let url = format!("http://{address}{path_and_query}");
    let mut answer = agent().get(&url).call().wrap_err_with(|| url.clone())?;
    ensure!(answer.status().is_success(), "{url}: status {}", answer.status());
    answer.body_mut().read_json().wrap_err(url)
}

/// Starts the planned stop of an instance.
pub fn drain(address: SocketAddr) -> Result<()> {
    let url = format!("http://{address}/v1/drain");
    let answer = agent().post(&url).send_empty().wrap_err_with(|| url.clone())?;
    ensure!(answer.status().is_success(), "{url}: status {}", answer.status());
    Ok(())
}

/// What several instances answered in one round.
pub struct Round {
    /// Answers.
    pub answers: Vec<StatusBody>,
    /// Instances that gave none, with the reason.
    pub silent: Vec<(SocketAddr, eyre::Report)>,
}

impl Round {
    /// Asks all instances at the same time.
    pub fn ask(addresses: &[SocketAddr]) -> Round {
        let mut round = Round { answers: Vec::new(), silent: Vec::new() };
        let results: Vec<_> = thread::scope(|scope| {
            let ask = |address: SocketAddr| scope.spawn(move || get(address, "/v1/status"));
            let calls: Vec<_> = addresses.iter().map(|a| (*a, ask(*a))).collect();
            calls.into_iter().map(|(address, call)| (address, call.join())).collect()
        });
        for (address, result) in results {
            match result.unwrap_or_else(|_| Err(eyre!("the call was broken off"))) {
                Ok(answer) => round.answers.push(answer),
                Err(e) => round.silent.push((address, e)),
            }
        }
        round
    }

    /// Returns the version in force at every live instance that an answer names.
    ///
    /// An instance's own answer counts; of what others say about it, the highest version, because
    /// versions only go up and news of them spreads with a delay.
    pub fn versions(&self) -> BTreeMap<InstanceName, u64> {
        let mut versions = BTreeMap::new();
        for member in self.answers.iter().flat_map(|a| &a.members) {
            if matches!(member.state.as_str(), "alive" | "suspect") {
                let version = versions.entry(member.instance.clone()).or_default();
                *version = member.config_version.max(*version);
            }
        }
        for answer in &self.answers {
            if answer.leaving {
                versions.remove(&answer.instance);
            } else {
                versions.insert(answer.instance.clone(), answer.config_version);
            }
        }
        versions
    }

    /// Returns the highest version in force anywhere, 0 for none.
    pub fn highest_version(&self) -> u64 {
        self.versions().into_values().max().unwrap_or(0)
    }
}

/// Waits until a version is in force on every live instance. Returns who is missing at the timeout:
/// names of instances, and addresses that did not answer.
pub fn wait_in_force(addresses: &[SocketAddr], version: u64, timeout: Duration) -> Vec<String> {
    let start = Instant::now();
    loop {
        let round = Round::ask(addresses);
        let behind = round.versions().into_iter().filter(|(_, v)| *v < version);
        let mut missing: BTreeSet<String> = behind.map(|(name, _)| name.to_string()).collect();
        missing.extend(round.silent.iter().map(|(address, _)| address.to_string()));
        if missing.is_empty() || start.elapsed() >= timeout {
            return missing.into_iter().collect();
        }
        thread::sleep(ROUND_PAUSE);
    }
}
