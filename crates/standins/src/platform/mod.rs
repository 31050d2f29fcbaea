//! A stand-in for the platform's table service, object store and instance list.
//!
//! The wire format is described in `pollenshed_protocol::platform`. Tests change its [`Faults`]
//! while it runs and read its [`Counts`].

mod faults;

use std::{
    collections::HashMap,
    io::Read,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, mpsc::Sender},
    thread,
};

use eyre::{Result, eyre};
use pollenshed_protocol::platform::{InstanceList, PutRow, Row};
use rouille::{Request, Response, Server};

pub use faults::{Counts, Faults};

/// Threads that answer calls. A delayed call occupies its thread, so this bounds concurrent calls.
const SERVER_THREADS: usize = 32;

/// Largest object that is stored.
const MAX_OBJECT_BYTES: u64 = 512 * 1024 * 1024;

#[derive(Default)]
struct State {
    content: Content,
    instances: InstanceList,
    faults: Faults,
    counts: Counts,
}

#[derive(Clone, Default)]
struct Content {
    rows: HashMap<(String, String), Row>,
    objects: HashMap<String, Arc<Vec<u8>>>,
}

/// Copy of all rows and objects, made by [`Platform::save`].
pub struct SavedContent(Content);

/// A running platform stand-in. It stops when dropped.
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: Sender<()>,
}

impl Platform {
    /// Listens on `address`; port 0 means any free port.
    pub fn bind(address: SocketAddr) -> Result<Platform> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let server = Server::new(address, move |request| handle(&shared, request))
            .map_err(|e| eyre!("platform stand-in cannot listen on {address}: {e}"))?
            .pool_size(SERVER_THREADS);
        let address = server.server_addr();
        let (_thread, stop) = server.stoppable();
        Ok(Platform { address, state, stop })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: InstanceList) {
        lock(&self.state).instances = instances;
    }

    /// Replaces the faults. Calls that have already begun keep the old ones.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns how many calls arrived since the start.
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }

    /// Copies all rows and objects.
    pub fn save(&self) -> SavedContent {
        SavedContent(lock(&self.state).content.clone())
    }

    /// Goes back to a saved state, like a service that is restored from a backup.
    pub fn restore(&self, saved: SavedContent) {
        lock(&self.state).content = saved.0;
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        // The thread ends by itself. It is not joined, because it waits for idle connections.
        let _ = self.stop.send(());
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

fn handle(state: &Mutex<State>, request: &Request) -> Response {
    let faults = {
        let mut state = lock(state);
        state.counts.add(request.method());
        state.faults.clone()
    };
    thread::sleep(faults.delay);
    if faults.down {
        return Response::text("down").with_status_code(503);
    }
    let hidden = faults.hide_objects
        && request.method() == "GET"
        && request.raw_url().starts_with("/objects/");
    let answer = if hidden { Response::empty_404() } else { route(state, request) };
    let is_lost = match request.method() {
        "GET" => faults.lose_read_replies,
        _ => faults.lose_write_replies,
    };
    if is_lost { Response::text("lost").with_status_code(504) } else { answer }
}

fn route(state: &Mutex<State>, request: &Request) -> Response {
    let url = request.url();
    let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        ("GET", ["tables", table, key]) => get_row(state, table, key),
        ("PUT", ["tables", table, key]) => put_row(state, table, key, request),
        ("GET", ["objects", key]) => get_object(state, key),
        ("PUT", ["objects", key]) => put_object(state, key, request),
        ("GET", ["instances"]) => Response::json(&lock(state).instances),
        _ => Response::empty_404(),
    }
}

fn get_row(state: &Mutex<State>, table: &str, key: &str) -> Response {
    match lock(state).content.rows.get(&(table.to_owned(), key.to_owned())) {
        Some(row) => Response::json(row),
        None => Response::empty_404(),
    }
}

fn put_row(state: &Mutex<State>, table: &str, key: &str, request: &Request) -> Response {
    let Ok(put) = rouille::input::json_input::<PutRow>(request) else {
        return Response::empty_400();
    };
    let mut state = lock(state);
    let key = (table.to_owned(), key.to_owned());
    let present = state.content.rows.get(&key).cloned();
    if present.as_ref().map_or(0, |row| row.revision) != put.expected_revision {
        return Response::json(&present).with_status_code(409);
    }
    let row = Row { revision: put.expected_revision + 1, value: put.value };
    state.content.rows.insert(key, row.clone());
    Response::json(&row)
}

fn get_object(state: &Mutex<State>, key: &str) -> Response {
    match lock(state).content.objects.get(key).cloned() {
        Some(object) => Response::from_data("application/octet-stream", object.to_vec()),
        None => Response::empty_404(),
    }
}

fn put_object(state: &Mutex<State>, key: &str, request: &Request) -> Response {
    let Some(body) = request.data() else {
        return Response::empty_400();
    };
    let announced = request.header("content-length").and_then(|v| v.parse::<usize>().ok());
    let mut bytes = Vec::new();
    if body.take(MAX_OBJECT_BYTES).read_to_end(&mut bytes).is_err() {
        return Response::empty_400();
    }
    // A connection that ends inside the body looks like the end of the body, so the length is
    // checked.
    if announced.is_some_and(|n| n != bytes.len()) {
        return Response::empty_400();
    }
    lock(state).content.objects.insert(key.to_owned(), Arc::new(bytes));
    Response::text("")
}
