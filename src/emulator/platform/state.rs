//! State of the emulator: rows, objects, host list, faults and counters. It does no I/O.

use std::collections::BTreeMap;

use compact_str::CompactString;
use medlarstile::core::store::{Answer, Call, Commit, ListedHost};
use medlarstile::types::{DurationMs, ObjectName, TableName};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use super::control::{new_loss_rng, ControlBody, Counters, FailureMode, Faults, ReportBody};
use super::hostlist::{HostList, ListNumber};
use super::store::{has_duplicate_writes, Store};

/// Seed of the selection of lost responses until `/control` sets another one.
const DEFAULT_LOSS_SEED: u64 = 1;

/// A reply to a client.
#[derive(Debug)]
pub enum Reply {
    /// Result of a call to the platform.
    Answer(Answer<Value>),
    /// HTTP status code and error message.
    Error(u16, CompactString),
    /// Result of a `/control` request.
    Report(Box<ReportBody>),
}

/// Whether and when a reply is sent.
#[derive(Debug)]
pub enum Delivery {
    /// The reply is sent after the delay.
    Send(Reply, DurationMs),
    /// No reply is sent.
    NoReply,
}

/// A newly derived host list that is to be published after the lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListUpdate {
    /// Sequence number of the list.
    pub number: ListNumber,
    /// Time until the list is published.
    pub lag: DurationMs,
}

/// State of the emulated platform.
#[derive(Debug)]
pub struct State {
    store: Store,
    objects: BTreeMap<ObjectName, Vec<u8>>,
    host_list: HostList,
    host_list_outdated: bool,
    faults: Faults,
    loss_rng: ChaCha8Rng,
    clients: BTreeMap<CompactString, Counters>,
    hosts_table: TableName,
}

impl State {
    /// Creates an empty platform without faults.
    pub fn new() -> Self {
        Self {
            store: Store::default(),
            objects: BTreeMap::new(),
            host_list: HostList::new(),
            host_list_outdated: false,
            faults: Faults::default(),
            loss_rng: new_loss_rng(DEFAULT_LOSS_SEED),
            clients: BTreeMap::new(),
            hosts_table: "hosts".parse().expect("`hosts` is a valid table name"),
        }
    }

    /// Whether calls are to be queued instead of executed.
    pub fn frozen(&self) -> bool {
        self.faults.frozen
    }

    /// Executes a call, subject to the injected faults, and updates the counters of the client.
    pub fn on_call(&mut self, client: &str, call: Call<Value>, body_bytes: u64) -> Delivery {
        let mode = self.faults.failure_mode;
        let counters = self.clients.entry(client.into()).or_default();
        if self.faults.refuses(client) {
            counters.refused += 1;
            return failed_delivery(mode, 503, "platform is unavailable");
        }
        counters.body_bytes_in += body_bytes;
        let is_write = matches!(call, Call::Transact(_) | Call::PutObject { .. });
        let reply = self.execute(call);
        let lost = self.faults.loses_response(is_write, &mut self.loss_rng);
        let counters = self.clients.entry(client.into()).or_default();
        match &reply {
            Reply::Answer(Answer::Commit(Commit::Conflicts(_))) => counters.conflicts += 1,
            Reply::Answer(_) if is_write => counters.writes += 1,
            _ => counters.reads += 1,
        }
        if lost {
            counters.lost += 1;
            return failed_delivery(mode, 504, "answer was lost");
        }
        Delivery::Send(reply, self.faults.slow_ms)
    }

    /// Applies a `/control` request and reports the resulting faults and counters.
    pub fn on_control(&mut self, body: ControlBody) -> Reply {
        self.faults.apply(&body);
        if let Some(seed) = body.lose_seed {
            self.loss_rng = new_loss_rng(seed);
        }
        if body.list_lag_ms == Some(DurationMs(0)) {
            self.host_list.publish_newest();
        }
        if let Some(hosts) = body.hosts {
            self.host_list.set_fixed(Some(hosts.into_iter().map(ListedHost::from).collect()));
        }
        if body.derive_hosts {
            self.host_list.set_fixed(None);
        }
        if body.reset_counters {
            self.clients.clear();
        }
        self.report()
    }

    /// Reports the faults, the counters and the latest commit.
    pub fn report(&self) -> Reply {
        let mut total = Counters::default();
        self.clients.values().for_each(|counters| total.add(counters));
        Reply::Report(Box::new(ReportBody {
            commit_seq: self.store.latest(),
            faults: self.faults.clone(),
            clients: self.clients.clone(),
            total,
        }))
    }

    /// Derives the host list if its rows were written since the last call.
    ///
    /// Without a lag, publishes a changed list immediately; otherwise returns when to publish it.
    pub fn derive_host_list(&mut self) -> Option<ListUpdate> {
        if !std::mem::take(&mut self.host_list_outdated) {
            return None;
        }
        let number = self.host_list.derive(&self.store.read(&self.hosts_table, None, 0))?;
        let lag = self.faults.list_lag_ms;
        if lag == DurationMs(0) {
            self.host_list.publish(number);
            return None;
        }
        Some(ListUpdate { number, lag })
    }

    /// Publishes the host list whose lag has passed.
    pub fn on_list_due(&mut self, number: ListNumber) {
        self.host_list.publish(number);
    }

    fn execute(&mut self, call: Call<Value>) -> Reply {
        let answer = match call {
            Call::Read { table, prefix } => {
                Answer::Rows(self.store.read(&table, prefix.as_ref(), self.faults.stale_commits))
            }
            Call::Transact(transaction) if has_duplicate_writes(&transaction) => {
                return Reply::Error(400, "a transaction may write a row only once".into());
            }
            Call::Transact(transaction) => {
                let mut writes = transaction.writes.iter();
                self.host_list_outdated |= writes.any(|write| write.table == self.hosts_table);
                Answer::Commit(self.store.transact(transaction))
            }
            Call::PutObject { name, content } => {
                self.objects.insert(name, content);
                Answer::Stored
            }
            Call::GetObject { name } => Answer::Object(self.objects.get(&name).cloned()),
            Call::ListObjects { prefix } => {
                let name_prefix = prefix.as_ref().map_or("", ObjectName::as_str);
                let names =
                    self.objects.keys().filter(|name| name.as_str().starts_with(name_prefix));
                Answer::Names(names.cloned().collect())
            }
            Call::ListHosts => Answer::Hosts(self.host_list.published()),
        };
        Reply::Answer(answer)
    }
}

fn failed_delivery(mode: FailureMode, status: u16, message: &str) -> Delivery {
    match mode {
        FailureMode::Status => Delivery::Send(Reply::Error(status, message.into()), DurationMs(0)),
        FailureMode::Silent => Delivery::NoReply,
    }
}
