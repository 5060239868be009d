//! Decodes the settings file that the platform writes for each process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use compact_str::CompactString;
use serde::Deserialize;

use super::number::Whole;
use crate::core::proxy::lease::LeadProof;
use crate::core::proxy::slow_start::SlowStartMargin;
use crate::core::proxy::Margins;
use crate::error::{Error, ErrorKind};
use crate::types::{ByteCount, DescriptorCount, DurationMs, FailureDomain, HostId, MilliCores};

/// Environment variable with the path of the settings file.
pub const FILE_VARIABLE: &str = "MEDLARSTILE_NODE_FILE";
/// Processor capacity, in cores, of a host whose settings do not limit it.
const DEFAULT_CORES: f64 = 1.0;
/// Memory in megabytes of a host whose settings do not limit it.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Least memory in megabytes; the process takes about 20 at rest.
const MIN_MEMORY_MB: u64 = 32;
/// Descriptors of a host whose settings do not limit them.
const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Fewest descriptors; 200 are kept for files.
const MIN_DESCRIPTORS: u64 = 256;
/// Time within which a configuration has to be in force, of a platform that states none.
const DEFAULT_CONFIGURATION_LIMIT: DurationMs = DurationMs(3_000);

/// Settings of a host, as its settings file gives them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address of the readiness probe.
    pub readiness: SocketAddr,
    /// Address at which other hosts connect.
    pub peers: SocketAddr,
    /// Address of the metrics server.
    pub metrics: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the promotion service.
    pub promotions: SocketAddr,
    /// Processor capacity of the host.
    pub processor: MilliCores,
    /// Memory that the process may use.
    pub memory: ByteCount,
    /// Descriptors that the process may open.
    pub descriptors: DescriptorCount,
    /// Time from the request to stop until the process is killed.
    pub stop_limit_ms: DurationMs,
    /// How an endpoint is proven to lead its group.
    pub lead_proof: LeadProof,
    /// Time within which a version of the configuration has to be in force: after it was written,
    /// and after the end of a disturbance of this host.
    pub configuration_limit_ms: DurationMs,
    /// What the platform demands about evacuations and cold endpoints.
    pub margins: Margins,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonSettings {
    node_name: CompactString,
    ip: IpAddr,
    zone: CompactString,
    bind_addrs: BindAddrs,
    internal_port_range: (u16, u16),
    bounds: Bounds,
    #[serde(default)]
    limits: Limits,
    platform: StoreService,
    cloud_api: PromotionService,
}

#[derive(Deserialize)]
struct BindAddrs {
    frontend: SocketAddr,
    readiness: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    grace_s: f64,
    /// Whether the platform refuses promotions with an outdated fencing token.
    #[serde(default)]
    require_fencing: bool,
    /// Time after the end of a disturbance from which the other limits hold again.
    contact_ms: Option<f64>,
    /// Time from the acknowledgement of a version until it has to be in force.
    config_apply_ms: Option<f64>,
    /// Time from the acknowledgement of an evacuation until nothing may be sent to the domain.
    evacuation_ms: Option<f64>,
    /// Factor by which requests to a cold endpoint may exceed the configured rate.
    warmup_overage: Option<f64>,
    /// Requests to a cold endpoint in addition to that, in one second.
    warmup_slack: Option<f64>,
}

impl Bounds {
    fn margins(&self) -> Margins {
        let default = Margins::default();
        let percent = |factor: f64| (factor * 100.0) as u64;
        let overage_percent = self.warmup_overage.map(percent);
        let slow_start = SlowStartMargin {
            overage_percent: overage_percent.unwrap_or(default.slow_start.overage_percent),
            slack: self.warmup_slack.map_or(default.slow_start.slack, |slack| slack as u64),
        };
        let limit = self.evacuation_ms.map(|limit_ms| DurationMs(limit_ms as u64));
        let evacuation_limit_ms = limit.unwrap_or(default.evacuation_limit_ms);
        Margins { evacuation_limit_ms, slow_start, ..default }
    }

    /// The shorter of the two times that a version has to be in force after.
    fn configuration_limit(&self) -> DurationMs {
        let stated = [self.contact_ms, self.config_apply_ms].into_iter().flatten();
        let shortest = stated.map(|limit_ms| DurationMs(limit_ms as u64)).min();
        shortest.unwrap_or(DEFAULT_CONFIGURATION_LIMIT)
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Limits {
    /// Share of one core that the host may use.
    cpu_share: Option<f64>,
    memory_mb: Option<Whole>,
    max_fds: Option<Whole>,
}

impl Limits {
    /// Memory and descriptors of the process.
    fn resources(&self) -> Result<(ByteCount, DescriptorCount), String> {
        let memory_mb = self.memory_mb.map_or(DEFAULT_MEMORY_MB, |memory_mb| memory_mb.0);
        if memory_mb < MIN_MEMORY_MB {
            return Err(format!(
                "memoryMb is {memory_mb}, at least {MIN_MEMORY_MB} are needed for one long message"
            ));
        }
        let descriptors = self.max_fds.map_or(DEFAULT_DESCRIPTORS, |descriptors| descriptors.0);
        if descriptors < MIN_DESCRIPTORS {
            return Err(format!("maxFds is {descriptors}, at least {MIN_DESCRIPTORS} are needed"));
        }
        Ok((ByteCount(memory_mb.saturating_mul(1024 * 1024)), DescriptorCount(descriptors)))
    }
}

#[derive(Deserialize)]
struct StoreService {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct PromotionService {
    address: SocketAddr,
}

impl PlatformSettings {
    /// Reads and checks the file at `path`; metrics are served at `metrics_port`.
    ///
    /// # Errors
    ///
    /// `bad_setting` with the path of the file and a description of what is wrong with it.
    pub fn read(path: &Path, metrics_port: u16) -> Result<Self, Error> {
        let setting_error = |detail: String| {
            Error::new(ErrorKind::BadSetting, format!("{}: {detail}", path.display()))
        };
        let text =
            std::fs::read_to_string(path).map_err(|error| setting_error(error.to_string()))?;
        Self::parse(&text, metrics_port).map_err(setting_error)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the text.
    pub fn parse(text: &str, metrics_port: u16) -> Result<Self, String> {
        let file: JsonSettings = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let (first, last) = file.internal_port_range;
        if first > last {
            return Err(format!(
                "internalPortRange is {first} to {last}, at least one port is needed"
            ));
        }
        let seconds = file.bounds.grace_s;
        if seconds.is_nan() || seconds <= 0.0 {
            return Err(format!("graceS is {seconds}, must be greater than 0"));
        }
        let cores = file.limits.cpu_share.unwrap_or(DEFAULT_CORES);
        if cores.is_nan() || cores <= 0.0 {
            return Err(format!("cpuShare is {cores}, must be greater than 0"));
        }
        let (memory, descriptors) = file.limits.resources()?;
        Ok(Self {
            memory,
            descriptors,
            processor: MilliCores((cores * 1_000.0) as u32),
            host: HostId::from_external(&file.node_name)
                .map_err(|error| format!("nodeName: {error}"))?,
            failure_domain: FailureDomain::from_external(&file.zone)
                .map_err(|error| format!("zone: {error}"))?,
            listen: file.bind_addrs.frontend,
            readiness: file.bind_addrs.readiness,
            peers: SocketAddr::new(file.ip, first),
            metrics: SocketAddr::new(file.ip, metrics_port),
            store: file.platform.address,
            promotions: file.cloud_api.address,
            stop_limit_ms: DurationMs((seconds * 1_000.0) as u64),
            configuration_limit_ms: file.bounds.configuration_limit(),
            margins: file.bounds.margins(),
            lead_proof: if file.bounds.require_fencing {
                LeadProof::Transaction
            } else {
                LeadProof::Lease
            },
        })
    }
}
