//! The platform: its store of rows and its promotion service, over HTTP, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::Group;
use crate::json::{base64, Json};

#[derive(Default)]
struct Rows {
    version: u64,
    /// Version and value (base64) by table and key; without a value the row was removed.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// The store and the promotion service; clones share their state.
#[derive(Clone)]
pub struct Platform(Arc<Shared>);

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    groups: Mutex<Vec<Group>>,
    /// Highest fencing token by group.
    fences: Mutex<BTreeMap<String, u64>>,
}

impl Platform {
    pub fn new() -> Self {
        Self(Arc::new(Shared {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            groups: Mutex::default(),
            fences: Mutex::default(),
        }))
    }

    pub fn add_group(&self, group: Group) {
        self.0.groups.lock().expect("groups").push(group);
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.0.rows.lock().expect("rows")
    }

    /// Writes a row, as the operator or an endpoint does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (version, Some(base64(value.as_bytes()))));
        self.0.changed.notify_all();
    }

    /// Serves at a free address; each call gets its answer 4 ms later.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let platform = platform.clone();
                thread::spawn(move || platform.converse(stream));
            }
        });
        address
    }

    fn converse(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut input = Vec::new();
        loop {
            let (head, body) = read_request(&mut stream, &mut input)?;
            thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.answer(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            stream.write_all(text.as_bytes()).ok()?;
        }
    }

    fn answer(&self, head: &str, body: &str) -> (u16, String) {
        let mut words = head.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| {
            let found = query
                .split('&')
                .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
            found.map(|(_, value)| value.to_owned())
        };
        match (method, path) {
            ("GET", "/api/rows-get") => self.read(&field("table").unwrap_or_default(), 0, None),
            ("GET", "/api/rows-feed") => {
                let number =
                    |name: &str| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").min(30_000));
                self.read(&field("table").unwrap_or_default(), number("after"), Some(wait))
            }
            ("POST", "/api/rows-tx") => self.transact(body),
            ("POST", "/promote") => self.promote(head, body),
            _ => (404, "{}".into()),
        }
    }

    fn read(&self, table: &str, after: u64, wait: Option<Duration>) -> (u16, String) {
        let mut rows = self.rows();
        if let Some(wait) = wait {
            let newer = |rows: &Rows| {
                rows.rows
                    .iter()
                    .any(|((found, _), (version, _))| found == table && *version > after)
            };
            let waited = self.0.changed.wait_timeout_while(rows, wait, |rows| !newer(rows));
            rows = waited.expect("rows").0;
        }
        let mut found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((name, _), (version, value))| {
                name == table && *version > after && (wait.is_some() || value.is_some())
            })
            .collect();
        if wait.is_some() {
            found.sort_by_key(|(_, (version, _))| *version);
        }
        let row = |((_, key), (version, value)): &(&(String, String), &(u64, Option<String>))| {
            match value {
                Some(value) => format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
                ),
                None => format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"removed":true}}"#
                ),
            }
        };
        let list: Vec<String> = found.iter().map(row).collect();
        let now_ms = self.0.started.elapsed().as_millis();
        let list = list.join(",");
        (
            200,
            format!(
                r#"{{"rows":[{list}],"hasMore":false,"ver":{},"nowMs":{now_ms}}}"#,
                rows.version
            ),
        )
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        let name = |entry: &Json| (entry.text("table"), entry.text("key"));
        let mut rows = self.rows();
        let now_ms = self.0.started.elapsed().as_millis();
        let version_of = |rows: &Rows, entry: &Json| match rows.rows.get(&name(entry)) {
            Some((version, Some(_))) => *version,
            _ => 0,
        };
        let expected = body.list("expect");
        if expected.iter().any(|entry| entry.number("ver") != Some(version_of(&rows, entry))) {
            let row = |entry: &Json| {
                let (table, key) = name(entry);
                match rows.rows.get(&(table.clone(), key.clone())) {
                    Some((version, Some(value))) => Some(format!(
                        r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
                    )),
                    _ => None,
                }
            };
            let list: Vec<String> = expected.iter().filter_map(row).collect();
            return (
                412,
                format!(
                    r#"{{"rows":[{}],"ver":{},"nowMs":{now_ms}}}"#,
                    list.join(","),
                    rows.version
                ),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for put in body.list("puts") {
            rows.rows.insert(name(put), (version, Some(put.text("value"))));
        }
        for removed in body.list("remove") {
            rows.rows.insert(name(removed), (version, None));
        }
        self.0.changed.notify_all();
        (200, format!(r#"{{"ver":{version},"nowMs":{now_ms}}}"#))
    }

    fn promote(&self, head: &str, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        let header = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("X-Fencing-Token")
                .then(|| value.trim().parse::<u64>().ok())?
        });
        let (service, token) = (body.text("service"), header.unwrap_or(0));
        let mut fences = self.0.fences.lock().expect("fences");
        let fence = fences.entry(service.clone()).or_default();
        if token < *fence {
            return (409, "{}".into());
        }
        *fence = token;
        let groups = self.0.groups.lock().expect("groups").clone();
        let group = groups.into_iter().find(|group| group.name == service);
        match group.filter(|group| group.is_running(&body.text("id"))) {
            Some(group) => {
                let id = body.text("id");
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(600));
                    group.promote(&id);
                });
                (200, "{}".into())
            }
            None => (409, "{}".into()),
        }
    }
}

/// Reads a request; returns its head and its body.
fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<(String, String)> {
    let mut piece = [0; 16 * 1024];
    loop {
        if let Some(end) = input.windows(4).position(|found| found == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse::<usize>().ok())?
            });
            let total = end + 4 + length.unwrap_or(0);
            if input.len() >= total {
                let body = String::from_utf8_lossy(&input[end + 4..total]).into_owned();
                input.drain(..total);
                return Some((head, body));
            }
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&piece[..count]),
        }
    }
}
