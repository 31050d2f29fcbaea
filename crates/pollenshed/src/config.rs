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

/// The configuration in force, with its canonical document, which peers fetch.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    /// Version that the platform's store gave to the configuration.
    pub version: ConfigVersion,
    /// Digest of `document`.
    pub digest: Digest,
    /// Canonical JSON of the configuration.
    pub document: Bytes,
    /// Parsed form of `document`.
    pub config: Config,
}

impl ActiveConfig {
    /// Returns the version with the digest of its document.
    pub fn versioned_digest(&self) -> VersionedDigest {
        (self.version, self.digest)
    }
}

/// Splices and the version that results from them, as peers send them.
pub type VersionedSplices = (ConfigVersion, Vec<Splice>);

/// Reason why an offered configuration was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferError {
    /// The offered version is already in force.
    Same,
    /// The offered version is lower than the one in force. It is logged and not applied.
    Older {
        /// Version in force.
        in_force: ConfigVersion,
        /// Whether this offer was logged before.
        report: Report,
    },
    /// The offered version is in force with another document, as after a restore of the platform's
    /// store. It is logged and not applied.
    Conflict {
        /// Digest of the document in force.
        in_force: Digest,
        /// Whether this offer was logged before.
        report: Report,
    },
    /// The digest of the document is not the announced one.
    DigestMismatch,
    /// The document is not a configuration; the string is the parser's message.
    Malformed(String),
}

impl OfferError {
    /// Returns whether to log the error. The store offers the same version in every poll, so a
    /// rejection because of the version number is logged only once.
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
            OfferError::Same => f.write_str("the version is already in force"),
            OfferError::Older { in_force, .. } => {
                write!(f, "the version is lower than version {in_force}, which is in force")
            }
            OfferError::Conflict { in_force, .. } => {
                write!(f, "the version is in force with another document; its digest is {in_force}")
            }
            OfferError::DigestMismatch => {
                f.write_str("the digest of the document is not the announced one")
            }
            OfferError::Malformed(e) => write!(f, "the document is not a valid configuration: {e}"),
        }
    }
}

/// The configuration in force at this instance and the changes that led to it.
///
/// The version only increases.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: RwLock<Option<Arc<ActiveConfig>>>,
    replica: Mutex<Replica>,
    history: Mutex<History>,
}

impl ConfigState {
    /// Returns the configuration in force, or `None` until the first one is applied.
    pub fn get(&self) -> Option<Arc<ActiveConfig>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.get().map_or(ConfigVersion(0), |c| c.version)
    }

    /// Applies a whole document if its version is higher and its digest matches.
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
        self.activate(parse(version, digest, document)?, change.into_iter().collect())
    }

    /// Applies changes to `base` and puts the result in force if its version is higher and its
    /// digest matches. The changes are kept for peers.
    pub fn offer_changes(
        &self,
        base: &ActiveConfig,
        version: ConfigVersion,
        digest: Digest,
        changes: Vec<VersionedSplices>,
    ) -> Result<Arc<ActiveConfig>, OfferError> {
        self.check_version(version, Some(digest))?;
        let (document, changes) = apply_changes(base.versioned_digest(), &base.document, changes)
            .ok_or(OfferError::DigestMismatch)?;
        if changes.last().map(|change| change.to) != Some((version, digest)) {
            return Err(OfferError::DigestMismatch);
        }
        self.activate(parse(version, digest, document)?, changes)
    }

    /// Returns the changes after a version. Returns `None` if they are no longer kept or are not
    /// smaller than the whole document.
    pub fn changes_since(&self, have: VersionedDigest) -> Option<Vec<Change>> {
        let current = self.get()?;
        let changes = lock(&self.history).since(have, current.document.len())?;
        // If another version came into force since `current` was read, the changes do not end at
        // `current`, and the peer gets the whole document.
        (changes.last()?.to == current.versioned_digest()).then_some(changes)
    }

    /// Puts a verified configuration in force and keeps the changes that led to it.
    fn activate(
        &self,
        offered: ActiveConfig,
        changes: Vec<Change>,
    ) -> Result<Arc<ActiveConfig>, OfferError> {
        let (version, digest) = offered.versioned_digest();
        let offered = Arc::new(offered);
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have applied this or a higher version while the document was parsed.
        if !lock(&self.replica).accept(version, digest) {
            self.check_version(version, Some(digest))?;
            return Err(OfferError::Same);
        }
        *current = Some(offered.clone());
        let mut history = lock(&self.history);
        changes.into_iter().for_each(|change| history.push(change));
        Ok(offered)
    }

    /// Checks whether a version would be applied, before its document is fetched.
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

/// Parses a document whose digest was checked.
fn parse(
    version: ConfigVersion,
    digest: Digest,
    document: Bytes,
) -> Result<ActiveConfig, OfferError> {
    let config =
        serde_json::from_slice(&document).map_err(|e| OfferError::Malformed(e.to_string()))?;
    Ok(ActiveConfig { version, digest, document, config })
}

/// Applies changes one after the other. Returns the last document and the changes with the digest
/// of each intermediate document. Returns `None` if there are more than [`MAX_CHANGES`], if the
/// versions do not increase, or if a change does not apply to its document.
fn apply_changes(
    mut from: VersionedDigest,
    base: &Bytes,
    changes: Vec<VersionedSplices>,
) -> Option<(Bytes, Vec<Change>)> {
    if changes.len() > MAX_CHANGES {
        return None;
    }
    let mut document = base.clone();
    let mut applied = Vec::with_capacity(changes.len());
    for (version, splices) in changes {
        document = apply(&document, &splices).ok()?.into();
        let to = (version, Digest::of(&document));
        if version <= from.0 {
            return None;
        }
        applied.push(Change { from, to, splices });
        from = to;
    }
    Some((document, applied))
}
