//! Cases of the independent review: `review-cases NAME FOLDER` runs one and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod client;
mod endpoint;
mod fleet;
mod json;
mod record;
mod store;

use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-cases NAME FOLDER");
        exit(2);
    };
    if !Path::new("target/release/medlarstile").exists() {
        eprintln!("build the project first");
        exit(2);
    }
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // A case that panics could not run.
    let ended = std::panic::catch_unwind(|| cases::run(name, folder, has_trouble));
    exit(ended.unwrap_or(cases::COULD_NOT_RUN));
}
