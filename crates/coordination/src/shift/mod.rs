//! Shifts: how fast traffic may move between failure domains.
//!
//! Each entry ramps its own traffic of each service. If no entry moves more than x% of its traffic in
//! an interval, all entries together move no more than x%.
//!
//! # Position
//!
//! The position of a [`Ramp`] is the share of the entry's traffic that may go to each failure domain,
//! in parts per million. It moves towards its target in small steps, at most one for each twentieth
//! of the interval, and the steps of any sliding interval add up to the cap at most, in whichever
//! directions they went. Time that passed without steps, as in a pause, is not made up for.
//!
//! # Requests
//!
//! The failure domain with the largest share is the base, at first the home one. Shares of all others
//! become whole requests by rounding down: a request may go to one of them only if, including it,
//! those of the interval that ends now are at most its share of the requests that arrived in the same
//! interval. So a service with few requests per interval keeps all of them in the base until the base
//! changes. The base takes what the others leave after rounding, and no more. The home failure domain
//! is bound like any other, so a return is as slow as a departure.
//!
//! Counts are kept in short slices of the interval. For failure domains other than the base, a slice
//! that is only partly inside counts fully for moved requests and not at all for arrivals.
//!
//! # Ranks and lookups
//!
//! The most urgent rank moves first: a rank may use what the arrivals of more urgent ranks leave. The
//! same rule decides who is refused while a failure domain with a share can't serve.
//!
//! A lookup answer that names entries of another failure domain moves traffic too, so the shares of
//! relayed requests and of such answers are added before they are compared with the position.

mod counts;
mod position;
mod ramp;
mod target;

pub use position::{Shares, WHOLE_PPM};
pub use ramp::{Ramp, RampStep, STEPS_PER_INTERVAL, ShiftRefusal};
pub use target::{Demand, DomainHealth, target_shares};
