//! Statements that the load tool sends.

use bytes::{BufMut, BytesMut};
use clap::ValueEnum;
use medlarstile::wire::pg;

/// Number of rows in the table. It is small because the emulated endpoint scans the whole table.
const ROWS: u32 = 16;
/// In mixed mode, one in this many statements is a write.
const MIXED_WRITE_EVERY: u32 = 10;

/// Kind of statements to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, derive_more::Display)]
pub enum Mode {
    /// Reads of one row by key.
    #[display("read")]
    Read,
    /// Updates of one row by key.
    #[display("write")]
    Write,
    /// Nine reads for each update.
    #[display("mixed")]
    Mixed,
}

/// Messages of one round trip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A simple query.
    Simple(String),
    /// `Parse` of a named statement, with the name and the SQL text.
    Parse(&'static str, &'static str),
    /// `Bind` and `Execute` of a named statement, with the name and the key of a row.
    Execute(&'static str, u32),
}

const READ: (&str, &str) = ("load_read", "SELECT value FROM load_item WHERE id = $1");
const WRITE: (&str, &str) = ("load_write", "UPDATE load_item SET value = value + 1 WHERE id = $1");

impl Mode {
    /// Returns the `Parse` messages for the statements of this mode.
    pub fn parse_messages(self) -> Vec<Statement> {
        let (read, write) = (Statement::Parse(READ.0, READ.1), Statement::Parse(WRITE.0, WRITE.1));
        match self {
            Mode::Read => vec![read],
            Mode::Write => vec![write],
            Mode::Mixed => vec![read, write],
        }
    }

    /// Returns the next statement. `random_value` determines the row and, in mixed mode, whether
    /// the statement is a write.
    pub fn next(self, random_value: u32, prepared: bool) -> Statement {
        let row = random_value % ROWS;
        let is_write = match self {
            Mode::Read => false,
            Mode::Write => true,
            Mode::Mixed => (random_value / ROWS) % MIXED_WRITE_EVERY == 0,
        };
        let (name, text) = if is_write { WRITE } else { READ };
        if prepared {
            Statement::Execute(name, row)
        } else {
            Statement::Simple(text.replace("$1", &row.to_string()))
        }
    }
}

impl Statement {
    /// Returns the statements that create the table and its rows.
    pub fn set_up_statements() -> Vec<Statement> {
        let rows: Vec<String> = (0..ROWS).map(|row| format!("({row}, 0)")).collect();
        let create = "CREATE TABLE load_item (id int PRIMARY KEY, value int)".to_owned();
        let insert = format!("INSERT INTO load_item VALUES {}", rows.join(", "));
        vec![Statement::Simple(create), Statement::Simple(insert)]
    }

    /// Whether an error of the set-up means that the table or its rows exist already, from an
    /// earlier run.
    pub fn is_already_present(sqlstate: &str) -> bool {
        matches!(sqlstate, "42P07" | "23505")
    }

    /// Appends the encoded messages of the statement to `out`.
    pub fn put(&self, out: &mut BytesMut) {
        match self {
            Statement::Simple(sql) => pg::put_query(out, sql),
            Statement::Parse(name, sql) => {
                put_message(out, b'P', |body| {
                    put_cstring(body, name);
                    put_cstring(body, sql);
                    body.put_i16(0);
                });
                put_message(out, b'S', |_| ());
            }
            Statement::Execute(name, row) => {
                put_message(out, b'B', |body| put_bind(body, name, *row));
                put_message(out, b'E', |body| {
                    put_cstring(body, "");
                    body.put_i32(0);
                });
                put_message(out, b'S', |_| ());
            }
        }
    }
}

fn put_bind(body: &mut BytesMut, name: &str, row: u32) {
    let value = row.to_string();
    put_cstring(body, "");
    put_cstring(body, name);
    body.put_i16(0);
    body.put_i16(1);
    body.put_i32(i32::try_from(value.len()).expect("a number has few digits"));
    body.put_slice(value.as_bytes());
    body.put_i16(0);
}

fn put_cstring(body: &mut BytesMut, text: &str) {
    body.put_slice(text.as_bytes());
    body.put_u8(0);
}

/// Appends a message of type `tag` with the body that `write_body` appends.
fn put_message(out: &mut BytesMut, tag: u8, write_body: impl FnOnce(&mut BytesMut)) {
    let mut body = BytesMut::new();
    write_body(&mut body);
    out.put_u8(tag);
    out.put_i32(i32::try_from(body.len() + 4).expect("messages of the load tool are short"));
    out.put_slice(&body);
}
