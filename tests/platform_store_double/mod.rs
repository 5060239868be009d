//! Test double of the platform's store. Each host gets an address of its own, so that the store can
//! refuse requests of single hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use tiny_http::{Header, Method, Request, Response, Server};

/// Time for which a feed request waits for a change at most.
const FEED_WAIT: Duration = Duration::from_millis(300);
/// Requests served concurrently at one address.
const WORKERS: usize = 8;

/// The rows at one moment.
#[derive(Clone, Default)]
pub struct Rows {
    version: u64,
    /// Number of restores.
    era: u64,
    /// Time for which a feed request waits, if it is not [`FEED_WAIT`].
    wait: Option<Duration>,
    /// Version and base64 value by table and key.
    rows: BTreeMap<(String, String), (u64, String)>,
}

impl Rows {
    /// Writes a row.
    pub fn put(&mut self, table: &str, key: &str, value: &[u8]) {
        let text = STANDARD.encode(value);
        self.version += 1;
        self.rows.insert((table.into(), key.into()), (self.version, text));
    }

    /// Version of the newest row.
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// The store; clones share its rows.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Rows>, Condvar)>);

impl Store {
    /// Writes a row, as the operator or an endpoint does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.lock().put(table, key, value);
        self.0 .1.notify_all();
    }

    /// The rows as they are now.
    pub fn copy(&self) -> Rows {
        self.lock().clone()
    }

    /// Goes back to a copy of the rows, in a new era, and writes at once what `write` does.
    pub fn restore(&self, copy: &Rows, write: impl FnOnce(&mut Rows)) {
        let mut rows = self.lock();
        let (era, wait) = (rows.era + 1, rows.wait);
        *rows = Rows { era, wait, ..copy.clone() };
        write(&mut rows);
        self.0 .1.notify_all();
    }

    /// Sets the time for which a feed request waits for a change at most.
    pub fn set_wait(&self, wait: Duration) {
        self.lock().wait = Some(wait);
    }

    /// Value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.lock();
        let (_, text) = rows.rows.get(&(table.into(), key.into()))?;
        Some(STANDARD.decode(text).expect("base64"))
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.0 .0.lock().expect("the rows")
    }

    /// Starts a server for one host and returns its address; reads of the table `refused` fail.
    pub fn serve(&self, refused: Option<&'static str>) -> SocketAddr {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("an address"));
        let address = server.server_addr().to_ip().expect("an IP address");
        for _ in 0..WORKERS {
            let (server, store) = (Arc::clone(&server), self.clone());
            thread::spawn(move || {
                while let Ok(mut request) = server.recv() {
                    let (status, body) = store.answer(&mut request, refused);
                    let era = Header::from_bytes("Store-Era", store.lock().era.to_string());
                    let response =
                        Response::from_string(body.to_string()).with_header(era.expect("a header"));
                    // The host may have disconnected.
                    drop(request.respond(response.with_status_code(status)));
                }
            });
        }
        address
    }

    fn answer(&self, request: &mut Request, refused: Option<&str>) -> (u16, Value) {
        if *request.method() == Method::Post {
            let mut body = String::new();
            request.as_reader().read_to_string(&mut body).expect("a text");
            return self.transact(&serde_json::from_str(&body).expect("JSON"));
        }
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').expect("a query");
        let query: BTreeMap<String, String> =
            form_urlencoded::parse(query.as_bytes()).into_owned().collect();
        if refused == Some(query["table"].as_str()) {
            return (503, json!({}));
        }
        let after = query.get("after").map_or(0, |text| text.parse().expect("a version"));
        let wait = query.get("waitMs").map(|text| text.parse().expect("a time"));
        let wait = wait.filter(|_| path.ends_with("feed")).map(Duration::from_millis);
        self.read(&query["table"], after, wait)
    }

    fn read(&self, table: &str, after: u64, wait: Option<Duration>) -> (u16, Value) {
        let mut rows = self.lock();
        let newer = |rows: &Rows| rows.rows.iter().any(|((t, _), (v, _))| t == table && *v > after);
        if let Some(wait) = wait {
            let wait = wait.min(rows.wait.unwrap_or(FEED_WAIT));
            let waited = self.0 .1.wait_timeout_while(rows, wait, |rows| !newer(rows));
            rows = waited.expect("the rows").0;
        }
        if after > rows.version {
            // Such a version was given out before a restore.
            return (410, json!({}));
        }
        let found =
            rows.rows.iter().filter(|((t, _), (version, _))| t == table && *version > after);
        let found: Vec<Value> = found
            .map(|((table, key), (version, value))| {
                json!({"table": table, "part": "", "key": key, "value": value, "ver": version})
            })
            .collect();
        (200, json!({"rows": found, "hasMore": false, "ver": rows.version}))
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let name = |entry: &Value| {
            let text = |field: &str| entry[field].as_str().expect("a text").to_owned();
            (text("table"), text("key"))
        };
        let mut rows = self.lock();
        for expected in body["expect"].as_array().expect("a list") {
            let known = rows.rows.get(&name(expected)).map_or(0, |(version, _)| *version);
            if Some(known) != expected["ver"].as_u64() {
                return (412, json!({"rows": [], "ver": rows.version}));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for put in body["puts"].as_array().expect("a list") {
            let value = put["value"].as_str().expect("a text").to_owned();
            rows.rows.insert(name(put), (version, value));
        }
        self.0 .1.notify_all();
        (200, json!({"ver": version}))
    }
}
