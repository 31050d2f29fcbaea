use std::net::IpAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::eyre;
use pollenshed_protocol::operator::{ExplainBody, ExplainedFailureDomain};
use pollenshed_state::ids::ServiceName;

use crate::{
    instances,
    options::Options,
    util::{self, Exit},
};

const USAGE: &str = "\
Asks an instance where a request of a service would go now, and why.";

const EXAMPLE: &str = "\
Example:
    pollenshedctl explain --instance 127.0.0.1:8002 --client 192.0.2.7 tavole

With --json the output is the instance's answer.";

pub fn command() -> Command {
    let client = Arg::new("client").long("client").value_name("IP");
    let service = Arg::new("SERVICE").required(true).value_parser(value_parser!(ServiceName));
    Command::new("explain")
        .about("Explains where a request would go")
        .long_about(USAGE)
        .after_help(format!("{EXAMPLE}\n\n{}", util::EXIT_CODES))
        .arg(service.help("Service that the request is for"))
        .arg(client.value_parser(value_parser!(IpAddr)).help("Address of the client"))
        .arg(instances::argument("Operators' address of the instance").required(true))
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let service: &ServiceName =
        args.get_one("SERVICE").ok_or_else(|| eyre!("SERVICE is missing"))?;
    let client = args.get_one::<IpAddr>("client");
    let client = client.map_or_else(String::new, |client| format!("&client={client}"));
    let path = format!("/v1/explain?service={service}{client}");
    for address in instances::addresses(args) {
        let body: ExplainBody = instances::get(address, &path)?;
        options.print(lines(&body), |_| &body)?;
    }
    Ok(Exit::Success)
}

fn lines(body: &ExplainBody) -> Vec<String> {
    let mut lines = vec![format!("{} obeys version {}", body.instance, body.config_version)];
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
