//! Parser of the log lines of instances. `docs/OPERATIONS.md` lists them.

mod trace;

use std::collections::HashMap;

use jiff::Timestamp;

pub use trace::Trace;

/// A parsed log line.
#[derive(Debug, Clone)]
pub struct LogLine {
    /// Timestamp from the clock of the instance. The clocks of instances differ slightly.
    pub at: Timestamp,
    /// Name in front of the line, or the name of the file if there is none.
    pub instance: String,
    /// Event, such as `request: sent`.
    pub event: String,
    /// Values of the `key=value` fields by key.
    pub fields: HashMap<String, String>,
    /// The line without timestamp, level and module.
    pub text: String,
}

impl LogLine {
    /// Parses a line. Returns `None` if it is not a log line of an instance, such as the tail of a
    /// truncated line.
    ///
    /// Log collectors put the name of the machine in front. It is used as the name of the instance.
    fn parse(line: &str, file: &str) -> Option<LogLine> {
        let (prefix, rest) = line.split_once('[')?;
        let (head, text) = rest.split_once("] ")?;
        let at = head.split_whitespace().next()?.parse().ok()?;
        let name = prefix.split_whitespace().last();
        let (event, fields) = text.split_once(';').unwrap_or((text, ""));
        let event = event.split_whitespace().take_while(|word| !word.contains('='));
        let event = event.collect::<Vec<_>>().join(" ");
        Some(LogLine {
            at,
            instance: name.unwrap_or(file).to_owned(),
            event,
            fields: fields_of(fields),
            text: text.to_owned(),
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }

    /// Returns the milliseconds from `earlier` to this line.
    pub fn since_ms(&self, earlier: &LogLine) -> i64 {
        self.at.as_millisecond() - earlier.at.as_millisecond()
    }
}

/// Parses the `key=value` fields of a text. A value ends at the first space.
fn fields_of(text: &str) -> HashMap<String, String> {
    let pairs = text.split_whitespace().filter_map(|word| word.split_once('='));
    pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

/// Parses logs, given as name and text of each file. Returns their lines sorted by time.
pub fn read(files: &[(String, String)]) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = files
        .iter()
        .flat_map(|(name, text)| text.lines().filter_map(|line| LogLine::parse(line, name)))
        .collect();
    // The sort is stable: lines of the same millisecond stay in the order in which their instance
    // wrote them.
    lines.sort_by_key(|line| line.at);
    lines
}
