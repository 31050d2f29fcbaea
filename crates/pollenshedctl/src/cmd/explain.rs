use std::{net::IpAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::eyre;
use pollenshed_protocol::operator::{ExplainBody, ExplainedFailureDomain};
use pollenshed_state::ids::ServiceName;

use crate::{
    instances,
    logs::{self, Trace},
    options::Options,
    util::{self, Exit},
};

const USAGE: &str = "\
Asks an instance where a request to a service would go now, and why. With --log,
reads logs of `pollenshed steer` instances instead and explains the result of one request.";

const EXAMPLE: &str = "\
Example:
    pollenshedctl explain --instance 127.0.0.1:8002 --client 192.0.2.7 tavole

    pollenshedctl explain --log front-1.log --log front-2.log 9c41d07be2a35f68

With --json the output is the instance's answer, or the log lines and the cause. The exit
code is 1 if no log line has the id of the request.";

pub fn command() -> Command {
    let client = Arg::new("client").long("client").value_name("IP");
    let service_or_id = Arg::new("SERVICE|ID").required(true);
    let log = Arg::new("log")
        .long("log")
        .value_name("FILE")
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
        .conflicts_with_all(["client", "instance"]);
    Command::new("explain")
        .about("Explains where a request would go or how it ended")
        .long_about(USAGE)
        .after_help(format!("{EXAMPLE}\n\n{}", util::EXIT_CODES))
        .arg(service_or_id.help("Name of the service; with --log, id of the request"))
        .arg(log.help("Log file of an instance; repeat the option for all instances"))
        .arg(client.value_parser(value_parser!(IpAddr)).help("Address of the client"))
        .arg(
            instances::argument("Operators' address of the instance")
                .required_unless_present("log"),
        )
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let service_or_id: &String =
        args.get_one("SERVICE|ID").ok_or_else(|| eyre!("SERVICE or ID is missing"))?;
    if let Some(files) = args.get_many::<PathBuf>("log") {
        return explain_request(options, files, service_or_id);
    }
    let service: ServiceName = match service_or_id.parse() {
        Ok(service) => service,
        Err(error) => {
            eprintln!("{service_or_id}: {error}");
            return Ok(Exit::Usage);
        }
    };
    let client = args.get_one::<IpAddr>("client");
    let client = client.map_or_else(String::new, |client| format!("&client={client}"));
    let path = format!("/v1/explain?service={service}{client}");
    for address in instances::addresses(args) {
        let body: ExplainBody = instances::get(address, &path)?;
        options.print(lines(&body), |_| &body)?;
    }
    Ok(Exit::Success)
}

fn explain_request<'a>(
    options: &Options,
    files: impl Iterator<Item = &'a PathBuf>,
    id: &str,
) -> eyre::Result<Exit> {
    let files: Vec<_> = files.map(|file| options.read(file)).collect::<eyre::Result<_>>()?;
    let Some(trace) = Trace::find(&logs::read(&files), id) else {
        eprintln!(
            "no log has a line with id={id}: no instance got the request, or lines are missing"
        );
        return Ok(Exit::Negative);
    };
    options.print(vec![&trace], |_| &trace)?;
    Ok(Exit::Success)
}

fn lines(body: &ExplainBody) -> Vec<String> {
    let mut lines = vec![format!("{}: version {} in force", body.instance, body.config_version)];
    lines.extend(
        body.entries
            .iter()
            .map(|e| format!("entry {} of {}, {}", e.instance, e.failure_domain, e.state)),
    );
    lines.extend(body.failure_domains.iter().flat_map(domain_lines));
    lines
}

fn domain_lines(domain: &ExplainedFailureDomain) -> Vec<String> {
    let mut lines = vec![format!(
        "{}: {}.{:04}% of the traffic, headroom {}/s, {}",
        domain.failure_domain,
        domain.share_ppm / 10_000,
        domain.share_ppm % 10_000,
        domain.headroom_requests_per_s,
        domain.reason
    )];
    lines.extend(domain.backend_servers.iter().map(|server| {
        let owner = server.owner.as_ref().map_or("nobody", |owner| owner.as_str());
        format!("  {} is {}, owned by {owner}", server.name, server.state)
    }));
    lines
}
