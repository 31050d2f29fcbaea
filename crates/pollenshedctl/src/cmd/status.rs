use std::collections::{BTreeMap, BTreeSet};

use clap::{ArgMatches, Command};
use eyre::bail;
use pollenshed_protocol::operator::StatusBody;
use serde_json::json;

use crate::{
    instances::{self, StatusPoll},
    options::Options,
    util::{self, Exit},
};

const USAGE: &str = "\
Asks instances for their status and compares the answers.

Prints a line for each instance that answers, with the version in force, the
members it sees and the backend servers it owns, and a line for each
disagreement: an instance that does not answer, different versions, one version
with different documents, a backend server with two owners, and a member that
instances see in different states. A change takes up to a second to reach all
instances, so ignore a disagreement unless it lasts.";

const EXAMPLE: &str = "\
Example:
    pollenshedctl status --instance 127.0.0.1:8002 --instance 127.0.0.1:8012

With --json the output is one object:
    {\"instances\": [as of GET /v1/status], \"disagreements\": [TEXT]}";

pub fn command() -> Command {
    let instance = instances::argument("Operators' address of an instance; may be repeated");
    Command::new("status")
        .about("Shows and compares the status of instances")
        .long_about(USAGE)
        .after_help(format!("{EXAMPLE}\n\n{}", util::EXIT_CODES))
        .arg(instance.required(true))
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let poll = StatusPoll::ask(&instances::addresses(args));
    if let (true, Some((_, error))) = (poll.answers.is_empty(), poll.unreachable.first()) {
        bail!("no instance answers: {error:#}");
    }
    let disagreements = disagreements(&poll);
    let mut lines: Vec<String> = poll.answers.iter().map(status_line).collect();
    lines.extend(disagreements.iter().map(|d| format!("disagreement: {d}")));
    let exit = if disagreements.is_empty() { Exit::Success } else { Exit::Negative };
    let StatusPoll { answers, .. } = poll;
    options.print(lines, |_| json!({"instances": answers, "disagreements": disagreements}))?;
    Ok(exit)
}

fn status_line(status: &StatusBody) -> String {
    let count = |state: &str| status.members.iter().filter(|m| m.state == state).count();
    let owned: Vec<_> = status.owned_backend_servers.iter().map(|s| s.name.as_str()).collect();
    format!(
        "{} of {}: version {}{}, members {} alive {} suspect {} dead, owns {}",
        status.instance,
        status.failure_domain,
        status.config_version,
        if status.leaving { ", leaving" } else { "" },
        count("alive"),
        count("suspect"),
        count("dead"),
        if owned.is_empty() { "nothing".to_owned() } else { owned.join(" ") },
    )
}

fn disagreements(poll: &StatusPoll) -> Vec<String> {
    let unreachable =
        poll.unreachable.iter().map(|(address, e)| format!("{address} does not answer: {e:#}"));
    let mut found: Vec<String> = unreachable.collect();
    found.extend(different_versions(poll));
    found.extend(different_documents(&poll.answers));
    found.extend(double_owners(&poll.answers));
    found.extend(different_states(&poll.answers));
    found
}

fn different_versions(poll: &StatusPoll) -> Vec<String> {
    let highest = poll.highest_version();
    let behind = poll.versions().into_iter().filter(|(_, version)| *version < highest);
    behind.map(|(name, version)| format!("{name} has version {version}, not {highest}")).collect()
}

fn different_documents(answers: &[StatusBody]) -> Vec<String> {
    let mut digests: BTreeMap<u64, BTreeMap<&str, Vec<&str>>> = BTreeMap::new();
    for answer in answers {
        let names = digests.entry(answer.config_version).or_default();
        names.entry(&answer.config_digest).or_default().push(answer.instance.as_str());
    }
    let conflicting = digests.into_iter().filter(|(_, by_digest)| by_digest.len() > 1);
    conflicting
        .flat_map(|(version, by_digest)| {
            by_digest.into_iter().map(move |(digest, names)| {
                format!("version {version} is {digest} at {}", names.join(" "))
            })
        })
        .collect()
}

fn double_owners(answers: &[StatusBody]) -> Vec<String> {
    let mut owners: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for answer in answers {
        for server in &answer.owned_backend_servers {
            owners.entry(&server.name).or_default().push(answer.instance.as_str());
        }
    }
    let double = owners.into_iter().filter(|(_, names)| names.len() > 1);
    double.map(|(server, names)| format!("{server} is owned by {}", names.join(" and "))).collect()
}

fn different_states(answers: &[StatusBody]) -> Vec<String> {
    let mut states: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for member in answers.iter().flat_map(|a| &a.members) {
        states.entry(member.instance.as_str()).or_default().insert(&member.state);
    }
    let conflicting = states.into_iter().filter(|(_, states)| states.len() > 1);
    conflicting
        .map(|(name, states)| {
            let states: Vec<_> = states.into_iter().collect();
            format!("{name} is seen as {}", states.join(" and "))
        })
        .collect()
}
