use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::Serialize;
use serde_json::Value;

use super::document::Config;

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Change {
    /// Path of the field, keyed by name, such as `services[tavole].shift.cap_percent`.
    pub path: String,
    /// How the field differs.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// How a field differs. For entries in another order, the values are the lists of their keys.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new configuration has the field.
    Added {
        /// Value in the new configuration.
        new: Value,
    },
    /// Only the old configuration has the field.
    Removed {
        /// Value in the old configuration.
        old: Value,
    },
    /// Both configurations have the field, with different values.
    Changed {
        /// Value in the old configuration.
        old: Value,
        /// Value in the new configuration.
        new: Value,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Added { new } => write!(f, "{}: added {new}", self.path),
            ChangeKind::Removed { old } => write!(f, "{}: removed {old}", self.path),
            ChangeKind::Changed { old, new } => write!(f, "{}: {old} -> {new}", self.path),
        }
    }
}

impl Config {
    /// Returns the changes from this configuration to `other`, in the order of the paths.
    ///
    /// The order of a list is compared only where it is significant: operations in another order
    /// are reported at the `operations` of the service.
    pub fn diff(&self, other: &Config) -> Vec<Change> {
        let mut changes = Vec::new();
        compare("", Some(&self.to_value()), Some(&other.to_value()), &mut changes);
        changes
    }

    fn to_value(&self) -> Value {
        serde_json::to_value(self.canonical()).expect("a document without maps always serializes")
    }
}

fn compare(path: &str, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    let kind = match (old, new) {
        (None, None) => return,
        (None, Some(new)) => ChangeKind::Added { new: new.clone() },
        (Some(old), None) => ChangeKind::Removed { old: old.clone() },
        (Some(old), Some(new)) if old == new => return,
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for name in names {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                compare(&path, old.get(name), new.get(name), changes);
            }
            return;
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => {
            return compare_lists(path, old, new, changes);
        }
        (Some(old), Some(new)) => ChangeKind::Changed { old: old.clone(), new: new.clone() },
    };
    changes.push(Change { path: path.to_owned(), kind });
}

fn compare_lists(path: &str, old: &[Value], new: &[Value], changes: &mut Vec<Change>) {
    let (old_keys, new_keys) = (entry_keys(old), entry_keys(new));
    let same_members = BTreeSet::from_iter(&old_keys) == BTreeSet::from_iter(&new_keys);
    if same_members && old_keys != new_keys {
        let kind =
            ChangeKind::Changed { old: old_keys.clone().into(), new: new_keys.clone().into() };
        changes.push(Change { path: path.to_owned(), kind });
    }
    let old: BTreeMap<&String, &Value> = old_keys.iter().zip(old).collect();
    let new: BTreeMap<&String, &Value> = new_keys.iter().zip(new).collect();
    let names: BTreeSet<&&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let (old, new) = (old.get(*name).copied(), new.get(*name).copied());
        compare(&format!("{path}[{name}]"), old, new, changes);
    }
}

/// Returns a key for each entry of a list; a repeated key gets a number as suffix.
fn entry_keys(list: &[Value]) -> Vec<String> {
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    list.iter()
        .map(|entry| {
            let key = entry_key(entry);
            let count = seen.entry(key.clone()).or_default();
            *count += 1;
            if *count == 1 { key } else { format!("{key} #{count}") }
        })
        .collect()
}

/// Returns the name of an entry, its rank, or the methods and the path prefix of an operation.
fn entry_key(entry: &Value) -> String {
    if let Some(prefix) = entry.get("path_prefix").and_then(Value::as_str) {
        let methods = entry.get("methods").and_then(Value::as_array);
        let methods = methods.into_iter().flatten().filter_map(Value::as_str);
        return format!("{} {prefix}", methods.collect::<Vec<_>>().join(","));
    }
    let name = entry.get("name").or(entry.get("rank")).unwrap_or(entry);
    match (name, name.as_object()) {
        (Value::String(text), _) => text.clone(),
        // A drain is an object with one field.
        (_, Some(drain)) => {
            let parts =
                drain.iter().map(|(k, v)| format!("{k} {}", v.as_str().unwrap_or_default()));
            parts.collect::<Vec<_>>().join(" ")
        }
        (other, None) => other.to_string(),
    }
}
