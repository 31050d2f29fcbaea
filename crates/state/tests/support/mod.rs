//! Documents that the tests start from, and functions that edit them as text.
#![allow(dead_code, reason = "each test file uses a part of it")]

/// An accepted configuration.
pub const CONFIG: &str = include_str!("../data/config.jsonc");

/// Accepted settings.
pub const SETTINGS: &str = include_str!("../data/settings.jsonc");

/// Replaces the first `old`, which must be there, so that a case cannot silently test nothing.
pub fn replaced(text: &str, old: &str, new: &str) -> String {
    assert!(text.contains(old), "{old:?} is not in the document");
    text.replacen(old, new, 1)
}

/// Applies one change at a time to `text` and lists each change with the findings of the result.
pub fn findings_of_changes<E: std::fmt::Display>(
    text: &str,
    changes: &[(&str, &str)],
    check: impl Fn(&str) -> Result<(), E>,
) -> String {
    let mut list = String::new();
    for (old, new) in changes {
        let outcome = check(&replaced(text, old, new));
        let outcome = outcome.err().map_or("accepted".to_owned(), |e| e.to_string());
        list += &format!("{old} -> {new}\n{outcome}\n\n");
    }
    list
}
