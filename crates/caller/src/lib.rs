//! Caller library of pollenshed.
//!
//! A [`Caller`] looks up the entries of a service, caches the answer for its time to live, fails
//! over to other entries, and resends non-idempotent requests under one ticket so that they run at
//! most once. `docs/callers.md` describes the HTTP interface that it uses. All calls block.
//!
//! ```no_run
//! use pollenshed_caller::{Caller, Options, Outcome};
//!
//! # fn main() -> eyre::Result<()> {
//! let seeds = ["10.1.0.10:8080".parse()?, "10.2.0.10:8080".parse()?];
//! let caller = Caller::open(&seeds, Options::default())?;
//!
//! if let Outcome::Done(answer) = caller.read("tavole", "/palermo/2026") {
//!     println!("{}", String::from_utf8_lossy(&answer.body));
//! }
//!
//! match caller.submit("anagrafe", "/filings", b"feast moved to the 4th") {
//!     Outcome::Done(answer) => println!("filed, status {}", answer.status),
//!     Outcome::NotRun(failure) => println!("not filed, safe to send again: {failure}"),
//!     Outcome::Unknown(failure) => println!("may have been filed, check first: {failure}"),
//! }
//! # Ok(())
//! # }
//! ```

mod client;
mod exchange;
mod lookup;
mod options;
mod outcome;
mod read;
mod submit;
mod upload;
mod wait;

pub use client::Caller;
pub use options::Options;
pub use outcome::{Answer, Failure, Outcome};
pub use upload::Upload;
