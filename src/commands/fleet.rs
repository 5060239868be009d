//! `medlarstile status` and `medlarstile hosts forget`: show the state of the fleet and remove the
//! row of a host that is gone.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::{json, Value};

use super::args::{Format, HostsCommand, StatusArgs};
use super::terminal::{confirm, print_stderr, print_stdout};
use crate::core::promotion::GroupRecord;
use crate::core::rows::HostRow;
use crate::core::share::SeenRow;
use crate::core::store::{Answer, Call, Commit, Row, Rows, Transaction};
use crate::error::{Error, ErrorKind};
use crate::net::edit::{current_config, CONFIG, HOSTS};
use crate::net::platform::PlatformSettings;
use crate::net::tool::{read_rows, run, table_name, unavailable, Step};
use crate::types::{DurationMs, HostId, RowVersion, ShareSlot, TableVersion};
use crate::wire::rows::RowFault;

/// Time for which a row must stay unchanged before it may be removed; longer than two renewal
/// intervals.
const FORGET_WATCH: DurationMs = DurationMs(2_500);

/// Key of the unassigned share slots in [`FleetStatus::shares`].
const FREE_SLOTS: &str = "(free)";

/// State of the fleet that `status` reports.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetStatus {
    /// Version of the accepted tables, `None` if there are none.
    pub version: Option<TableVersion>,
    /// Rows of the hosts, and whether each was renewed between the two reads.
    pub hosts: Vec<(HostRow, bool)>,
    /// Share slots by the name of the host that holds them.
    pub shares: BTreeMap<String, Vec<ShareSlot>>,
    /// Group records by row key.
    pub groups: Vec<(String, GroupRecord)>,
    /// Errors of rows that could not be decoded.
    pub faults: Vec<RowFault>,
}

/// Reads the fleet's rows from the platform and prints its state.
///
/// # Errors
///
/// Returns an error if the platform does not answer.
pub fn status(args: &StatusArgs) -> Result<(), Error> {
    let steps = vec![
        Step::read(HOSTS),
        Step::read(HOSTS).after(DurationMs(args.watch_ms)),
        Step::read("shares"),
        Step::read("groups"),
        Step::read(CONFIG),
    ];
    let read = read_rows(args.fleet.settings(), steps)?;
    let [before, hosts, shares, groups, config] = read.as_slice() else {
        return Err(Error::new(ErrorKind::Internal, "the platform returned too few results"));
    };
    let version = current_config(config)?.map(|(_, config)| config.tables.version);
    let status = FleetStatus::new(version, before, hosts, shares, groups);
    match args.fleet.output.format {
        Format::Text => print_stdout(&status.to_text()),
        Format::Json => print_stdout(&format!("{}\n", status.to_json())),
    }
}

impl FleetStatus {
    /// Builds the report from two reads of `hosts/*` and one each of `shares/*` and `groups/*`.
    pub fn new(
        version: Option<TableVersion>,
        before: &Rows<Value>,
        hosts: &Rows<Value>,
        shares: &Rows<Value>,
        groups: &Rows<Value>,
    ) -> Self {
        let mut faults = Vec::new();
        let rows: Vec<(HostRow, bool)> = decode(&hosts.rows, &mut faults)
            .into_iter()
            .map(|(row, host): (&Row<Value>, HostRow)| (host, is_renewed(before, row)))
            .collect();
        let mut by_holder: BTreeMap<String, Vec<ShareSlot>> = BTreeMap::new();
        for (_, share) in decode::<SeenRow>(&shares.rows, &mut faults) {
            let holder =
                share.row.holder.map_or(FREE_SLOTS.to_owned(), |holder| holder.host.to_string());
            by_holder.entry(holder).or_default().push(share.slot);
        }
        let groups = decode::<GroupRecord>(&groups.rows, &mut faults)
            .into_iter()
            .map(|(row, record)| (row.key.to_string(), record))
            .collect();
        Self { version, hosts: rows, shares: by_holder, groups, faults }
    }

    /// Formats the report for a terminal.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let version = self.version.map_or("none".to_owned(), |version| version.to_string());
        let _ = writeln!(text, "tables: version {version}\n\nhosts:");
        for (host, renews) in &self.hosts {
            let confirmed = host.confirmed.map_or("none".to_owned(), |version| version.to_string());
            let renews = if *renews { "renews" } else { "DOES NOT RENEW" };
            let (name, domain, state) = (&host.host, &host.failure_domain, host.state);
            let _ = writeln!(
                text,
                "  {name}  domain={domain}  state={state}  version={confirmed}  renewals={}  {renews}",
                host.renewals
            );
        }
        let _ = writeln!(text, "\nshare slots:");
        for (holder, slots) in &self.shares {
            let numbers: Vec<String> = slots.iter().map(ToString::to_string).collect();
            let _ = writeln!(text, "  {holder}  {}: {}", slots.len(), numbers.join(" "));
        }
        let _ = writeln!(text, "\ngroups:");
        for (group, record) in &self.groups {
            let primary = record.primary.as_ref().map_or("none".to_owned(), ToString::to_string);
            let (term, start, phase) = (record.term, record.start, record.phase);
            let _ = writeln!(
                text,
                "  {group}  term={term}  primary={primary}  start={start}  phase={phase}"
            );
        }
        for fault in &self.faults {
            let _ = writeln!(text, "\n{fault}");
        }
        text
    }

    /// Formats the report as a JSON object.
    pub fn to_json(&self) -> Value {
        let hosts = self.hosts.iter().map(|(host, renews)| {
            json!({
                "host": host.host.as_str(),
                "failure_domain": host.failure_domain.as_str(),
                "state": host.state.to_string(),
                "confirmed_version": host.confirmed.map(|version| version.0),
                "renewals": host.renewals.0,
                "renews": renews,
            })
        });
        let shares = self.shares.iter().map(|(holder, slots)| {
            let holder = (holder != FREE_SLOTS).then_some(holder);
            json!({ "holder": holder, "slots": slots.iter().map(|slot| slot.0).collect::<Vec<_>>() })
        });
        let groups = self.groups.iter().map(|(group, record)| {
            json!({
                "group": group,
                "term": record.term.0,
                "primary": record.primary.as_ref().map(ToString::to_string),
                "start": record.start.to_string(),
                "phase": record.phase.to_string(),
            })
        });
        json!({
            "version": self.version.map(|version| version.0),
            "hosts": hosts.collect::<Vec<_>>(),
            "shares": shares.collect::<Vec<_>>(),
            "groups": groups.collect::<Vec<_>>(),
            "faults": self.faults.iter().map(ToString::to_string).collect::<Vec<_>>(),
        })
    }
}

fn decode<'a, T: TryFrom<&'a Row<Value>, Error = RowFault>>(
    rows: &'a [Row<Value>],
    faults: &mut Vec<RowFault>,
) -> Vec<(&'a Row<Value>, T)> {
    let mut decoded = Vec::new();
    for row in rows {
        match T::try_from(row) {
            Ok(value) => decoded.push((row, value)),
            Err(fault) => faults.push(fault),
        }
    }
    decoded
}

/// Returns whether `row` was renewed since `before` was read: each renewal writes the row and so
/// raises its version.
fn is_renewed(before: &Rows<Value>, row: &Row<Value>) -> bool {
    let earlier = before.rows.iter().find(|earlier| earlier.key == row.key);
    earlier.is_none_or(|earlier| earlier.version < row.version)
}

/// Runs a `hosts` subcommand.
///
/// # Errors
///
/// Returns an error if the host has no row or still renews it, if the operator does not confirm, or
/// if the platform does not answer.
pub fn run_hosts(command: &HostsCommand) -> Result<(), Error> {
    let HostsCommand::Forget { host, fleet, yes } = command;
    print_stderr(&format!("checking for {FORGET_WATCH} whether {host} still renews its row\n"));
    let version = unrenewed_version(fleet.settings(), host)?;
    print_stderr(&forget_warning(host));
    confirm(&format!("Has the process of {host} certainly ended?"), *yes)?;
    remove_row(fleet.settings(), host, version)?;
    match fleet.output.format {
        Format::Text => print_stdout(&format!("removed the row of {host}\n")),
        Format::Json => print_stdout(&format!("{}\n", json!({ "removed": host.as_str() }))),
    }
}

fn forget_warning(host: &HostId) -> String {
    format!(
        "Edits of the tables no longer wait for {host} once its row is removed. If its process \
         still runs,\npaused or disconnected, it may serve requests with withdrawn keys and old \
         routes after an edit was\nreported as in force. Its share slots stay unused until \
         their leases expire.\n"
    )
}

/// Returns the version of the host's row if the host does not renew it for [`FORGET_WATCH`].
fn unrenewed_version(settings: PlatformSettings, host: &HostId) -> Result<RowVersion, Error> {
    let steps = vec![Step::read(HOSTS), Step::read(HOSTS).after(FORGET_WATCH)];
    let read = read_rows(settings, steps)?;
    let mut versions = read.iter().map(|rows| {
        let row = rows.rows.iter().find(|row| row.key.as_str() == host.as_str());
        row.map(|row| row.version)
    });
    let (first, last) = (versions.next().flatten(), versions.next().flatten());
    let host_error = |detail: String| Err(Error::new(ErrorKind::BadSetting, detail));
    match (first, last) {
        (Some(first), Some(last)) if first == last => Ok(last),
        (_, None) => host_error(format!("HOST is {host}: no host of this name has a row")),
        _ => host_error(format!(
            "HOST is {host}: the host still renews its row, so its process is running"
        )),
    }
}

fn remove_row(settings: PlatformSettings, host: &HostId, version: RowVersion) -> Result<(), Error> {
    let key = host.as_str().parse().expect("host ids are row keys");
    let swap = Transaction::swap(table_name(HOSTS), key, version, None);
    let results = run(settings, vec![Step::now(Call::Transact(swap))])?;
    match results.into_iter().next() {
        Some(Ok(Answer::Commit(Commit::Committed(_)))) => Ok(()),
        Some(Ok(Answer::Commit(Commit::Conflicts(_)))) => {
            let detail =
                format!("HOST is {host}: the host has renewed its row, so its process is running");
            Err(Error::new(ErrorKind::BadSetting, detail))
        }
        Some(Err(error)) => Err(unavailable(&error)),
        other => Err(Error::new(
            ErrorKind::Internal,
            format!("unexpected result of the transaction: {other:?}"),
        )),
    }
}
