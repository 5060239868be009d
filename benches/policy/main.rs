//! Prints what the decision core achieves in each scenario, beside a baseline policy.
//!
//! `cargo bench --bench policy`, with `-- --scenario NAME` for one scenario.

mod model;
mod policies;

use clap::Parser;
use medlarstile::types::DurationMs;
use model::scene::SCENARIOS;
use model::tables::{A, B};
use model::{Options, Report, Scenario, World};
use policies::{BASELINE, MEDLARSTILE};

/// Options of the benchmark.
#[derive(Parser)]
struct Args {
    /// Run this scenario only.
    #[arg(long)]
    scenario: Option<String>,
    /// Seconds in which requests count.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Passed by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() {
    let args = Args::parse();
    let wanted: Option<Scenario> =
        args.scenario.map(|name| name.parse().expect("the name of a scenario"));
    println!(
        "| scenario | deployment | policy | requests | replica share % | gap ms | worst account % \
         | refused per 10,000 | median ms | p99 ms | in force ms | interrupted | unanswered |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in SCENARIOS.into_iter().filter(|known| wanted.is_none_or(|one| one == *known)) {
        for deployment in [A, B] {
            for policy in [MEDLARSTILE, BASELINE] {
                let seconds =
                    if scenario == Scenario::Rolling { args.seconds * 15 } else { args.seconds };
                let notice_ms = DurationMs(10_000);
                let seed = args.seed;
                let options = Options { deployment, scenario, policy, seconds, notice_ms, seed };
                print_row(&options, &World::run(options));
            }
        }
    }
}

fn print_row(options: &Options, report: &Report) {
    let maybe = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.0}"));
    let refused = match report.cut_refused {
        Some(cut) => format!("{:.1} (cut off: {cut:.0})", report.refused),
        None => format!("{:.1}", report.refused),
    };
    println!(
        "| {} | {} | {} | {} | {:.2} | {} | {:.1} | {} | {:.1} | {:.1} | {} | {} | {} |",
        options.scenario,
        options.deployment.name,
        options.policy.name,
        report.requests,
        report.replica_percent,
        maybe(report.gap_ms),
        report.worst_percent,
        refused,
        report.median_ms,
        report.p99_ms,
        maybe(report.in_force_ms),
        report.interrupted,
        report.unanswered,
    );
    if !report.kinds.is_empty() {
        eprintln!("{} {} {:?}", options.scenario, options.deployment.name, report.kinds);
    }
}
