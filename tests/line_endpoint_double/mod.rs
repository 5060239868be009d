//! Test double of an endpoint that speaks the platform's lines and accepts all work as a primary.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Bytes of a row of a long answer.
pub const ROW_BYTES: usize = 1_000;

/// Starts the endpoint, which signs the results of reads with `signature`. `READ list-N` is answered with N rows of [`ROW_BYTES`] bytes, `READ wait-N`
/// after N milliseconds, and a write with the length of its text as the signature.
pub fn serve(signature: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            // A host may close its connection at any time.
            thread::spawn(move || drop(converse(stream, signature)));
        }
    });
    address
}

fn converse(stream: TcpStream, signature: &str) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut state = "I";
    for line in BufReader::new(stream).lines() {
        let line = line?;
        let text = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '));
        let answer = match text.map(|(_, text)| text.split(' ').collect::<Vec<&str>>()) {
            None if line.starts_with("STARTUP") => String::new(),
            None => return Ok(()),
            Some(words) => {
                match words[0] {
                    "BEGIN" => state = "T",
                    "COMMIT" | "ROLLBACK" => state = "I",
                    _ => {}
                }
                answer(&words, signature)
            }
        };
        output.write_all(format!("{answer}READY {state} 1.1\r\n").as_bytes())?;
    }
    Ok(())
}

fn answer(words: &[&str], signature: &str) -> String {
    match words {
        ["READ", item] => {
            let (kind, number) = item.split_once('-').unwrap_or((item, "0"));
            let number: usize = number.parse().expect("a number");
            if kind == "wait" {
                thread::sleep(Duration::from_millis(number as u64));
            }
            let rows = if kind == "list" { number } else { 1 };
            format!("ROW {}\r\n", "x".repeat(ROW_BYTES)).repeat(rows)
                + &format!("COMPLETE {signature}\r\n")
        }
        ["WRITE", _, data] => format!("COMPLETE {}\r\n", data.len()),
        ["STATUS"] => "ROW primary 1 1.1 1 0 0 0\r\nCOMPLETE -\r\n".into(),
        _ => "COMPLETE -\r\n".into(),
    }
}
