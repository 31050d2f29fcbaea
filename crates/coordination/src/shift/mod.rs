//! Traffic shifting: limits how fast traffic moves between failure domains.
//!
//! Each entry ramps its own traffic, separately for each service. If no entry moves more than x% of
//! its traffic in an interval, all entries together move no more than x%.
//!
//! # Position
//!
//! The position of a [`Ramp`] is the share of the entry's traffic that may go to each failure
//! domain, in parts per million. It moves towards its target in small steps, at most one for each
//! twentieth of the interval. The steps in any sliding interval add up to at most the cap, whatever
//! their directions. After a pause without steps the position doesn't catch up.
//!
//! # Requests
//!
//! The failure domain with the largest share is the base; initially that is the home failure
//! domain. The shares of all others are rounded down to whole requests: a request may go to one of
//! them only if the requests sent there in the interval that ends now, including this one, don't
//! exceed its share of the requests that arrived in the same interval. So a service with few
//! requests per interval keeps all of them in the base until the base changes. The base takes the
//! requests that rounding leaves, and no more. The home failure domain has the same limit as any
//! other, so traffic returns to it as slowly as it left.
//!
//! Counts are kept in short time slices. For failure domains other than the base, a slice that is
//! only partly in the interval counts in full for requests sent and not at all for arrivals.
//!
//! # Ranks and lookups
//!
//! The most urgent rank moves first: a rank may use only the part of the shares that the arrivals
//! of more urgent ranks leave. The same rule selects the requests to refuse while a failure domain
//! with a share can't serve.
//!
//! A lookup answer that names entries of another failure domain moves traffic too. So the share of
//! requests sent to a failure domain and the share of such answers are added before they are
//! compared with the position.

mod counts;
mod position;
mod ramp;
mod target;

pub use position::{Shares, WHOLE_PPM};
pub use ramp::{Ramp, RampStep, STEPS_PER_INTERVAL, ShiftRefusal};
pub use target::{Demand, DomainHealth, target_shares};
