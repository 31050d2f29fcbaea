use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest accepted name in bytes, so that names fit into log lines and gossip digests.
pub const MAX_NAME_BYTES: usize = 64;

/// Description of a valid name for findings.
pub const NAME_SYNTAX: &str =
    "a name of 1 to 64 of a-z, 0-9 and '-', not starting or ending with '-'";

/// Error returned when a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseNameError {
    text: String,
}

impl fmt::Display for ParseNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a name: expected 1 to {MAX_NAME_BYTES} of a-z, 0-9 and '-', not starting or ending with '-'",
            self.text
        )
    }
}

impl std::error::Error for ParseNameError {}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.starts_with('-')
        && !text.ends_with('-')
        && text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the value used for a name that could not be read. It equals no valid name.
            #[allow(dead_code, reason = "callers' names are in no document")]
            pub(crate) fn placeholder() -> $name {
                $name("".into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseNameError;

            fn from_str(text: &str) -> Result<Self, ParseNameError> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseNameError { text: text.to_owned() })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseNameError;

            fn try_from(text: String) -> Result<Self, ParseNameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// Names an organisation that runs pollenshed, such as `cali` or `tokachi`.
    UserName
);
name_type!(
    /// Names a region, which holds one or more failure domains.
    RegionName
);
name_type!(
    /// Names a failure domain, the unit that a network partition can cut off.
    FailureDomainName
);
name_type!(
    /// Names a service, a group of backend servers that answer the same requests.
    ServiceName
);
name_type!(
    /// Names a backend server of a service.
    BackendServerName
);
name_type!(
    /// Names an instance, one machine that runs the daemon.
    InstanceName
);
name_type!(
    /// Names a caller for fair queueing. All callers without a name share the name `anonymous`.
    CallerName
);
name_type!(
    /// Names a workspace, a customer of the system whose callers share keys, a rank and a limit.
    WorkspaceName
);
