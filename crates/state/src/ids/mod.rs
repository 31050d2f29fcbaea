//! Identifiers as newtypes, so that a service name cannot be passed where an instance is meant.

mod digest;
mod incarnation;
mod name;
mod ticket;

pub use digest::{Digest, ParseDigestError};
pub use incarnation::{ConfigVersion, Incarnation, ParseIncarnationError};
pub use name::{
    BackendServerName, CallerName, FailureDomainName, InstanceName, MAX_NAME_BYTES, NAME_SYNTAX,
    ParseNameError, RegionName, ServiceName, UserName, WorkspaceName,
};
pub use ticket::{Binding, ParseTicketError, Ticket};
