use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use eyre::{bail, eyre};
use pollenshed_state::{
    config::{Config, Drain},
    ids::{BackendServerName, FailureDomainName, RegionName},
};
use serde_json::json;

use crate::{
    instances,
    options::Options,
    submission::{self, SubmissionReport, Submitter},
    util::{self, Exit},
};

/// Attempts to submit a drain. Each one fails if another submission comes first.
const MAX_ATTEMPTS: u32 = 10;

const USAGE: &str = "\
Begins or ends a planned drain.

With a backend server, a failure domain or a region, adds the drain to the
configuration in force, or removes it with --remove, and submits the result. If
another submission comes first, the change is applied again on top of it.
With --instance alone, starts the planned stop of that instance.";

const EXAMPLE: &str = "\
Examples:
    pollenshedctl drain --platform 127.0.0.1:7100 --failure-domain palermo-a
    pollenshedctl drain --platform 127.0.0.1:7100 --failure-domain palermo-a --remove
    pollenshedctl drain --instance 127.0.0.1:8002";

pub fn command() -> Command {
    let target = |name, help| Arg::new(name).long(name).value_name("NAME").help(help);
    let command = Command::new("drain")
        .about("Begins or ends a planned drain")
        .long_about(USAGE)
        .after_help(format!("{EXAMPLE}\n\n{}\n\n{}", submission::JSON_HELP, util::EXIT_CODES))
        .arg(
            target("backend-server", "Drains one backend server")
                .value_parser(value_parser!(BackendServerName)),
        )
        .arg(
            target("failure-domain", "Drains the backend servers of a failure domain")
                .value_parser(value_parser!(FailureDomainName)),
        )
        .arg(
            target("region", "Drains the backend servers of a region")
                .value_parser(value_parser!(RegionName)),
        )
        .group(ArgGroup::new("target").args(["backend-server", "failure-domain", "region"]))
        .group(
            ArgGroup::new("any")
                .args(["backend-server", "failure-domain", "region", "instance"])
                .required(true)
                .multiple(true),
        )
        .arg(
            Arg::new("remove")
                .long("remove")
                .action(ArgAction::SetTrue)
                .requires("target")
                .help("Ends the drain"),
        )
        .arg(instances::argument("Operators' address of an instance; may be repeated"));
    submission::declare(command).mut_arg("platform", |arg| arg.requires("target"))
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    match drain_argument(args) {
        Some(drain) => submit_change(args, &drain)?.print(options),
        None => stop_instances(args, options),
    }
}

fn drain_argument(args: &ArgMatches) -> Option<Drain> {
    let backend_server = args.get_one("backend-server").cloned().map(Drain::BackendServer);
    let failure_domain = || args.get_one("failure-domain").cloned().map(Drain::FailureDomain);
    let region = || args.get_one("region").cloned().map(Drain::Region);
    backend_server.or_else(failure_domain).or_else(region)
}

fn submit_change(args: &ArgMatches, drain: &Drain) -> eyre::Result<SubmissionReport> {
    let submitter = Submitter::new(args)?;
    let remove = args.get_flag("remove");
    for _ in 1..MAX_ATTEMPTS {
        let report = submit_once(&submitter, drain, remove)?;
        if report.exit() != Exit::LostRace {
            return Ok(report);
        }
    }
    submit_once(&submitter, drain, remove)
}

fn submit_once(
    submitter: &Submitter,
    drain: &Drain,
    remove: bool,
) -> eyre::Result<SubmissionReport> {
    let (version, mut config) =
        submitter.read()?.ok_or_else(|| eyre!("no configuration has been submitted yet"))?;
    if !apply(&mut config, drain, remove) {
        return Ok(SubmissionReport::new("unchanged", version.0));
    }
    submission::ensure_accepted(&config)?;
    submitter.submit(&config, Some(version))
}

/// Adds or removes the drain. Returns whether the configuration changed.
fn apply(config: &mut Config, drain: &Drain, remove: bool) -> bool {
    let before = config.drains.len();
    if remove {
        config.drains.retain(|d| d != drain);
    } else if !config.drains.contains(drain) {
        config.drains.push(drain.clone());
    }
    config.drains.len() != before
}

fn stop_instances(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let addresses = instances::addresses(args);
    if args.get_flag("wait") {
        bail!("--wait needs --backend-server, --failure-domain or --region");
    }
    for address in &addresses {
        instances::drain(*address)?;
    }
    let lines = addresses.iter().map(|a| format!("{a}: planned stop started")).collect();
    options.print(lines, |_| json!({"outcome": "draining", "instances": addresses}))?;
    Ok(Exit::Success)
}
