//! Settings of a host. All options are checked together, so that one run reports every fault.

use std::convert::Infallible;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use clap::Args;
use compact_str::{format_compact, CompactString};
use displaydoc::Display as DocDisplay;

use crate::auth::Secret;
use crate::types::{DurationMs, FailureDomain, HostId};

/// Fault of one setting: a required option without a value, or a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum SettingFault {
    /// --{flag} ({variable}) is missing; allowed: {allowed}
    Missing {
        /// Flag without the dashes.
        flag: &'static str,
        /// Environment variable.
        variable: &'static str,
        /// Allowed values.
        allowed: &'static str,
    },
    /// --{flag} ({variable}) is {value:?}: {detail}; allowed: {allowed}
    Invalid {
        /// Flag without the dashes.
        flag: &'static str,
        /// Environment variable.
        variable: &'static str,
        /// Value found.
        value: CompactString,
        /// What is wrong with it.
        detail: CompactString,
        /// Allowed values.
        allowed: &'static str,
    },
}

impl std::error::Error for SettingFault {}

/// Unchecked settings of a host, from flags and environment variables.
///
/// Values are kept as strings so that [`Settings::check`] reports all faults together.
#[derive(Debug, Clone, Default, Args)]
pub struct HostArgs {
    /// Name of this host, unique in the fleet.
    #[arg(long, env = "MEDLARSTILE_HOST_ID")]
    pub host_id: Option<String>,
    /// Failure domain that this host runs in.
    #[arg(long, env = "MEDLARSTILE_FAILURE_DOMAIN")]
    pub failure_domain: Option<String>,
    /// IP address and port for callers; port 0 takes a free one; default 127.0.0.1:6432.
    #[arg(long, env = "MEDLARSTILE_LISTEN")]
    pub listen: Option<String>,
    /// IP address and UDP port for other hosts; default 127.0.0.1:6433.
    #[arg(long, env = "MEDLARSTILE_PEER_LISTEN")]
    pub peer_listen: Option<String>,
    /// IP address and port of the platform's service.
    #[arg(long, env = "MEDLARSTILE_PLATFORM")]
    pub platform: Option<String>,
    /// User with which the host logs in at endpoints.
    #[arg(long, env = "MEDLARSTILE_ENDPOINT_USER")]
    pub endpoint_user: Option<String>,
    /// Password with which the host logs in at endpoints; better given by the variable.
    #[arg(long, env = "MEDLARSTILE_ENDPOINT_PASSWORD", hide_env_values = true, value_parser = parse_secret)]
    pub endpoint_password: Option<Secret>,
    /// Secret shared by all hosts, at least 16 characters; better given by the variable.
    #[arg(long, env = "MEDLARSTILE_FLEET_SECRET", hide_env_values = true, value_parser = parse_secret)]
    pub fleet_secret: Option<Secret>,
    /// PEM file with the certificate chain for callers; without it TLS is declined.
    #[arg(long, env = "MEDLARSTILE_TLS_CERTIFICATE")]
    pub tls_certificate: Option<String>,
    /// PEM file with the private key of the certificate.
    #[arg(long, env = "MEDLARSTILE_TLS_KEY")]
    pub tls_key: Option<String>,
    /// Largest message of a caller in bytes; default 16777216.
    #[arg(long, env = "MEDLARSTILE_MAX_MESSAGE_BYTES")]
    pub max_message_bytes: Option<String>,
    /// Parts into which the rates of client accounts are divided; equal on all hosts; default 16.
    #[arg(long, env = "MEDLARSTILE_SHARE_SLOTS")]
    pub share_slots: Option<String>,
    /// Wait for a busy replica before the primary serves a read, in milliseconds; default 200.
    #[arg(long, env = "MEDLARSTILE_PRIMARY_PATIENCE_MS")]
    pub primary_patience_ms: Option<String>,
    /// Wait for the confirmation of a write, in milliseconds; default 10000.
    #[arg(long, env = "MEDLARSTILE_CONFIRM_LIMIT_MS")]
    pub confirm_limit_ms: Option<String>,
    /// Time after SIGTERM in which new work is still taken, in milliseconds; default 10000.
    #[arg(long, env = "MEDLARSTILE_DRAIN_NOTICE_MS")]
    pub drain_notice_ms: Option<String>,
    /// Longest wait for open transactions while stopping, in milliseconds; default 30000.
    #[arg(long, env = "MEDLARSTILE_DRAIN_LIMIT_MS")]
    pub drain_limit_ms: Option<String>,
    /// IP address and UDP port of a statsd server for metrics.
    #[arg(long, env = "MEDLARSTILE_STATSD")]
    pub statsd: Option<String>,
}

/// Checked settings of a host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub failure_domain: FailureDomain,
    /// Address on which the host accepts callers; port 0 takes a free port.
    pub listen: SocketAddr,
    /// UDP address on which the host receives from other hosts.
    pub peer_listen: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// User with which the host logs in at endpoints.
    pub endpoint_user: CompactString,
    /// Password with which the host logs in at endpoints.
    pub endpoint_password: Secret,
    /// Secret shared by all hosts.
    pub fleet_secret: Secret,
    /// Certificate chain and key files for TLS connections of callers; TLS is declined if `None`.
    pub tls: Option<TlsFiles>,
    /// Largest message accepted from a caller, in bytes.
    pub max_message_bytes: usize,
    /// Number of parts into which the rates of client accounts are divided; equal on all hosts.
    pub share_slots: u32,
    /// How long a read waits for a busy replica before the primary serves it.
    pub primary_patience_ms: DurationMs,
    /// Longest wait for the confirmation of a write.
    pub confirm_limit_ms: DurationMs,
    /// Time after SIGTERM in which the host still takes new work.
    pub drain_notice_ms: DurationMs,
    /// Longest wait for open transactions while stopping.
    pub drain_limit_ms: DurationMs,
    /// UDP address of the statsd server for metrics, if there is one.
    pub statsd: Option<SocketAddr>,
}

/// Files for TLS connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key of the certificate.
    pub key: PathBuf,
}

fn parse_secret(text: &str) -> Result<Secret, Infallible> {
    Ok(Secret::new(text))
}

/// Flag, environment variable and allowed values of one option.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OptionSpec {
    /// Flag without the dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// Allowed values, and the default if there is one.
    pub allowed: &'static str,
}

macro_rules! option {
    ($flag:literal, $variable:literal, $allowed:literal) => {
        OptionSpec { flag: $flag, variable: concat!("MEDLARSTILE_", $variable), allowed: $allowed }
    };
}

const HOST_ID: OptionSpec = option!("host-id", "HOST_ID", "1 to 63 of A-Z a-z 0-9 _ - .");
const FAILURE_DOMAIN: OptionSpec =
    option!("failure-domain", "FAILURE_DOMAIN", "1 to 63 of A-Z a-z 0-9 _ - .");
const LISTEN: OptionSpec = option!("listen", "LISTEN", "IP:PORT, default 127.0.0.1:6432");
const PEER_LISTEN: OptionSpec =
    option!("peer-listen", "PEER_LISTEN", "IP:PORT, default 127.0.0.1:6433");
const PLATFORM: OptionSpec = option!("platform", "PLATFORM", "IP:PORT");
const ENDPOINT_USER: OptionSpec = option!("endpoint-user", "ENDPOINT_USER", "a user name");
const ENDPOINT_PASSWORD: OptionSpec =
    option!("endpoint-password", "ENDPOINT_PASSWORD", "a password");
const FLEET_SECRET: OptionSpec = option!("fleet-secret", "FLEET_SECRET", "at least 16 characters");
const TLS_CERTIFICATE: OptionSpec =
    option!("tls-certificate", "TLS_CERTIFICATE", "a PEM file, together with --tls-key");
const TLS_KEY: OptionSpec =
    option!("tls-key", "TLS_KEY", "a PEM file, together with --tls-certificate");
const MAX_MESSAGE_BYTES: OptionSpec =
    option!("max-message-bytes", "MAX_MESSAGE_BYTES", "1024 to 1073741824, default 16777216");
const SHARE_SLOTS: OptionSpec = option!("share-slots", "SHARE_SLOTS", "1 to 65536, default 16");
const PRIMARY_PATIENCE_MS: OptionSpec =
    option!("primary-patience-ms", "PRIMARY_PATIENCE_MS", "0 to 60000, default 200");
const CONFIRM_LIMIT_MS: OptionSpec =
    option!("confirm-limit-ms", "CONFIRM_LIMIT_MS", "100 to 600000, default 10000");
const DRAIN_NOTICE_MS: OptionSpec =
    option!("drain-notice-ms", "DRAIN_NOTICE_MS", "0 to 600000, default 10000");
const DRAIN_LIMIT_MS: OptionSpec =
    option!("drain-limit-ms", "DRAIN_LIMIT_MS", "0 to 3600000, default 30000");
const STATSD: OptionSpec = option!("statsd", "STATSD", "IP:PORT");

/// Every option of a host; a test compares them with the page that documents them.
pub const OPTIONS: [OptionSpec; 17] = [
    HOST_ID,
    FAILURE_DOMAIN,
    LISTEN,
    PEER_LISTEN,
    PLATFORM,
    ENDPOINT_USER,
    ENDPOINT_PASSWORD,
    FLEET_SECRET,
    TLS_CERTIFICATE,
    TLS_KEY,
    MAX_MESSAGE_BYTES,
    SHARE_SLOTS,
    PRIMARY_PATIENCE_MS,
    CONFIRM_LIMIT_MS,
    DRAIN_NOTICE_MS,
    DRAIN_LIMIT_MS,
    STATSD,
];

impl Settings {
    /// Parses and checks all settings, and fills in the defaults.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with the flag, its environment variable, the value found (but for
    /// secrets) and the allowed values.
    pub fn check(args: &HostArgs) -> Result<Settings, Vec<SettingFault>> {
        let mut parser = OptionParser::default();
        let tls = parser.tls(args);
        let settings = Settings {
            host: parser.required(&HOST_ID, &args.host_id),
            failure_domain: parser.required(&FAILURE_DOMAIN, &args.failure_domain),
            listen: parser.with_default(&LISTEN, &args.listen, "127.0.0.1:6432"),
            peer_listen: parser.with_default(&PEER_LISTEN, &args.peer_listen, "127.0.0.1:6433"),
            platform: parser.required_or_placeholder(&PLATFORM, &args.platform, "127.0.0.1:1"),
            endpoint_user: parser.text(&ENDPOINT_USER, &args.endpoint_user, 1),
            endpoint_password: parser.secret(&ENDPOINT_PASSWORD, &args.endpoint_password, 1),
            fleet_secret: parser.secret(&FLEET_SECRET, &args.fleet_secret, 16),
            tls,
            max_message_bytes: parser.in_range(
                &MAX_MESSAGE_BYTES,
                &args.max_message_bytes,
                (1 << 10, 1 << 30, 1 << 24),
            ),
            share_slots: parser.in_range(&SHARE_SLOTS, &args.share_slots, (1, 65_536, 16)),
            primary_patience_ms: DurationMs(parser.in_range(
                &PRIMARY_PATIENCE_MS,
                &args.primary_patience_ms,
                (0, 60_000, 200),
            )),
            confirm_limit_ms: DurationMs(parser.in_range(
                &CONFIRM_LIMIT_MS,
                &args.confirm_limit_ms,
                (100, 600_000, 10_000),
            )),
            drain_notice_ms: DurationMs(parser.in_range(
                &DRAIN_NOTICE_MS,
                &args.drain_notice_ms,
                (0, 600_000, 10_000),
            )),
            drain_limit_ms: DurationMs(parser.in_range(
                &DRAIN_LIMIT_MS,
                &args.drain_limit_ms,
                (0, 3_600_000, 30_000),
            )),
            statsd: parser.optional(&STATSD, &args.statsd),
        };
        if parser.faults.is_empty() {
            Ok(settings)
        } else {
            Err(parser.faults)
        }
    }
}

/// Parses options and collects their faults. A faulty option yields a placeholder value, as the
/// settings are discarded if there is any fault.
#[derive(Default)]
struct OptionParser {
    faults: Vec<SettingFault>,
}

impl OptionParser {
    fn required<T: FromStr>(&mut self, option: &OptionSpec, text: &Option<String>) -> T
    where
        T::Err: Display,
    {
        self.required_or_placeholder(option, text, "placeholder")
    }

    fn required_or_placeholder<T: FromStr>(
        &mut self,
        option: &OptionSpec,
        text: &Option<String>,
        placeholder: &str,
    ) -> T
    where
        T::Err: Display,
    {
        if text.is_none() {
            self.missing(option);
        }
        self.with_default(option, text, placeholder)
    }

    fn with_default<T: FromStr>(
        &mut self,
        option: &OptionSpec,
        text: &Option<String>,
        default: &str,
    ) -> T
    where
        T::Err: Display,
    {
        let parsed = self.optional(option, text);
        let default = || default.parse().ok().expect("defaults and placeholders are valid");
        parsed.unwrap_or_else(default)
    }

    fn optional<T: FromStr>(&mut self, option: &OptionSpec, text: &Option<String>) -> Option<T>
    where
        T::Err: Display,
    {
        let text = text.as_ref()?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.invalid(option, text, &format_compact!("{error}"));
                None
            }
        }
    }

    fn in_range<T>(
        &mut self,
        option: &OptionSpec,
        text: &Option<String>,
        (min, max, default): (T, T, T),
    ) -> T
    where
        T: FromStr + PartialOrd + Copy,
        T::Err: Display,
    {
        let Some(value) = self.optional::<T>(option, text) else { return default };
        if value < min || value > max {
            self.invalid(option, text.as_deref().unwrap_or_default(), "out of range");
        }
        value
    }

    fn text(
        &mut self,
        option: &OptionSpec,
        text: &Option<String>,
        min_len: usize,
    ) -> CompactString {
        match text {
            None => self.missing(option),
            Some(text) if text.len() < min_len => self.invalid(option, text, "too short"),
            Some(_) => {}
        }
        text.as_deref().unwrap_or_default().into()
    }

    /// Same as `text`, but the fault does not show the value.
    fn secret(&mut self, option: &OptionSpec, secret: &Option<Secret>, min_len: usize) -> Secret {
        match secret {
            None => self.missing(option),
            Some(secret) if secret.expose().len() < min_len => {
                self.invalid(option, "***", "too short");
            }
            Some(_) => {}
        }
        secret.clone().unwrap_or_else(|| Secret::new(""))
    }

    fn tls(&mut self, args: &HostArgs) -> Option<TlsFiles> {
        match (&args.tls_certificate, &args.tls_key) {
            (None, None) => None,
            (Some(certificate), Some(key)) => {
                Some(TlsFiles { certificate: certificate.into(), key: key.into() })
            }
            (Some(_), None) => {
                self.missing(&TLS_KEY);
                None
            }
            (None, Some(_)) => {
                self.missing(&TLS_CERTIFICATE);
                None
            }
        }
    }

    fn missing(&mut self, option: &OptionSpec) {
        let OptionSpec { flag, variable, allowed } = *option;
        self.faults.push(SettingFault::Missing { flag, variable, allowed });
    }

    fn invalid(&mut self, option: &OptionSpec, value: &str, detail: &str) {
        let OptionSpec { flag, variable, allowed } = *option;
        let (value, detail) = (value.into(), detail.into());
        self.faults.push(SettingFault::Invalid { flag, variable, value, detail, allowed });
    }
}
