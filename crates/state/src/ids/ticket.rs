use std::{fmt, str::FromStr};

use crate::{
    ids::{Incarnation, InstanceName},
    time::Instant,
};

/// Longest id in bytes that a caller may append to a binding.
const MAX_TICKET_ID_BYTES: usize = 64;

/// Identifies the only incarnation that may run requests whose tickets contain this binding. Callers
/// get it in the answer of a lookup.
///
/// It is written as `<instance>.<incarnation>.<stamp>`, where the stamp is in milliseconds of that
/// incarnation's own monotonic clock. See `docs/design.md`, "At most once".
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Binding {
    /// The instance that may run the request.
    pub instance: InstanceName,
    /// The run of that instance.
    pub incarnation: Incarnation,
    /// When the binding was issued, on that incarnation's clock.
    pub stamp: Instant,
}

impl fmt::Display for Binding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.instance, self.incarnation, self.stamp.as_ms())
    }
}

/// Error returned when a string is not a binding or a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseTicketError;

impl fmt::Display for ParseTicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "expected <binding>/<id>, with the binding of a look-up and 1 to {MAX_TICKET_ID_BYTES} of a-z, A-Z, 0-9, '-' and '_' as id"
        )
    }
}

impl std::error::Error for ParseTicketError {}

impl FromStr for Binding {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Binding, ParseTicketError> {
        let mut parts = text.split('.');
        let (Some(instance), Some(incarnation), Some(stamp), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(ParseTicketError);
        };
        let stamp_ms: u64 = stamp.parse().map_err(|_| ParseTicketError)?;
        Ok(Binding {
            instance: instance.parse().map_err(|_| ParseTicketError)?,
            incarnation: incarnation.parse().map_err(|_| ParseTicketError)?,
            stamp: Instant::from_ms(stamp_ms),
        })
    }
}

/// Identifies one request of one caller across all its resends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The incarnation that may run the request.
    pub binding: Binding,
    /// The caller's own random id, unique under its binding.
    pub id: String,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.binding, self.id)
    }
}

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Ticket, ParseTicketError> {
        let (binding, id) = text.split_once('/').ok_or(ParseTicketError)?;
        let is_valid_id = !id.is_empty()
            && id.len() <= MAX_TICKET_ID_BYTES
            && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
        if !is_valid_id {
            return Err(ParseTicketError);
        }
        Ok(Ticket { binding: binding.parse()?, id: id.to_owned() })
    }
}
