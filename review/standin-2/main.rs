//! Runs one case of the review: starts the platform's and the databases' stand-ins and the project's
//! hosts, plays the clients, and judges what they have seen.
//!
//! Usage: `standin CASE FOLDER`, in the root of the repository. `TROUBLE=0` leaves the disruption out.

mod database;
mod hosts;
mod net;
mod record;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use database::Group;
use hosts::{configuration, Host, Platform};
use record::Record;

/// Why a case could not run.
type Failure = String;

/// A client's connection to a host.
struct Client {
    name: String,
    socket: TcpStream,
    input: Vec<u8>,
    record: Arc<Record>,
}

impl Client {
    fn open(
        record: &Arc<Record>,
        name: &str,
        address: SocketAddr,
        database: &str,
        key: &str,
    ) -> Result<Self, Failure> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(2))
            .map_err(|error| error.to_string())?;
        socket
            .set_read_timeout(Some(Duration::from_secs(20)))
            .map_err(|error| error.to_string())?;
        let mut client =
            Self { name: name.into(), socket, input: Vec::new(), record: Arc::clone(record) };
        let answer = client.ask(format!("STARTUP {database} {key}\r\n").as_bytes());
        match answer {
            Some(lines) if lines.last().is_some_and(|line| line.starts_with(b"READY")) => {
                Ok(client)
            }
            other => Err(format!("the session was not opened: {other:?}")),
        }
    }

    /// Sends a message and returns the lines up to READY; nothing if the connection ends before.
    fn ask(&mut self, message: &[u8]) -> Option<Vec<Vec<u8>>> {
        self.record.line(&format!("client {} sends \"{}\"", self.name, message.escape_ascii()));
        if let Err(error) = self.socket.write_all(message) {
            self.record.line(&format!("client {} cannot send: {error}", self.name));
            return None;
        }
        self.answer()
    }

    fn answer(&mut self) -> Option<Vec<Vec<u8>>> {
        let mut lines = Vec::new();
        let mut chunk = vec![0_u8; 256 * 1024];
        let mut row_bytes = 0;
        loop {
            while let Some(end) = self.input.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.input.drain(..end + 2).take(end).collect();
                if line.starts_with(b"ROW ") && line.len() > 1_000 {
                    row_bytes += line.len();
                    continue;
                }
                self.record.line(&format!(
                    "client {} receives \"{}\"",
                    self.name,
                    line.escape_ascii()
                ));
                let is_last = line.starts_with(b"READY");
                lines.push(line);
                if is_last {
                    self.record.line(&format!(
                        "client {} has its answer, {row_bytes} bytes in long rows",
                        self.name
                    ));
                    return Some(lines);
                }
            }
            match self.socket.read(&mut chunk) {
                Ok(count) if count > 0 => self.input.extend_from_slice(&chunk[..count]),
                other => {
                    self.record.line(&format!(
                        "client {}: the connection has ended without a complete answer: {other:?}, {row_bytes} bytes in long rows",
                        self.name
                    ));
                    return None;
                }
            }
        }
    }
}

fn is_success(lines: &Option<Vec<Vec<u8>>>) -> bool {
    lines.as_ref().is_some_and(|lines| lines.iter().any(|line| line.starts_with(b"COMPLETE i-")))
}

/// A client writes a text of two lines as one value. The last field extends to the end of the line,
/// which is CR LF. Returns whether the rule was broken.
fn two_lines(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let groups = vec![Group::start("ledger", 3, record)];
    let platform = Platform::start(record, &groups);
    let hosts = Host::start_all(record, folder, &platform, 1)?;
    let result = (|| {
        hosts[0].wait_ready(Duration::from_secs(30))?;
        let mut client = Client::open(record, "a", hosts[0].frontend, "main", "key-of-tenant-a")?;
        if !is_success(&client.ask(b"QUERY a1 WRITE probe first\r\n")) {
            return Err("an ordinary write was not served".into());
        }
        let (text, shown): (&[u8], &str) = match has_trouble {
            true => (b"plate 17: tuned\nQUERY a3 WRITE invoice twice", "two lines"),
            false => (b"plate 17: tuned / QUERY a3 WRITE invoice twice", "one line"),
        };
        record.line(&format!("the client's next text has {shown}"));
        let message = [b"QUERY a2 WRITE plate ", text, b"\r\n"].concat();
        let served = is_success(&client.ask(&message));
        thread::sleep(Duration::from_millis(700));
        let (plate, invoice) = (groups[0].written("plate"), groups[0].written("invoice"));
        for (item, values) in [("plate", &plate), ("invoice", &invoice)] {
            for value in values {
                record.line(&format!("committed: {item} = \"{}\"", value.escape_ascii()));
            }
        }
        let is_changed = plate.iter().any(|value| value != text);
        record.line(&format!(
            "success to the client: {served}; committed with changed text: {is_changed}; statements that nobody sent: {}",
            invoice.len()
        ));
        if !has_trouble && (!served || plate.len() != 1) {
            return Err("the text of one line was not written".into());
        }
        Ok(is_changed || !invoice.is_empty())
    })();
    Host::end_all(hosts);
    result
}

/// A client reads an item with many long rows, and its operation is retried on other hosts. Returns
/// whether processes went over their memory three times, on two hosts at least.
fn long_answer(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let groups = vec![Group::start("ledger", 3, record)];
    let platform = Platform::start(record, &groups);
    let hosts = Host::start_all(record, folder, &platform, 3)?;
    let result = (|| {
        for host in &hosts {
            host.wait_ready(Duration::from_secs(30))?;
        }
        let item = if has_trouble { "rows-200" } else { "rows-10" };
        let mut others = Vec::new();
        for host in &hosts {
            let mut other = Client::open(
                record,
                &format!("other at {}", host.name),
                host.frontend,
                "main",
                "key-of-tenant-a",
            )?;
            if !is_success(&other.ask(b"QUERY b1 WRITE probe first\r\n")) {
                return Err("an ordinary write was not served".into());
            }
            others.push(other);
        }
        let mut served = false;
        for (attempt, host) in hosts.iter().enumerate() {
            if served {
                break;
            }
            let mut client = Client::open(
                record,
                &format!("a at {}", host.name),
                host.frontend,
                "main",
                "key-of-tenant-a",
            )?;
            served =
                is_success(&client.ask(format!("QUERY a{attempt} READ {item}\r\n").as_bytes()));
            thread::sleep(Duration::from_millis(300));
        }
        let lost =
            others.iter_mut().map(|other| is_success(&other.ask(b"QUERY b2 READ probe\r\n")));
        let lost = lost.filter(|served| !served).count();
        let killed: Vec<&Host> = hosts.iter().filter(|host| host.was_killed()).collect();
        for host in &hosts {
            record.line(&format!(
                "{}: at most {} MB resident, killed {}",
                host.name,
                host.peak_mb(),
                host.was_killed()
            ));
        }
        record.line(&format!(
            "the long read was served: {served}; processes over their memory: {}; other clients that lost their session: {lost}",
            killed.len()
        ));
        if !has_trouble && !served {
            return Err("the short read was not served".into());
        }
        Ok(killed.len() >= 3)
    })();
    Host::end_all(hosts);
    result
}

/// The operator takes a tenant's key away and, in the same version, gives a route a priority of 1000.
/// Returns whether a request with that key still ran 3 s after the store's acknowledgement.
fn priority(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let groups = vec![Group::start("ledger", 3, record)];
    let platform = Platform::start(record, &groups);
    let hosts = Host::start_all(record, folder, &platform, 1)?;
    let result = (|| {
        hosts[0].wait_ready(Duration::from_secs(30))?;
        let open = |name: &str, tenant: &str| {
            Client::open(record, name, hosts[0].frontend, "main", &format!("key-of-{tenant}"))
        };
        let mut client = open("b before", "tenant-b")?;
        if !is_success(&client.ask(b"QUERY b1 WRITE probe first\r\n")) {
            return Err("an ordinary write was not served".into());
        }
        // A host is in touch contactMs after its start.
        thread::sleep(Duration::from_millis(5_000));
        let priority = if has_trouble { "1000" } else { "2" };
        platform.configure(&configuration(8, "ledger", &["tenant-a"], priority));
        record.line(&format!("operator: version 8 is acknowledged; tenant-b and its key are gone, priority {priority}"));
        thread::sleep(Duration::from_millis(6_000));
        let kept = is_success(&client.ask(b"QUERY b2 WRITE probe with-the-old-session\r\n"));
        let new = open("b after", "tenant-b");
        let new = new.is_ok_and(|mut client| {
            is_success(&client.ask(b"QUERY b3 WRITE probe with-a-new-session\r\n"))
        });
        let mut other = open("a after", "tenant-a")?;
        if !is_success(&other.ask(b"QUERY a1 WRITE probe of-tenant-a\r\n")) {
            return Err("a write of the tenant that stays was not served".into());
        }
        let ran =
            groups[0].written("probe").iter().filter(|data| data.starts_with(b"with-")).count();
        record.line(&format!(
            "6 s after the acknowledgement: success on the old session {kept}, on a new one {new}; writes that ran with the key {ran}"
        ));
        Ok(ran > 0)
    })();
    Host::end_all(hosts);
    result
}

/// A client prepares a statement whose shape has blanks, and writes with it. Returns whether another shape
/// ran or another item was written.
fn shape(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let groups = vec![Group::start("ledger", 3, record)];
    let platform = Platform::start(record, &groups);
    let hosts = Host::start_all(record, folder, &platform, 1)?;
    let result = (|| {
        hosts[0].wait_ready(Duration::from_secs(30))?;
        let mut client = Client::open(record, "a", hosts[0].frontend, "main", "key-of-tenant-a")?;
        let shape = if has_trouble { "sign WRITE off" } else { "sign-WRITE-off" };
        let prepared = client.ask(format!("QUERY a1 PREPARE s1 WRITE {shape}\r\n").as_bytes());
        if !prepared.is_some_and(|lines| lines.iter().any(|line| line.starts_with(b"COMPLETE"))) {
            return Err("the preparing was not acknowledged".into());
        }
        let served = is_success(&client.ask(b"QUERY a2 EXECUTE s1 plate-17 done\r\n"));
        thread::sleep(Duration::from_millis(300));
        let plate = groups[0].written("plate-17");
        for (item, value) in groups[0].all_written() {
            record.line(&format!("committed: {item} = \"{}\"", value.escape_ascii()));
        }
        let others = groups[0].all_written().iter().filter(|(item, _)| item != "plate-17").count();
        record.line(&format!(
            "success to the client: {served}; its item was written: {}; writes to other items: {others}",
            !plate.is_empty()
        ));
        if !has_trouble && (!served || plate.len() != 1) {
            return Err("the prepared write was not served".into());
        }
        Ok(others > 0 || (served && plate.is_empty()))
    })();
    Host::end_all(hosts);
    result
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let folder = Path::new(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt cannot be written: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let started = Instant::now();
    let result = match case.as_str() {
        "two-lines" => two_lines(&record, folder, has_trouble),
        "long-answer" => long_answer(&record, folder, has_trouble),
        "priority" => priority(&record, folder, has_trouble),
        "shape" => shape(&record, folder, has_trouble),
        other => Err(format!("no such case: {other}")),
    };
    record.line(&format!("took {:.1} s: {result:?}", started.elapsed().as_secs_f64()));
    match result {
        Ok(true) => {
            println!("the rule was broken");
            exit(1);
        }
        Ok(false) => println!("the rule held"),
        Err(failure) => {
            println!("the case could not run: {failure}");
            exit(2);
        }
    }
}
