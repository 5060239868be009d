//! Settings of a host: the check reports all faults, and the pages agree with the code.

use std::collections::BTreeMap;

use clap::{Args, Command, Subcommand};
use medlarstile::auth::Secret;
use medlarstile::commands::args::{
    ChartsCommand, EditArgs, HostsCommand, KeyCommand, StatusArgs, TablesCommand,
};
use medlarstile::config::{HostArgs, SettingFault, Settings, OPTIONS};
use medlarstile::error::ErrorKind;
use medlarstile::logs::LogArgs;
use yare::parameterized;

const CONFIGURATION: &str = include_str!("../docs/configuration.md");
const COMMANDS: &str = include_str!("../docs/commands.md");
const CALLERS: &str = include_str!("../docs/callers.md");

fn valid_args() -> HostArgs {
    let text = |text: &str| Some(text.to_owned());
    HostArgs {
        host_id: text("h1"),
        failure_domain: text("east"),
        platform: text("127.0.0.1:8080"),
        endpoint_user: text("proxy"),
        endpoint_password: Some(Secret::new("endpoint-password")),
        fleet_secret: Some(Secret::new("a secret of sixteen")),
        ..HostArgs::default()
    }
}

fn faults(args: &HostArgs) -> Vec<String> {
    let faults = Settings::check(args).expect_err("the settings are faulty");
    faults.iter().map(ToString::to_string).collect()
}

/// Guards against a check that stops at the first fault.
#[test]
fn reports_all_faults_at_once() {
    let args = HostArgs {
        host_id: Some("a b".into()),
        platform: None,
        share_slots: Some("0".into()),
        drain_limit_ms: Some("soon".into()),
        ..valid_args()
    };
    let expected = [
        "--host-id (MEDLARSTILE_HOST_ID) is \"a b\": identifier has the character ' ', allowed \
         are letters, digits, '_', '-' and '.' ('/' in object names); allowed: 1 to 63 of A-Z \
         a-z 0-9 _ - .",
        "--platform (MEDLARSTILE_PLATFORM) is missing; allowed: IP:PORT",
        "--share-slots (MEDLARSTILE_SHARE_SLOTS) is \"0\": out of range; allowed: 1 to 65536, \
         default 16",
        "--drain-limit-ms (MEDLARSTILE_DRAIN_LIMIT_MS) is \"soon\": invalid digit found in \
         string; allowed: 0 to 3600000, default 30000",
    ];
    assert_eq!(faults(&args), expected);
    assert!(Settings::check(&valid_args()).is_ok());
}

/// Guards against a required option that is silently replaced by a default.
#[test]
fn names_every_missing_option() {
    let found = Settings::check(&HostArgs::default()).expect_err("all is missing");
    let missing = found.iter().filter_map(|fault| match fault {
        SettingFault::Missing { flag, .. } => Some(*flag),
        SettingFault::Invalid { .. } => None,
    });
    let required =
        OPTIONS.iter().filter(|option| row_cells(CONFIGURATION, option.flag)[2] == "required");
    assert_eq!(missing.collect::<Vec<_>>(), required.map(|option| option.flag).collect::<Vec<_>>());
}

/// Guards against accepting a value that the documentation does not allow.
#[parameterized(
    missing_port = { |args| args.listen = Some("127.0.0.1".into()), "--listen" },
    host_name = { |args| args.listen = Some("localhost:1".into()), "--listen" },
    below_minimum = { |args| args.max_message_bytes = Some("1023".into()), "--max-message-bytes" },
    above_maximum = { |args| args.confirm_limit_ms = Some("600001".into()), "--confirm-limit-ms" },
    negative = { |args| args.drain_notice_ms = Some("-1".into()), "--drain-notice-ms" },
    key_without_certificate = { |args| args.tls_key = Some("key.pem".into()), "--tls-certificate" },
    empty_user = { |args| args.endpoint_user = Some(String::new()), "--endpoint-user" },
)]
fn refuses_invalid_values(change: fn(&mut HostArgs), flag: &str) {
    let mut args = valid_args();
    change(&mut args);
    let found = faults(&args);
    assert!(found.len() == 1 && found[0].starts_with(&format!("{flag} (")), "{found:?}");
}

/// Guards against secrets in error messages and in debug output.
#[test]
fn never_shows_a_secret() {
    let args = HostArgs { fleet_secret: Some(Secret::new("hunter2")), ..valid_args() };
    let found = faults(&args);
    let expected = "--fleet-secret (MEDLARSTILE_FLEET_SECRET) is \"***\": too short; allowed: at \
                    least 16 characters";
    assert_eq!(found, [expected]);
    let settings = Settings::check(&valid_args()).expect("valid settings");
    let shown = format!("{args:?} {found:?} {:?} {settings:?}", valid_args());
    for secret in ["hunter2", "endpoint-password", "sixteen"] {
        assert!(!shown.contains(secret), "{secret} in {shown}");
    }
}

/// Returns the cells of a flag's row in the table of a page: flag, variable, default, allowed
/// values, meaning.
fn row_cells<'a>(page: &'a str, flag: &str) -> Vec<&'a str> {
    let start = format!("| `--{flag}` |");
    let line = page.lines().find(|line| line.starts_with(&start));
    let line = line.unwrap_or_else(|| panic!("--{flag} is not on the page"));
    line.trim_matches('|').split('|').map(str::trim).collect()
}

/// Returns the flags of a command and of all its subcommands, with their environment variables.
fn flags(command: &Command) -> BTreeMap<String, String> {
    let own = command.get_arguments().filter_map(|argument| {
        let flag = argument.get_long()?.to_owned();
        let variable = argument.get_env().and_then(|text| text.to_str());
        Some((flag, variable.unwrap_or_default().to_owned()))
    });
    let nested = command.get_subcommands().flat_map(flags);
    own.chain(nested).collect()
}

fn page_flags(page: &str) -> Vec<&str> {
    let starts = page.lines().filter_map(|line| line.strip_prefix("| `--"));
    starts.filter_map(|rest| rest.split('`').next()).collect()
}

/// Guards against a page whose options, variables, defaults, allowed values or help texts differ
/// from the code.
#[test]
fn the_page_names_every_option_of_a_host() {
    let command = LogArgs::augment_args(HostArgs::augment_args(Command::new("host")));
    let defined = flags(&command);
    let mut listed = page_flags(CONFIGURATION);
    listed.sort_unstable();
    assert_eq!(listed, defined.keys().collect::<Vec<_>>());
    for (flag, variable) in &defined {
        assert_eq!(row_cells(CONFIGURATION, flag)[1], format!("`{variable}`"), "--{flag}");
    }
    for option in OPTIONS {
        let cells = row_cells(CONFIGURATION, option.flag);
        let (allowed, default) = match option.allowed.split_once(", default ") {
            Some((allowed, default)) => (allowed, Some(default)),
            None => (option.allowed, None),
        };
        assert_eq!(cells[3], allowed, "--{}", option.flag);
        if let Some(default) = default {
            assert_eq!(cells[2], default, "--{}", option.flag);
            assert!(cells[4].ends_with(&format!("; default {default}")), "--{}", option.flag);
        }
        assert_eq!(option.variable, defined[option.flag], "--{}", option.flag);
    }
    for argument in command.get_arguments() {
        let Some(flag) = argument.get_long() else { continue };
        let help = argument.get_help().map(ToString::to_string).unwrap_or_default();
        assert_eq!(row_cells(CONFIGURATION, flag)[4], help, "--{flag}");
        for default in argument.get_default_values() {
            assert_eq!(Some(row_cells(CONFIGURATION, flag)[2]), default.to_str(), "--{flag}");
        }
    }
}

/// Guards against a flag of a command without its environment variable, and against a page whose
/// flags differ from the code.
#[test]
fn the_page_names_the_flags_of_edits() {
    let edit = EditArgs::augment_args(Command::new("edit"));
    let mut listed = page_flags(COMMANDS);
    listed.sort_unstable();
    assert_eq!(listed, flags(&edit).keys().collect::<Vec<_>>());
    for (flag, variable) in flags(&edit) {
        assert_eq!(row_cells(COMMANDS, &flag)[1], format!("`{variable}`"));
    }
    let commands = [
        TablesCommand::augment_subcommands(Command::new("tables")),
        KeyCommand::augment_subcommands(Command::new("key")),
        HostsCommand::augment_subcommands(Command::new("hosts")),
        ChartsCommand::augment_subcommands(Command::new("charts")),
        StatusArgs::augment_args(Command::new("status")),
    ];
    for (flag, variable) in commands.iter().flat_map(flags) {
        let expected = format!("MEDLARSTILE_{}", flag.replace('-', "_").to_uppercase());
        assert_eq!(variable, expected, "--{flag}");
    }
}

/// Guards against pages whose exit codes, SQLSTATEs or hints differ from those of the error kinds.
#[test]
fn the_pages_show_the_table_of_answers() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let name = serde_json::to_value(kind).expect("a text");
        let name = name.as_str().expect("a text");
        let code = format!("| {} |", answer.exit_code);
        let line = COMMANDS.lines().find(|line| line.starts_with(&code)).expect("the code");
        assert!(line.contains(&format!("`{name}`")), "{name}: {line}");
        let start = format!("| `{name}` | {} |", answer.sqlstate);
        let Some(line) = CALLERS.lines().find(|line| line.starts_with(&start)) else {
            let only_commands = ["F0000", "40001", "08006"].contains(&answer.sqlstate.as_str());
            assert!(only_commands, "{name} is not on the page for callers");
            continue;
        };
        assert!(line.ends_with(&format!("| {} |", answer.hint)), "{name}: {line}");
    }
}
