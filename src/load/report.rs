//! What a load run has measured.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// Counts while a run lasts.
pub struct Samples {
    latencies_us: Histogram<u64>,
    errors: BTreeMap<CompactString, u64>,
}

impl Default for Samples {
    fn default() -> Self {
        let latencies_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)
            .expect("the bounds are valid for a histogram");
        Self { latencies_us, errors: BTreeMap::new() }
    }
}

impl Samples {
    /// Counts a statement.
    pub fn add(&mut self, latency: Duration, error: Option<CompactString>) {
        match error {
            Some(sqlstate) => self.add_error(sqlstate),
            None => {
                let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.latencies_us.saturating_record(us.max(1));
            }
        }
    }

    /// Counts an error.
    pub fn add_error(&mut self, sqlstate: CompactString) {
        *self.errors.entry(sqlstate).or_default() += 1;
    }

    /// Summary of a run that lasted `elapsed`.
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
    /// Length of the run.
    pub elapsed_ms: u64,
    /// Statements that succeeded.
    pub statements: u64,
    /// Statements that succeeded, by second.
    pub statements_per_s: f64,
    /// Median latency of the statements that succeeded.
    pub median_us: u64,
    /// Latency that 99% of them did not exceed.
    pub p99_us: u64,
    /// Longest latency.
    pub max_us: u64,
    /// Failed statements and lost connections by SQLSTATE; `lost` without one.
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
