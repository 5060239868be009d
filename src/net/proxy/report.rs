//! Log lines and metrics of a host, both derived from the records and the state of the core.

use std::cell::Cell;
use std::rc::Rc;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::store::CallEnd;
use crate::core::proxy::statement_record::StatementRecord;
use crate::core::proxy::Proxy;
use crate::types::EndpointId;

/// Upper bounds of the latency buckets in seconds, chosen around latency targets of 100 to 600 ms.
const LATENCY_BOUNDS_S: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 3.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
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

/// Metrics of one host, and the log lines about statements.
pub struct Report {
    registry: Rc<Registry>,
    ended: Family<EndLabels, Counter>,
    took: Family<MomentLabels, Histogram, fn() -> Histogram>,
    waited: Family<MomentLabels, Histogram, fn() -> Histogram>,
    replica_reads: Counter,
    returns: Counter,
    connects: Counter,
    promotions: Counter,
    calls: Family<CallLabels, Counter>,
    reachable: Family<TableLabels, Gauge>,
    sessions: Gauge,
    waiting: Gauge,
    leaderless: Gauge,
    version: Gauge,
    dropped_lines: Gauge,
    loss_told: Cell<bool>,
}

fn latency() -> Histogram {
    Histogram::new(LATENCY_BOUNDS_S)
}

impl Report {
    /// Creates a report with all metrics at zero.
    pub fn new() -> Self {
        let took = Family::new_with_constructor(latency as fn() -> Histogram);
        let waited = Family::new_with_constructor(latency as fn() -> Histogram);
        let mut report = Self {
            registry: Rc::default(),
            ended: Family::default(),
            took,
            waited,
            replica_reads: Counter::default(),
            returns: Counter::default(),
            connects: Counter::default(),
            promotions: Counter::default(),
            calls: Family::default(),
            reachable: Family::default(),
            sessions: Gauge::default(),
            waiting: Gauge::default(),
            leaderless: Gauge::default(),
            version: Gauge::default(),
            dropped_lines: Gauge::default(),
            loss_told: Cell::new(true),
        };
        report.registry = Rc::new(report.registered());
        report
    }

    fn registered(&self) -> Registry {
        let mut all = Registry::with_prefix("medlarstile");
        all.register(
            "statements",
            "Statements by where they stood and how they ended",
            self.ended.clone(),
        );
        all.register("statement_seconds", "Time until the answer", self.took.clone());
        all.register("wait_seconds", "Time until the statement was sent", self.waited.clone());
        all.register(
            "replica_reads",
            "Statements answered by a replica",
            self.replica_reads.clone(),
        );
        all.register(
            "returns",
            "Statements tried again after a promise of no run",
            self.returns.clone(),
        );
        all.register("connects", "Connections opened to endpoints", self.connects.clone());
        all.register("promotions", "Promotions ordered", self.promotions.clone());
        all.register("calls", "Writes to the store and promotions", self.calls.clone());
        all.register(
            "store_reachable",
            "Whether a table of the store can be read",
            self.reachable.clone(),
        );
        all.register("sessions", "Open sessions", self.sessions.clone());
        all.register("waiting", "Statements that wait for an endpoint", self.waiting.clone());
        all.register("configuration_version", "Version in use", self.version.clone());

        all.register(
            "leaderless_groups",
            "Groups without a known primary",
            self.leaderless.clone(),
        );
        let dropped = self.dropped_lines.clone();
        all.register("dropped_log_lines", "Log lines that were not written", dropped);
        all
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
    pub fn on_ended(&self, ended: &StatementRecord) {
        let moment = moment(ended);
        let labels = EndLabels { moment, outcome: ended.outcome.to_string() };
        self.ended.get_or_create(&labels).inc();
        let labels = MomentLabels { moment };
        self.took.get_or_create(&labels).observe(ended.took_ms as f64 / 1_000.0);
        self.waited.get_or_create(&labels).observe(ended.waited_ms as f64 / 1_000.0);
        self.returns.inc_by(ended.retries.into());
        if ended.replica && ended.outcome == crate::core::proxy::statement_record::Outcome::Answered
        {
            self.replica_reads.inc();
        }
        if ended.is_notable() {
            log_end(ended, moment);
        }
    }

    /// Records that a connection to an endpoint is being opened.
    pub fn on_connect(&self) {
        self.connects.inc();
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

    /// Records whether a table of the store can be read.
    pub fn on_reachable(&self, table: &'static str, reachable: bool) {
        self.reachable.get_or_create(&TableLabels { table }).set(reachable.into());
    }

    /// Updates the gauges from the state of the core; called on every tick.
    pub fn on_state(&self, core: &Proxy) {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.sessions.set(count(core.session_count()));
        self.waiting.set(count(core.groups().map(|(_, group)| group.waiting()).sum()));
        let none = core.groups().filter(|(_, group)| group.leader.is_none()).count();
        self.leaderless.set(count(none));
        let dropped = i64::try_from(crate::logs::dropped_lines()).unwrap_or(i64::MAX);
        // Logged only once no more lines are dropped, so that this line is not dropped as well.
        let before = self.dropped_lines.set(dropped);
        if dropped != before {
            self.loss_told.set(false);
        } else if !self.loss_told.replace(true) {
            tracing::warn!(dropped, "log: lines were dropped since the start");
        }
        let version = core.catalog().map_or(0, |catalog| catalog.version.0);
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}

impl Default for Report {
    fn default() -> Self {
        Self::new()
    }
}

fn moment(ended: &StatementRecord) -> &'static str {
    use crate::core::proxy::StatementKind;
    match ended.statement_kind {
        Some(StatementKind::SingleRead) => "single_read",
        Some(StatementKind::SingleWrite) => "single_write",
        Some(StatementKind::InTransaction) => "in_transaction",
        Some(StatementKind::Commit) => "commit",
        None => "not_admitted",
    }
}

fn log_end(ended: &StatementRecord, moment: &str) {
    tracing::info!(
        request = ended.request.as_str(),
        session = ended.session.0,
        account = ended.account.as_ref().map(crate::types::AccountId::as_str),
        group = ended.group.as_ref().map(crate::types::GroupId::as_str),
        endpoint = ended.endpoint.as_ref().map(EndpointId::as_str),
        leader = ended.leader.as_ref().map(EndpointId::as_str),
        term = ended.term.map(|term| term.0),
        sample_age_ms = ended.sample_age_ms,
        waiting = ended.waiting,
        version = ended.version.map(|version| version.0),
        tokens_milli = ended.tokens.map(|(level, _)| level.0),
        rate_part_milli = ended.tokens.map(|(_, rate)| rate.0),
        moment,
        replica = ended.replica,
        returns = ended.retries,
        waited_ms = ended.waited_ms,
        took_ms = ended.took_ms,
        target_ms = ended.target_ms,
        outcome = %ended.outcome,
        ran = ended.ran(),
        detail = ended.detail.as_str(),
        "request: ended"
    );
}
