//! Decides what an instance does with a version that the store or a peer offers.

use std::fmt;

use pollenshed_state::ids::{ConfigVersion, Digest, InstanceName};

/// Reports that are remembered, so that each is made once.
const MAX_REMEMBERED: usize = 64;

/// Where an offer came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's head row.
    Store,
    /// Another instance.
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

/// What to do with an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is higher than the one in force: fetch it, check its digest and take it.
    Newer,
    /// It is the one in force.
    Same,
    /// It is lower than the one in force and is not obeyed.
    Older {
        /// Version in force.
        in_force: ConfigVersion,
        /// Whether to write a log line.
        report: Report,
    },
    /// It has the number of the one in force and another digest, and is not obeyed.
    Conflict {
        /// Digest in force.
        in_force: Digest,
        /// Whether to write a log line.
        report: Report,
    },
}

/// Whether a refused offer is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// It was not reported before.
    First,
    /// It was reported; the store offers it again in every poll.
    Repeated,
}

/// Version and digest in force at one instance. The version only goes up.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    current: Option<(ConfigVersion, Digest)>,
    reported: Vec<(ConfigVersion, Option<Digest>)>,
}

impl Replica {
    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.current.map_or(ConfigVersion(0), |(version, _)| version)
    }

    /// Decides on an offer. The digest is not known for a peer that only names its version.
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

    /// Takes a version whose document was checked. Returns whether it is in force now.
    pub fn accept(&mut self, version: ConfigVersion, digest: Digest) -> bool {
        let is_higher = version > self.version();
        if is_higher {
            self.current = Some((version, digest));
            // A refused offer that comes back under a newer version is news again.
            self.reported.clear();
        }
        is_higher
    }

    fn report(&mut self, version: ConfigVersion, digest: Option<Digest>) -> Report {
        let key = (version, digest);
        if self.reported.contains(&key) {
            return Report::Repeated;
        }
        if self.reported.len() == MAX_REMEMBERED {
            self.reported.remove(0);
        }
        self.reported.push(key);
        Report::First
    }
}
