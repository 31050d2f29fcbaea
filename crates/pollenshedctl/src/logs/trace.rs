//! Collects the log lines of one request and finds the cause of its result.

use std::fmt;

use serde::Serialize;

use super::LogLine;

/// Lines that the instance of a request logged about itself or about the backend servers of the
/// request count as context within this time before its first and after its last line.
const CONTEXT_MS: i64 = 5_000;

/// Time after a broken answer within which an instance detects that the server has crashed.
const CRASH_DETECTION_MS: i64 = 600;

/// An answer is slow if it takes more than this many times the expected time.
const SLOW_FACTOR: i64 = 2;

/// Refusals of other requests are counted within this time before and after a refusal. They show
/// whether the service was short of servers.
const REFUSALS_MS: i64 = 1_000;

/// The log lines of one request and the cause of its result.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Trace {
    /// Lines with the id of the request, and lines of its instance that give context, sorted by
    /// time.
    pub lines: Vec<String>,
    /// Explanation of the result for people.
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
    /// Finds the request `id` in the lines of all instances. Returns `None` if no line has this id.
    pub fn find(lines: &[LogLine], id: &str) -> Option<Trace> {
        let request_lines: Vec<&LogLine> =
            lines.iter().filter(|line| line.field("id") == Some(id)).collect();
        let (first, last) = (*request_lines.first()?, *request_lines.last()?);
        let servers: Vec<&str> =
            request_lines.iter().filter_map(|line| line.field("server")).collect();
        let printed: Vec<String> = lines
            .iter()
            .filter(|line| {
                let is_in_time =
                    line.since_ms(first) >= -CONTEXT_MS && line.since_ms(last) <= CONTEXT_MS;
                line.field("id") == Some(id)
                    || (is_in_time && line.instance == first.instance && is_context(line, &servers))
            })
            .map(|line| format!("{} {} {}", line.at, line.instance, line.text))
            .collect();
        Some(Trace { lines: printed, cause: cause(lines, &request_lines) })
    }
}

/// Returns whether a line without the id of a request may explain what happened at `servers`.
fn is_context(line: &LogLine, servers: &[&str]) -> bool {
    if line.event.starts_with("request:") || line.field("id").is_some() {
        return false;
    }
    match line.field("server") {
        Some(server) => servers.contains(&server),
        None => ["instance:", "store:", "peers:", "config:", "evacuation:"]
            .iter()
            .any(|prefix| line.event.starts_with(prefix)),
    }
}

fn cause(lines: &[LogLine], request_lines: &[&LogLine]) -> String {
    let sent: Vec<&LogLine> =
        request_lines.iter().copied().filter(|l| l.event == "request: sent").collect();
    let Some(answered) = request_lines.iter().copied().find(|l| l.event == "request: answered")
    else {
        return describe_unanswered(lines, request_lines);
    };
    let reason = answered.field("reason").unwrap_or("-");
    let status = answered.field("status").unwrap_or("-");
    match reason {
        "answered" if status.starts_with('2') => describe_success(request_lines, &sent, answered),
        "answered" => {
            format!("the backend server answered {status}, which was relayed to the caller")
        }
        "broken-off" => describe_broken_answer(lines, request_lines),
        "shed" => format!(
            "refused as not run: backend servers shed it ({}) and no further attempt was allowed",
            describe_loads(request_lines)
        ),
        "busy" => format!(
            "refused as not run: all usable servers were busy for longer than the request could \
             wait; {} other requests were refused by this instance within {REFUSALS_MS} ms{}",
            count_other_refusals(lines, answered),
            describe_declining(lines, answered)
        ),
        "no-server" => {
            format!("{}{}", describe_reason(reason), describe_declining(lines, answered))
        }
        "timeout" => describe_timeout(&sent, answered),
        other => format!("{}; see docs/OPERATIONS.md, \"Reasons\"", describe_reason(other)),
    }
}

fn describe_reason(reason: &str) -> String {
    match reason {
        "too-late" => {
            "refused as not run: too little time was left to run it on any server".to_owned()
        }
        "no-server" => {
            "refused as not run: no server of the service was ready in the home regions outside of \
             evacuated failure domains"
                .to_owned()
        }
        "no-config" => "refused as not run: the instance had no configuration yet".to_owned(),
        "unreachable" => {
            "refused as not run: connections to three backend servers failed".to_owned()
        }
        "crashes-servers" => {
            "refused as not run: its content crashed two backend servers within a minute".to_owned()
        }
        "unknown-host" | "unknown-path" => {
            "the configuration version in the line has no route for the request".to_owned()
        }
        other => format!("reason {other}"),
    }
}

/// Explains a request without an answer: the caller disconnected, the instance stopped, or log
/// lines are missing.
fn describe_unanswered(lines: &[LogLine], request_lines: &[&LogLine]) -> String {
    let last = request_lines[request_lines.len() - 1];
    if let Some(cancelled) = request_lines.iter().find(|line| line.event == "request: cancelled") {
        let took_ms = cancelled.field("took_ms").unwrap_or("-");
        return format!("the caller disconnected after {took_ms} ms; the request may have run");
    }
    let restart = lines.iter().find(|line| {
        line.instance == last.instance
            && line.since_ms(last) >= 0
            && line.event == "instance: started"
    });
    match restart {
        Some(line) => format!(
            "lost because its instance stopped; the instance started again {} ms after the last \
             line of the request, which may have run",
            line.since_ms(last)
        ),
        None => "no later lines about the request: its instance stopped, or log lines were dropped"
            .to_owned(),
    }
}

fn describe_success(request_lines: &[&LogLine], sent: &[&LogLine], answered: &LogLine) -> String {
    let took_ms = number(answered, "took_ms");
    let expected_ms = sent.last().map_or(0, |line| number(line, "expected_ms"));
    let last_ms = sent.last().map_or(took_ms, |line| answered.since_ms(line));
    if sent.len() > 1 {
        let failed = request_lines.iter().filter(|line| line.event.starts_with("backend:"));
        let failed: Vec<&str> = failed.map(|line| line.event.as_str()).collect();
        return format!(
            "served after {took_ms} ms in {} attempts, {last_ms} ms of it in the last one; \
             failures: {}",
            sent.len(),
            failed.join(", ")
        );
    }
    if last_ms > SLOW_FACTOR * expected_ms.max(1) {
        return format!(
            "served after {took_ms} ms, although the server was expected to take {expected_ms} ms: \
             it was slow, or no longer had the object in its cache"
        );
    }
    let load = sent.last().and_then(|line| line.field("load")).unwrap_or("-");
    format!(
        "served after {took_ms} ms, as expected ({expected_ms} ms with {load} requests ahead of it)"
    )
}

fn describe_broken_answer(lines: &[LogLine], request_lines: &[&LogLine]) -> String {
    let broken = request_lines.iter().rfind(|line| line.event == "backend: broke off");
    let Some(&broken) = broken else {
        return "the connection closed before the answer was complete".to_owned();
    };
    let server = broken.field("server").unwrap_or("-");
    let crashed = lines.iter().any(|line| {
        let delay_ms = line.since_ms(broken);
        line.event == "backend: crashed"
            && line.field("server") == Some(server)
            && (0..=CRASH_DETECTION_MS).contains(&delay_ms)
    });
    if crashed {
        return format!(
            "{server} crashed while it ran the request; the request was not sent again, because it \
             may have run"
        );
    }
    format!(
        "{server} closed the connection without a complete answer but did not crash: the answer \
         was lost, and the request may have run"
    )
}

fn describe_timeout(sent: &[&LogLine], answered: &LogLine) -> String {
    let Some(last) = sent.last() else {
        return "the deadline passed before the request could be sent to a server".to_owned();
    };
    let waited_ms = answered.since_ms(last);
    format!(
        "{} had the request for {waited_ms} ms when its deadline passed; {} ms were expected with \
         {} requests ahead of it and {} ms left",
        last.field("server").unwrap_or("-"),
        last.field("expected_ms").unwrap_or("-"),
        last.field("load").unwrap_or("-"),
        last.field("left_ms").unwrap_or("-"),
    )
}

fn describe_loads(request_lines: &[&LogLine]) -> String {
    let shed = request_lines.iter().filter(|line| line.event == "backend: not run");
    let loads: Vec<String> = shed
        .map(|line| {
            let load = line.text.split_once("load=").map_or("-", |(_, load)| load);
            format!("{} at load {load}", line.field("server").unwrap_or("-"))
        })
        .collect();
    loads.join("; ")
}

/// Names the servers that had told the instance before a refusal that they leave, or that they want a
/// rest which was not over.
fn describe_declining(lines: &[LogLine], answered: &LogLine) -> String {
    let heard =
        lines.iter().filter(|l| l.instance == answered.instance && answered.since_ms(l) >= 0);
    let declining: Vec<String> = heard
        .filter_map(|line| {
            let server = line.field("server")?;
            match line.event.as_str() {
                "backend: leaving" => Some(format!("{server} leaves")),
                "backend: rest" if answered.since_ms(line) < number(line, "rest_ms") => {
                    Some(format!("{server} rests for {} ms", number(line, "rest_ms")))
                }
                _ => None,
            }
        })
        .collect();
    if declining.is_empty() { String::new() } else { format!("; {}", declining.join(", ")) }
}

fn count_other_refusals(lines: &[LogLine], answered: &LogLine) -> usize {
    let others = lines.iter().filter(|line| {
        line.event == "request: answered"
            && line.instance == answered.instance
            && line.field("reason") == Some("busy")
            && line.field("id") != answered.field("id")
            && line.since_ms(answered).abs() <= REFUSALS_MS
    });
    others.count()
}

fn number(line: &LogLine, key: &str) -> i64 {
    line.field(key).and_then(|text| text.parse().ok()).unwrap_or(0)
}
