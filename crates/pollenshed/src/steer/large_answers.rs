//! Requests whose answers are large: refused without memory for them, and spread over servers.

use std::{borrow::Cow, rc::Rc};

use pollenshed_coordination::steering::{BodyKind, large_answer_retry_ms};
use pollenshed_state::{ids::BackendServerName, routes::Route};
use pollenshed_transport::forward::OnRead;

use super::{callers::Outcome, core::Core};

/// Returns the refusal of a request for a large answer if there is no memory to hold one.
pub(super) fn refusal(core: &Core, route: &Route) -> Option<Outcome> {
    if !route.repeat.has_large_answer() {
        return None;
    }
    let mut large = core.large_answers.borrow_mut();
    if core.bodies.with_budget(|budget| budget.admits_large_answer(&large)) {
        return None;
    }
    if large.record_refusal(core.now()) {
        let held = core.bodies.with_budget(|budget| budget.held_bytes(BodyKind::Answer));
        log::warn!("request: large answers are refused; held_bytes={held}");
    }
    Some(Outcome::refused("memory-answer", large_answer_retry_ms(fastrand::u64(..)), 0))
}

/// Returns the servers that the next attempt passes over: those that were tried, and for a large
/// answer also those that send this instance as many as they have slots.
pub(super) fn with_full_servers<'a>(
    core: &Core,
    route: &Route,
    tried: &'a [BackendServerName],
) -> Cow<'a, [BackendServerName]> {
    if !route.repeat.has_large_answer() {
        return Cow::Borrowed(tried);
    }
    let fleet = core.fleet.borrow();
    let slots = |name: &BackendServerName| fleet.server(name).map(|server| server.record.slots);
    let mut passed_over = core.large_answers.borrow().full_servers(slots);
    passed_over.extend_from_slice(tried);
    Cow::Owned(passed_over)
}

/// A large answer that a server was asked for. It counts until it is read or dropped.
pub(super) struct LargeAnswer {
    core: Rc<Core>,
    server: BackendServerName,
    read_bytes: Option<usize>,
}

impl LargeAnswer {
    /// Counts the answer if those of the route are large.
    pub(super) fn start(
        core: &Rc<Core>,
        route: &Route,
        server: &BackendServerName,
    ) -> Option<LargeAnswer> {
        if !route.repeat.has_large_answer() {
            return None;
        }
        core.large_answers.borrow_mut().record_start(server);
        Some(LargeAnswer { core: core.clone(), server: server.clone(), read_bytes: None })
    }
}

impl OnRead for LargeAnswer {
    fn record_read(&mut self, bytes: usize) {
        self.read_bytes = Some(bytes);
    }
}

impl Drop for LargeAnswer {
    fn drop(&mut self) {
        self.core.large_answers.borrow_mut().record_end(&self.server, self.read_bytes);
    }
}
