//! Checks whole files for `pollenshed check` and `pollenshedctl check`.

use std::fmt;

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::Serialize;

use crate::{
    config::{self, Config},
    findings::{Finding, Findings},
    ids::Digest,
    settings::{self, Settings},
};

/// The content of a file that was read without findings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Document {
    /// A configuration.
    Config(Box<Config>),
    /// Settings of one instance.
    Settings(Box<Settings>),
}

/// The result of checking one file.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct FileReport {
    /// Name of the file.
    pub file: String,
    /// `configuration` or `settings`.
    pub kind: &'static str,
    /// Digest of the canonical form of an accepted configuration; `None` for all other files.
    #[serde(serialize_with = "digest_as_text")]
    pub digest: Option<Digest>,
    /// Findings sorted by position; empty if the file is accepted.
    pub findings: Vec<Finding>,
}

/// The results of all files, as both binaries print them with `check --json`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CheckReport {
    /// One result for each file, in the order in which the files were given.
    pub files: Vec<FileReport>,
}

impl CheckReport {
    /// Returns whether no file has a finding.
    pub fn all_accepted(&self) -> bool {
        self.files.iter().all(|report| report.findings.is_empty())
    }
}

fn digest_as_text<S: serde::Serializer>(
    digest: &Option<Digest>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    digest.map(|d| d.to_string()).serialize(serializer)
}

impl fmt::Display for FileReport {
    /// Writes one line for each finding, or one line that says that the file is accepted.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.findings.iter().enumerate() {
            let newline = if i > 0 { "\n" } else { "" };
            write!(f, "{newline}{finding}")?;
        }
        if !self.findings.is_empty() {
            return Ok(());
        }
        write!(f, "{}: {} accepted", self.file, self.kind)?;
        self.digest.map_or(Ok(()), |digest| write!(f, ", {digest}"))
    }
}

/// Reads a file that is either a configuration or settings.
///
/// A document with a top-level field that only settings have is read as settings, any other as a
/// configuration.
pub fn parse(file_name: &str, text: &str) -> Result<Document, Findings> {
    if has_settings_field(text) {
        settings::parse(file_name, text).map(|s| Document::Settings(Box::new(s)))
    } else {
        config::parse(file_name, text).map(|c| Document::Config(Box::new(c)))
    }
}

fn has_settings_field(text: &str) -> bool {
    // Deep nesting would overflow the stack of the recursive parser, so it is rejected first.
    if crate::reader::has_unsupported_syntax(text) {
        return false;
    }
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let Ok(Some(root)) = parsed.map(|p| p.value) else { return false };
    let fields = ["instance", "failure_domain", "caller_address", "peer_address"];
    root.as_object().is_some_and(|object| fields.iter().any(|f| object.get(f).is_some()))
}

/// Checks files, given as pairs of name and text.
///
/// If exactly one of the files is an accepted configuration, settings are also checked against it.
pub fn check_files(files: &[(String, String)]) -> Vec<FileReport> {
    let parsed: Vec<_> = files.iter().map(|(name, text)| parse(name, text)).collect();
    let mut configs = parsed.iter().filter_map(|p| match p {
        Ok(Document::Config(config)) => Some(config.as_ref()),
        _ => None,
    });
    let config = match (configs.next(), configs.next()) {
        (Some(config), None) => Some(config),
        _ => None,
    };
    let reports = files.iter().zip(&parsed);
    reports.map(|((name, text), parsed)| report(name, text, parsed, config)).collect()
}

fn report(
    name: &str,
    text: &str,
    parsed: &Result<Document, Findings>,
    config: Option<&Config>,
) -> FileReport {
    let mut report =
        FileReport { file: name.to_owned(), kind: "configuration", digest: None, findings: vec![] };
    let findings = match parsed {
        Ok(Document::Config(config)) => {
            report.digest = Some(config.digest());
            None
        }
        Ok(Document::Settings(_)) | Err(_) if has_settings_field(text) => {
            report.kind = "settings";
            match config {
                Some(config) => settings::parse_for(name, text, config).err(),
                None => parsed.clone().err(),
            }
        }
        Ok(Document::Settings(_)) => None,
        Err(findings) => Some(findings.clone()),
    };
    report.findings = findings.into_iter().flatten().collect();
    report
}
