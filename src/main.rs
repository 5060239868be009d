//! The `medlarstile` binary.

mod cli;
mod demo;
mod emulator;
mod load;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    match cli::run(cli::Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            eprintln!("hint: {}", error.kind.answer().hint);
            ExitCode::from(error.kind.answer().exit_code)
        }
    }
}
