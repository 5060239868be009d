//! The `medlarstile` binary.

use std::process::ExitCode;

use clap::Parser;

mod cli;
mod emulator;

fn main() -> ExitCode {
    match cli::Cli::parse().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarstile: {error}");
            ExitCode::FAILURE
        }
    }
}
