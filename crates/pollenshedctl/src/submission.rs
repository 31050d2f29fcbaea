//! Submits a configuration and reports the outcome.

use std::{net::SocketAddr, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, eyre};
use pollenshed_coordination::replication::{HeadState, Outcome, SubmissionId};
use pollenshed_state::{
    config::{Change, Config},
    ids::ConfigVersion,
};
use pollenshed_transport::platform::{Platform, SubmitRequest, submit};
use serde::Serialize;

use crate::{
    instances::{self, StatusPoll},
    options::Options,
    util::Exit,
};

/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Default of `--timeout-ms`. A change is required to be in force everywhere within 20 s.
const DEFAULT_TIMEOUT_MS: &str = "20000";

/// Section of the help texts about the JSON output.
pub const JSON_HELP: &str = "\
With --json the output is one object:
    {\"outcome\": \"accepted\" | \"lost_race\" | \"unavailable\" | \"unchanged\", \"version\",
     \"missing\": [NAME or ADDR], \"may_be_accepted\", \"changes\": [as of `diff`]}
`version` is the accepted or the winning one. `changes` are the differences from
the winning configuration to the one that lost.";

/// Adds the arguments that all submitting subcommands share.
pub fn declare(command: Command) -> Command {
    let platform = Arg::new("platform").long("platform").value_name("ADDR");
    let wait = Arg::new("wait").long("wait").action(ArgAction::SetTrue).requires("instance");
    let timeout = Arg::new("timeout-ms").long("timeout-ms").value_name("MS");
    command
        .arg(platform.value_parser(value_parser!(SocketAddr)).help("Address of the platform"))
        .arg(wait.help("Waits until the version is in force on every live instance"))
        .arg(
            timeout
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(value_parser!(u64))
                .help("Longest time for submitting, and again for --wait"),
        )
}

/// Submits configurations to the platform. With `--wait`, waits until they are in force.
pub struct Submitter {
    platform: Platform,
    instances: Vec<SocketAddr>,
    wait: bool,
    timeout: Duration,
}

impl Submitter {
    /// Reads the platform, the instances and the timeout from the arguments of [`declare`] and
    /// `--instance`.
    pub fn new(args: &ArgMatches) -> Result<Submitter> {
        let address: SocketAddr =
            *args.get_one("platform").ok_or_else(|| eyre!("--platform is missing"))?;
        let timeout_ms: u64 = args.get_one("timeout-ms").copied().unwrap_or_default();
        Ok(Submitter {
            platform: Platform::open(address, CALL_TIMEOUT),
            instances: instances::addresses(args),
            wait: args.get_flag("wait"),
            timeout: Duration::from_millis(timeout_ms),
        })
    }

    /// Reads the configuration in force from the store. Returns `None` before the first submission.
    pub fn read(&self) -> Result<Option<(ConfigVersion, Config)>> {
        let Some(stored) = self.platform.head()? else { return Ok(None) };
        Ok(Some((stored.head.version, self.read_config(&stored.head)?)))
    }

    fn read_config(&self, head: &HeadState) -> Result<Config> {
        let object = self.platform.get_object(&head.digest.hex())?;
        let object = object.ok_or_else(|| eyre!("object {} is missing", head.digest))?;
        serde_json::from_slice(&object).wrap_err_with(|| format!("object {}", head.digest))
    }

    /// Submits a configuration. With `--wait`, waits until it is in force.
    ///
    /// The new version is higher than every version that the instances report. Otherwise a store
    /// that was reset to an older state would assign a version number that the instances already
    /// have.
    pub fn submit(
        &self,
        config: &Config,
        expected: Option<ConfigVersion>,
    ) -> Result<SubmissionReport> {
        let document = config.canonical_json();
        let floor = ConfigVersion(StatusPoll::ask(&self.instances).highest_version());
        let outcome = submit(
            &self.platform,
            &SubmitRequest {
                id: SubmissionId(format!("{:016x}", fastrand::u64(..))),
                document: document.as_bytes(),
                floor,
                expected,
                timeout: self.timeout,
            },
        );
        Ok(match outcome {
            Outcome::Accepted { version } => self.report_accepted(version),
            Outcome::LostRace { winner } => self.report_lost_race(winner, config),
            Outcome::Unavailable { may_be_accepted } => {
                SubmissionReport { may_be_accepted, ..SubmissionReport::new("unavailable", 0) }
            }
        })
    }

    fn report_accepted(&self, version: ConfigVersion) -> SubmissionReport {
        let mut report = SubmissionReport::new("accepted", version.0);
        if self.wait {
            report.missing = instances::wait_in_force(&self.instances, version.0, self.timeout);
        }
        report
    }

    fn report_lost_race(&self, winner: Option<HeadState>, ours: &Config) -> SubmissionReport {
        let mut report =
            SubmissionReport::new("lost_race", winner.as_ref().map_or(0, |w| w.version.0));
        match winner.map(|w| self.read_config(&w)) {
            Some(Ok(theirs)) => report.changes = theirs.diff(ours),
            Some(Err(e)) => {
                log::warn!(error:% = format!("{e:#}"); "submit: cannot read the winning version");
            }
            None => {}
        }
        report
    }
}

/// The outcome of a submission. Its fields are those of the `--json` output.
#[derive(Debug)]
#[derive(Serialize)]
pub struct SubmissionReport {
    outcome: &'static str,
    version: u64,
    missing: Vec<String>,
    may_be_accepted: bool,
    changes: Vec<Change>,
}

impl SubmissionReport {
    /// Creates a report without missing instances and changes.
    pub fn new(outcome: &'static str, version: u64) -> SubmissionReport {
        let (missing, changes) = (Vec::new(), Vec::new());
        SubmissionReport { outcome, version, missing, may_be_accepted: false, changes }
    }

    /// Returns the exit status for the outcome.
    pub fn exit(&self) -> Exit {
        match self.outcome {
            "lost_race" => Exit::LostRace,
            "unavailable" => Exit::Failure,
            _ if !self.missing.is_empty() => Exit::NotInForce,
            _ => Exit::Success,
        }
    }

    /// Prints the report and returns the exit status.
    pub fn print(self, options: &Options) -> Result<Exit> {
        let exit = self.exit();
        options.print(self.lines(), |_| self)?;
        Ok(exit)
    }

    fn lines(&self) -> Vec<String> {
        let version = self.version;
        let mut lines = match self.outcome {
            "accepted" => vec![format!("submitted version {version}")],
            "unchanged" => vec![format!("version {version} already has this drain state")],
            "lost_race" => vec![format!(
                "version {version} of another submission came first; this one has no effect"
            )],
            _ if self.may_be_accepted => vec![
                "the platform did not answer in time; the submission may be in force or come into \
                 force later, check the head row"
                    .to_owned(),
            ],
            _ => vec!["the platform did not answer in time; nothing was submitted".to_owned()],
        };
        lines.extend(self.changes.iter().map(|c| format!("  {c}")));
        lines.extend(self.missing.iter().map(|m| format!("  not in force at {m}")));
        lines
    }
}

/// Returns an error with the findings of a configuration that `check` does not accept.
pub fn ensure_accepted(config: &Config) -> Result<()> {
    config
        .check()
        .map_err(|findings| eyre!("the changed configuration is not accepted\n{findings}"))
}
