//! Keeps the table of log lines in `docs/OPERATIONS.md` complete.

use std::{fs, path::Path};

use googletest::prelude::*;

/// Returns the format strings of all lines that the sources in `folder` log at `info` or above.
fn logged(folder: &Path) -> Vec<String> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(logged(&path));
            continue;
        }
        let source = fs::read_to_string(&path).unwrap();
        for level in ["log::info!(", "log::warn!(", "log::error!("] {
            for call in source.split(level).skip(1) {
                let text = call.trim_start().strip_prefix('"');
                found.extend(text.and_then(|t| t.split('"').next()).map(str::to_owned));
            }
        }
    }
    found
}

/// Guards against a log line that the operations page does not explain.
#[gtest]
fn each_line_is_in_the_table_of_the_operations_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let mut lines = logged(&root.join("crates/pollenshed/src/steer"));
    lines.extend(logged(&root.join("crates/transport/src/listen")));
    expect_that!(lines.len(), ge(30));
    for line in lines {
        let (part, rest) = line.split_once(": ").unwrap_or((&line, ""));
        // The event ends at the fields, or before a value that it depends on.
        let event = rest.split([';', ',', '{']).next().unwrap_or_default().trim();
        let is_named = rows.iter().any(|row| {
            row.starts_with(&format!("| `{part}: ")) && row.contains(&format!("{event}`"))
                || event.is_empty() && row.starts_with(&format!("| `{part}: "))
        });
        expect_true!(is_named, "{line:?} is not in docs/OPERATIONS.md");
    }
}
