//! Validation findings: what is wrong in a file or value, where it is and what would be accepted.

use std::fmt;

use serde::Serialize;

/// A position in a text; both numbers start at 1 and the column counts characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
pub struct Position {
    /// Number of the line.
    pub line: usize,
    /// Number of the character within the line.
    pub column: usize,
}

/// Converts the byte offsets of findings to positions in `text` and sorts the findings.
///
/// The text is scanned once for all findings, because a large file on a single line can have tens
/// of thousands of them.
pub(crate) fn with_positions(text: &str, mut findings: Vec<(usize, Finding)>) -> Vec<Finding> {
    findings.sort_by_key(|(offset, _)| *offset);
    let mut position = Position { line: 1, column: 1 };
    let mut scanned_bytes = 0;
    let with_position = |(offset, finding): (usize, Finding)| {
        for c in text.get(scanned_bytes..offset).unwrap_or_default().chars() {
            match c {
                '\n' => position = Position { line: position.line + 1, column: 1 },
                _ => position.column += 1,
            }
        }
        scanned_bytes = offset;
        Finding { position: Some(position), ..finding }
    };
    findings.into_iter().map(with_position).collect()
}

/// One error in a file or value.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// Name of the file; empty for a value that was built in code.
    pub file: String,
    /// Position in the file; `None` for a value that was built in code.
    pub position: Option<Position>,
    /// Path of the field, such as `services[2].backend_servers[0].slots`; empty for the document.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What would be accepted.
    pub expected: String,
}

impl fmt::Display for Finding {
    /// Writes `file:line:column: field: message; expected ...` on one line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.position {
            Some(Position { line, column }) => write!(f, "{}:{line}:{column}: ", self.file)?,
            None if !self.file.is_empty() => write!(f, "{}: ", self.file)?,
            None => {}
        }
        let path = if self.path.is_empty() { "document" } else { &self.path };
        write!(f, "{path}: {}; expected {}", self.message, self.expected)
    }
}

/// All findings of one file or value, sorted by position.
///
/// A `Result` has it as its error only if there is at least one finding.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Returns `value` if there are no findings, and the findings as an error otherwise.
    pub(crate) fn ok_if_empty<T>(findings: Vec<Finding>, value: T) -> Result<T, Findings> {
        if findings.is_empty() { Ok(value) } else { Err(Findings(findings)) }
    }

    /// Iterates over the findings in the order of their positions.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }
}

impl FromIterator<Finding> for Findings {
    fn from_iter<I: IntoIterator<Item = Finding>>(findings: I) -> Findings {
        Findings(findings.into_iter().collect())
    }
}

impl IntoIterator for Findings {
    type Item = Finding;
    type IntoIter = std::vec::IntoIter<Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl fmt::Display for Findings {
    /// Writes one finding on each line, without a newline at the end.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// A violated rule. It has no position, because rules check values and not text.
pub(crate) struct Violation {
    pub(crate) path: String,
    message: String,
    expected: String,
    /// Paths of the fields besides `path` that the rule compared.
    pub(crate) compared_paths: Vec<String>,
}

impl Violation {
    /// Names a field that the rule compared; the violation is dropped if that field was unreadable.
    pub(crate) fn depends_on(&mut self, path: impl Into<String>) -> &mut Violation {
        self.compared_paths.push(path.into());
        self
    }

    /// Names several fields that the rule compared.
    pub(crate) fn depends_on_all(&mut self, paths: impl IntoIterator<Item = String>) {
        self.compared_paths.extend(paths);
    }

    pub(crate) fn into_finding(self, file: &str) -> Finding {
        let Violation { path, message, expected, .. } = self;
        Finding { file: file.to_owned(), position: None, path, message, expected }
    }
}

/// Violated rules, in the order in which they were found.
#[derive(Default)]
pub(crate) struct Violations(Vec<Violation>);

impl Violations {
    pub(crate) fn add(
        &mut self,
        path: impl Into<String>,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) -> &mut Violation {
        self.0.push(Violation {
            path: path.into(),
            message: message.into(),
            expected: expected.into(),
            compared_paths: Vec::new(),
        });
        let last = self.0.len() - 1;
        &mut self.0[last]
    }

    /// Adds a violation unless `value` is between `min` and `max` inclusive.
    pub(crate) fn check_range(&mut self, path: impl Into<String>, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            let size = if value < min { "too small" } else { "too large" };
            self.add(path, format!("{value} is {size}"), format!("{min} to {max}"));
        }
    }

    pub(crate) fn into_vec(self) -> Vec<Violation> {
        self.0
    }

    /// Turns the violations of a value that was built in code into findings.
    pub(crate) fn into_findings(self) -> Vec<Finding> {
        self.0.into_iter().map(|v| v.into_finding("")).collect()
    }
}
