//! What logging costs a statement: the same statements through the core and the report, without and
//! with JSON lines into the bounded writer. Ends with 1 if the bound is exceeded.
//!
//! `cargo bench --bench logging`

#[path = "../tests/proxy_rig/mod.rs"]
mod proxy_rig;

use std::process::ExitCode;

use medlarstile::core::proxy::job::Refusal;
use medlarstile::core::proxy::statement::{Access, Statement};
use medlarstile::core::proxy::ProxyEffect;
use medlarstile::core::transaction::TransactionState;
use medlarstile::logs::bounded;
use medlarstile::net::proxy::report::Report;
use proxy_rig::Rig;
use rustix::time::{clock_gettime, ClockId};

/// Statements of one measurement.
const STATEMENTS: u64 = 20_000;
/// Every so many-th statement is refused once and tried again, which writes two lines; the share of
/// notable statements on a quiet day of the small sites is about as high.
const NOTABLE: u64 = 10;
/// Measurements of which the least counts.
const ROUNDS: usize = 5;
/// Statements a second of a host on a quiet day of the small sites.
const STATEMENTS_PER_S: f64 = 45.0;
/// Processor time that a host uses there, in microseconds a second (docs/OPERATIONS.md).
const HOST_US_PER_S: f64 = 9_300.0;
/// Largest part of it that logging may take.
const MOST_PART: f64 = 0.03;

/// Processor time of this process, the writer's thread included, in microseconds.
fn processor_us() -> f64 {
    let now = clock_gettime(ClockId::ProcessCPUTime);
    now.tv_sec as f64 * 1e6 + now.tv_nsec as f64 / 1e3
}

/// Processor time of a statement in microseconds.
fn measure() -> f64 {
    let mut rig = Rig::new();
    let report = Report::new();
    let session = rig.session(1, "lookups");
    let began = processor_us();
    for number in 0..STATEMENTS {
        rig.send(session, Statement::Data(Access::Read));
        if number % NOTABLE == 0 {
            let (connection, _, _) = rig.next_job();
            rig.refuse(connection, Refusal::Lagging, TransactionState::Idle);
        }
        let (connection, _, job) = rig.next_job();
        rig.succeed(connection, &job, TransactionState::Idle);
        for effect in rig.other.drain(..) {
            if let ProxyEffect::Ended(ended) = effect {
                report.on_ended(&ended);
            }
        }
        rig.answers.clear();
        rig.pass(20);
    }
    (processor_us() - began) / STATEMENTS as f64
}

fn least() -> f64 {
    (0..ROUNDS).map(|_| measure()).fold(f64::INFINITY, f64::min)
}

fn main() -> ExitCode {
    let without = least();
    let (writer, guard) = bounded(std::io::sink());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_span_list(false)
        .with_writer(writer)
        .finish();
    let with = tracing::subscriber::with_default(subscriber, || {
        let line = tracing::info_span!("host", host = "h1", incarnation = 1);
        let _entered = line.enter();
        least()
    });
    drop(guard);
    let extra = (with - without).max(0.0);
    let part = extra * STATEMENTS_PER_S / HOST_US_PER_S;
    println!("without logging {without:.2} us a statement, with logging {with:.2} us");
    println!("logging takes {:.2}% of a host's processor time at rest", part * 100.0);
    if part > MOST_PART {
        println!("more than the bound of {:.0}%", MOST_PART * 100.0);
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
