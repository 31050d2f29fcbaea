//! Decides what an instance does with a configuration version that the store or a peer offers.

use std::fmt;

use pollenshed_state::ids::{ConfigVersion, Digest, InstanceName};

/// Number of refused offers that are remembered, so that each is logged once.
const MAX_REPORTED: usize = 64;

/// Origin of an offered version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Head row in the platform's table service.
    Store,
    /// Another instance, which stated its version in a message.
    Peer(InstanceName),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Store => f.write_str("the store"),
            Source::Peer(instance) => write!(f, "peer {instance}"),
        }
    }
}

/// How an offered version relates to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is higher than the one in force. The instance fetches it, checks its digest and applies
    /// it.
    Newer,
    /// It is the one in force.
    Same,
    /// It is lower than the one in force and is refused.
    Older {
        /// Version in force.
        in_force: ConfigVersion,
        /// Whether to write a log line.
        report: Report,
    },
    /// It has the number of the one in force with another digest, and is refused.
    Conflict {
        /// Digest in force.
        in_force: Digest,
        /// Whether to write a log line.
        report: Report,
    },
}

/// Whether a refused offer is written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// It was not logged before.
    First,
    /// It was logged before. The store offers it again in every poll.
    Repeated,
}

/// Version and digest in force at one instance. The version never decreases.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    current: Option<(ConfigVersion, Digest)>,
    reported: Vec<(ConfigVersion, Option<Digest>)>,
}

impl Replica {
    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.current.map_or(ConfigVersion(0), |(version, _)| version)
    }

    /// Compares an offered version with the one in force. `digest` is `None` for a peer that states
    /// only its version.
    pub fn offer(&mut self, version: ConfigVersion, digest: Option<Digest>) -> Offer {
        let Some((in_force, own_digest)) = self.current else {
            return if version.0 == 0 { Offer::Same } else { Offer::Newer };
        };
        if version > in_force {
            Offer::Newer
        } else if version < in_force {
            Offer::Older { in_force, report: self.report(version, digest) }
        } else if digest.is_none_or(|d| d == own_digest) {
            Offer::Same
        } else {
            Offer::Conflict { in_force: own_digest, report: self.report(version, digest) }
        }
    }

    /// Puts a version into force whose document was checked. Returns false if it is not higher than
    /// the current one.
    pub fn accept(&mut self, version: ConfigVersion, digest: Digest) -> bool {
        let is_higher = version > self.version();
        if is_higher {
            self.current = Some((version, digest));
            // A refused offer that recurs under a newer version is logged again.
            self.reported.clear();
        }
        is_higher
    }

    fn report(&mut self, version: ConfigVersion, digest: Option<Digest>) -> Report {
        let key = (version, digest);
        if self.reported.contains(&key) {
            return Report::Repeated;
        }
        if self.reported.len() == MAX_REPORTED {
            self.reported.remove(0);
        }
        self.reported.push(key);
        Report::First
    }
}
