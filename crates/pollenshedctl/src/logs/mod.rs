//! Lines that instances wrote, as `docs/OPERATIONS.md` lists them.

mod trace;

use std::collections::HashMap;

use jiff::Timestamp;

pub use trace::Trace;

/// A line of a log.
#[derive(Debug, Clone)]
pub struct Line {
    /// Time of day at the instance; clocks of instances differ a little.
    pub at: Timestamp,
    /// The instance, or the file if the log does not tell.
    pub instance: String,
    /// What happened, such as `request: sent`.
    pub event: String,
    /// The fields `key=value`.
    pub fields: HashMap<String, String>,
    /// The line after its time and module.
    pub text: String,
}

impl Line {
    /// Reads a line. `None` if it is not one of an instance, such as the end of a line that was cut.
    ///
    /// Collectors put the name of the machine in front; it is taken for the name of the instance.
    fn parse(line: &str, file: &str) -> Option<Line> {
        let (before, rest) = line.split_once('[')?;
        let (head, text) = rest.split_once("] ")?;
        let at = head.split_whitespace().next()?.parse().ok()?;
        let name = before.split_whitespace().last();
        let (event, fields) = text.split_once(';').unwrap_or((text, ""));
        let event = event.split_whitespace().take_while(|word| !word.contains('='));
        let event = event.collect::<Vec<_>>().join(" ");
        Some(Line {
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
    pub fn since_ms(&self, earlier: &Line) -> i64 {
        self.at.as_millisecond() - earlier.at.as_millisecond()
    }
}

/// Returns the fields of a text. Values with spaces are cut at the first one.
fn fields_of(text: &str) -> HashMap<String, String> {
    let pairs = text.split_whitespace().filter_map(|word| word.split_once('='));
    pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

/// Reads the lines of logs, given as name and text of each file, in the order of their times.
pub fn read(files: &[(String, String)]) -> Vec<Line> {
    let mut lines: Vec<Line> = files
        .iter()
        .flat_map(|(name, text)| text.lines().filter_map(|line| Line::parse(line, name)))
        .collect();
    // Lines of one millisecond stay in the order in which their instance wrote them.
    lines.sort_by_key(|line| line.at);
    lines
}
