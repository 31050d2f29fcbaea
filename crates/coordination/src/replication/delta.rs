//! Changes of a canonical document as replaced byte ranges.

use std::{collections::HashMap, fmt, ops::Range};

/// Bytes of a splice on the wire besides what it inserts, at most.
const SPLICE_BYTES: usize = 16;

/// A byte range of a document that is replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Splice {
    /// Where the range begins in the old document.
    pub at: usize,
    /// Length of the range in the old document.
    pub removed: usize,
    /// What is in its place in the new document.
    pub inserted: Vec<u8>,
}

impl Splice {
    /// Returns the size on the wire, at most.
    pub fn size_bytes(&self) -> usize {
        SPLICE_BYTES + self.inserted.len()
    }
}

/// Splices that are not in order or reach beyond the document, because they belong to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpliceMismatch;

impl fmt::Display for SpliceMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the changes belong to another document")
    }
}

impl std::error::Error for SpliceMismatch {}

/// Returns the splices that make `old` into `new`.
///
/// Lines that both have exactly once, such as those with names, are matched first; between two of
/// them one range is replaced. The time grows with `n log n` of the lines, also for documents that
/// have nothing in common, where the usual search for a shortest difference would take too long.
pub fn diff(old: &[u8], new: &[u8]) -> Vec<Splice> {
    let (old_lines, new_lines) = (lines(old), lines(new));
    let mut anchors = longest_increasing(&matches(old, &old_lines, new, &new_lines));
    anchors.push((old_lines.len(), new_lines.len()));
    let start =
        |lines: &[Range<usize>], at: usize, end: usize| lines.get(at).map_or(end, |l| l.start);
    let (mut old_from, mut new_from) = (0, 0);
    let mut splices = Vec::new();
    for (old_line, new_line) in anchors {
        let old_to = start(&old_lines, old_line, old.len());
        let new_to = start(&new_lines, new_line, new.len());
        splices.extend(replaced(old, old_from..old_to, &new[new_from..new_to]));
        (old_from, new_from) = (old_to, new_to);
    }
    splices
}

/// Applies splices to the document that they were made for. A wrong document is not always noticed,
/// so the caller compares the digest of the result.
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

/// Returns the numbers of the lines that both documents have exactly once, in the order of the new
/// document.
fn matches(
    old: &[u8],
    old_lines: &[Range<usize>],
    new: &[u8],
    new_lines: &[Range<usize>],
) -> Vec<(usize, usize)> {
    let (old_once, new_once) = (once(old, old_lines), once(new, new_lines));
    let number = |line: &Range<usize>| {
        let text = &new[line.clone()];
        Some((*old_once.get(text)?.as_ref()?, *new_once.get(text)?.as_ref()?))
    };
    new_lines.iter().filter_map(number).collect()
}

/// Returns the number of each line, or nothing for one that occurs again.
fn once<'a>(text: &'a [u8], lines: &[Range<usize>]) -> HashMap<&'a [u8], Option<usize>> {
    let mut once = HashMap::new();
    for (number, line) in lines.iter().enumerate() {
        once.entry(&text[line.clone()]).and_modify(|n| *n = None).or_insert(Some(number));
    }
    once
}

/// Returns the most pairs whose first numbers rise; the second ones rise already.
fn longest_increasing(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    // For each length the pair that ends the best sequence of it, and each pair's predecessor.
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
    let mut chosen: Vec<_> =
        std::iter::successors(ends.last().copied(), |at| before[*at]).map(|at| pairs[at]).collect();
    chosen.reverse();
    chosen
}

/// Returns the splice that replaces a range, without the bytes that both have at their ends.
fn replaced(old: &[u8], range: Range<usize>, new: &[u8]) -> Option<Splice> {
    let part = &old[range.clone()];
    let same = |(a, b): &(&u8, &u8)| a == b;
    let head = part.iter().zip(new).take_while(same).count();
    let (part, new) = (&part[head..], &new[head..]);
    let tail = part.iter().rev().zip(new.iter().rev()).take_while(same).count();
    let (removed, inserted) = (part.len() - tail, &new[..new.len() - tail]);
    let is_change = removed > 0 || !inserted.is_empty();
    is_change.then(|| Splice { at: range.start + head, removed, inserted: inserted.to_vec() })
}
