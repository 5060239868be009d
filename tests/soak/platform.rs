//! The emulated platform: rows, feeds and promotions, with an address and faults for each host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use tiny_http::{Header, Method, Request, Response, Server};

use super::world::Shared;

/// Connections that are served at once at one address.
const WORKERS: usize = 12;
/// Longest time for which a feed waits here, so that a worker is free soon.
const MOST_WAIT: Duration = Duration::from_millis(1_500);

/// What one host's address of the platform does.
#[derive(Clone, Copy, Default)]
pub struct Trouble {
    /// Calls are answered with 503.
    pub refuses: bool,
    /// Writes and promotions are carried out and not answered.
    pub loses_answers: bool,
    /// Promotions are carried out this much later.
    pub late: Duration,
}

/// Table and key of a row.
type RowName = (String, String);
/// Version and value of a row; a removed one has no value.
type RowState = (u64, Option<Vec<u8>>);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowName, RowState>,
    trouble: BTreeMap<usize, Trouble>,
    /// Whether all calls are answered with 503.
    is_down: bool,
    /// Number of restores.
    era: u64,
    /// Copies of the rows with their versions, oldest first.
    copies: Vec<(Instant, u64, BTreeMap<RowName, RowState>)>,
}

/// The platform.
#[derive(Clone)]
pub struct Platform {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    shared: Shared,
}

impl Platform {
    pub fn new(shared: &Shared) -> Self {
        Self { rows: Arc::default(), shared: shared.clone() }
    }

    pub fn put(&self, table: &str, key: &str, value: &Value) -> Instant {
        let mut rows = self.rows.0.lock().expect("the rows");
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (version, Some(value.to_string().into())));
        self.rows.1.notify_all();
        Instant::now()
    }

    /// Takes a copy of the rows.
    pub fn copy(&self) {
        let mut rows = self.rows.0.lock().expect("the rows");
        let copy = (Instant::now(), rows.version, rows.rows.clone());
        rows.copies.push(copy);
    }

    /// Takes the store away from all hosts.
    pub fn take_down(&self) {
        self.rows.0.lock().expect("the rows").is_down = true;
    }

    /// Brings the store back from the newest copy that has this age, or the oldest; the operator
    /// writes its row again.
    pub fn restore(&self, age: Duration) {
        let mut rows = self.rows.0.lock().expect("the rows");
        let is_old = |(at, ..): &&(Instant, u64, _)| at.elapsed() >= age;
        let copy = rows.copies.iter().rev().find(is_old).or(rows.copies.first());
        let (_, version, copied) = copy.expect("a copy").clone();
        let name: RowName = ("op".into(), "config".into());
        let (_, configuration) = rows.rows.get(&name).expect("a configuration").clone();
        (rows.version, rows.rows) = (version + 1, copied);
        rows.rows.insert(name, (version + 1, configuration));
        (rows.is_down, rows.era) = (false, rows.era + 1);
        self.rows.1.notify_all();
    }

    pub fn restores(&self) -> u64 {
        self.rows.0.lock().expect("the rows").era
    }

    pub fn trouble(&self, host: usize, trouble: Trouble) {
        self.rows.0.lock().expect("the rows").trouble.insert(host, trouble);
    }

    /// Serves one host; `addresses` are those at which it reaches the endpoints.
    pub fn serve(&self, host: usize, addresses: &[SocketAddr]) -> SocketAddr {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("an address"));
        let address = server.server_addr().to_ip().expect("an IP address");
        for _ in 0..WORKERS {
            let (server, platform, addresses) =
                (Arc::clone(&server), self.clone(), addresses.to_vec());
            thread::spawn(move || {
                while let Ok(mut request) = server.recv() {
                    if let Some((status, body)) = platform.answer(host, &addresses, &mut request) {
                        let era = platform.rows.0.lock().expect("the rows").era.to_string();
                        let era = Header::from_bytes("Store-Era", era).expect("a header");
                        let response = Response::from_string(body.to_string()).with_header(era);
                        // A host that has gone needs no answer.
                        drop(request.respond(response.with_status_code(status)));
                    } else {
                        drop(request.into_writer());
                    }
                }
            });
        }
        address
    }

    /// The answer to a call; none if it is lost.
    fn answer(
        &self,
        host: usize,
        addresses: &[SocketAddr],
        request: &mut Request,
    ) -> Option<(u16, Value)> {
        let (trouble, is_down) = {
            let rows = self.rows.0.lock().expect("the rows");
            (rows.trouble.get(&host).copied().unwrap_or_default(), rows.is_down)
        };
        if trouble.refuses || is_down {
            return Some((503, json!({})));
        }
        if *request.method() == Method::Get {
            let url = request.url().to_owned();
            let (path, query) = url.split_once('?').expect("a query");
            let query: BTreeMap<String, String> =
                form_urlencoded::parse(query.as_bytes()).into_owned().collect();
            let after = query.get("after").map_or(0, |text| text.parse().expect("a version"));
            let feed = path.ends_with("feed");
            return Some(self.read(&query["table"], after, feed, addresses));
        }
        let mut body = String::new();
        request.as_reader().read_to_string(&mut body).expect("a text");
        let body: Value = serde_json::from_str(&body).expect("JSON");
        let answer = if request.url() == "/promote" {
            thread::sleep(trouble.late);
            self.promote(request, &body)
        } else {
            self.transact(&body)
        };
        (!trouble.loses_answers).then_some(answer)
    }

    fn read(&self, table: &str, after: u64, feed: bool, addresses: &[SocketAddr]) -> (u16, Value) {
        let mut rows = self.rows.0.lock().expect("the rows");
        let newer = |rows: &Rows| rows.rows.iter().any(|((t, _), (v, _))| t == table && *v > after);
        if feed && !newer(&rows) {
            rows = self.rows.1.wait_timeout(rows, MOST_WAIT).expect("the rows").0;
        }
        if after > rows.version {
            return (410, json!({}));
        }
        let found = rows.rows.iter().filter(|((t, _), (version, value))| {
            t == table && *version > after && (feed || value.is_some())
        });
        let row = |((table, key), (version, value)): (&RowName, &RowState)| {
            let value = value.as_ref().map(|value| localised(table, value, addresses));
            let removed = value.is_none();
            let value = value.map(|value| STANDARD.encode(value));
            json!({"table": table, "part": "", "key": key, "value": value, "ver": version,
                "removed": removed})
        };
        let found: Vec<Value> = found.map(row).collect();
        (200, json!({"rows": found, "hasMore": false, "ver": rows.version}))
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let name = |entry: &Value| {
            let text = |field: &str| entry[field].as_str().expect("a text").to_owned();
            (text("table"), text("key"))
        };
        let mut rows = self.rows.0.lock().expect("the rows");
        for expected in body["expect"].as_array().expect("a list") {
            let (known, value) = rows.rows.get(&name(expected)).cloned().unwrap_or_default();
            let known = if value.is_some() { known } else { 0 };
            if Some(known) != expected["ver"].as_u64() {
                let (table, key) = name(expected);
                let row = json!({"table": table, "key": key, "ver": known,
                    "value": value.map(|value| STANDARD.encode(value))});
                return (412, json!({"rows": [row], "ver": rows.version}));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for put in body["puts"].as_array().expect("a list") {
            let value = STANDARD.decode(put["value"].as_str().expect("a text")).expect("base64");
            rows.rows.insert(name(put), (version, Some(value)));
        }
        for removed in body["remove"].as_array().expect("a list") {
            rows.rows.insert(name(removed), (version, None));
        }
        self.rows.1.notify_all();
        (200, json!({"ver": version}))
    }

    fn promote(&self, request: &Request, body: &Value) -> (u16, Value) {
        let header = |name: &'static str| {
            let found = request.headers().iter().find(|header| header.field.equiv(name));
            found.map(|header| header.value.to_string()).expect("a header")
        };
        let token: u64 = header("X-Fencing-Token").parse().expect("a token");
        let holder = header("X-Duty-Holder");
        let id = body["id"].as_str().expect("an id").to_owned();
        let mut world = self.shared.lock();
        if token < world.highest_token {
            return (409, json!({}));
        }
        if token == world.highest_token && holder != world.token_holder {
            let other = world.token_holder.clone();
            world.violation(format!("ONE: {holder} and {other} promote with token {token}"));
        }
        (world.highest_token, world.token_holder) = (token, holder);
        let Some(place) = world.members.iter().position(|one| one.id == id && one.alive) else {
            return (409, json!({}));
        };
        world.promote(place);
        (200, json!({}))
    }
}

/// An endpoint's row with the address at which the reader reaches it.
fn localised(table: &str, value: &[u8], addresses: &[SocketAddr]) -> Vec<u8> {
    if table != "servers" {
        return value.to_vec();
    }
    let mut entry: Value = serde_json::from_slice(value).expect("JSON");
    let place = entry["address"].as_u64().and_then(|place| usize::try_from(place).ok());
    entry["address"] = json!(addresses[place.expect("an endpoint's place")].to_string());
    entry.to_string().into()
}
