//! JSON, base64, HTTP and the store: a stand-in for the platform, written from PROTOCOL.md.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A JSON value; numbers are kept as text.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
            }
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(text)) => text.parse::<f64>().unwrap_or(0.0) as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(|byte| b" \t\r\n,:".contains(byte)) {
            self.at += 1;
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.skip();
                    if self.bytes.get(self.at)? == &b'}' {
                        self.at += 1;
                        return Some(Json::Table(fields));
                    }
                    let Json::Text(key) = self.value()? else { return None };
                    fields.push((key, self.value()?));
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.skip();
                    if self.bytes.get(self.at)? == &b']' {
                        self.at += 1;
                        return Some(Json::List(items));
                    }
                    items.push(self.value()?);
                }
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                loop {
                    let byte = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match byte {
                        b'"' => {
                            return Some(Json::Text(String::from_utf8_lossy(&text).into_owned()))
                        }
                        b'\\' => {
                            let escaped = *self.bytes.get(self.at)?;
                            self.at += 1;
                            match escaped {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'u' => {
                                    let hex =
                                        std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?)
                                            .ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    self.at += 4;
                                    let mut buffer = [0; 4];
                                    text.extend(
                                        char::from_u32(code)?.encode_utf8(&mut buffer).bytes(),
                                    );
                                }
                                other => text.push(other),
                            }
                        }
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| !b",]} \r\n".contains(byte)) {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" | "false" => Some(Json::Bool),
                    number => Some(Json::Number(number.to_owned())),
                }
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = (u32::from(word[0]) << 16) | (u32::from(word[1]) << 8) | u32::from(word[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(ALPHABET[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// An HTTP request as received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub body: String,
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves HTTP/1.1 at a free port of `ip`; `answer` gives status and body, or nothing for silence.
pub fn serve(
    ip: &str,
    answer: impl Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || serve_connection(socket, &*answer));
        }
    });
    address
}

fn serve_connection(socket: TcpStream, answer: &dyn Fn(&Request) -> Option<(u16, String)>) {
    let _ = socket.set_nodelay(true);
    let Ok(mut output) = socket.try_clone() else { return };
    let mut input = BufReader::new(socket);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
        let mut headers = BTreeMap::new();
        loop {
            let mut header = String::new();
            if input.read_line(&mut header).unwrap_or(0) == 0 {
                return;
            }
            let Some((name, value)) = header.trim_end().split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        if input.read_exact(&mut body).is_err() {
            return;
        }
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let Some((status, body)) = answer(&request) else {
            // A connection on which a response is lost delivers nothing further.
            thread::sleep(Duration::from_secs(120));
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if output.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

#[derive(Clone)]
struct Row {
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<(String, String, String), Row>,
}

/// The platform's store, with the calls for rows.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let rows = Mutex::new(Rows { ver: 1, ..Rows::default() });
        Arc::new(Self { rows, changed: Condvar::new(), started: Instant::now() })
    }

    /// Writes a row as the operator or a backend does.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut rows = self.rows.lock().expect("rows");
        rows.ver += 1;
        let row = Row { value: Some(base64(text.as_bytes())), ver: rows.ver };
        rows.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/rows-tx") => Some(self.transact(&request.body)),
            ("GET", "/api/rows-get") => {
                let (table, part, from) = (query("table"), query("part"), query("from"));
                let rows = self.rows.lock().expect("rows");
                let found = rows.rows.iter().filter(|((of, in_part, key), row)| {
                    *of == table && *in_part == part && *key >= from && row.value.is_some()
                });
                let found: Vec<String> = found.map(|(id, row)| encode(id, row)).collect();
                Some((200, self.rows_answer(&found, rows.ver)))
            }
            ("GET", "/api/rows-feed") => {
                let (table, after) = (query("table"), query("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let mut rows = self.rows.lock().expect("rows");
                loop {
                    let newer = rows
                        .rows
                        .iter()
                        .filter(|((of, _, _), row)| *of == table && row.ver > after);
                    let mut newer: Vec<_> =
                        newer.map(|(id, row)| (row.ver, encode(id, row))).collect();
                    newer.sort();
                    let left = end.saturating_duration_since(Instant::now());
                    if !newer.is_empty() || left.is_zero() {
                        let newer: Vec<String> = newer.into_iter().map(|(_, text)| text).collect();
                        return Some((200, self.rows_answer(&newer, rows.ver)));
                    }
                    rows = self.changed.wait_timeout(rows, left).expect("rows").0;
                }
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn rows_answer(&self, rows: &[String], ver: u64) -> String {
        let now_ms = self.started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{ver},\"nowMs\":{now_ms}}}",
            rows.join(",")
        )
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".into()) };
        let id = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut rows = self.rows.lock().expect("rows");
        let expected = call.list("expect");
        let holds = expected.iter().all(|entry| {
            let row = rows.rows.get(&id(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.ver) == entry.number("ver")
        });
        if !holds {
            let current = expected.iter().filter_map(|entry| {
                let row = rows.rows.get(&id(entry)).filter(|row| row.value.is_some())?;
                Some(encode(&id(entry), row))
            });
            let current: Vec<String> = current.collect();
            return (412, self.rows_answer(&current, rows.ver));
        }
        if call
            .list("puts")
            .iter()
            .chain(&call.list("remove"))
            .any(|entry| matches!(entry.text("table").as_str(), "op" | "servers"))
        {
            return (403, "{}".into());
        }
        rows.ver += 1;
        let ver = rows.ver;
        for entry in call.list("puts") {
            rows.rows.insert(id(&entry), Row { value: Some(entry.text("value")), ver });
        }
        for entry in call.list("remove") {
            rows.rows.insert(id(&entry), Row { value: None, ver });
        }
        self.changed.notify_all();
        let now_ms = self.started.elapsed().as_millis();
        (200, format!("{{\"ver\":{ver},\"nowMs\":{now_ms}}}"))
    }
}

fn encode((table, part, key): &(String, String, String), row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".into(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{}}}",
        row.ver
    )
}
