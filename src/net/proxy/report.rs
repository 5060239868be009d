//! Log lines and metrics of a host, both derived from the records and the state of the core.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

use derive_more::Display;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::feed::ReadOutcome;
use super::store::CallEnd;
use crate::core::buffers::Buffers;
use crate::core::proxy::statement_record::StatementRecord;
use crate::core::proxy::Proxy;
use crate::types::{DurationMs, EndpointId, StoreEra, Timestamp};

/// Upper bounds of the latency buckets in seconds, around the usual targets of 100 to 600 ms.
const LATENCY_BOUNDS_S: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 3.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatementLabels {
    moment: &'static str,
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MomentLabels {
    moment: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TableLabels {
    table: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReadLabels {
    table: &'static str,
    outcome: String,
}

/// Why a caller was disconnected for the sake of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Eviction {
    /// It held too much memory.
    Memory,
    /// There were too many connections.
    Connections,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvictionLabels {
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CrossingLabels {
    crossing: String,
}

/// Metrics of one host, and the log lines about statements.
pub struct Report {
    registry: Rc<Registry>,
    statements: Family<StatementLabels, Counter>,
    statement_seconds: Family<MomentLabels, Histogram, fn() -> Histogram>,
    wait_seconds: Family<MomentLabels, Histogram, fn() -> Histogram>,
    crossings: Family<CrossingLabels, Counter>,
    replica_reads: Counter,
    retries: Counter,
    connects: Counter,
    repeated_answers: Counter,
    unclear_answers: Counter,
    promotions: Counter,
    calls: Family<CallLabels, Counter>,
    reads: Family<ReadLabels, Counter>,
    reachable: Family<TableLabels, Gauge>,
    era: Gauge,
    configuration_age: Gauge<f64, AtomicU64>,
    sessions: Gauge,
    waiting: Gauge,
    leaderless_groups: Gauge,
    configuration_version: Gauge,
    ignored_entries: Gauge,
    unreadable_configurations: Counter,
    evictions: Family<EvictionLabels, Counter>,
    buffered_bytes: Gauge,
    rooms_given: Gauge,
    evacuated_domains: Gauge,
    cold_endpoints: Gauge,
    dropped_lines: Gauge,
    /// Whether the last rise of the dropped lines was logged.
    drops_logged: Cell<bool>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS_S)
}

impl Report {
    /// Creates a report with all metrics at zero.
    pub fn new() -> Self {
        let statement_seconds =
            Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let wait_seconds = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let mut report = Self {
            registry: Rc::default(),
            statements: Family::default(),
            statement_seconds,
            wait_seconds,
            crossings: Family::default(),
            replica_reads: Counter::default(),
            retries: Counter::default(),
            connects: Counter::default(),
            repeated_answers: Counter::default(),
            unclear_answers: Counter::default(),
            promotions: Counter::default(),
            calls: Family::default(),
            reads: Family::default(),
            reachable: Family::default(),
            era: Gauge::default(),
            configuration_age: Gauge::default(),
            sessions: Gauge::default(),
            waiting: Gauge::default(),
            leaderless_groups: Gauge::default(),
            configuration_version: Gauge::default(),
            ignored_entries: Gauge::default(),
            unreadable_configurations: Counter::default(),
            evictions: Family::default(),
            buffered_bytes: Gauge::default(),
            rooms_given: Gauge::default(),
            evacuated_domains: Gauge::default(),
            cold_endpoints: Gauge::default(),
            dropped_lines: Gauge::default(),
            drops_logged: Cell::new(true),
        };
        report.registry = Rc::new(report.build_registry());
        report
    }

    fn build_registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("medlarstile");
        registry.register(
            "statements",
            "Statements by where they stood and how they ended",
            self.statements.clone(),
        );
        registry.register(
            "statement_seconds",
            "Time until the answer",
            self.statement_seconds.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time until the statement was sent",
            self.wait_seconds.clone(),
        );
        registry.register(
            "replica_reads",
            "Statements answered by a replica",
            self.replica_reads.clone(),
        );
        registry.register(
            "crossings",
            "Statements by where they were sent relative to this host, and why",
            self.crossings.clone(),
        );
        registry.register(
            "returns",
            "Statements tried again after a promise of no run",
            self.retries.clone(),
        );
        registry.register("connects", "Connections opened to endpoints", self.connects.clone());
        registry.register(
            "repeated_answers",
            "Answers that endpoints sent again, which were dropped",
            self.repeated_answers.clone(),
        );
        registry.register(
            "unclear_answers",
            "Connections closed because an answer may have been sent again",
            self.unclear_answers.clone(),
        );
        registry.register("promotions", "Promotions ordered", self.promotions.clone());
        registry.register("calls", "Writes to the store and promotions", self.calls.clone());
        registry.register("store_reads", "Reads of a table of the store", self.reads.clone());
        registry.register(
            "configuration_age_seconds",
            "Time since the version in use was last known to be the latest",
            self.configuration_age.clone(),
        );
        registry.register(
            "store_era",
            "Era of the store, which rises when it is restored from an older copy",
            self.era.clone(),
        );
        registry.register(
            "store_reachable",
            "Whether a table of the store can be read",
            self.reachable.clone(),
        );
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register("waiting", "Statements that wait for an endpoint", self.waiting.clone());
        registry.register(
            "configuration_version",
            "Version in use",
            self.configuration_version.clone(),
        );
        registry.register(
            "configuration_ignored_entries",
            "Entries of the version in use that cannot be decoded",
            self.ignored_entries.clone(),
        );
        registry.register(
            "configuration_unreadable",
            "Times that a version of the configuration could not be decoded",
            self.unreadable_configurations.clone(),
        );

        registry.register(
            "caller_evictions",
            "Callers disconnected for the sake of others, by reason",
            self.evictions.clone(),
        );
        registry.register(
            "buffered_bytes",
            "Bytes that callers without room for a long message hold",
            self.buffered_bytes.clone(),
        );
        registry.register(
            "long_messages",
            "Callers that have room for a long message",
            self.rooms_given.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains that the operator has evacuated",
            self.evacuated_domains.clone(),
        );
        registry.register(
            "cold_endpoints",
            "Endpoints whose requests slow start bounds",
            self.cold_endpoints.clone(),
        );
        registry.register(
            "leaderless_groups",
            "Groups without a known primary",
            self.leaderless_groups.clone(),
        );
        let dropped = self.dropped_lines.clone();
        registry.register("dropped_log_lines", "Log lines that were not written", dropped);
        registry
    }

    /// Returns a function that encodes the text of the metrics page.
    pub fn page(&self) -> impl Fn() -> String {
        let registry = Rc::clone(&self.registry);
        move || {
            let mut text = String::new();
            if let Err(error) = encode(&mut text, &registry) {
                tracing::warn!(%error, "metrics: the page cannot be written");
            }
            text
        }
    }

    /// Records a statement that ended.
    pub fn on_ended(&self, record: &StatementRecord) {
        let moment = moment_label(record);
        let labels = StatementLabels { moment, outcome: record.outcome.to_string() };
        self.statements.get_or_create(&labels).inc();
        let labels = MomentLabels { moment };
        self.statement_seconds.get_or_create(&labels).observe(record.took_ms as f64 / 1_000.0);
        self.wait_seconds.get_or_create(&labels).observe(record.waited_ms as f64 / 1_000.0);
        self.retries.inc_by(record.retries.into());
        if let Some(crossing) = record.crossing {
            let labels = CrossingLabels { crossing: crossing.to_string() };
            self.crossings.get_or_create(&labels).inc();
        }
        if record.replica
            && record.outcome == crate::core::proxy::statement_record::Outcome::Answered
        {
            self.replica_reads.inc();
        }
        if record.is_notable() {
            log_statement(record, moment);
        }
    }

    /// Records that a connection to an endpoint is being opened.
    pub fn on_connect(&self) {
        self.connects.inc();
    }

    /// Records that an endpoint sent an answer again.
    pub fn on_repeated_answer(&self) {
        self.repeated_answers.inc();
    }

    /// Records that a connection was closed because an answer may have been sent again.
    pub fn on_unclear_answer(&self) {
        self.unclear_answers.inc();
    }

    /// Records that a caller was disconnected for the sake of others.
    pub fn on_eviction(&self, reason: Eviction) {
        let labels = EvictionLabels { reason: reason.to_string() };
        self.evictions.get_or_create(&labels).inc();
    }

    /// Updates the gauges of the memory that callers hold.
    pub fn on_buffers(&self, buffers: &Buffers) {
        let count = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.buffered_bytes.set(count(buffers.held().0));
        self.rooms_given.set(count(buffers.rooms_given() as u64));
    }

    /// Records that a promotion was ordered.
    pub fn on_promotion(&self) {
        self.promotions.inc();
    }

    /// Records the end of a call to the store or to the promotion service.
    pub fn on_call(&self, end: &CallEnd) {
        let labels = match end {
            CallEnd::Written(_, Some(crate::platform::store::WriteAnswer::Done(_))) => {
                CallLabels { call: "write", outcome: "done" }
            }
            CallEnd::Written(_, Some(_)) => CallLabels { call: "write", outcome: "refused" },
            CallEnd::Written(_, None) => CallLabels { call: "write", outcome: "no_answer" },
            CallEnd::Promoted(_, answer) => {
                use crate::core::proxy::failover::PromoteAnswer;
                let outcome = match answer {
                    PromoteAnswer::Accepted => "done",
                    PromoteAnswer::Refused | PromoteAnswer::Unavailable => "refused",
                    PromoteAnswer::Unknown => "no_answer",
                };
                CallLabels { call: "promote", outcome }
            }
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Records how a read of a table of the store ended.
    pub fn on_read(&self, table: &'static str, outcome: ReadOutcome) {
        self.reads.get_or_create(&ReadLabels { table, outcome: outcome.to_string() }).inc();
    }

    /// Records the era of the store.
    pub fn on_era(&self, era: StoreEra) {
        self.era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
    }

    /// Records how many entries of the version that comes into use cannot be decoded.
    pub fn on_ignored_entries(&self, entries: usize) {
        self.ignored_entries.set(i64::try_from(entries).unwrap_or(i64::MAX));
    }

    /// Counts a version of the configuration that cannot be decoded.
    pub fn on_unreadable_configuration(&self) {
        self.unreadable_configurations.inc();
    }

    /// Records the time since the version in use was last known to be the latest.
    pub fn on_configuration_age(&self, age_ms: DurationMs) {
        self.configuration_age.set(age_ms.0 as f64 / 1_000.0);
    }

    /// Records whether a table of the store can be read.
    pub fn on_reachable(&self, table: &'static str, reachable: bool) {
        self.reachable.get_or_create(&TableLabels { table }).set(reachable.into());
    }

    /// Updates the gauges from the state of the core; called on every tick.
    pub fn on_state(&self, now: Timestamp, core: &Proxy) {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.sessions.set(count(core.session_count()));
        self.waiting.set(count(core.groups().map(|(_, group)| group.waiting()).sum()));
        let leaderless = core.groups().filter(|(_, group)| group.leader.is_none()).count();
        self.leaderless_groups.set(count(leaderless));
        self.evacuated_domains.set(count(core.evacuations().domains().count()));
        self.cold_endpoints.set(count(core.cold_endpoints(now)));
        let dropped = i64::try_from(crate::logs::dropped_lines()).unwrap_or(i64::MAX);
        // Logged only once no more lines are dropped, so that this line is not dropped as well.
        let previous = self.dropped_lines.set(dropped);
        if dropped != previous {
            self.drops_logged.set(false);
        } else if !self.drops_logged.replace(true) {
            tracing::warn!(dropped, "log: lines were dropped since the start");
        }
        let version = core.catalog().map_or(0, |catalog| catalog.version.0);
        self.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}

impl Default for Report {
    fn default() -> Self {
        Self::new()
    }
}

fn moment_label(record: &StatementRecord) -> &'static str {
    use crate::core::proxy::StatementKind;
    match record.statement_kind {
        Some(StatementKind::SingleRead) => "single_read",
        Some(StatementKind::SingleWrite) => "single_write",
        Some(StatementKind::InTransaction) => "in_transaction",
        Some(StatementKind::Commit) => "commit",
        None => "not_admitted",
    }
}

fn log_statement(record: &StatementRecord, moment: &str) {
    tracing::info!(
        request = record.request.as_str(),
        session = record.session.0,
        account = record.account.as_ref().map(crate::types::AccountId::as_str),
        group = record.group.as_ref().map(crate::types::GroupId::as_str),
        endpoint = record.endpoint.as_ref().map(EndpointId::as_str),
        leader = record.leader.as_ref().map(EndpointId::as_str),
        term = record.term.map(|term| term.0),
        sample_age_ms = record.sample_age_ms,
        waiting = record.waiting,
        version = record.version.map(|version| version.0),
        tokens_milli = record.tokens.map(|(level, _)| level.0),
        rate_part_milli = record.tokens.map(|(_, rate)| rate.0),
        moment,
        priority = record.priority.map(|priority| priority.0),
        crossing = record.crossing.map(tracing::field::display),
        replica = record.replica,
        returns = record.retries,
        waited_ms = record.waited_ms,
        took_ms = record.took_ms,
        target_ms = record.target_ms,
        outcome = %record.outcome,
        ran = record.ran(),
        detail = record.detail.as_str(),
        "request: ended"
    );
}
