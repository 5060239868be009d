//! Stand-in of the platform: the metadata store, and the call that promotes a backend.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Group;
use crate::json::{self, Json};
use crate::record::Record;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Base64 value, `None` once removed, and version.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    groups: Mutex<Vec<Weak<Group>>>,
    /// Highest fencing token by service.
    tokens: Mutex<BTreeMap<String, u64>>,
    record: Arc<Record>,
}

struct Call {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Store {
    /// Starts the store and the service for promotions, at one address.
    pub fn start(ip: &str, record: &Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            groups: Mutex::default(),
            tokens: Mutex::default(),
            record: Arc::clone(record),
        });
        let listener = TcpListener::bind((ip, 0)).expect("an address for the store");
        let address = listener.local_addr().expect("an address");
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    pub fn add_group(&self, group: &Arc<Group>) {
        self.groups.lock().unwrap().push(Arc::downgrade(group));
    }

    /// Writes a row, as the operator or a backend does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = Some(json::base64(value.as_bytes()));
        rows.rows.insert((table.into(), String::new(), key.into()), (value, version));
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), String::new(), key.into()), (None, version));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some(call) = read_call(&mut input) {
            let (status, body) = self.answer(&call);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if output.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        let field = |name: &str| call.query.get(name).cloned().unwrap_or_default();
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/api/rows-get") => {
                let rows = self.rows.lock().unwrap();
                let (table, part, from) = (field("table"), field("part"), field("from"));
                let found = rows.rows.iter().filter(|((t, p, k), (value, _))| {
                    *t == table && *p == part && *k >= from && value.is_some()
                });
                (200, self.rows_body(&rows, found))
            }
            ("GET", "/api/rows-feed") => {
                let table = field("table");
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait: u64 = field("waitMs").parse().unwrap_or(0);
                let newer = |rows: &Rows| {
                    rows.rows.iter().any(|((t, _, _), (_, ver))| *t == table && *ver > after)
                };
                let rows = self.rows.lock().unwrap();
                let wait = Duration::from_millis(wait.min(30_000));
                let rows = self.changed.wait_timeout_while(rows, wait, |rows| !newer(rows));
                let rows = rows.unwrap().0;
                let found =
                    rows.rows.iter().filter(|((t, _, _), (_, ver))| *t == table && *ver > after);
                (200, self.rows_body(&rows, found))
            }
            ("POST", "/api/rows-tx") => {
                thread::sleep(Duration::from_millis(6));
                self.transact(&json::parse(&call.body).unwrap_or(Json::Null))
            }
            ("POST", "/promote") => self.promote(call),
            _ => (404, "{}".into()),
        }
    }

    fn rows_body<'a>(
        &self,
        rows: &Rows,
        found: impl Iterator<Item = (&'a Key, &'a (Option<String>, u64))>,
    ) -> String {
        let mut found: Vec<_> = found.collect();
        found.sort_by_key(|(_, (_, version))| *version);
        let texts: Vec<String> = found
            .into_iter()
            .map(|((table, part, key), (value, version))| {
                let rest = match value {
                    Some(value) => format!(r#""value":"{value}""#),
                    None => r#""removed":true"#.into(),
                };
                format!(
                    r#"{{"table":"{table}","part":"{part}","key":"{key}",{rest},"ver":{version}}}"#
                )
            })
            .collect();
        let (version, now) = (rows.version, self.now_ms());
        format!(r#"{{"rows":[{}],"hasMore":false,"ver":{version},"nowMs":{now}}}"#, texts.join(","))
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let key = |entry: &Json| -> Key {
            let field = |name: &str| entry.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = body.get("expect").list();
        let holds = expected.iter().all(|entry| {
            let known = rows.rows.get(&key(entry)).filter(|(value, _)| value.is_some());
            known.map_or(0, |(_, version)| *version) == entry.get("ver").number()
        });
        if !holds {
            let keys: Vec<Key> = expected.iter().map(key).collect();
            let found =
                rows.rows.iter().filter(|(key, (value, _))| keys.contains(key) && value.is_some());
            return (412, self.rows_body(&rows, found));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.get("puts").list() {
            let value = entry.get("value").text().to_owned();
            rows.rows.insert(key(entry), (Some(value), version));
        }
        for entry in body.get("remove").list() {
            rows.rows.insert(key(entry), (None, version));
        }
        self.changed.notify_all();
        (200, format!(r#"{{"ver":{version},"nowMs":{}}}"#, self.now_ms()))
    }

    fn promote(&self, call: &Call) -> (u16, String) {
        let body = json::parse(&call.body).unwrap_or(Json::Null);
        let (service, id) = (body.get("service").text(), body.get("id").text());
        let header = |name: &str| call.headers.get(name).cloned().unwrap_or_default();
        let token: u64 = header("x-fencing-token").parse().unwrap_or(0);
        let holder = header("x-duty-holder");
        let mut tokens = self.tokens.lock().unwrap();
        let seen = tokens.entry(service.to_owned()).or_default();
        let groups = self.groups.lock().unwrap();
        let group = groups.iter().filter_map(Weak::upgrade).find(|group| group.service == service);
        let status = match group {
            Some(group) if token >= *seen => {
                *seen = token;
                if group.promote(id) { 200 } else { 409 }
            }
            _ => 409,
        };
        self.record.line(
            "platform",
            &format!("promote {service} {id} by {holder} token {token} -> {status}"),
        );
        (status, "{}".into())
    }
}

fn read_call(input: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        Some((name.to_owned(), decode(value)))
    });
    let query = query.collect();
    let body = String::from_utf8(body).ok()?;
    Some(Call { method, path: path.to_owned(), query, headers, body })
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
