//! Request bodies that are read in parts while they are being sent.

use std::io::{self, Read};

use pollenshed_state::ids::Digest;
use sha2::{Digest as _, Sha256};

/// One part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyPart {
    /// Object that holds the part.
    pub object_key: String,
    /// Length of the part.
    pub length_bytes: u64,
    /// Digest of the part.
    pub digest: Digest,
}

/// Why the next part can't be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartError(pub String);

/// Reads the bytes of a part.
type Fetch<'a> = dyn FnMut(&BodyPart) -> Result<Vec<u8>, PartError> + 'a;

/// A body that fetches its parts one after another, with one part in memory at a time.
///
/// No byte of a part is given out before the part's digest is checked, and no byte of the last part
/// before the digest of the whole is. A body that fails therefore always ends before its announced
/// length, and its receiver can't take it for a whole one.
pub struct PartsBody<'a> {
    fetch: Box<Fetch<'a>>,
    parts: std::slice::Iter<'a, BodyPart>,
    length_bytes: u64,
    whole: Sha256,
    expected: Digest,
    current: Vec<u8>,
    given: usize,
}

impl<'a> PartsBody<'a> {
    /// Fetches the first part, so that nothing is sent when not even this is there.
    ///
    /// `expected` is the digest of the whole body.
    pub fn open(
        parts: &'a [BodyPart],
        expected: Digest,
        fetch: impl FnMut(&BodyPart) -> Result<Vec<u8>, PartError> + 'a,
    ) -> Result<PartsBody<'a>, PartError> {
        let mut body = PartsBody {
            fetch: Box::new(fetch),
            parts: parts.iter(),
            length_bytes: parts.iter().map(|part| part.length_bytes).sum(),
            whole: Sha256::new(),
            expected,
            current: Vec::new(),
            given: 0,
        };
        body.load_next()?;
        Ok(body)
    }

    /// Returns the length of the whole body.
    pub fn length_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// Loads and checks the next part; false after the last one.
    fn load_next(&mut self) -> Result<bool, PartError> {
        let Some(part) = self.parts.next() else { return Ok(false) };
        self.current = Vec::new();
        self.given = 0;
        let bytes = (self.fetch)(part)?;
        if bytes.len() as u64 != part.length_bytes || Digest::of(&bytes) != part.digest {
            return Err(PartError(format!("{} is not what was uploaded", part.object_key)));
        }
        self.whole.update(&bytes);
        let is_last = self.parts.len() == 0;
        if is_last && Digest::from_bytes(self.whole.clone().finalize().into()) != self.expected {
            return Err(PartError("the whole upload has another digest".to_owned()));
        }
        self.current = bytes;
        Ok(true)
    }
}

impl Read for PartsBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.given == self.current.len() {
            if !self.load_next().map_err(|e| io::Error::other(e.0))? {
                return Ok(0);
            }
        }
        let read = (&self.current[self.given..]).read(buffer)?;
        self.given += read;
        Ok(read)
    }
}
