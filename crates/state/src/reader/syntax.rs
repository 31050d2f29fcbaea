use jsonc_parser::{CollectOptions, ParseOptions, ast::Value, parse_to_ast};

use crate::findings::Finding;

/// Deepest accepted nesting. The parser is recursive, so that a file of opening brackets alone
/// would overflow the stack; valid documents nest 6 levels deep.
const MAX_DEPTH: usize = 32;

/// Parses `text` without checking field names or types.
///
/// Comments and trailing commas are accepted; field names without quotes are not.
pub(super) fn parse<'a>(file: &str, text: &'a str) -> Result<Value<'a>, Box<(usize, Finding)>> {
    let finding = |offset, message: String, expected: &str| {
        let finding = Finding {
            file: file.to_owned(),
            position: None,
            path: String::new(),
            message,
            expected: expected.to_owned(),
        };
        Box::new((offset, finding))
    };
    if let Some((offset, message, expected)) = first_unsupported_syntax(text) {
        return Err(finding(offset, message, expected));
    }
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
    };
    match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(result) => {
            result.value.ok_or_else(|| finding(0, "the file is empty".to_owned(), "an object"))
        }
        Err(error) => {
            let kind = error.kind().to_string();
            let message = format!("syntax error: {}", kind.to_lowercase());
            Err(finding(error.range().start, message, "JSON with comments"))
        }
    }
}

/// Returns whether the text has syntax that is rejected before parsing, such as deep nesting.
pub(crate) fn has_unsupported_syntax(text: &str) -> bool {
    first_unsupported_syntax(text).is_some()
}

/// Returns the offset of the first bracket that nests too deeply or of the first single quote,
/// outside of strings and comments, with a message and what is expected.
fn first_unsupported_syntax(text: &str) -> Option<(usize, String, &'static str)> {
    let bytes = text.as_bytes();
    let mut depth = 0_usize;
    let mut i = 0;
    while let Some(&byte) = bytes.get(i) {
        match byte {
            b'"' => i = end_of_string(bytes, i),
            // The parser accepts single quotes around strings; other JSON libraries do not.
            b'\'' => return Some((i, "a string in single quotes".to_owned(), "double quotes")),
            b'/' if bytes.get(i + 1) == Some(&b'/') => {
                i = text[i..].find('\n').map_or(bytes.len(), |n| i + n);
            }
            b'/' if bytes.get(i + 1) == Some(&b'*') => {
                i = text[i + 2..].find("*/").map_or(bytes.len(), |n| i + n + 3);
            }
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            let message = format!("nested more than {MAX_DEPTH} levels deep");
            return Some((i, message, "the documented fields"));
        }
        i += 1;
    }
    None
}

/// Returns the offset of the quote that ends the string, or the end of the text.
fn end_of_string(bytes: &[u8], start: usize) -> usize {
    let mut i = start + 1;
    while let Some(&byte) = bytes.get(i) {
        match byte {
            b'\\' => i += 1,
            b'"' => return i,
            _ => {}
        }
        i += 1;
    }
    bytes.len()
}
