use std::{net::SocketAddr, str::FromStr};

use jsonc_parser::ast::Value;

use crate::{
    ids::{BackendServerName, FailureDomainName, InstanceName, RegionName, ServiceName, UserName},
    reader::{FromDocument, Node, Reader},
    units::{BitRate, ByteSize, Percent, Slots},
};

/// Largest accepted number, 2^53 - 1. JSON libraries that store numbers as `f64` keep it exactly.
pub(crate) const MAX_NUMBER: u64 = 9_007_199_254_740_991;

/// Unit suffixes of field names with their units. The first match is used, so `_bits_per_s` comes
/// before `_s`.
const UNITS: [(&str, &str); 9] = [
    ("_us", "microseconds"),
    ("_ms", "milliseconds"),
    ("_bytes", "bytes"),
    ("_bits_per_s", "bits per second"),
    ("_percent", "percent"),
    // No field has one of the units below; they serve to explain a wrong suffix.
    ("_mib", "mebibytes"),
    ("_kib", "kibibytes"),
    ("_minutes", "minutes"),
    ("_s", "seconds"),
];

/// Describes a value by its type or, if it is short, by its content.
pub(super) fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) if text.value.len() <= 80 => format!("the string {:?}", text.value),
        Value::StringLit(_) => "a long string".to_owned(),
        Value::NumberLit(number) if number.value.len() <= 40 => number.value.to_string(),
        Value::NumberLit(_) => "a long number".to_owned(),
        Value::BooleanLit(boolean) => boolean.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

fn split_unit(field: &str) -> (&str, Option<&'static str>) {
    let unit = UNITS.iter().find_map(|(suffix, unit)| Some((field.strip_suffix(suffix)?, *unit)));
    unit.map_or((field, None), |(stem, unit)| (stem, Some(unit)))
}

/// Returns the message and the expected names for an unknown field.
pub(super) fn explain_unknown_field(name: &str, known: &[&str]) -> (String, String) {
    let stem = split_unit(name).0;
    if let Some(right) = known.iter().find(|k| split_unit(k).1.is_some() && split_unit(k).0 == stem)
    {
        let unit = split_unit(right).1.unwrap_or_default();
        return ("wrong unit in the field's name".to_owned(), format!("`{right}` in {unit}"));
    }
    ("unknown field".to_owned(), format!("one of {}", known.join(", ")))
}

/// Describes the value that a missing field should have.
pub(super) fn expected_value(name: &str) -> String {
    match split_unit(name).1 {
        Some(unit) => format!("a whole number of {unit}"),
        None => format!("a value for `{name}`"),
    }
}

fn expected_number(path: &str) -> String {
    let field = path.rsplit('.').next().unwrap_or(path);
    match split_unit(field).1 {
        Some(unit) => format!("a whole number of {unit} without quotes"),
        None => "a whole number without quotes".to_owned(),
    }
}

fn describe_number_error(value: &Value<'_>) -> String {
    let found = describe(value);
    match value {
        Value::StringLit(text)
            if text.value.trim_start().starts_with(|c: char| c.is_ascii_digit()) =>
        {
            format!("wrong unit or type, found {found}")
        }
        Value::NumberLit(number) if number.value.starts_with('-') => format!("{found} is negative"),
        Value::NumberLit(number) if is_json_integer(number.value) => {
            format!("{found} is above {MAX_NUMBER}")
        }
        Value::NumberLit(_) => format!("{found} is not a whole number in plain digits"),
        _ => format!("wrong type, found {found}"),
    }
}

/// Returns whether the digits are a JSON integer.
///
/// JSON allows neither leading zeros nor a plus sign, both of which `u64::from_str` accepts.
fn is_json_integer(digits: &str) -> bool {
    digits.bytes().all(|b| b.is_ascii_digit()) && (digits.len() == 1 || !digits.starts_with('0'))
}

fn read_number(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<u64> {
    let literal = node.value.as_number_lit().filter(|n| is_json_integer(n.value));
    let number = literal.and_then(|n| n.value.parse().ok());
    let number = number.filter(|n| *n <= MAX_NUMBER);
    if number.is_none() {
        reader.report_unreadable(
            node,
            describe_number_error(node.value),
            expected_number(&node.path),
        );
    }
    number
}

/// Reads a string and parses it; `expected` describes the accepted form in findings.
pub(crate) fn parse_string<T: FromStr>(
    reader: &mut Reader<'_>,
    node: &Node<'_>,
    expected: &str,
) -> Option<T> {
    let Some(text) = node.value.as_string_lit() else {
        let message = format!("wrong type, found {}", describe(node.value));
        reader.report_unreadable(node, message, expected.to_owned());
        return None;
    };
    let parsed = text.value.parse().ok();
    if parsed.is_none() {
        let message = format!("{} is not accepted", describe(node.value));
        reader.report_unreadable(node, message, expected.to_owned());
    }
    parsed
}

impl FromDocument for u64 {
    fn placeholder() -> u64 {
        0
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> u64 {
        read_number(reader, node).unwrap_or_default()
    }
}

impl FromDocument for u32 {
    fn placeholder() -> u32 {
        0
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> u32 {
        // A value above the range of `u32` saturates. It is far above every accepted value, so a
        // rule reports it.
        read_number(reader, node).map_or(0, |n| n.try_into().unwrap_or(u32::MAX))
    }
}

impl FromDocument for bool {
    fn placeholder() -> bool {
        false
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> bool {
        match node.value {
            Value::BooleanLit(boolean) => boolean.value,
            other => {
                let message = format!("wrong type, found {}", describe(other));
                reader.report_unreadable(node, message, "true or false".to_owned());
                false
            }
        }
    }
}

impl FromDocument for String {
    fn placeholder() -> String {
        String::new()
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> String {
        parse_string(reader, node, "a string in quotes").unwrap_or_default()
    }
}

impl FromDocument for SocketAddr {
    fn placeholder() -> SocketAddr {
        SocketAddr::from(([0, 0, 0, 0], 0))
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> SocketAddr {
        parse_string(reader, node, "an IP address and port such as \"10.0.0.1:8000\"")
            .unwrap_or_else(SocketAddr::placeholder)
    }
}

impl<T: FromDocument> FromDocument for Option<T> {
    fn placeholder() -> Option<T> {
        None
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<T> {
        match node.value {
            Value::NullKeyword(_) => None,
            _ => Some(T::read(reader, node)),
        }
    }
}

macro_rules! read_unit {
    ($($type:ident),+) => {$(
        impl FromDocument for $type {
            fn placeholder() -> $type {
                $type(0)
            }

            fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> $type {
                $type(u64::read(reader, node))
            }
        }
    )+};
}

read_unit!(BitRate, ByteSize, Percent, Slots);

macro_rules! read_name {
    ($($type:ident),+) => {$(
        impl FromDocument for $type {
            fn placeholder() -> $type {
                $type::placeholder()
            }

            fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> $type {
                parse_string(reader, node, crate::ids::NAME_SYNTAX)
                    .unwrap_or_else($type::placeholder)
            }
        }
    )+};
}

read_name!(BackendServerName, FailureDomainName, InstanceName, RegionName, ServiceName, UserName);
