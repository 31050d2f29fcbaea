//! Compares the answers of a session of each user, with separate daemon processes, with a snapshot.
//!
//! Ports, incarnations and stamps are left out. A backend server is replaced by its service and
//! failure domain, because any free one of the failure domain may run a request.

mod support;

use std::{fmt::Write, fs, time::Duration};

use googletest::prelude::*;
use pollenshed_protocol::caller::{
    BACKEND_SERVER_HEADER, LookupAnswer, OUTCOME_HEADER, REASON_HEADER, TICKET_HEADER,
};
use serde_json::json;
use support::{Daemon, Fleet, deployment, wait_for};
use ureq::{
    Agent,
    http::{Request, Response},
};

const SERVICE_TIME: Duration = Duration::from_millis(2);

/// A filing of one user, and a second content for its ticket.
struct Filing {
    service: &'static str,
    path: &'static str,
    body: &'static str,
    other_body: &'static str,
}

/// Parameters of the session of one user.
struct SessionPlan {
    user: &'static str,
    /// Failure domain of the first caller.
    domain: &'static str,
    /// Services and the path that is read of each.
    reads: &'static [(&'static str, &'static str)],
    filing: Filing,
}

/// A running fleet and the answers so far, with parts that differ between runs replaced.
struct Session {
    fleet: Fleet,
    agent: Agent,
    text: String,
}

impl Session {
    fn start(plan: &SessionPlan) -> Session {
        let fleet = deployment::start(deployment::golden_config(plan.user), SERVICE_TIME);
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            // A refusal can close the connection; the next request must not race with that.
            .max_idle_connections(0)
            .allow_non_standard_methods(true)
            .build()
            .new_agent();
        Session { fleet, agent, text: String::new() }
    }

    fn entry(&self, instance: &str) -> &Daemon {
        self.fleet.daemons.iter().find(|d| d.name == instance).unwrap()
    }

    fn lookup(&self, instance: &str, service: &str) -> LookupAnswer {
        let url = format!(
            "http://{}/v1/lookup?service={service}&client=192.0.2.1",
            self.entry(instance).caller_endpoint
        );
        self.agent.get(url).call().unwrap().body_mut().read_json().unwrap()
    }

    /// Looks a service up at an instance and records the answer. The instances of a failure domain
    /// are ranked by a hash of service and client, so their names are stable.
    fn record_lookup(&mut self, instance: &str, service: &str) {
        let answer = self.lookup(instance, service);
        writeln!(self.text, "lookup {service} at {instance}").unwrap();
        let binding = answer.binding.split('.').next().unwrap();
        writeln!(self.text, "  ttl {} ms, binding of {binding}", answer.ttl_ms).unwrap();
        for entry in &answer.entries {
            writeln!(self.text, "  entry {} of {}", entry.instance, entry.failure_domain).unwrap();
        }
    }

    /// Sends a request to an instance and records the answer.
    fn send(&mut self, title: &str, instance: &str, request: Request<&[u8]>) {
        let (mut parts, body) = request.into_parts();
        let target = parts.uri.to_string();
        let address = self.entry(instance).caller_endpoint;
        parts.uri = format!("http://{address}{target}").parse().unwrap();
        writeln!(self.text, "{title}: {} {target} at {instance}", parts.method).unwrap();
        let mut answer = self.agent.run(Request::from_parts(parts, body)).unwrap();
        let body = answer.body_mut().read_to_string().unwrap();
        self.record_answer(&answer, &body);
    }

    fn record_answer<T>(&mut self, answer: &Response<T>, body: &str) {
        let header = |name: &str| answer.headers().get(name).map(|v| v.to_str().unwrap());
        let mut line = format!("  {}", answer.status().as_u16());
        for name in [OUTCOME_HEADER, REASON_HEADER] {
            if let Some(value) = header(name) {
                write!(line, " {name}: {value}").unwrap();
            }
        }
        if header("retry-after").is_some() {
            line.push_str(" retry-after: [seconds]");
        }
        let mut body = body.trim_end().to_owned();
        if let Some(server) = header(BACKEND_SERVER_HEADER) {
            let domain = deployment::server_domain(&self.fleet.config, server).unwrap();
            let (service, _) = server.rsplit_once('-').unwrap();
            body = body.replace(server, &format!("[{service} of {domain}]"));
        }
        writeln!(self.text, "{line}\n  {body}").unwrap();
    }

    fn record_line(&mut self, line: &str) {
        writeln!(self.text, "{line}").unwrap();
    }

    /// Waits for a log line of an instance.
    fn wait_for_log(&self, instance: &str, is_wanted: impl Fn(&str) -> bool) -> String {
        let path = self.fleet.workdir.path.join(format!("{instance}.log"));
        wait_for("a log line", || {
            let text = fs::read_to_string(&path).unwrap();
            text.lines().find(|line| is_wanted(line)).map(str::to_owned)
        })
    }
}

fn get(target: &str) -> Request<&'static [u8]> {
    Request::get(target).body(&b""[..]).unwrap()
}

fn post<'a>(target: &str, ticket: Option<&str>, body: &'a str) -> Request<&'a [u8]> {
    let mut builder = Request::post(target);
    if let Some(ticket) = ticket {
        builder = builder.header(TICKET_HEADER, ticket);
    }
    builder.body(body.as_bytes()).unwrap()
}

/// Sends a filing, sends it again to the same and to another entry, and sends another content
/// under its ticket.
fn filings(session: &mut Session, plan: &SessionPlan) {
    let first = format!("{}-1", plan.domain);
    let filing = &plan.filing;
    let target = format!("/v1/run/{}{}", filing.service, filing.path);
    let answer = session.lookup(&first, filing.service);
    let ticket = format!("{}/filing-1", answer.binding);
    let named = answer.entries[0].instance.to_string();
    let domains = deployment::domains(&session.fleet.config);
    let far = domains.iter().find(|d| !d.starts_with(&plan.domain[..4])).unwrap();
    let far = format!("{far}-1");
    session.send("filing", &named, post(&target, Some(&ticket), filing.body));
    session.send("filing sent again", &named, post(&target, Some(&ticket), filing.body));
    session.send("filing sent elsewhere", &far, post(&target, Some(&ticket), filing.body));
    let runs = session.fleet.runs_of(filing.body.as_bytes());
    session.record_line(&format!("runs of the filing: {runs}"));
    session.send("conflict", &named, post(&target, Some(&ticket), filing.other_body));
    let runs = session.fleet.runs_of(filing.other_body.as_bytes());
    session.record_line(&format!("runs of the other content: {runs}"));
}

/// Sends requests that the entries must refuse without a backend server.
fn refusals(session: &mut Session, plan: &SessionPlan) {
    let at = format!("{}-1", plan.domain);
    let filing = &plan.filing;
    let target = format!("/v1/run/{}{}", filing.service, filing.path);
    let read = format!("/v1/run/{}/1582", filing.service);
    session.send("unknown path", &at, get("/v2/run"));
    session.send("unknown service", &at, get("/v1/run/nessuno/1582"));
    session.send("lookup without a service", &at, get("/v1/lookup"));
    session.send("lookup of an unknown service", &at, get("/v1/lookup?service=nessuno"));
    session.send("unsafe path", &at, get(&format!("/v1/run/{}/a%2fb", filing.service)));
    let elsewhere = format!("/v1/run/{}/elsewhere", filing.service);
    session.send("undeclared operation", &at, post(&elsewhere, None, filing.body));
    session.send("no ticket", &at, post(&target, None, filing.body));
    session.send("unreadable ticket", &at, post(&target, Some("one"), filing.body));
    let foreign = format!("{at}.0000000000000001.5/filing-2");
    session.send("ticket of another run", &at, post(&target, Some(&foreign), filing.body));
    let unknown = "nobody-1.0000000000000001.5/filing-3";
    session.send("ticket of nobody", &at, post(&target, Some(unknown), filing.body));
    let late = Request::get(&read).header("pollenshed-deadline-ms", "0").body(&b""[..]);
    session.send("no time left", &at, late.unwrap());
    let odd = Request::get(&read).header("pollenshed-deadline-ms", "soon").body(&b""[..]);
    session.send("unreadable deadline", &at, odd.unwrap());
    let large = "x".repeat(1024 * 1024 + 1);
    let ticket = format!("{}/filing-4", session.lookup(&at, filing.service).binding);
    let mut request = post(&target, Some(&ticket), &large);
    // The refusal comes before the body, so a client that sent it anyway might lose the connection
    // before it has read the answer.
    request.headers_mut().insert("expect", "100-continue".parse().unwrap());
    session.send("body too large", &at, request);
}

/// Stops all backend servers of the first service and restarts them.
fn service_outage(session: &mut Session, plan: &SessionPlan) {
    let (service, path) = plan.reads[0];
    let at = format!("{}-1", plan.domain);
    let is_of = |name: &str| name.starts_with(&format!("{service}-"));
    for (name, backend) in &mut session.fleet.backends {
        if is_of(name) {
            backend.crash();
        }
    }
    let target = format!("/v1/run/{service}{path}");
    let url = format!("http://{}{target}", session.entry(&at).caller_endpoint);
    // At first, each owner refuses by itself. The reason no longer changes once the entry has
    // learned from all owners that they have no usable backend server.
    wait_for("a refusal for lack of backend servers everywhere", || {
        let mut answer = session.agent.get(&url).call().ok()?;
        let body = answer.body_mut().read_to_string().ok()?;
        body.contains("no backend server of the service can be reached").then_some(())
    });
    session.send("no backend server is up", &at, get(&target));
    for (name, backend) in &mut session.fleet.backends {
        if is_of(name) {
            backend.restart().unwrap();
        }
    }
    wait_for("the service to be served at home again", || {
        let server = deployment::read_from(session.entry(&at), service, path)?;
        let domain = deployment::server_domain(&session.fleet.config, &server)?;
        (domain == plan.domain).then_some(())
    });
    session.send("backend servers are back", &at, get(&target));
}

/// Drains the caller's failure domain and records where the entry moves its traffic first.
fn drain(session: &mut Session, plan: &SessionPlan) {
    let mut config = session.fleet.config.clone();
    config["drains"] = json!([{ "failure_domain": plan.domain }]);
    session.fleet.submit(&config);
    session.fleet.wait_until_in_force(2);
    session
        .record_line(&format!("drain of {} in force as version 2 at all instances", plan.domain));
    let at = format!("{}-1", plan.domain);
    let (service, path) = plan.reads[1];
    session.send("read right after the drain", &at, get(&format!("/v1/run/{service}{path}")));
    // On a busy machine, advertised headroom can expire briefly, and the first step goes to a
    // failure domain that is farther away.
    let neighbour = plan.domain.replace("-a", "-b");
    let line = session.wait_for_log(&at, |line| {
        line.contains("INFO")
            && deployment::is_step_to(line, service, &neighbour)
            && deployment::log_field(line, "home") == Some(plan.domain)
    });
    let service = deployment::log_field(&line, "service").unwrap();
    let home = deployment::log_field(&line, "home").unwrap();
    let step = deployment::SHIFT_STEP;
    session
        .record_line(&format!("log of {at}: {step} service={service} home={home} to {neighbour}"));
}

fn run(plan: &SessionPlan) -> String {
    let mut session = Session::start(plan);
    let first = format!("{}-1", plan.domain);
    for (service, path) in plan.reads {
        session.record_lookup(&first, service);
        session.send("read", &first, get(&format!("/v1/run/{service}{path}")));
    }
    filings(&mut session, plan);
    refusals(&mut session, plan);
    service_outage(&mut session, plan);
    drain(&mut session, plan);
    session.text
}

/// Guards against unintended changes of what Calì's callers see.
#[gtest]
fn session_of_cali() {
    let text = run(&SessionPlan {
        user: "cali",
        domain: "palermo-a",
        reads: &[
            ("tavole", "/1582/10?rite=roman"),
            ("anagrafe", "/parishes/7"),
            ("scanner", "/registers/3"),
            ("archivio", "/almanacs/1700"),
        ],
        filing: Filing {
            service: "anagrafe",
            path: "/filings",
            body: "feast of the cooperative on the 4th",
            other_body: "feast of the cooperative on the 5th",
        },
    });
    insta::assert_snapshot!(text);
}

/// Guards against unintended changes of what Tokachi's callers see.
#[gtest]
fn session_of_tokachi() {
    let text = run(&SessionPlan {
        user: "tokachi",
        domain: "sapporo-a",
        reads: &[
            ("tally-view", "/parks/odori"),
            ("tally-ledger", "/counts/12"),
            ("log-intake", "/shifts/2"),
            ("report-vault", "/archive/1999"),
        ],
        filing: Filing {
            service: "tally-ledger",
            path: "/commits",
            body: "gate 3: 41 visitors",
            other_body: "gate 3: 42 visitors",
        },
    });
    insta::assert_snapshot!(text);
}
