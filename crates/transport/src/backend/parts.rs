//! Request bodies that are fetched part by part while they are being sent.

use std::io::{self, Read};

use pollenshed_state::ids::Digest;
use sha2::{Digest as _, Sha256};

/// A stored part of a request body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyPart {
    /// Key of the object that stores the part.
    pub object_key: String,
    /// Length that the object must have.
    pub length_bytes: u64,
    /// SHA-256 digest that the object must have.
    pub digest: Digest,
}

/// Why the next part can't be sent, as a text for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartError(pub String);

/// Fetches the bytes of a part.
type Fetch<'a> = dyn FnMut(&BodyPart) -> Result<Vec<u8>, PartError> + 'a;

/// A body that fetches its parts one after another and keeps one part in memory at a time.
///
/// No byte of a part is returned before the part's digest has been checked, and no byte of the last
/// part before the digest of the whole body has been. A body that fails therefore always ends
/// before its `content-length`, and its receiver can't take it for a complete one.
pub struct PartsBody<'a> {
    fetch: Box<Fetch<'a>>,
    parts: std::slice::Iter<'a, BodyPart>,
    length_bytes: u64,
    hasher: Sha256,
    expected_digest: Digest,
    current: Vec<u8>,
    position: usize,
}

impl<'a> PartsBody<'a> {
    /// Creates a body and fetches its first part, so that nothing is sent if that part is missing.
    ///
    /// `expected_digest` is the digest of the whole body.
    pub fn open(
        parts: &'a [BodyPart],
        expected_digest: Digest,
        fetch: impl FnMut(&BodyPart) -> Result<Vec<u8>, PartError> + 'a,
    ) -> Result<PartsBody<'a>, PartError> {
        let mut body = PartsBody {
            fetch: Box::new(fetch),
            parts: parts.iter(),
            length_bytes: parts.iter().map(|part| part.length_bytes).sum(),
            hasher: Sha256::new(),
            expected_digest,
            current: Vec::new(),
            position: 0,
        };
        body.load_next()?;
        Ok(body)
    }

    /// Returns the length of the whole body.
    pub fn length_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// Fetches and checks the next part; returns false after the last one.
    fn load_next(&mut self) -> Result<bool, PartError> {
        let Some(part) = self.parts.next() else { return Ok(false) };
        self.current = Vec::new();
        self.position = 0;
        let bytes = (self.fetch)(part)?;
        if bytes.len() as u64 != part.length_bytes || Digest::of(&bytes) != part.digest {
            return Err(PartError(format!("{} is not what was uploaded", part.object_key)));
        }
        self.hasher.update(&bytes);
        let is_last = self.parts.len() == 0;
        if is_last
            && Digest::from_bytes(self.hasher.clone().finalize().into()) != self.expected_digest
        {
            return Err(PartError("the whole upload has another digest".to_owned()));
        }
        self.current = bytes;
        Ok(true)
    }
}

impl Read for PartsBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.position == self.current.len() {
            if !self.load_next().map_err(|e| io::Error::other(e.0))? {
                return Ok(0);
            }
        }
        let read = (&self.current[self.position..]).read(buffer)?;
        self.position += read;
        Ok(read)
    }
}
