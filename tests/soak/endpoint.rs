//! An emulated endpoint that speaks the platform's lines.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use super::world::{At, Run, Shared, ACCOUNTS, GROUP};

/// Connections that an endpoint accepts.
pub const MAX_CONNECTIONS: usize = 24;
/// Time that a statement takes.
const WORK: Duration = Duration::from_millis(2);

/// Rows of a long answer, and the length of each.
const LIST: (usize, usize) = (300, 1_000);

/// An open transaction.
struct Open {
    number: u64,
    read_only: bool,
    failed: bool,
    term: u64,
    writes: Vec<String>,
    /// Caller whose statements run in it.
    caller: Option<String>,
}

struct Connection {
    shared: Shared,
    member: usize,
    account: String,
    open: Option<Open>,
    values: BTreeMap<String, String>,
    /// Access and text of the prepared statements by name.
    shapes: BTreeMap<String, String>,
    /// That of the statement in progress, if it is a prepared one.
    shape: String,
}

/// Starts the endpoint `member`.
pub fn serve(shared: &Shared, member: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let shared = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let shared = shared.clone();
            thread::spawn(move || {
                if !shared.lock().members[member].alive {
                    return;
                }
                shared.lock().members[member].connections += 1;
                // A connection that breaks ends its session, nothing else.
                drop(converse(&shared, member, stream));
                shared.lock().members[member].connections -= 1;
            });
        }
    });
    address
}

fn converse(shared: &Shared, member: usize, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    let mut output = stream.try_clone()?;
    let mut lines = BufReader::new(stream).lines();
    let Some(greeting) = lines.next().transpose()? else { return Ok(()) };
    let words: Vec<&str> = greeting.split(' ').collect();
    let own = shared.lock().members[member].id.clone();
    if words.get(1) != Some(&GROUP) || words.get(3) != Some(&own.as_str()) {
        return output.write_all(format!("ERROR WRONGNODE {own}\r\n").as_bytes());
    }
    if shared.lock().members[member].connections > MAX_CONNECTIONS {
        return output.write_all(format!("ERROR CONNLIMIT {own}\r\n").as_bytes());
    }
    let mut connection = Connection {
        shared: shared.clone(),
        member,
        account: words.get(2).unwrap_or(&"").to_string(),
        open: None,
        values: BTreeMap::new(),
        shapes: BTreeMap::new(),
        shape: String::new(),
    };
    output.write_all(connection.ready().as_bytes())?;
    for line in lines {
        let line = line?;
        if ACCOUNTS.iter().any(|(_, key, _)| line.contains(key)) {
            shared.lock().violation(format!("UNASKED: a key reached an endpoint: {line}"));
        }
        let Some(rest) = line.strip_prefix("QUERY ") else { return Ok(()) };
        let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let answer = connection.answer(id, text);
        if !shared.lock().members[member].alive {
            return Ok(());
        }
        output.write_all(format!("{answer}{}", connection.ready()).as_bytes())?;
    }
    Ok(())
}

impl Connection {
    fn ready(&self) -> String {
        let (term, number) = self.shared.lock().position(self.member);
        let state = match &self.open {
            None => "I",
            Some(Open { failed: true, .. }) => "E",
            Some(_) => "T",
        };
        format!("READY {state} {term}.{number}\r\n")
    }

    fn error(&mut self, code: &str) -> String {
        if let Some(open) = &mut self.open {
            open.failed = true;
        }
        format!("ERROR {code} -\r\n")
    }

    fn answer(&mut self, id: &str, text: &str) -> String {
        let mut words: Vec<&str> = text.split(' ').collect();
        if words[0] == "AFTER" {
            let wanted = position(words[1]);
            if self.shared.lock().position(self.member) < wanted {
                return "ERROR LAGGING -\r\n".into();
            }
            words.drain(..2);
        }
        let failed = self.open.as_ref().is_some_and(|open| open.failed);
        // Any statement of a transaction is refused after the lead was lost, but for the commit of
        // one that wrote nothing.
        if !failed && self.has_lost_lead() && !matches!(words[0], "COMMIT" | "ROLLBACK") {
            return self.error("READONLY");
        }
        self.shape = match words[..] {
            ["EXECUTE", name, ..] => self.shapes.get(name).cloned().unwrap_or_default(),
            _ => String::new(),
        };
        match words[..] {
            ["ROLLBACK"] => {
                self.open = None;
                "COMPLETE -\r\n".into()
            }
            _ if failed => "ERROR MALFORMED -\r\n".into(),
            ["BEGIN"] => self.begin(false),
            ["BEGIN", "READ"] => self.begin(true),
            ["READ", "list"] => self.read(id, LIST),
            ["READ", _] => self.read(id, (1, 5)),
            ["WRITE", _, data] => self.write(id, data),
            ["EXECUTE", ..] if self.shape.is_empty() => self.error("NOSTMT"),
            ["EXECUTE", _, _] => self.read(id, (1, 5)),
            ["EXECUTE", _, _, data] => self.write(id, data),
            ["COMMIT"] => self.commit(id),
            ["SET", name, value] => {
                self.values.insert(name.into(), value.into());
                "COMPLETE -\r\n".into()
            }
            ["PREPARE", name, "READ" | "WRITE", ..] => {
                self.shapes.insert(name.into(), words[2..].join(" "));
                "COMPLETE -\r\n".into()
            }
            ["RESET"] => {
                self.values.clear();
                self.shapes.clear();
                "COMPLETE -\r\n".into()
            }
            ["STATUS"] | ["RESUME"] | ["PAUSE" | "DEMOTE", _] => self.status(&words),
            _ => self.error("MALFORMED"),
        }
    }

    fn status(&mut self, words: &[&str]) -> String {
        let mut world = self.shared.lock();
        match words[0] {
            "PAUSE" => world.members[self.member].paused = true,
            "RESUME" => world.members[self.member].paused = false,
            _ => {}
        }
        let role = if world.primary == self.member { "primary" } else { "replica" };
        let (term, number) = world.position(self.member);
        let received = world.members[self.member].received;
        format!("ROW {role} {term} {term}.{received} {term} 0 0 0\r\nCOMPLETE {number}\r\n")
    }

    fn has_lost_lead(&self) -> bool {
        let world = self.shared.lock();
        self.open.as_ref().is_some_and(|open| {
            !open.read_only && (world.primary != self.member || world.term != open.term)
        })
    }

    fn begin(&mut self, read_only: bool) -> String {
        let mut world = self.shared.lock();
        if !read_only && world.primary != self.member {
            return "ERROR READONLY -\r\n".into();
        }
        let term = world.term;
        let (writes, caller) = (Vec::new(), None);
        world.next_transaction += 1;
        let number = world.next_transaction;
        self.open = Some(Open { number, read_only, failed: false, term, writes, caller });
        "COMPLETE -\r\n".into()
    }

    /// Checks that a caller's statement may run here; a first one of an operation is counted.
    fn admit(&mut self, id: &str) -> bool {
        thread::sleep(WORK);
        let mut world = self.shared.lock();
        let Some(asked) = world.asked.get(id).cloned() else {
            world.violation(format!("UNASKED: no caller sent {id}"));
            return false;
        };
        world.passed_on.insert(id.to_owned());
        let first = self.open.as_ref().is_none_or(|open| open.caller.is_none());
        if let Some(open) = &mut self.open {
            let owner = open.caller.get_or_insert_with(|| asked.session.clone());
            if *owner != asked.session {
                world.violation(format!("PINNED: {id} ran in a transaction of {owner}"));
            }
        }
        if asked.account != self.account {
            world.violation(format!("UNASKED: {id} ran for account {}", self.account));
        }
        if asked.tag != self.values.get("tag").map_or("", String::as_str) {
            world.violation(format!("PINNED: {id} ran with the values {:?}", self.values));
        }
        if asked.shape != self.shape {
            world.violation(format!("PINNED: {id} ran {:?}, not {:?}", self.shape, asked.shape));
        }
        if first {
            world.arrive(&asked);
        }
        self.open.as_ref().is_none_or(|open| {
            open.read_only || (world.primary == self.member && world.term == open.term)
        })
    }

    fn signed(&self, id: &str, applied: u64, commit: Option<u64>) -> String {
        let transaction = self.open.as_ref().map(|open| open.number);
        self.signed_in(id, applied, commit, transaction)
    }

    fn signed_in(
        &self,
        id: &str,
        applied: u64,
        commit: Option<u64>,
        transaction: Option<u64>,
    ) -> String {
        let mut world = self.shared.lock();
        world.next_run += 1;
        let signature = format!("{}.{}", world.members[self.member].id, world.next_run);
        world
            .runs
            .insert(signature.clone(), Run { query: id.to_owned(), applied, commit, transaction });
        signature
    }

    fn read(&mut self, id: &str, (rows, bytes): (usize, usize)) -> String {
        if !self.admit(id) {
            return self.error("READONLY");
        }
        let applied = self.shared.lock().position(self.member).1;
        let signature = self.signed(id, applied, None);
        let row = format!("ROW {}\r\n", "v".repeat(bytes));
        format!("{}COMPLETE {signature}\r\n", row.repeat(rows))
    }

    fn write(&mut self, id: &str, data: &str) -> String {
        if !self.admit(id) {
            return self.error("READONLY");
        }
        if let Some(open) = &mut self.open {
            open.writes.push(data.to_owned());
            let signature = self.signed(id, 0, None);
            return format!("COMPLETE {signature}\r\n");
        }
        let number = {
            let mut world = self.shared.lock();
            if world.primary != self.member {
                return "ERROR READONLY -\r\n".into();
            }
            world.commit(vec![data.to_owned()], id)
        };
        let signature = self.signed(id, number, Some(number));
        format!("COMPLETE {signature}\r\n")
    }

    fn commit(&mut self, id: &str) -> String {
        let Some(open) = self.open.take() else { return self.error("MALFORMED") };
        thread::sleep(WORK);
        let transaction = Some(open.number);
        let number = {
            let mut world = self.shared.lock();
            world.passed_on.insert(id.to_owned());
            let leads = world.primary == self.member && world.term == open.term;
            match (open.writes.is_empty(), leads) {
                (true, _) => None,
                (false, false) => return "ERROR READONLY -\r\n".into(),
                (false, true) => Some(world.commit(open.writes, id)),
            }
        };
        let signature = self.signed_in(id, number.unwrap_or(0), number, transaction);
        format!("COMPLETE {signature}\r\n")
    }
}

fn position(text: &str) -> At {
    let (term, number) = text.split_once('.').expect("a position");
    (term.parse().expect("a term"), number.parse().expect("a number"))
}
