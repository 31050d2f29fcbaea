use crate::{
    config::{
        document::Operation,
        operation::{path_has_prefix, unambiguous_path},
        rules::{METHODS, report_empty, report_repeated},
    },
    findings::Violations,
};

/// Checks the operations of one service, which are at `path`.
pub(super) fn check(path: &str, operations: &[Operation], violations: &mut Violations) {
    report_empty(path, operations, "operation", violations);
    for (i, operation) in operations.iter().enumerate() {
        let path = format!("{path}[{i}]");
        check_methods(&format!("{path}.methods"), &operation.methods, violations);
        if !is_path_prefix(&operation.path_prefix) {
            violations.add(
                format!("{path}.path_prefix"),
                format!("{:?} is not a path prefix", operation.path_prefix),
                "\"/\", or segments of A-Z a-z 0-9 - . _ ~ such as \"/filings\" without a slash at the end",
            );
        }
    }
    for i in 0..operations.len() {
        report_unreachable_methods(path, operations, i, violations);
    }
}

fn check_methods(path: &str, methods: &[String], violations: &mut Violations) {
    report_empty(path, methods, "method", violations);
    for (i, method) in methods.iter().enumerate() {
        if !METHODS.contains(&method.as_str()) {
            let message = format!("{method:?} is not a method");
            violations.add(
                format!("{path}[{i}]"),
                message,
                format!("one of {}", METHODS.join(", ")),
            );
        }
    }
    let entries = methods.iter().enumerate().map(|(i, m)| (format!("{path}[{i}]"), m));
    report_repeated("method", entries, violations);
}

/// Returns whether `prefix` has only one spelling and needs no percent-encoding, so that prefixes
/// can be compared as strings.
fn is_path_prefix(prefix: &str) -> bool {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~/".contains(&b);
    prefix == "/"
        || (unambiguous_path(prefix).is_some()
            && !prefix.ends_with('/')
            && prefix.bytes().all(is_plain))
}

/// Reports the methods of operation `i` that an earlier operation always matches first.
///
/// The first match applies, so such a request would run under the rank and the idempotence of the
/// earlier operation.
fn report_unreachable_methods(
    path: &str,
    operations: &[Operation],
    i: usize,
    violations: &mut Violations,
) {
    let operation = &operations[i];
    for (k, method) in operation.methods.iter().enumerate() {
        let earlier = operations[..i].iter().position(|e| {
            e.methods.contains(method) && path_has_prefix(&operation.path_prefix, &e.path_prefix)
        });
        if let Some(e) = earlier {
            let message = format!(
                "{method} {} is never matched here, because {path}[{e}] matches {method} {} first",
                operation.path_prefix, operations[e].path_prefix
            );
            violations
                .add(format!("{path}[{i}].methods[{k}]"), message, "longer prefixes first")
                .depends_on(format!("{path}[{i}].path_prefix"))
                .depends_on(format!("{path}[{e}]"));
        }
    }
}
