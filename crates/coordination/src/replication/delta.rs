//! Differences between two canonical documents, as replaced byte ranges.

use std::{collections::HashMap, fmt, ops::Range};

/// Maximum bytes of a splice on the wire, without the inserted ones.
const SPLICE_OVERHEAD_BYTES: usize = 16;

/// The replacement of one byte range of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Splice {
    /// Offset of the range in the old document, in bytes.
    pub at: usize,
    /// Length of the range in the old document, in bytes.
    pub removed: usize,
    /// Bytes that replace the range in the new document.
    pub inserted: Vec<u8>,
}

impl Splice {
    /// Returns the maximum size on the wire.
    pub fn size_bytes(&self) -> usize {
        SPLICE_OVERHEAD_BYTES + self.inserted.len()
    }
}

/// Error for splices that are not in order or reach beyond the document, because they were made for
/// another document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpliceMismatch;

impl fmt::Display for SpliceMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the splices do not fit this document")
    }
}

impl std::error::Error for SpliceMismatch {}

/// Returns the splices that turn `old` into `new`.
///
/// As in a patience diff, lines that occur exactly once in both documents, such as those with
/// names, are matched first. Between two matched lines, one range is replaced. The time is `O(n log
/// n)` in the number of lines, even for documents without common lines. The usual search for a
/// shortest difference would take too long for these.
pub fn diff(old: &[u8], new: &[u8]) -> Vec<Splice> {
    let (old_lines, new_lines) = (lines(old), lines(new));
    let mut anchors =
        longest_increasing_subsequence(&unique_common_lines(old, &old_lines, new, &new_lines));
    anchors.push((old_lines.len(), new_lines.len()));
    let start =
        |lines: &[Range<usize>], at: usize, end: usize| lines.get(at).map_or(end, |l| l.start);
    let (mut old_from, mut new_from) = (0, 0);
    let mut splices = Vec::new();
    for (old_line, new_line) in anchors {
        let old_to = start(&old_lines, old_line, old.len());
        let new_to = start(&new_lines, new_line, new.len());
        splices.extend(splice_for_range(old, old_from..old_to, &new[new_from..new_to]));
        (old_from, new_from) = (old_to, new_to);
    }
    splices
}

/// Applies splices to the document for which they were made.
///
/// A wrong document is not always detected, so the caller must check the digest of the result.
pub fn apply(old: &[u8], splices: &[Splice]) -> Result<Vec<u8>, SpliceMismatch> {
    let mut new = Vec::with_capacity(old.len());
    let mut from = 0;
    for splice in splices {
        new.extend_from_slice(old.get(from..splice.at).ok_or(SpliceMismatch)?);
        new.extend_from_slice(&splice.inserted);
        from = splice.at.checked_add(splice.removed).ok_or(SpliceMismatch)?;
    }
    new.extend_from_slice(old.get(from..).ok_or(SpliceMismatch)?);
    Ok(new)
}

fn lines(text: &[u8]) -> Vec<Range<usize>> {
    let mut start = 0;
    let lines = text.split_inclusive(|byte| *byte == b'\n').map(|line| {
        let range = start..start + line.len();
        start = range.end;
        range
    });
    lines.collect()
}

/// Returns the line numbers, in the old and the new document, of the lines that occur exactly once
/// in both. The pairs are in the order of the new document.
fn unique_common_lines(
    old: &[u8],
    old_lines: &[Range<usize>],
    new: &[u8],
    new_lines: &[Range<usize>],
) -> Vec<(usize, usize)> {
    let (old_unique, new_unique) = (unique_lines(old, old_lines), unique_lines(new, new_lines));
    let number = |line: &Range<usize>| {
        let text = &new[line.clone()];
        Some((*old_unique.get(text)?.as_ref()?, *new_unique.get(text)?.as_ref()?))
    };
    new_lines.iter().filter_map(number).collect()
}

/// Returns the number of each line, or `None` for a line that occurs more than once.
fn unique_lines<'a>(text: &'a [u8], lines: &[Range<usize>]) -> HashMap<&'a [u8], Option<usize>> {
    let mut unique = HashMap::new();
    for (number, line) in lines.iter().enumerate() {
        unique.entry(&text[line.clone()]).and_modify(|n| *n = None).or_insert(Some(number));
    }
    unique
}

/// Returns the longest subsequence of pairs whose first numbers increase. The second numbers of
/// `pairs` must already increase.
fn longest_increasing_subsequence(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    // `ends[n]` is the index of the pair with the smallest first number that ends a subsequence of
    // n + 1 pairs. `before` holds the index of each pair's predecessor.
    let mut ends: Vec<usize> = Vec::new();
    let mut before = vec![None; pairs.len()];
    for (at, pair) in pairs.iter().enumerate() {
        let length = ends.partition_point(|end| pairs[*end].0 < pair.0);
        before[at] = length.checked_sub(1).map(|shorter| ends[shorter]);
        if length == ends.len() {
            ends.push(at);
        } else {
            ends[length] = at;
        }
    }
    let mut longest: Vec<_> =
        std::iter::successors(ends.last().copied(), |at| before[*at]).map(|at| pairs[at]).collect();
    longest.reverse();
    longest
}

/// Returns the splice that replaces `range` of `old` by `new`, without the common bytes at both
/// ends, or `None` if the range does not change.
fn splice_for_range(old: &[u8], range: Range<usize>, new: &[u8]) -> Option<Splice> {
    let part = &old[range.clone()];
    let same = |(a, b): &(&u8, &u8)| a == b;
    let head = part.iter().zip(new).take_while(same).count();
    let (part, new) = (&part[head..], &new[head..]);
    let tail = part.iter().rev().zip(new.iter().rev()).take_while(same).count();
    let (removed, inserted) = (part.len() - tail, &new[..new.len() - tail]);
    let is_change = removed > 0 || !inserted.is_empty();
    is_change.then(|| Splice { at: range.start + head, removed, inserted: inserted.to_vec() })
}
