//! A stand-in for the platform's table service, object store and instance list.
//!
//! The wire form is described in `pollenshed_protocol::platform`. Tests switch its [`Faults`] while it
//! runs and read its [`Counts`].

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

/// Threads that answer calls. Each sleeps through an added delay, so they bound concurrent calls.
const SERVER_THREADS: usize = 32;

/// Largest object that is stored.
const MAX_OBJECT_BYTES: u64 = 512 * 1024 * 1024;

#[derive(Default)]
struct Tables {
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

/// Rows and objects at one time.
pub struct SavedContent(Content);

/// A running platform stand-in. It stops when dropped.
pub struct Platform {
    address: SocketAddr,
    tables: Arc<Mutex<Tables>>,
    stop: Sender<()>,
}

impl Platform {
    /// Listens on `address`; port 0 lets the system choose.
    pub fn bind(address: SocketAddr) -> Result<Platform> {
        let tables = Arc::new(Mutex::new(Tables::default()));
        let shared = tables.clone();
        let server = Server::new(address, move |request| handle(&shared, request))
            .map_err(|e| eyre!("platform stand-in cannot listen on {address}: {e}"))?
            .pool_size(SERVER_THREADS);
        let address = server.server_addr();
        let (_thread, stop) = server.stoppable();
        Ok(Platform { address, tables, stop })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: InstanceList) {
        lock(&self.tables).instances = instances;
    }

    /// Replaces the faults; calls that began before keep the old ones.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.tables).faults = faults;
    }

    /// Returns how many calls arrived since the start.
    pub fn counts(&self) -> Counts {
        lock(&self.tables).counts
    }

    /// Saves all rows and objects.
    pub fn save(&self) -> SavedContent {
        SavedContent(lock(&self.tables).content.clone())
    }

    /// Goes back to an older state, as a service does that was restored from a backup.
    pub fn restore(&self, saved: SavedContent) {
        lock(&self.tables).content = saved.0;
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        // The thread ends by itself. It is not joined, because it waits for idle connections.
        let _ = self.stop.send(());
    }
}

fn lock(tables: &Mutex<Tables>) -> MutexGuard<'_, Tables> {
    tables.lock().unwrap_or_else(|e| e.into_inner())
}

fn handle(tables: &Mutex<Tables>, request: &Request) -> Response {
    let faults = {
        let mut tables = lock(tables);
        tables.counts.add(request.method());
        tables.faults.clone()
    };
    thread::sleep(faults.delay);
    if faults.down {
        return Response::text("down").with_status_code(503);
    }
    let hidden = faults.hide_objects
        && request.method() == "GET"
        && request.raw_url().starts_with("/objects/");
    let answer = if hidden { Response::empty_404() } else { route(tables, request) };
    let is_lost = match request.method() {
        "GET" => faults.lose_read_replies,
        _ => faults.lose_write_replies,
    };
    if is_lost { Response::text("lost").with_status_code(504) } else { answer }
}

fn route(tables: &Mutex<Tables>, request: &Request) -> Response {
    let url = request.url();
    let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        ("GET", ["tables", table, key]) => get_row(tables, table, key),
        ("PUT", ["tables", table, key]) => put_row(tables, table, key, request),
        ("GET", ["objects", key]) => get_object(tables, key),
        ("PUT", ["objects", key]) => put_object(tables, key, request),
        ("GET", ["instances"]) => Response::json(&lock(tables).instances),
        _ => Response::empty_404(),
    }
}

fn get_row(tables: &Mutex<Tables>, table: &str, key: &str) -> Response {
    match lock(tables).content.rows.get(&(table.to_owned(), key.to_owned())) {
        Some(row) => Response::json(row),
        None => Response::empty_404(),
    }
}

fn put_row(tables: &Mutex<Tables>, table: &str, key: &str, request: &Request) -> Response {
    let Ok(put) = rouille::input::json_input::<PutRow>(request) else {
        return Response::empty_400();
    };
    let mut tables = lock(tables);
    let key = (table.to_owned(), key.to_owned());
    let present = tables.content.rows.get(&key).cloned();
    if present.as_ref().map_or(0, |row| row.revision) != put.expected_revision {
        return Response::json(&present).with_status_code(409);
    }
    let row = Row { revision: put.expected_revision + 1, value: put.value };
    tables.content.rows.insert(key, row.clone());
    Response::json(&row)
}

fn get_object(tables: &Mutex<Tables>, key: &str) -> Response {
    match lock(tables).content.objects.get(key).cloned() {
        Some(object) => Response::from_data("application/octet-stream", object.to_vec()),
        None => Response::empty_404(),
    }
}

fn put_object(tables: &Mutex<Tables>, key: &str, request: &Request) -> Response {
    let Some(body) = request.data() else {
        return Response::empty_400();
    };
    let announced = request.header("content-length").and_then(|v| v.parse::<usize>().ok());
    let mut bytes = Vec::new();
    if body.take(MAX_OBJECT_BYTES).read_to_end(&mut bytes).is_err() {
        return Response::empty_400();
    }
    // An end of file inside the body looks like its end, so the length decides whether it is whole.
    if announced.is_some_and(|n| n != bytes.len()) {
        return Response::empty_400();
    }
    lock(tables).content.objects.insert(key.to_owned(), Arc::new(bytes));
    Response::text("")
}
