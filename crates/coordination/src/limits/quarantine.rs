//! Limits how many backend servers a request can crash.
//!
//! Requests are identified by their content, the digest of service, method, path and body.
//! Guarantee: content that crashes every server that runs it takes down at most two servers of an
//! owner within the retention time, however its copies arrive. Until its first completion, content
//! runs on one server at a time. After its first crash it runs on one other server, in one copy,
//! with no other request on that server. After crashes on two servers it is refused. Copies that
//! other owners were already running when they learned of the first crash are outside this bound.
//! The second run waits until crashes at other owners have become known, so that each owner adds at
//! most one of these, and it waits longer at owners that were told of the crash, so that it does not
//! begin at several owners at the same moment.
//!
//! Several requests may run on a server that crashes. Content that has not completed recently
//! becomes a suspect; content that has becomes one only if all content on the server has. The
//! second run of a suspect is alone on its server, so a second crash has one possible cause; if it
//! completes, it is cleared. Content that completed recently may run on several servers at once, so
//! if it is suspected all the same, only a crash while it runs alone counts as its second, and
//! peers do not learn of its first.

use std::collections::{BTreeSet, HashMap, VecDeque};

use pollenshed_state::{
    ids::{BackendServerName, Digest},
    time::Instant,
};

/// Number of crashed servers from which on content is refused.
const MAX_CRASHES: usize = 2;
/// Delay from the first known crash to the second run. It is two gossip periods, so that an owner
/// learns of crashes at other owners whose copies arrived at the same instant.
pub const SECOND_RUN_DELAY_MS: u64 = 500;
/// Additional delay at an owner that learned of the crash from a peer. The owner of the crashed server
/// runs its own copy first, and mostly reports what came of it before this delay is over.
pub const TOLD_RUN_DELAY_MS: u64 = 300;
/// Maximum number of suspected or refused contents that are remembered.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of completions that are remembered.
const MAX_COMPLETED: usize = 8_192;
/// Time for which a completion counts as evidence that the content does not crash servers.
const COMPLETION_TTL_MS: u64 = 60_000;
/// Time after its expiry for which an entry still suppresses peers' copies of it, which expire a
/// little later.
const EXPIRED_ENTRY_HOLD_MS: u64 = 60_000;
/// Maximum number of entries in one export.
const MAX_EXPORTED: usize = 256;

/// Crashes of one content, as exchanged between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Digest of the content.
    pub content: Digest,
    /// Backend servers that crashed while running it, at most two.
    pub crashed_servers: Vec<BackendServerName>,
    /// Time until the entry is forgotten.
    pub ttl_left_ms: u64,
}

/// Whether content may start on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// It may start.
    Allowed,
    /// It may start if no other request runs on the server until it ends.
    AllowedAlone,
    /// It may not start on this server now, but perhaps later or on another server.
    Wait,
    /// It crashed two servers and may not start on any.
    Refused,
}

/// Content with at least one known crash.
#[derive(Debug)]
struct Suspect {
    crashed: Vec<BackendServerName>,
    expires_at: Instant,
    last_crash: Instant,
    /// Whether the content had completed recently before its first crash.
    had_completed: bool,
    /// Whether the first crash was that of a server of this owner.
    was_seen_here: bool,
}

impl Suspect {
    fn is_exported(&self) -> bool {
        self.crashed.len() >= MAX_CRASHES || !self.had_completed
    }
}

/// Tracks running content and its crashes, and decides where content may start.
#[derive(Debug)]
pub struct Quarantine {
    retention_ms: u64,
    suspects: HashMap<Digest, Suspect>,
    running: HashMap<Digest, Vec<BackendServerName>>,
    completed: HashMap<Digest, Instant>,
    completed_order: VecDeque<(Instant, Digest)>,
}

impl Quarantine {
    /// Creates an empty quarantine that remembers crashes for `retention_ms`.
    pub fn new(retention_ms: u64) -> Quarantine {
        Quarantine {
            retention_ms,
            suspects: HashMap::new(),
            running: HashMap::new(),
            completed: HashMap::new(),
            completed_order: VecDeque::new(),
        }
    }

    pub(super) fn set_retention_ms(&mut self, retention_ms: u64) {
        self.retention_ms = retention_ms;
    }

    /// Returns whether the content crashed two servers, which makes every owner refuse it.
    pub fn is_refused(&self, content: &Digest, now: Instant) -> bool {
        self.known_crashes(content, now).len() >= MAX_CRASHES
    }

    /// Returns whether the content crashed one server and has not completed since.
    pub fn is_suspect(&self, content: &Digest, now: Instant) -> bool {
        self.known_crashes(content, now).len() == 1
    }

    /// Returns whether the content crashed this server.
    pub fn has_crashed(&self, content: &Digest, server: &BackendServerName, now: Instant) -> bool {
        self.known_crashes(content, now).contains(server)
    }

    /// Decides whether the content may start on the server.
    pub fn start_decision(
        &self,
        content: &Digest,
        server: &BackendServerName,
        now: Instant,
    ) -> StartDecision {
        let crashed = self.known_crashes(content, now);
        let running = self.running.get(content).map_or(&[][..], Vec::as_slice);
        if crashed.len() >= MAX_CRASHES {
            return StartDecision::Refused;
        }
        if !crashed.is_empty() {
            let may_start = running.is_empty() && !crashed.contains(server);
            let may_start = may_start && !self.awaits_peer_reports(content, now);
            return if may_start { StartDecision::AllowedAlone } else { StartDecision::Wait };
        }
        if self.has_completed(content, now) || running.contains(server) {
            return StartDecision::Allowed;
        }
        if running.is_empty() { StartDecision::Allowed } else { StartDecision::Wait }
    }

    /// Records that a copy of the content starts on the server.
    pub fn record_start(&mut self, content: Digest, server: &BackendServerName) {
        self.running.entry(content).or_default().push(server.clone());
    }

    /// Records that a copy of the content no longer runs on the server.
    pub fn record_end(&mut self, content: &Digest, server: &BackendServerName) {
        let Some(running) = self.running.get_mut(content) else { return };
        if let Some(i) = running.iter().position(|s| s == server) {
            running.swap_remove(i);
        }
        if running.is_empty() {
            self.running.remove(content);
        }
    }

    /// Records that the content completed, which clears it unless it is refused already.
    pub fn record_completion(&mut self, content: Digest, now: Instant) {
        if self.is_refused(&content, now) {
            return;
        }
        self.suspects.remove(&content);
        // One entry per content and second keeps `completed_order` short for frequent content.
        let previous = self.completed.get(&content).copied();
        if previous.is_some_and(|at| now.since_ms(at) < 1_000) {
            return;
        }
        self.completed.insert(content, now);
        self.completed_order.push_back((now, content));
        self.evict_completed(now);
    }

    fn evict_completed(&mut self, now: Instant) {
        while let Some((at, content)) = self.completed_order.front().copied() {
            let is_old = now.since_ms(at) >= COMPLETION_TTL_MS;
            if !is_old && self.completed_order.len() <= MAX_COMPLETED {
                break;
            }
            self.completed_order.pop_front();
            if self.completed.get(&content) == Some(&at) {
                self.completed.remove(&content);
            }
        }
    }

    /// Records that the server crashed while it ran these contents.
    ///
    /// `was_alone` tells whether the content was a suspect that ran alone. Content that had
    /// completed may run on many servers, and a fault such as the loss of a failure domain takes
    /// them down together. For such content only a run alone, which started after its first crash,
    /// counts as the second crash.
    pub fn record_crash(
        &mut self,
        contents: &[Digest],
        server: &BackendServerName,
        was_alone: bool,
        now: Instant,
    ) {
        let candidates: BTreeSet<Digest> = contents.iter().copied().collect();
        let any_not_completed = candidates.iter().any(|c| !self.has_completed(c, now));
        for content in candidates {
            let had_completed = self.has_completed(&content, now);
            let is_known = !self.known_crashes(&content, now).is_empty();
            if (any_not_completed && had_completed)
                || (self.may_have_run_widely(&content, now) && !was_alone)
            {
                continue;
            }
            self.completed.remove(&content);
            self.add(content, std::slice::from_ref(server), self.retention_ms, now);
            if let Some(suspect) = self.suspects.get_mut(&content).filter(|_| !is_known) {
                suspect.had_completed = had_completed;
                suspect.was_seen_here = true;
            }
        }
    }

    /// Adds the entries of a peer.
    ///
    /// A known crash does not extend the retention, because peers would otherwise keep an entry
    /// alive by sending it back and forth. A single crash of content that completed here recently
    /// is ignored.
    pub fn merge(&mut self, entries: &[QuarantineEntry], now: Instant) {
        for entry in entries {
            let is_single = entry.crashed_servers.len() < MAX_CRASHES;
            if entry.ttl_left_ms == 0
                || entry.crashed_servers.is_empty()
                || (is_single && self.has_completed(&entry.content, now))
                || (is_single && self.may_have_run_widely(&entry.content, now))
            {
                continue;
            }
            if self.has_expired(entry, now) {
                continue;
            }
            self.completed.remove(&entry.content);
            let ttl_ms = entry.ttl_left_ms.min(self.retention_ms);
            self.add(entry.content, &entry.crashed_servers, ttl_ms, now);
        }
    }

    /// Returns entries for peers, up to a fixed number, those with two crashes first.
    pub fn export(&self, now: Instant) -> Vec<QuarantineEntry> {
        self.export_recent(u64::MAX, now)
    }

    /// Like `export`, but returns only entries whose latest crash became known here less than
    /// `max_age_ms` ago, for peers that have received the earlier ones.
    pub fn export_recent(&self, max_age_ms: u64, now: Instant) -> Vec<QuarantineEntry> {
        let is_recent = |suspect: &Suspect| now.since_ms(suspect.last_crash) < max_age_ms;
        let mut entries: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.expires_at > now && suspect.is_exported())
            .filter(|(_, suspect)| is_recent(suspect))
            .map(|(content, suspect)| QuarantineEntry {
                content: *content,
                crashed_servers: suspect.crashed.clone(),
                ttl_left_ms: suspect.expires_at.since_ms(now),
            })
            .collect();
        entries.sort_by_key(|e| {
            std::cmp::Reverse((e.crashed_servers.len(), e.ttl_left_ms, e.content))
        });
        entries.truncate(MAX_EXPORTED);
        entries
    }

    /// Returns whether all crashes of the entry were known here and expired recently.
    fn has_expired(&self, entry: &QuarantineEntry, now: Instant) -> bool {
        self.suspects.get(&entry.content).is_some_and(|suspect| {
            suspect.expires_at <= now
                && now.since_ms(suspect.expires_at) < EXPIRED_ENTRY_HOLD_MS
                && entry.crashed_servers.iter().all(|server| suspect.crashed.contains(server))
        })
    }

    fn add(&mut self, content: Digest, servers: &[BackendServerName], ttl_ms: u64, now: Instant) {
        self.evict_if_full(&content, now);
        let suspect = self.suspects.entry(content).or_insert(Suspect {
            crashed: Vec::new(),
            expires_at: now,
            last_crash: now,
            had_completed: false,
            was_seen_here: false,
        });
        if suspect.expires_at <= now {
            suspect.crashed.clear();
            suspect.was_seen_here = false;
        }
        for server in servers {
            if suspect.crashed.len() < MAX_CRASHES && !suspect.crashed.contains(server) {
                suspect.crashed.push(server.clone());
                suspect.last_crash = now;
                suspect.expires_at = suspect.expires_at.max(now.plus_ms(ttl_ms));
            }
        }
    }

    fn evict_if_full(&mut self, content: &Digest, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(content) {
            return;
        }
        self.suspects.retain(|_, suspect| suspect.expires_at > now);
        let first = self.suspects.iter().min_by_key(|(_, s)| (s.crashed.len(), s.expires_at));
        if self.suspects.len() >= MAX_SUSPECTS
            && let Some(first) = first.map(|(content, _)| *content)
        {
            self.suspects.remove(&first);
        }
    }

    fn known_crashes(&self, content: &Digest, now: Instant) -> &[BackendServerName] {
        match self.suspects.get(content) {
            Some(suspect) if suspect.expires_at > now => &suspect.crashed,
            _ => &[],
        }
    }

    /// Returns whether crashes of the content at other owners may not be known here yet, or whether
    /// the owner of the crashed server may be about to run it again. Content
    /// that had completed need not wait, because it is an unlikely cause and many callers may want
    /// it.
    fn awaits_peer_reports(&self, content: &Digest, now: Instant) -> bool {
        let suspect = self.suspects.get(content).filter(|s| !s.had_completed);
        suspect.is_some_and(|s| {
            let told_ms = if s.was_seen_here { 0 } else { TOLD_RUN_DELAY_MS };
            now.since_ms(s.last_crash) < SECOND_RUN_DELAY_MS + told_ms
        })
    }

    /// Returns whether the content is suspected although it had completed. Copies of it may have
    /// run on several servers at its first crash.
    fn may_have_run_widely(&self, content: &Digest, now: Instant) -> bool {
        let is_known = !self.known_crashes(content, now).is_empty();
        is_known && self.suspects.get(content).is_some_and(|s| s.had_completed)
    }

    fn has_completed(&self, content: &Digest, now: Instant) -> bool {
        self.completed.get(content).is_some_and(|at| now.since_ms(*at) < COMPLETION_TTL_MS)
    }
}
