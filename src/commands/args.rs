//! Flags of the operators' commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::FalseyValueParser;
use clap::{Args, Subcommand, ValueEnum};

use crate::net::platform::PlatformSettings;
use crate::types::{AccountId, DurationMs, EditorName, HostId, KeyId};

/// Name under which commands call the platform.
const CLIENT: &str = "operator";

/// Form of what a command prints on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object for programs.
    Json,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, Args)]
pub struct FormatArgs {
    /// Form of the result on standard output: lines for people or one JSON object for programs.
    #[arg(long, env = "MEDLARSTILE_FORMAT", value_enum, default_value_t = Format::Text)]
    pub format: Format,
}

/// Where the fleet's tables are.
#[derive(Debug, Clone, Args)]
pub struct FleetArgs {
    /// IP address and port of the platform's service, which holds the fleet's tables.
    #[arg(long, env = "MEDLARSTILE_PLATFORM")]
    pub platform: SocketAddr,
    /// Form of the output.
    #[command(flatten)]
    pub output: FormatArgs,
}

impl FleetArgs {
    /// Settings for calls to the platform.
    pub fn settings(&self) -> PlatformSettings {
        let client = CLIENT.parse().expect("the name is a valid host id");
        PlatformSettings::new(self.platform, client)
    }
}

/// How an edit of the tables is made.
#[derive(Debug, Clone, Args)]
pub struct EditArgs {
    /// Where the fleet's tables are.
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Who makes the edit; stored with the new version.
    #[arg(long, env = "MEDLARSTILE_EDITOR")]
    pub editor: EditorName,
    /// Make the edit without asking for confirmation.
    #[arg(long, env = "MEDLARSTILE_YES", value_parser = FalseyValueParser::new())]
    pub yes: bool,
    /// End as soon as the edit is accepted, before every host acts on it.
    #[arg(long, env = "MEDLARSTILE_NO_WAIT", value_parser = FalseyValueParser::new())]
    pub no_wait: bool,
    /// Longest wait until every host acts on the edit, in milliseconds. A host that does not
    /// answer takes about 4000 ms.
    #[arg(long, env = "MEDLARSTILE_WAIT_MS", default_value = "15000")]
    pub wait_ms: u64,
}

impl EditArgs {
    /// The longest wait, `None` for no wait.
    pub fn wait(&self) -> Option<DurationMs> {
        (!self.no_wait).then_some(DurationMs(self.wait_ms))
    }
}

/// Commands for the routes and pools tables.
#[derive(Debug, Subcommand)]
pub enum TablesCommand {
    /// Checks a file and lists every fault, without contacting the platform.
    Check {
        /// TOML file with the routes and pools tables; docs/tables.md describes it.
        file: PathBuf,
        /// Form of the output.
        #[command(flatten)]
        output: FormatArgs,
    },
    /// Prints the tables that are accepted at present as a file that can be edited.
    Show(FleetArgs),
    /// Prints what a file would change in the tables that are accepted at present.
    Diff {
        /// TOML file with the routes and pools tables.
        file: PathBuf,
        /// Where the fleet's tables are.
        #[command(flatten)]
        fleet: FleetArgs,
    },
    /// Replaces the tables by those of a file and waits until every host acts on them.
    ///
    /// The file is checked as a whole; one fault refuses it. If another edit is accepted first,
    /// nothing is written and the command prints what that edit changed.
    Edit {
        /// TOML file with the routes and pools tables.
        file: PathBuf,
        /// How the edit is made.
        #[command(flatten)]
        edit: EditArgs,
    },
}

/// Commands for the keys of client accounts.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Adds a key to a client account and prints it, once, on standard output.
    Issue {
        /// Client account that gets the key.
        #[arg(long, env = "MEDLARSTILE_ACCOUNT")]
        account: AccountId,
        /// Name of the key for operators, such as `spring`; part of the key id.
        #[arg(long, env = "MEDLARSTILE_LABEL")]
        label: String,
        /// How the edit is made.
        #[command(flatten)]
        edit: EditArgs,
    },
    /// Withdraws a key of a client account, also from connections that are open.
    Withdraw {
        /// Client account that loses the key.
        #[arg(long, env = "MEDLARSTILE_ACCOUNT")]
        account: AccountId,
        /// Id of the key as the tables show it, such as `spring.3fa9c1d2`; never the key itself.
        #[arg(long, env = "MEDLARSTILE_KEY")]
        key: KeyId,
        /// How the edit is made.
        #[command(flatten)]
        edit: EditArgs,
    },
}

/// Flags of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Where the fleet's tables are.
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Time between the two looks that show whether hosts renew their rows, in milliseconds.
    /// Hosts renew every 1000 ms.
    #[arg(long, env = "MEDLARSTILE_WATCH_MS", default_value = "2500")]
    pub watch_ms: u64,
}

/// Commands for the hosts of the fleet.
#[derive(Debug, Subcommand)]
pub enum HostsCommand {
    /// Removes the row of a host whose process is certainly gone.
    ///
    /// Edits then no longer wait for the host. A host that still runs could serve requests on
    /// withdrawn keys, so a row that is being renewed is not removed.
    Forget {
        /// Name of the host.
        host: HostId,
        /// Where the fleet's tables are.
        #[command(flatten)]
        fleet: FleetArgs,
        /// Remove the row without asking for confirmation.
        #[arg(long, env = "MEDLARSTILE_YES", value_parser = FalseyValueParser::new())]
        yes: bool,
    },
}

/// Commands for the state charts.
#[derive(Debug, Subcommand)]
pub enum ChartsCommand {
    /// Writes a Mermaid drawing of every state chart.
    Draw {
        /// Directory for the drawings; created if it is absent.
        #[arg(long, env = "MEDLARSTILE_OUT")]
        out: PathBuf,
    },
}
