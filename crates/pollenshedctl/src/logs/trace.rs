//! The way of one request over all instances, and the cause of its end.

use std::fmt;

use serde::Serialize;

use super::Line;

/// Time before and after an attempt in which lines of its backend server tell something of it.
const NEAR_MS: i64 = 5_000;

/// Time after a broken answer in which an instance finds out that the server has crashed.
const CRASH_MS: i64 = 600;

/// Answers that take this many times as long as was expected are slow.
const SLOW_FACTOR: i64 = 2;

/// Time in which refusals of other requests show that the service was short of servers.
const REFUSALS_MS: i64 = 1_000;

/// The way of one request.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Trace {
    /// Lines that name the request, and lines of the servers and instances that it met, in the order
    /// of their times.
    pub lines: Vec<String>,
    /// Why it ended as it did.
    pub cause: String,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        write!(f, "cause: {}", self.cause)
    }
}

impl Trace {
    /// Finds the request `id` in the lines of all instances. `None` if no line names it.
    pub fn find(lines: &[Line], id: &str) -> Option<Trace> {
        let own: Vec<&Line> = lines.iter().filter(|line| line.field("id") == Some(id)).collect();
        let (first, last) = (*own.first()?, *own.last()?);
        let servers: Vec<&str> = own.iter().filter_map(|line| line.field("server")).collect();
        let printed: Vec<String> = lines
            .iter()
            .filter(|line| {
                let is_near = line.since_ms(first) >= -NEAR_MS && line.since_ms(last) <= NEAR_MS;
                line.field("id") == Some(id)
                    || (is_near && line.instance == first.instance && is_context(line, &servers))
            })
            .map(|line| format!("{} {} {}", line.at, line.instance, line.text))
            .collect();
        Some(Trace { lines: printed, cause: cause(lines, &own) })
    }
}

/// Returns whether a line of the same instance may explain what happened at `servers`.
fn is_context(line: &Line, servers: &[&str]) -> bool {
    if line.event.starts_with("request:") || line.field("id").is_some() {
        return false;
    }
    match line.field("server") {
        Some(server) => servers.contains(&server),
        None => ["instance:", "store:", "peers:", "config:", "evacuation:"]
            .iter()
            .any(|part| line.event.starts_with(part)),
    }
}

fn cause(lines: &[Line], own: &[&Line]) -> String {
    let sent: Vec<&Line> = own.iter().copied().filter(|l| l.event == "request: sent").collect();
    let Some(answered) = own.iter().copied().find(|l| l.event == "request: answered") else {
        return unanswered(lines, own);
    };
    let reason = answered.field("reason").unwrap_or("-");
    let status = answered.field("status").unwrap_or("-");
    match reason {
        "answered" if status.starts_with('2') => served(own, &sent, answered),
        "answered" => format!("the backend server answered {status}, which was passed on"),
        "broken-off" => broken_off(lines, own),
        "shed" => format!(
            "refused as not run: backend servers shed it ({}) and no further attempt was allowed",
            loads(own)
        ),
        "busy" => format!(
            "refused as not run: all servers that may be used were busy for longer than it could \
             wait; {} other requests were refused by this instance within {REFUSALS_MS} ms",
            refusals(lines, answered)
        ),
        "timeout" => timeout(&sent, answered),
        other => format!("{}; see docs/OPERATIONS.md, \"Reasons\"", reason_text(other)),
    }
}

fn reason_text(reason: &str) -> String {
    match reason {
        "too-late" => "refused as not run: too little time was left for any server".to_owned(),
        "no-server" => {
            "refused as not run: no server of the service was ready, outside of evacuated failure \
             domains and inside of the home regions"
                .to_owned()
        }
        "no-config" => "refused as not run: the instance had no configuration yet".to_owned(),
        "unreachable" => {
            "refused as not run: no connection to three backend servers could be made".to_owned()
        }
        "crashes-servers" => {
            "refused as not run: its content crashed two backend servers within a minute".to_owned()
        }
        "unknown-host" | "unknown-path" => {
            "no route in the configuration version of the line".to_owned()
        }
        other => format!("reason {other}"),
    }
}

/// A request without an answer: the caller left, or its instance ended.
fn unanswered(lines: &[Line], own: &[&Line]) -> String {
    let last = own[own.len() - 1];
    if let Some(left) = own.iter().find(|line| line.event == "request: cancelled") {
        let took_ms = left.field("took_ms").unwrap_or("-");
        return format!("the caller left after {took_ms} ms; the request may have run");
    }
    let ended = lines.iter().find(|line| {
        line.instance == last.instance
            && line.since_ms(last) >= 0
            && line.event == "instance: started"
    });
    match ended {
        Some(line) => format!(
            "lost with its instance, which started again {} ms after the last line; it may have run",
            line.since_ms(last)
        ),
        None => "its instance wrote nothing more of it: it ended, or lines were dropped".to_owned(),
    }
}

fn served(own: &[&Line], sent: &[&Line], answered: &Line) -> String {
    let took_ms = number(answered, "took_ms");
    let expected_ms = sent.last().map_or(0, |line| number(line, "expected_ms"));
    let last_ms = sent.last().map_or(took_ms, |line| answered.since_ms(line));
    if sent.len() > 1 {
        let failed = own.iter().filter(|line| line.event.starts_with("backend:"));
        let failed: Vec<&str> = failed.map(|line| line.event.as_str()).collect();
        return format!(
            "served after {took_ms} ms in {} attempts, {last_ms} ms of it in the last: {}",
            sent.len(),
            failed.join(", ")
        );
    }
    if last_ms > SLOW_FACTOR * expected_ms.max(1) {
        return format!(
            "served after {took_ms} ms by a server from which {expected_ms} ms were expected: it was \
             slow, or no longer remembered the object"
        );
    }
    let load = sent.last().and_then(|line| line.field("load")).unwrap_or("-");
    format!("served after {took_ms} ms, as was expected ({expected_ms} ms with {load} before it)")
}

fn broken_off(lines: &[Line], own: &[&Line]) -> String {
    let broken = own.iter().rfind(|line| line.event == "backend: broke off");
    let Some(&broken) = broken else { return "the answer broke off".to_owned() };
    let server = broken.field("server").unwrap_or("-");
    let crashed = lines.iter().any(|line| {
        let delay_ms = line.since_ms(broken);
        line.event == "backend: crashed"
            && line.field("server") == Some(server)
            && (0..=CRASH_MS).contains(&delay_ms)
    });
    if crashed {
        return format!(
            "{server} crashed while it ran the request; it was not sent again, as it may have run"
        );
    }
    format!(
        "{server} ended the connection without an answer and lives on: the answer was lost, and the request may have run"
    )
}

fn timeout(sent: &[&Line], answered: &Line) -> String {
    let Some(last) = sent.last() else {
        return "the time was over before a server could be asked".to_owned();
    };
    let had_ms = answered.since_ms(last);
    format!(
        "{} had it for {had_ms} ms when its time was over; {} ms were expected with {} requests before \
         it and {} ms left",
        last.field("server").unwrap_or("-"),
        last.field("expected_ms").unwrap_or("-"),
        last.field("load").unwrap_or("-"),
        last.field("left_ms").unwrap_or("-"),
    )
}

fn loads(own: &[&Line]) -> String {
    let shed = own.iter().filter(|line| line.event == "backend: not run");
    let loads: Vec<String> = shed
        .map(|line| {
            let load = line.text.split_once("load=").map_or("-", |(_, load)| load);
            format!("{} with {load}", line.field("server").unwrap_or("-"))
        })
        .collect();
    loads.join("; ")
}

fn refusals(lines: &[Line], answered: &Line) -> usize {
    let others = lines.iter().filter(|line| {
        line.event == "request: answered"
            && line.instance == answered.instance
            && line.field("reason") == Some("busy")
            && line.field("id") != answered.field("id")
            && line.since_ms(answered).abs() <= REFUSALS_MS
    });
    others.count()
}

fn number(line: &Line, key: &str) -> i64 {
    line.field(key).and_then(|text| text.parse().ok()).unwrap_or(0)
}
