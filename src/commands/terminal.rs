//! Terminal output of commands, and confirmation prompts.
//!
//! Results go to standard output; progress and questions go to standard error, so that programs
//! can parse the output of a command.

use std::io::{self, BufRead, Write};

use crate::error::{Error, ErrorKind};

/// Writes `text`, which must end with a newline, to standard output.
///
/// # Errors
///
/// Returns an error if standard output is closed.
pub fn print_stdout(text: &str) -> Result<(), Error> {
    let mut stdout = io::stdout();
    let written = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush());
    written.map_err(|error| {
        Error::new(ErrorKind::Internal, format!("cannot write to standard output: {error}"))
    })
}

/// Writes `text` to standard error. Write errors are ignored, so that a closed standard error does
/// not stop the command.
pub fn print_stderr(text: &str) {
    let _ = io::stderr().write_all(text.as_bytes());
}

/// Asks the operator to confirm `question`, unless `yes` is set.
///
/// # Errors
///
/// Returns `canceled` for any answer other than `yes` or `y`, or if standard input is closed.
pub fn confirm(question: &str, yes: bool) -> Result<(), Error> {
    if yes {
        return Ok(());
    }
    print_stderr(&format!("{question} [y/N] "));
    let mut answer = String::new();
    let read = io::stdin().lock().read_line(&mut answer);
    let agreed = matches!(answer.trim().to_ascii_lowercase().as_str(), "y" | "yes");
    if read.is_ok() && agreed {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Canceled, "not confirmed; nothing was changed"))
}
