//! Bodies of answers that are read at the pace of their servers and handed out at that of their
//! callers.

use std::{
    any::Any,
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenshed_coordination::steering::{BodyBudget, BodyKind, MAX_READ_PAUSE_MS};
use tokio::{
    sync::Notify,
    task::JoinHandle,
    time::{Instant, timeout, timeout_at},
};

use super::pool::Lease;

/// Size in which held bytes are kept and given back. Bytes are copied once into pieces of this size:
/// as they arrive they keep a buffer of the connection that may be several times as large.
pub(super) const PIECE_BYTES: usize = 16 * 1024;

/// The budget of an instance for the bodies that it holds. Clones share it.
#[derive(Clone)]
pub struct HeldBodies(Rc<Shared>);

struct Shared {
    budget: RefCell<BodyBudget>,
    freed: Notify,
    slowed_answers: Cell<u64>,
}

impl HeldBodies {
    /// Creates the bodies of an instance, none so far.
    pub fn new(budget: BodyBudget) -> HeldBodies {
        HeldBodies(Rc::new(Shared {
            budget: RefCell::new(budget),
            freed: Notify::new(),
            slowed_answers: Cell::new(0),
        }))
    }

    /// Calls `ask` with the budget.
    pub fn with_budget<T>(&self, ask: impl FnOnce(&BodyBudget) -> T) -> T {
        ask(&self.0.budget.borrow())
    }

    /// Returns how many answers were read more slowly than they arrived, since the start.
    pub fn slowed_answers(&self) -> u64 {
        self.0.slowed_answers.get()
    }

    /// Returns a share without bytes, for a body of a caller on this connection.
    pub fn share(&self, kind: BodyKind, connection: SocketAddr) -> HeldShare {
        HeldShare { bodies: self.clone(), kind, connection, bytes: 0 }
    }
}

/// Bytes of one body in memory. They count towards the budget until they are released or this is
/// dropped.
pub struct HeldShare {
    bodies: HeldBodies,
    kind: BodyKind,
    connection: SocketAddr,
    bytes: usize,
}

impl HeldShare {
    /// Adds bytes if the budget allows that many more of a request body.
    pub fn try_add(&mut self, bytes: usize) -> bool {
        let takes = self.bodies.with_budget(|budget| budget.takes_request(bytes));
        if takes {
            self.add(bytes);
        }
        takes
    }

    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.bodies.0.budget.borrow_mut().add(self.kind, self.connection, bytes);
    }

    fn release(&mut self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.bytes -= bytes;
        self.bodies.0.budget.borrow_mut().remove(self.kind, self.connection, bytes);
        self.bodies.0.freed.notify_one();
    }

    fn reads_on(&self) -> bool {
        self.bodies.with_budget(|budget| budget.reads_answer(self.connection))
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// What is needed to hold an answer.
pub struct AnswerHold {
    /// Budget of the instance.
    pub bodies: HeldBodies,
    /// Connection of the caller.
    pub connection: SocketAddr,
    /// When the answer breaks off if it has not been handed out completely.
    pub deadline: Instant,
    /// Is told the size of the body and dropped as soon as the server has sent it, if it is a large
    /// answer.
    pub on_read: Option<Box<dyn OnRead>>,
}

/// Learns that an answer was read from its server. It is dropped without that if the answer broke
/// off.
pub trait OnRead: Any {
    /// Records the size of the body.
    fn record_read(&mut self, bytes: usize);
}

enum End {
    /// More may come.
    Open,
    /// All has come.
    Complete,
    /// What has come is not all.
    Broken(io::ErrorKind, String),
}

/// An answer between its server and its caller.
pub(super) struct HeldAnswer {
    full: VecDeque<Bytes>,
    last: BytesMut,
    /// Bytes that the connection of the caller has taken and may still keep.
    handed_bytes: usize,
    /// Bytes that have come, handed out or not.
    total_bytes: usize,
    share: HeldShare,
    end: End,
    waker: Option<Waker>,
    /// Wakes the reading task when the caller has taken a piece.
    taken: Rc<Notify>,
}

impl HeldAnswer {
    pub(super) fn new(share: HeldShare) -> HeldAnswer {
        HeldAnswer {
            full: VecDeque::new(),
            last: BytesMut::new(),
            handed_bytes: 0,
            total_bytes: 0,
            share,
            end: End::Open,
            waker: None,
            taken: Rc::default(),
        }
    }

    /// Returns whether more may be read from the server now.
    pub(super) fn reads_on(&self) -> bool {
        self.share.reads_on()
    }

    pub(super) fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Adds bytes that came. `expected_bytes` is how many will come at least.
    pub(super) fn push(&mut self, mut data: &[u8], expected_bytes: u64) {
        self.share.add(data.len());
        self.total_bytes += data.len();
        let expected = usize::try_from(expected_bytes).unwrap_or(usize::MAX);
        while !data.is_empty() {
            if self.last.capacity() == 0 {
                // What follows a small first piece goes into pieces of the full size.
                let wanted = data.len().max(expected).min(PIECE_BYTES);
                self.last.reserve(if self.full.is_empty() { wanted } else { PIECE_BYTES });
            }
            let room = (self.last.capacity() - self.last.len()).min(data.len());
            let (now, later) = data.split_at(room);
            self.last.extend_from_slice(now);
            data = later;
            if self.last.len() == self.last.capacity() {
                self.full.push_back(std::mem::take(&mut self.last).freeze());
            }
        }
        self.wake();
    }

    /// Takes the whole body if it is a single piece.
    pub(super) fn take_single(&mut self) -> Option<Bytes> {
        match (self.full.len(), self.last.is_empty()) {
            (0, _) => Some(std::mem::take(&mut self.last).freeze()),
            (1, true) => self.full.pop_front(),
            _ => None,
        }
    }

    pub(super) fn set_complete(&mut self) {
        self.end = End::Complete;
        self.wake();
    }

    /// Gives the memory back. The caller gets an error in place of the rest.
    fn break_off(&mut self, kind: io::ErrorKind, reason: String) {
        self.full = VecDeque::new();
        self.last = BytesMut::new();
        self.handed_bytes = 0;
        self.share.release(self.share.bytes);
        self.end = End::Broken(kind, reason);
        self.wake();
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        // The connection asks for a further piece when it has written the last one.
        if self.handed_bytes > 0 {
            self.share.release(std::mem::take(&mut self.handed_bytes));
            self.taken.notify_one();
        }
        let piece = match self.full.pop_front() {
            Some(piece) => piece,
            None if !self.last.is_empty() => std::mem::take(&mut self.last).freeze(),
            None => {
                return match &self.end {
                    End::Open => {
                        self.waker = Some(cx.waker().clone());
                        Poll::Pending
                    }
                    End::Complete => Poll::Ready(None),
                    End::Broken(kind, reason) => {
                        Poll::Ready(Some(Err(io::Error::new(*kind, reason.clone()))))
                    }
                };
            }
        };
        self.handed_bytes = piece.len();
        Poll::Ready(Some(Ok(piece)))
    }

    fn is_handed_out(&self) -> bool {
        matches!(self.end, End::Complete) && self.full.is_empty() && self.last.is_empty()
    }
}

/// Body of a response to a caller that is held in memory and possibly still read from its server.
/// Dropping it ends the exchange with the server and gives the memory back.
pub struct HeldBody {
    answer: Rc<RefCell<HeldAnswer>>,
    left_bytes: Option<u64>,
    task: JoinHandle<()>,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl HeldBody {
    /// Hands out an answer that is complete, until `deadline` at the latest.
    pub(super) fn complete(answer: HeldAnswer, deadline: Instant) -> HeldBody {
        let left_bytes = Some(answer.total_bytes as u64);
        let answer = Rc::new(RefCell::new(answer));
        let task = tokio::task::spawn_local(end_at(answer.clone(), deadline, async {}));
        HeldBody { answer, left_bytes, task }
    }

    /// Hands out an answer of which more may come from the server.
    pub(super) fn open(
        answer: HeldAnswer,
        rest: Incoming,
        lease: Lease,
        keep_alive: Option<Option<Duration>>,
        hold: AnswerHold,
    ) -> HeldBody {
        let left_bytes = rest.size_hint().exact().map(|rest| rest + answer.total_bytes as u64);
        let answer = Rc::new(RefCell::new(answer));
        let reading = read_rest(answer.clone(), rest, lease, keep_alive, hold.on_read);
        let task = tokio::task::spawn_local(end_at(answer.clone(), hold.deadline, reading));
        HeldBody { answer, left_bytes, task }
    }

    pub(super) fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let polled = self.answer.borrow_mut().poll_piece(cx);
        if let Poll::Ready(Some(Ok(piece))) = &polled {
            self.left_bytes = self.left_bytes.map(|left| left.saturating_sub(piece.len() as u64));
        }
        polled
    }

    pub(super) fn is_end(&self) -> bool {
        self.answer.borrow().is_handed_out()
    }

    /// Returns the number of bytes that are not handed out, if it is known.
    pub(super) fn left_bytes(&self) -> Option<u64> {
        self.left_bytes
    }
}

/// Runs `reading`, and breaks the answer off if it has not been handed out at the deadline. The
/// task is aborted as soon as the answer is handed out.
async fn end_at(
    answer: Rc<RefCell<HeldAnswer>>,
    deadline: Instant,
    reading: impl Future<Output = ()>,
) {
    let waiting = async {
        reading.await;
        std::future::pending::<()>().await;
    };
    let _ = timeout_at(deadline, waiting).await;
    log::warn!(
        "backend: an answer was not handed out before its deadline; held_bytes={}",
        answer.borrow().share.bytes
    );
    answer.borrow_mut().break_off(io::ErrorKind::TimedOut, "the deadline has passed".to_owned());
}

/// Reads the rest of an answer as fast as the budget allows.
async fn read_rest(
    answer: Rc<RefCell<HeldAnswer>>,
    mut rest: Incoming,
    lease: Lease,
    keep_alive: Option<Option<Duration>>,
    on_read: Option<Box<dyn OnRead>>,
) {
    let mut was_slowed = false;
    loop {
        wait_for_room(&answer, &mut was_slowed).await;
        match rest.frame().await {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                let expected = rest.size_hint().lower();
                answer.borrow_mut().push(&data, expected);
            }
            Some(Err(e)) => {
                log::warn!("backend: an answer broke off midway; error={e}");
                return answer
                    .borrow_mut()
                    .break_off(io::ErrorKind::ConnectionReset, e.to_string());
            }
            None => break,
        }
    }
    lease.release_if_idle(keep_alive).await;
    let total_bytes = answer.borrow().total_bytes;
    if let Some(mut on_read) = on_read {
        on_read.record_read(total_bytes);
    }
    answer.borrow_mut().set_complete();
}

/// Waits until the budget allows to read on, or a little after a long pause.
async fn wait_for_room(answer: &RefCell<HeldAnswer>, was_slowed: &mut bool) {
    if answer.borrow().reads_on() {
        return;
    }
    let bodies = answer.borrow().share.bodies.clone();
    if !*was_slowed {
        *was_slowed = true;
        bodies.0.slowed_answers.set(bodies.slowed_answers() + 1);
        log::info!(
            "backend: an answer is slowed; held_bytes={} of_answers={}",
            answer.borrow().share.bytes,
            bodies.with_budget(|budget| budget.held_bytes(BodyKind::Answer))
        );
    }
    let taken = answer.borrow().taken.clone();
    let room = async {
        while !answer.borrow().reads_on() {
            tokio::select! {
                () = bodies.0.freed.notified() => {}
                () = taken.notified() => {}
            }
        }
    };
    let mut room = std::pin::pin!(room);
    while timeout(Duration::from_millis(MAX_READ_PAUSE_MS), room.as_mut()).await.is_err() {
        if bodies.with_budget(BodyBudget::reads_waiting_answer) {
            return;
        }
    }
}
