//! Command-line flags and subcommands for operators.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::FalseyValueParser;
use clap::{Args, Subcommand, ValueEnum};

use crate::net::platform::PlatformSettings;
use crate::types::{AccountId, DurationMs, EditorName, HostId, KeyId};

/// Client name that operator commands send to the platform.
const CLIENT_NAME: &str = "operator";

/// Output format of a command on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Human-readable lines.
    Text,
    /// One JSON object.
    Json,
}

/// Flag that selects the output format.
#[derive(Debug, Clone, Copy, Args)]
pub struct FormatArgs {
    /// Output format on standard output: human-readable lines or one JSON object.
    #[arg(long, env = "MEDLARSTILE_FORMAT", value_enum, default_value_t = Format::Text)]
    pub format: Format,
}

/// Connection to the platform that holds the fleet's tables.
#[derive(Debug, Clone, Args)]
pub struct FleetArgs {
    /// IP address and port of the platform's service, which holds the fleet's tables.
    #[arg(long, env = "MEDLARSTILE_PLATFORM")]
    pub platform: SocketAddr,
    /// Output format.
    #[command(flatten)]
    pub output: FormatArgs,
}

impl FleetArgs {
    /// Returns the settings for calls to the platform.
    pub fn settings(&self) -> PlatformSettings {
        let client = CLIENT_NAME.parse().expect("the name is a valid host id");
        PlatformSettings::new(self.platform, client)
    }
}

/// Flags shared by all commands that edit the tables.
#[derive(Debug, Clone, Args)]
pub struct EditArgs {
    /// Connection to the platform that holds the fleet's tables.
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Name of the person or program that makes the edit; stored with the new version.
    #[arg(long, env = "MEDLARSTILE_EDITOR")]
    pub editor: EditorName,
    /// Make the edit without asking for confirmation.
    #[arg(long, env = "MEDLARSTILE_YES", value_parser = FalseyValueParser::new())]
    pub yes: bool,
    /// Return as soon as the edit is accepted, without waiting until every host uses it.
    #[arg(long, env = "MEDLARSTILE_NO_WAIT", value_parser = FalseyValueParser::new())]
    pub no_wait: bool,
    /// Longest wait until every host uses the edit, in milliseconds. A host that does not answer
    /// delays this by about 4000 ms.
    #[arg(long, env = "MEDLARSTILE_WAIT_MS", default_value = "15000")]
    pub wait_ms: u64,
}

impl EditArgs {
    /// Returns the longest wait until the edit is in force, `None` with `--no-wait`.
    pub fn wait(&self) -> Option<DurationMs> {
        (!self.no_wait).then_some(DurationMs(self.wait_ms))
    }
}

/// Commands that check, print and edit the routes and pools tables.
#[derive(Debug, Subcommand)]
pub enum TablesCommand {
    /// Checks a file and lists all its errors and warnings, without contacting the platform.
    Check {
        /// TOML file with the routes and pools tables; docs/tables.md describes it.
        file: PathBuf,
        /// Output format.
        #[command(flatten)]
        output: FormatArgs,
    },
    /// Prints the currently accepted tables as a TOML file that can be edited.
    Show(FleetArgs),
    /// Prints what a file would change in the currently accepted tables.
    Diff {
        /// TOML file with the routes and pools tables.
        file: PathBuf,
        /// Connection to the platform that holds the fleet's tables.
        #[command(flatten)]
        fleet: FleetArgs,
    },
    /// Replaces the tables with those of a file and waits until every host uses them.
    ///
    /// The file is checked as a whole and rejected if it has any error. If another edit is
    /// accepted first, nothing is written and the command prints what that edit changed.
    Edit {
        /// TOML file with the routes and pools tables.
        file: PathBuf,
        /// Flags of the edit.
        #[command(flatten)]
        edit: EditArgs,
    },
}

/// Commands that issue and withdraw keys of client accounts.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Adds a key to a client account and prints the key on standard output, this once only.
    Issue {
        /// Client account to add the key to.
        #[arg(long, env = "MEDLARSTILE_ACCOUNT")]
        account: AccountId,
        /// Name of the key for operators, such as `spring`; part of the key id.
        #[arg(long, env = "MEDLARSTILE_LABEL")]
        label: String,
        /// Flags of the edit.
        #[command(flatten)]
        edit: EditArgs,
    },
    /// Withdraws a key of a client account, also for connections that are already open.
    Withdraw {
        /// Client account to remove the key from.
        #[arg(long, env = "MEDLARSTILE_ACCOUNT")]
        account: AccountId,
        /// Id of the key as listed in the tables, such as `spring.3fa9c1d2`; never the key itself.
        #[arg(long, env = "MEDLARSTILE_KEY")]
        key: KeyId,
        /// Flags of the edit.
        #[command(flatten)]
        edit: EditArgs,
    },
}

/// Flags of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Connection to the platform that holds the fleet's tables.
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Time between the two reads that show whether hosts renew their rows, in milliseconds.
    /// Hosts renew their rows every 1000 ms.
    #[arg(long, env = "MEDLARSTILE_WATCH_MS", default_value = "2500")]
    pub watch_ms: u64,
}

/// Commands that manage the hosts of the fleet.
#[derive(Debug, Subcommand)]
pub enum HostsCommand {
    /// Removes the row of a host whose process has certainly ended.
    ///
    /// Edits then no longer wait for the host. A host that still runs could serve requests with
    /// withdrawn keys, so the command does not remove a row that is still being renewed.
    Forget {
        /// Name of the host.
        host: HostId,
        /// Connection to the platform that holds the fleet's tables.
        #[command(flatten)]
        fleet: FleetArgs,
        /// Remove the row without asking for confirmation.
        #[arg(long, env = "MEDLARSTILE_YES", value_parser = FalseyValueParser::new())]
        yes: bool,
    },
}

/// Commands that process the state charts.
#[derive(Debug, Subcommand)]
pub enum ChartsCommand {
    /// Writes a Mermaid drawing of every state chart.
    Draw {
        /// Directory for the drawings; created if necessary.
        #[arg(long, env = "MEDLARSTILE_OUT")]
        out: PathBuf,
    },
}
