//! The platform's store: tables of rows with versions, and their history.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::backend::http::{Answer, Head, read_body, read_head, write_answer};

/// Fault of a [`StoreEndpoint`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFault {
    /// It has no fault.
    None,
    /// It answers each call with 503.
    Busy,
    /// It accepts calls and never answers them.
    Silent,
    /// It performs calls and closes the connection without an answer.
    LoseAnswers,
    /// It answers calls for the table of backend servers with 503 and serves all others.
    ServersUnavailable,
}

/// Copy of the tables of a [`Store`].
#[derive(Clone)]
pub struct StoreCopy(Tables);

#[derive(Debug, Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Default, Clone)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    /// Changes after `truncated_to`, in their order.
    history: Vec<(String, String, Row)>,
    version: u64,
    /// Changes up to this version are no longer in the history.
    truncated_to: u64,
    calls: u64,
    /// Number of times that the store came back from a copy.
    era: u64,
}

struct Shared {
    tables: Mutex<Tables>,
    changed: Condvar,
}

/// The platform's store. All its endpoints share the tables.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

/// An address of the store. A fault affects only one endpoint, so that a test can disturb some
/// instances and spare others. It closes when dropped.
pub struct StoreEndpoint {
    address: SocketAddr,
    fault: Arc<Mutex<EndpointFault>>,
    stopped: Arc<AtomicBool>,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    precondition: Vec<Condition>,
    #[serde(default)]
    writes: Vec<Write>,
    #[serde(default)]
    remove: Vec<Key>,
}

#[derive(Deserialize)]
struct Condition {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Deserialize)]
struct Write {
    table: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct Key {
    table: String,
    key: String,
}

impl Tables {
    fn put(&mut self, table: &str, key: &str, row: Row) {
        self.history.push((table.to_owned(), key.to_owned(), row.clone()));
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }
}

impl Store {
    /// Creates an empty store.
    pub fn open() -> Store {
        let shared = Shared { tables: Mutex::default(), changed: Condvar::new() };
        Store { shared: Arc::new(shared) }
    }

    /// Opens an endpoint of the store on loopback.
    pub fn bind(&self) -> io::Result<StoreEndpoint> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let endpoint = StoreEndpoint {
            address: listener.local_addr()?,
            fault: Arc::new(Mutex::new(EndpointFault::None)),
            stopped: Arc::default(),
        };
        let (store, fault, stopped) =
            (self.clone(), endpoint.fault.clone(), endpoint.stopped.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (store, fault) = (store.clone(), fault.clone());
                thread::spawn(move || store.serve(&stream, &fault));
            }
        });
        Ok(endpoint)
    }

    /// Writes a row, like the operator or a backend server, and returns its version.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        self.write(table, key, Some(STANDARD.encode(value)))
    }

    /// Removes a row and returns the version of the change.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.write(table, key, None)
    }

    /// Returns the content of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let tables = self.tables();
        let row = tables.rows.get(&(table.to_owned(), key.to_owned()))?;
        STANDARD.decode(row.value.as_ref()?).ok()
    }

    /// Drops the history, so that readers of the feed have to read their tables again.
    pub fn truncate_history(&self) {
        let mut tables = self.tables();
        tables.truncated_to = tables.version;
        tables.history.clear();
        tables.rows.retain(|_, row| row.value.is_some());
    }

    /// Copies the tables.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.tables().clone())
    }

    /// Replaces the tables by a copy, as after a loss of the latest writes. Versions that were given
    /// out since the copy are given out again, and the era rises.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut tables = self.tables();
        let (calls, era) = (tables.calls, tables.era + 1);
        *tables = Tables { calls, era, ..copy.0.clone() };
    }

    /// Returns the number of calls that were made.
    pub fn calls(&self) -> u64 {
        self.tables().calls
    }

    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.shared.tables.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut tables = self.tables();
        tables.version += 1;
        let version = tables.version;
        tables.put(table, key, Row { value, version });
        self.shared.changed.notify_all();
        version
    }

    fn serve(&self, stream: &TcpStream, fault: &Mutex<EndpointFault>) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let mut body = Vec::new();
            if read_body(&mut reader, &head, &mut |piece| body.extend_from_slice(piece)).is_err() {
                return;
            }
            let current_fault = || *fault.lock().unwrap_or_else(|e| e.into_inner());
            let answer = match current_fault() {
                EndpointFault::ServersUnavailable if head.target.contains("table=servers") => {
                    Answer::text(503, "busy")
                }
                EndpointFault::Busy => Answer::text(503, "busy"),
                EndpointFault::Silent => {
                    while current_fault() == EndpointFault::Silent {
                        thread::sleep(Duration::from_millis(20));
                    }
                    return;
                }
                EndpointFault::None
                | EndpointFault::LoseAnswers
                | EndpointFault::ServersUnavailable => self.answer(&head, &body),
            };
            // A fault that began while a call waited for changes loses its answer too. While the
            // store is silent, the connection is not closed either.
            let loses_answer =
                matches!(current_fault(), EndpointFault::Silent | EndpointFault::LoseAnswers);
            while current_fault() == EndpointFault::Silent {
                thread::sleep(Duration::from_millis(20));
            }
            if loses_answer {
                return;
            }
            let mut writer = stream;
            if write_answer(&mut writer, &answer, &head, None).is_err() || !head.keep_alive {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> Answer {
        let answer = self.perform(head, body);
        answer.with_header("Store-Era", &self.tables().era.to_string())
    }

    fn perform(&self, head: &Head, body: &[u8]) -> Answer {
        self.tables().calls += 1;
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| *n == name).map(|(_, value)| value.to_owned()).next()
        };
        let number = |name: &str| parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let table = parameter("table").unwrap_or_default();
        match path {
            "/rows-get" => self.read(&table, &parameter("from").unwrap_or_default()),
            "/rows-feed" => self.feed(&table, number("after"), number("wait_ms")),
            "/rows-tx" => match serde_json::from_slice(body) {
                Ok(transaction) => self.transact(&transaction),
                Err(e) => Answer::text(400, &e.to_string()),
            },
            _ => Answer::text(404, "no such call"),
        }
    }

    fn read(&self, table: &str, from: &str) -> Answer {
        let tables = self.tables();
        let rows: Vec<Value> = tables
            .rows
            .iter()
            .filter(|((t, key), row)| t == table && key.as_str() >= from && row.value.is_some())
            .map(|((t, key), row)| row_json(t, key, row))
            .collect();
        Answer::json(
            &json!({ "rows": rows, "ver": tables.version, "has_more": false, "now": "0ms" }),
        )
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Answer {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut tables = self.tables();
        loop {
            if after < tables.truncated_to || after > tables.version {
                return Answer::text(410, "the history is gone");
            }
            // Every change is reported, including those that a later change has replaced.
            let rows: Vec<Value> = tables
                .history
                .iter()
                .filter(|(t, _, row)| t == table && row.version > after)
                .map(|(t, key, row)| row_json(t, key, row))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Answer::json(&json!({ "rows": rows, "ver": tables.version, "now": "0ms" }));
            }
            let waited = self.shared.changed.wait_timeout(tables, left);
            tables = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn transact(&self, transaction: &Transaction) -> Answer {
        let mut tables = self.tables();
        let holds = transaction.precondition.iter().all(|condition| {
            let row = tables.rows.get(&(condition.table.clone(), condition.key.clone()));
            row.filter(|row| row.value.is_some()).map_or(0, |row| row.version) == condition.ver
        });
        let changed_tables = transaction.writes.iter().map(|w| &w.table);
        if changed_tables
            .chain(transaction.remove.iter().map(|k| &k.table))
            .any(|t| t == "op" || t == "servers")
        {
            return Answer::text(403, "not a table of the system");
        }
        if !holds {
            return Answer::text(412, "{\"rows\":[]}");
        }
        tables.version += 1;
        let version = tables.version;
        for write in &transaction.writes {
            let row = Row { value: Some(write.value.clone()), version };
            tables.put(&write.table, &write.key, row);
        }
        for key in &transaction.remove {
            let row = Row { value: None, version };
            tables.put(&key.table, &key.key, row);
        }
        self.shared.changed.notify_all();
        Answer::json(&json!({ "ver": version, "now": "0ms" }))
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> Value {
    match &row.value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": row.version })
        }
        None => {
            json!({ "table": table, "part": "", "key": key, "ver": row.version, "tombstone": true })
        }
    }
}

impl StoreEndpoint {
    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the fault of the endpoint.
    pub fn set_fault(&self, fault: EndpointFault) {
        *self.fault.lock().unwrap_or_else(|e| e.into_inner()) = fault;
    }
}

impl Drop for StoreEndpoint {
    fn drop(&mut self) {
        self.set_fault(EndpointFault::Busy);
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}
