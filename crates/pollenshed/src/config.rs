//! The configuration in force at this instance.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError, RwLock},
};

use bytes::Bytes;
use pollenshed_coordination::replication::{
    Change, History, MAX_CHANGES, Offer, Replica, Report, Splice, VersionedDigest, apply, diff,
};
use pollenshed_state::{
    config::Config,
    ids::{ConfigVersion, Digest},
};

use crate::util::lock;

/// A configuration that was accepted, with its canonical document for peers.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    /// Number of the configuration.
    pub version: ConfigVersion,
    /// Digest of the canonical document.
    pub digest: Digest,
    /// The canonical document.
    pub document: Bytes,
    /// The parsed document.
    pub config: Config,
}

impl ActiveConfig {
    /// Returns version and digest.
    pub fn versioned_digest(&self) -> VersionedDigest {
        (self.version, self.digest)
    }
}

/// Splices with the version that they lead to.
pub type VersionedSplices = (ConfigVersion, Vec<Splice>);

/// Why an offered configuration was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferError {
    /// The offered version is the one in force.
    Same,
    /// The offered version is older. It is reported and not obeyed.
    Older {
        /// The version in force.
        in_force: ConfigVersion,
        /// Whether a log line is due.
        report: Report,
    },
    /// The offered version has the number of the one in force and another document. It is reported
    /// and not obeyed.
    Conflict {
        /// Digest of the document in force.
        in_force: Digest,
        /// Whether a log line is due.
        report: Report,
    },
    /// The document does not have the announced digest.
    DigestMismatch,
    /// The document can't be read.
    Malformed(String),
}

impl OfferError {
    /// Returns whether a log line is due. The store offers the same version in every poll, so a
    /// refusal by number is logged once.
    pub fn should_log(&self) -> bool {
        match self {
            OfferError::Same => false,
            OfferError::Older { report, .. } | OfferError::Conflict { report, .. } => {
                *report == Report::First
            }
            OfferError::DigestMismatch | OfferError::Malformed(_) => true,
        }
    }
}

impl fmt::Display for OfferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OfferError::Same => f.write_str("the version is in force already"),
            OfferError::Older { in_force, .. } => {
                write!(f, "the version is older than version {in_force} in force")
            }
            OfferError::Conflict { in_force, .. } => {
                write!(f, "the version is in force with another document, {in_force}")
            }
            OfferError::DigestMismatch => {
                f.write_str("the document does not have the announced digest")
            }
            OfferError::Malformed(e) => write!(f, "the document can't be read: {e}"),
        }
    }
}

/// Holds the configuration in force. Its version only goes up.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: RwLock<Option<Arc<ActiveConfig>>>,
    replica: Mutex<Replica>,
    history: Mutex<History>,
}

impl ConfigState {
    /// Returns the configuration in force, or nothing before the first one arrived.
    pub fn get(&self) -> Option<Arc<ActiveConfig>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.get().map_or(ConfigVersion(0), |c| c.version)
    }

    /// Takes a document if its version is higher and its digest is right.
    pub fn offer(
        &self,
        version: ConfigVersion,
        digest: Digest,
        document: Bytes,
    ) -> Result<Arc<ActiveConfig>, OfferError> {
        self.check_version(version, Some(digest))?;
        if Digest::of(&document) != digest {
            return Err(OfferError::DigestMismatch);
        }
        let change = self.get().map(|base| Change {
            from: base.versioned_digest(),
            to: (version, digest),
            splices: diff(&base.document, &document),
        });
        self.take(parse(version, digest, document)?, change.into_iter().collect())
    }

    /// Takes the document that changes make of `base` if its version is higher and its digest is
    /// right. The changes are kept for peers.
    pub fn offer_changes(
        &self,
        base: &ActiveConfig,
        version: ConfigVersion,
        digest: Digest,
        changes: Vec<VersionedSplices>,
    ) -> Result<Arc<ActiveConfig>, OfferError> {
        self.check_version(version, Some(digest))?;
        let (document, changes) = chain(base.versioned_digest(), &base.document, changes)
            .ok_or(OfferError::DigestMismatch)?;
        if changes.last().map(|change| change.to) != Some((version, digest)) {
            return Err(OfferError::DigestMismatch);
        }
        self.take(parse(version, digest, document)?, changes)
    }

    /// Returns the changes after a version, if they are kept and smaller than the whole document.
    pub fn changes_since(&self, have: VersionedDigest) -> Option<Vec<Change>> {
        let current = self.get()?;
        let changes = lock(&self.history).since(have, current.document.len())?;
        // A change that came into force since then is left for the next call.
        (changes.last()?.to == current.versioned_digest()).then_some(changes)
    }

    /// Puts a checked document in force with the changes that led to it.
    fn take(
        &self,
        offered: ActiveConfig,
        changes: Vec<Change>,
    ) -> Result<Arc<ActiveConfig>, OfferError> {
        let (version, digest) = offered.versioned_digest();
        let offered = Arc::new(offered);
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have taken a higher version while the document was parsed.
        if !lock(&self.replica).accept(version, digest) {
            self.check_version(version, Some(digest))?;
            return Err(OfferError::Same);
        }
        *current = Some(offered.clone());
        let mut history = lock(&self.history);
        changes.into_iter().for_each(|change| history.push(change));
        Ok(offered)
    }

    /// Tells whether a version would be taken, before its document is fetched.
    pub fn check_version(
        &self,
        version: ConfigVersion,
        digest: Option<Digest>,
    ) -> Result<(), OfferError> {
        match lock(&self.replica).offer(version, digest) {
            Offer::Newer => Ok(()),
            Offer::Same => Err(OfferError::Same),
            Offer::Older { in_force, report } => Err(OfferError::Older { in_force, report }),
            Offer::Conflict { in_force, report } => Err(OfferError::Conflict { in_force, report }),
        }
    }
}

/// Reads a document whose digest was checked.
fn parse(
    version: ConfigVersion,
    digest: Digest,
    document: Bytes,
) -> Result<ActiveConfig, OfferError> {
    let config =
        serde_json::from_slice(&document).map_err(|e| OfferError::Malformed(e.to_string()))?;
    Ok(ActiveConfig { version, digest, document, config })
}

/// Applies changes one after the other. Returns the last document and the changes with the digests
/// between them, or nothing if there are too many, versions do not rise or one does not fit.
fn chain(
    mut from: VersionedDigest,
    base: &Bytes,
    changes: Vec<VersionedSplices>,
) -> Option<(Bytes, Vec<Change>)> {
    if changes.len() > MAX_CHANGES {
        return None;
    }
    let mut document = base.clone();
    let mut chain = Vec::with_capacity(changes.len());
    for (version, splices) in changes {
        document = apply(&document, &splices).ok()?.into();
        let to = (version, Digest::of(&document));
        if version <= from.0 {
            return None;
        }
        chain.push(Change { from, to, splices });
        from = to;
    }
    Some((document, chain))
}
