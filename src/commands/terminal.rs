//! Output of commands and questions to the operator.
//!
//! Results go to standard output; progress and questions go to standard error, so that the output
//! of a command can be used by programs.

use std::io::{self, BufRead, Write};

use crate::error::{Error, ErrorKind};

/// Prints `text`, which ends with a newline, on standard output.
///
/// # Errors
///
/// Standard output is closed.
pub fn print(text: &str) -> Result<(), Error> {
    let mut stdout = io::stdout();
    let written = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush());
    written.map_err(|error| Error::new(ErrorKind::Internal, format!("standard output: {error}")))
}

/// Prints `text` on standard error. A closed standard error does not stop the command.
pub fn tell(text: &str) {
    let _ = io::stderr().write_all(text.as_bytes());
}

/// Asks `question` unless `yes`.
///
/// # Errors
///
/// `canceled` for any answer but `yes` or `y`, also when standard input is closed.
pub fn confirm(question: &str, yes: bool) -> Result<(), Error> {
    if yes {
        return Ok(());
    }
    tell(&format!("{question} [y/N] "));
    let mut answer = String::new();
    let read = io::stdin().lock().read_line(&mut answer);
    let agreed = matches!(answer.trim().to_ascii_lowercase().as_str(), "y" | "yes");
    if read.is_ok() && agreed {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Canceled, "not confirmed; nothing was changed"))
}
