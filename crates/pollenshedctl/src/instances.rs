//! Calls to the operators' HTTP interface of instances.

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

/// Timeout of one call to an instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two polls of all instances.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Returns the argument `--instance`, which can be repeated.
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

/// Sends a GET request to an instance and parses the JSON body of the answer.
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

/// The status of several instances, from one request to each.
pub struct StatusPoll {
    /// Status bodies of the instances that answered.
    pub answers: Vec<StatusBody>,
    /// Instances that did not answer, with the error.
    pub unreachable: Vec<(SocketAddr, eyre::Report)>,
}

impl StatusPoll {
    /// Requests the status of all instances in parallel.
    pub fn ask(addresses: &[SocketAddr]) -> StatusPoll {
        let mut poll = StatusPoll { answers: Vec::new(), unreachable: Vec::new() };
        let results: Vec<_> = thread::scope(|scope| {
            let ask = |address: SocketAddr| scope.spawn(move || get(address, "/v1/status"));
            let calls: Vec<_> = addresses.iter().map(|a| (*a, ask(*a))).collect();
            calls.into_iter().map(|(address, call)| (address, call.join())).collect()
        });
        for (address, result) in results {
            match result.unwrap_or_else(|_| Err(eyre!("the thread of the call panicked"))) {
                Ok(answer) => poll.answers.push(answer),
                Err(e) => poll.unreachable.push((address, e)),
            }
        }
        poll
    }

    /// Returns the version in force at each live instance that the answers mention.
    ///
    /// For an instance that answered, this is the version in its own answer. For any other, it is
    /// the highest version that the answers report, because versions only increase and members
    /// learn of them with a delay.
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

    /// Returns the highest version in force at any live instance, or 0 if there is none.
    pub fn highest_version(&self) -> u64 {
        self.versions().into_values().max().unwrap_or(0)
    }
}

/// Waits until at least `version` is in force on every live instance. At the timeout, returns the
/// names of the instances that lack it and the addresses that did not answer.
pub fn wait_in_force(addresses: &[SocketAddr], version: u64, timeout: Duration) -> Vec<String> {
    let start = Instant::now();
    loop {
        let poll = StatusPoll::ask(addresses);
        let behind = poll.versions().into_iter().filter(|(_, v)| *v < version);
        let mut missing: BTreeSet<String> = behind.map(|(name, _)| name.to_string()).collect();
        missing.extend(poll.unreachable.iter().map(|(address, _)| address.to_string()));
        if missing.is_empty() || start.elapsed() >= timeout {
            return missing.into_iter().collect();
        }
        thread::sleep(POLL_PAUSE);
    }
}
