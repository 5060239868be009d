//! Measurements of a load run and the report made from them.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Upper bound of the latency histogram, in microseconds; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies and errors recorded during a run.
pub struct Samples {
    latencies_us: Histogram<u64>,
    errors: BTreeMap<CompactString, u64>,
}

impl Default for Samples {
    fn default() -> Self {
        let latencies_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid for a histogram");
        Self { latencies_us, errors: BTreeMap::new() }
    }
}

impl Samples {
    /// Records a statement: its latency if it succeeded, otherwise only its SQLSTATE.
    pub fn add(&mut self, latency: Duration, error: Option<CompactString>) {
        match error {
            Some(sqlstate) => self.add_error(sqlstate),
            None => {
                let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.latencies_us.saturating_record(us.max(1));
            }
        }
    }

    /// Records a failed statement or a lost connection.
    pub fn add_error(&mut self, sqlstate: CompactString) {
        *self.errors.entry(sqlstate).or_default() += 1;
    }

    /// Summarizes a run that lasted `elapsed`, with `connections` that sent statements.
    pub fn report(&self, connections: usize, elapsed: Duration) -> Report {
        let statements = self.latencies_us.len();
        Report {
            connections,
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            statements,
            statements_per_s: statements as f64 / elapsed.as_secs_f64().max(0.001),
            median_us: self.latencies_us.value_at_quantile(0.5),
            p99_us: self.latencies_us.value_at_quantile(0.99),
            max_us: self.latencies_us.max(),
            errors: self.errors.clone(),
        }
    }
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Connections that sent statements.
    pub connections: usize,
    /// Duration of the run, in milliseconds.
    pub elapsed_ms: u64,
    /// Number of statements that succeeded.
    pub statements: u64,
    /// Statements that succeeded per second.
    pub statements_per_s: f64,
    /// Median latency of the statements that succeeded, in microseconds.
    pub median_us: u64,
    /// 99th percentile of these latencies, in microseconds.
    pub p99_us: u64,
    /// Longest of these latencies, in microseconds.
    pub max_us: u64,
    /// Number of failed statements and lost connections by SQLSTATE; connections that were lost
    /// without one count under `lost`.
    pub errors: BTreeMap<CompactString, u64>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "connections       {}", self.connections)?;
        writeln!(f, "elapsed           {} ms", self.elapsed_ms)?;
        writeln!(f, "statements        {}", self.statements)?;
        writeln!(f, "statements per s  {:.1}", self.statements_per_s)?;
        writeln!(f, "latency median    {} us", self.median_us)?;
        writeln!(f, "latency p99       {} us", self.p99_us)?;
        writeln!(f, "latency max       {} us", self.max_us)?;
        writeln!(f, "errors            {}", self.errors.values().sum::<u64>())?;
        for (sqlstate, count) in &self.errors {
            writeln!(f, "error {sqlstate:<11} {count}")?;
        }
        Ok(())
    }
}
