//! Deserializes JSON with comments into domain types and collects all findings.
//!
//! `serde` stops at the first error, but an operator wants all errors of a file at once. A field
//! that cannot be read gets a placeholder, so that the rest of the document is still checked; rules
//! that depend on a placeholder report nothing.

mod scalar;
mod syntax;

use std::collections::{BTreeSet, HashMap};

use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};

use crate::findings::{self, Finding, Findings, Violation, Violations};

/// A JSON value with its path in the document.
pub(crate) struct Node<'a> {
    pub(crate) path: String,
    pub(crate) value: &'a Value<'a>,
}

/// The fields of a JSON object; there are none if the value is not an object.
pub(crate) struct Fields<'a> {
    path: String,
    object: Option<&'a Object<'a>>,
}

/// A type that can be read from a document.
pub(crate) trait FromDocument: Sized {
    /// Returns the value that is used in place of one that could not be read.
    fn placeholder() -> Self;

    /// Reads the value; on an error reports it and returns the placeholder.
    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> Self;
}

/// Collects findings and the position of each field.
pub(crate) struct Reader<'a> {
    file: &'a str,
    /// Findings with their byte offsets.
    findings: Vec<(usize, Finding)>,
    /// Byte offset of each value, by path.
    offsets: HashMap<String, usize>,
    /// Paths of values that were replaced by placeholders.
    unreadable_paths: BTreeSet<String>,
}

/// Reads a whole document, then applies `rules` to it.
pub(crate) fn read_document<T: FromDocument>(
    file: &str,
    text: &str,
    rules: impl Fn(&T, &mut Violations),
) -> Result<T, Findings> {
    let root = match syntax::parse(file, text) {
        Ok(root) => root,
        Err(found) => {
            return Findings::ok_if_empty(
                findings::with_positions(text, vec![*found]),
                T::placeholder(),
            );
        }
    };
    let mut reader = Reader {
        file,
        findings: Vec::new(),
        offsets: HashMap::new(),
        unreadable_paths: BTreeSet::new(),
    };
    let value = reader.read_value(&Node { path: String::new(), value: &root });
    let mut violations = Violations::default();
    rules(&value, &mut violations);
    for violation in violations.into_vec() {
        reader.report_violation(violation);
    }
    Findings::ok_if_empty(findings::with_positions(text, reader.findings), value)
}

impl Reader<'_> {
    /// Suppresses findings of rules that depend on the value.
    pub(crate) fn mark_unreadable(&mut self, node: &Node<'_>) {
        self.unreadable_paths.insert(node.path.clone());
    }

    /// Reports a value that cannot be read and marks it as unreadable.
    pub(crate) fn report_unreadable(&mut self, node: &Node<'_>, message: String, expected: String) {
        self.mark_unreadable(node);
        self.report(node.value.start(), &node.path, message, expected);
    }

    /// Records the offset of `node` and reads it.
    pub(crate) fn read_value<T: FromDocument>(&mut self, node: &Node<'_>) -> T {
        self.offsets.insert(node.path.clone(), node.value.start());
        T::read(self, node)
    }

    /// Returns the fields of `node` after reporting unknown and duplicate ones.
    pub(crate) fn read_fields<'a>(&mut self, node: &Node<'a>, known: &[&str]) -> Fields<'a> {
        let path = node.path.clone();
        let Value::Object(object) = node.value else {
            let message = format!("wrong type, found {}", scalar::describe(node.value));
            self.report_unreadable(node, message, format!("an object with {}", known.join(", ")));
            return Fields { path, object: None };
        };
        for (i, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let field = join_path(&path, name);
            if !known.contains(&name) {
                let (message, expected) = scalar::explain_unknown_field(name, known);
                self.report(property.range.start, &field, message, expected);
            } else if object.properties[..i].iter().any(|p| p.name.as_str() == name) {
                let expected = "each field once".to_owned();
                self.report(property.range.start, &field, "duplicate field".into(), expected);
            }
        }
        Fields { path, object: Some(object) }
    }

    /// Reads a required field; reports it and returns the placeholder if it is missing.
    pub(crate) fn read_required<T: FromDocument>(&mut self, fields: &Fields<'_>, name: &str) -> T {
        let Some(object) = fields.object else { return T::placeholder() };
        let path = join_path(&fields.path, name);
        match object.get(name) {
            Some(property) => self.read_value(&Node { path, value: &property.value }),
            None => {
                self.unreadable_paths.insert(path.clone());
                let expected = scalar::expected_value(name);
                self.report(object.range.start, &path, "missing field".into(), expected);
                T::placeholder()
            }
        }
    }

    /// Reads a field that has a default.
    pub(crate) fn read_optional<T: FromDocument>(
        &mut self,
        fields: &Fields<'_>,
        name: &str,
        default: T,
    ) -> T {
        match fields.object.and_then(|o| o.get(name)) {
            Some(property) => self
                .read_value(&Node { path: join_path(&fields.path, name), value: &property.value }),
            None => default,
        }
    }

    fn report(&mut self, offset: usize, path: &str, message: String, expected: String) {
        let finding = Finding {
            file: self.file.to_owned(),
            position: None,
            path: path.to_owned(),
            message,
            expected,
        };
        self.findings.push((offset, finding));
    }

    /// Reports a violated rule at its field, unless that field or one that the rule compared was
    /// unreadable.
    fn report_violation(&mut self, violation: Violation) {
        let is_unreadable = |path: &String| self.is_unreadable(path);
        if is_unreadable(&violation.path) || violation.compared_paths.iter().any(is_unreadable) {
            return;
        }
        let offset = self.nearest_offset(&violation.path);
        self.findings.push((offset, violation.into_finding(self.file)));
    }

    /// Returns whether the field, an enclosing value or a nested value was unreadable.
    ///
    /// Nested values are found by a range query on the sorted set, because a large file can have
    /// tens of thousands of unreadable fields.
    fn is_unreadable(&self, path: &str) -> bool {
        let has_nested = |separator: &str| {
            let start = format!("{path}{separator}");
            self.unreadable_paths
                .range(start.clone()..)
                .next()
                .is_some_and(|p| p.starts_with(&start))
        };
        let mut enclosing = Some(path);
        while let Some(p) = enclosing {
            if self.unreadable_paths.contains(p) {
                return true;
            }
            enclosing = p.rfind(['.', '[']).map(|end| &p[..end]);
        }
        self.unreadable_paths.contains("")
            || (path.is_empty() && !self.unreadable_paths.is_empty())
            || has_nested(".")
            || has_nested("[")
    }

    /// Returns the offset of the field, or of the innermost enclosing value that the text has.
    fn nearest_offset(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(offset) = self.offsets.get(path) {
                return *offset;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return self.offsets.get("").copied().unwrap_or(0),
            }
        }
    }
}

impl<T: FromDocument> FromDocument for Vec<T> {
    fn placeholder() -> Vec<T> {
        Vec::new()
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> Vec<T> {
        let Value::Array(array) = node.value else {
            let message = format!("wrong type, found {}", scalar::describe(node.value));
            reader.report_unreadable(node, message, "a list".to_owned());
            return Vec::new();
        };
        let nodes = array.elements.iter().enumerate();
        nodes
            .map(|(i, value)| {
                reader.read_value(&Node { path: format!("{}[{i}]", node.path), value })
            })
            .collect()
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Implements [`FromDocument`] for a struct whose fields are required, except those after
/// `optional`.
macro_rules! read_struct {
    ($type:ident { $($field:ident),+ $(,)? } optional { $($option:ident),* $(,)? }) => {
        impl $crate::reader::FromDocument for $type {
            fn placeholder() -> $type {
                $type {
                    $($field: $crate::reader::FromDocument::placeholder(),)+
                    $($option: Default::default(),)*
                }
            }

            fn read(
                reader: &mut $crate::reader::Reader<'_>,
                node: &$crate::reader::Node<'_>,
            ) -> $type {
                let known = [$(stringify!($field),)+ $(stringify!($option),)*];
                let fields = reader.read_fields(node, &known);
                $type {
                    $($field: reader.read_required(&fields, stringify!($field)),)+
                    $($option: reader.read_optional(
                        &fields,
                        stringify!($option),
                        Default::default(),
                    ),)*
                }
            }
        }
    };
}

/// Implements [`FromDocument`] for a struct whose fields all have a default.
macro_rules! read_defaulted_struct {
    ($type:ident { $($field:ident),+ $(,)? }) => {
        impl $crate::reader::FromDocument for $type {
            fn placeholder() -> $type {
                $type::default()
            }

            fn read(
                reader: &mut $crate::reader::Reader<'_>,
                node: &$crate::reader::Node<'_>,
            ) -> $type {
                let fields = reader.read_fields(node, &[$(stringify!($field)),+]);
                let default = $type::default();
                $type {
                    $($field: reader.read_optional(&fields, stringify!($field), default.$field),)+
                }
            }
        }
    };
}

pub(crate) use scalar::{MAX_NUMBER, parse_string};
pub(crate) use syntax::has_unsupported_syntax;
pub(crate) use {read_defaulted_struct, read_struct};
