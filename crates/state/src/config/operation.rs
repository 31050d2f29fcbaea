use std::borrow::Cow;

use super::document::{Operation, Service};

impl Service {
    /// Returns the first operation that matches `method` and `path`.
    ///
    /// The query is not part of the comparison. A prefix matches whole path segments only, so that
    /// `/filings` does not match `/filings-old`. Percent-encoding is decoded first, and a path that
    /// a backend server could read as another path (`.` and `..` segments, empty segments, encoded
    /// slashes, backslashes, control characters or invalid encoding) matches no operation.
    /// Otherwise `/reads/../filings` would run a filing under the rules of a read, which
    /// allow retries.
    pub fn operation(&self, method: &str, path: &str) -> Option<&Operation> {
        let path = path.split('?').next().unwrap_or(path);
        let path = unambiguous_path(path)?;
        self.operations.iter().find(|operation| {
            operation.methods.iter().any(|m| m == method)
                && path_has_prefix(&path, &operation.path_prefix)
        })
    }
}

/// Returns whether `path` is `prefix` or lies below it.
pub(super) fn path_has_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Decodes the path, or returns `None` if two servers could interpret it differently.
pub(super) fn unambiguous_path(path: &str) -> Option<Cow<'_, str>> {
    let segments = path.strip_prefix('/')?;
    let decoded: Cow<'_, str> =
        if path.contains('%') { decode_percent(path)?.into() } else { path.into() };
    let mut inner = segments.split('/').rev();
    // The last segment may be empty, because a path may end with a slash.
    inner.next();
    if inner.any(str::is_empty) || decoded.contains(is_ambiguous) {
        return None;
    }
    let is_dot_segment = |segment: &str| segment == "." || segment == "..";
    (!decoded.split('/').any(is_dot_segment)).then_some(decoded)
}

/// Characters that servers treat in different ways: `\` as a slash, `;` and `#` as an end.
fn is_ambiguous(c: char) -> bool {
    c.is_control() || matches!(c, '\\' | ';' | '#')
}

/// Decodes `%XX`; an encoded slash, an encoded percent sign or invalid encoding yields `None`.
///
/// An encoded percent sign is rejected because a server that decodes twice would see another path.
fn decode_percent(path: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        if first != b'%' {
            bytes.push(first);
            rest = tail;
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let byte = u8::from_str_radix(digits, 16).ok()?;
        if byte == b'/' || byte == b'%' {
            return None;
        }
        bytes.push(byte);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}
