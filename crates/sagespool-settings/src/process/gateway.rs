//! Settings of gateways, which forward requests directly to upstreams, and of relays.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sagespool_log::LogLevel;
use sagespool_types::{ByteCount, CentreName, InstanceCapacity, InstanceName, RegionName};

use crate::check::{ObjectNode, ValueNode};
use crate::document::check_text;
use crate::process::common::{LogSettings, read_log, read_peers};
use crate::{SettingsError, ValidationErrors};

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The instance's name. A later process with the same name replaces this one.
    pub instance: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Data centre of the instance.
    pub centre: CentreName,
    /// The HTTP listen address for callers.
    pub callers: SocketAddr,
    /// The HTTP listen address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// The HTTP listen address for metrics; `None` disables it.
    pub metrics: Option<SocketAddr>,
    /// The UDP address of the link to other gateways; `None` runs this gateway without peers.
    pub link: Option<SocketAddr>,
    /// The link address that peers connect to; `None` if it is the listen address.
    pub advertise: Option<SocketAddr>,
    /// Link addresses of the first peers to contact.
    pub peers: Vec<SocketAddr>,
    /// The platform's object API.
    pub object_api: SocketAddr,
    /// Time between two writes of an upstream's entry in the store.
    pub upstream_heartbeat: Duration,
    /// Time limits for applying changes of the store. If set, instances of a data centre watch the
    /// store for each other, as far as the limits allow.
    pub in_force: Option<PropagationSettings>,
    /// The region of each data centre.
    pub regions: BTreeMap<CentreName, RegionName>,
    /// Limits on what all gateways together send to a cold upstream.
    pub warmup: WarmupSettings,
    /// Whether the whole fleet starts for the first time. Its gateways then have time to read the
    /// store at a lower price, and to get the rest from each other.
    pub first_start: bool,
    /// How long a graceful stop may take.
    pub stop_limit: Duration,
    /// Limits on retries at a second upstream, over all gateways.
    pub retries: RetrySettings,
    /// How much of a budget an instance takes at a time.
    pub grants: GrantSettings,
    /// When this gateway leaves the load balancer's rotation under pressure; `None` if it never does.
    pub rotation: Option<RotationSettings>,
    /// Resource limits of the process; limits that aren't set are read from the system.
    pub limits: ResourceSettings,
    /// Log settings.
    pub log: LogSettings,
}

/// The settings of a relay, which makes store calls for gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// The instance's name.
    pub instance: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Data centre of the instance.
    pub centre: CentreName,
    /// The UDP address at which gateways reach it.
    pub link: SocketAddr,
    /// The link address that peers connect to; `None` if it is the listen address.
    pub advertise: Option<SocketAddr>,
    /// Link addresses of the first peers to contact.
    pub peers: Vec<SocketAddr>,
    /// The platform's object API.
    pub object_api: SocketAddr,
    /// Log settings.
    pub log: LogSettings,
}

/// The settings of a gateway or a relay, the roles that work without sidecars.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayOrRelaySettings {
    /// Forwards requests directly to upstreams.
    Gateway(Box<GatewaySettings>),
    /// Makes store calls for gateways.
    Relay(RelaySettings),
}

/// Limits on what all gateways together send to a second upstream, for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Time limits for applying changes at each gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PropagationSettings {
    /// For changes of the configuration and of the list of upstreams.
    pub changes: Duration,
    /// For evacuations of data centres; `None` if evacuations aren't watched.
    pub evacuations: Option<Duration>,
}

/// Limits on what all gateways together send to a cold upstream per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupSettings {
    /// Factor on the request rate that the upstream's service states for a cold upstream.
    pub overage: f64,
    /// Requests per second in addition to that rate.
    pub slack: f64,
}

/// How much of a client account's budget an instance takes at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantSettings {
    /// How long a supply lasts without the store. More covers longer outages, but a killed instance
    /// loses the unspent part of its supplies.
    pub ahead: Duration,
    /// The maximum that an instance takes ahead, as a fraction of its even share of the free budget.
    pub share: f64,
    /// The maximum of unspent supplies, as a fraction of an account's total. If all instances are
    /// killed, at most this part of each account is lost, and later supplies shrink by the loss.
    pub idle: f64,
}

/// Leaving the load balancer's rotation under pressure, while other gateways of the data centre stay in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RotationSettings {
    /// How long another gateway's promise to stay in stands without renewal.
    pub lease: Duration,
    /// How long this gateway stays out at least.
    pub hold: Duration,
    /// Keeps this gateway out of rotation until it is unset. Takes effect when the settings are reloaded.
    pub keep_out: bool,
}

/// Resource limits of a process. The amount of work accepted from callers depends on them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResourceSettings {
    /// Memory of the whole process.
    pub memory: Option<ByteCount>,
    /// Open file descriptors.
    pub descriptors: Option<u32>,
    /// The share of a core, or the number of cores.
    pub processor: Option<f64>,
    /// The rate of the machine's link in Mbit/s.
    pub link_mbps: Option<f64>,
}

impl ResourceSettings {
    /// The work that the instance can carry, by what limits it most: a core as a whole counts like a
    /// link of 1,000 Mbit/s. 0 if neither is set.
    pub fn capacity(&self) -> InstanceCapacity {
        let cores = self.processor.map(|cores| cores * MBPS_PER_CORE);
        let scarcer = [cores, self.link_mbps].into_iter().flatten().reduce(f64::min);
        InstanceCapacity(scarcer.map_or(0, |amount| amount.max(1.0).log2() as u32 + 1))
    }
}

/// The values of `role` for a gateway and a relay.
const ROLES: [(&str, GatewayOrRelayRole); 2] =
    [("gateway", GatewayOrRelayRole::Gateway), ("relay", GatewayOrRelayRole::Relay)];

#[derive(Debug, Clone, Copy)]
enum GatewayOrRelayRole {
    Gateway,
    Relay,
}

const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1200);
const MIN_HEARTBEAT_MS: u64 = 50;
const MAX_HEARTBEAT_MS: u64 = 3_600_000;
const DEFAULT_LOG: LogSettings = LogSettings { level: LogLevel::Info };
const MAX_STOP_S: f64 = 86_400.0;
const MAX_PROPAGATION_MS: u64 = 3_600_000;
const MAX_RETRY_WINDOW_S: f64 = 3_600.0;
const MAX_SLACK: f64 = 1e9;
const DEFAULT_STOP_S: f64 = 30.0;
/// Store outages and network partitions of the supported platforms last up to 9 s.
const DEFAULT_GRANTS: GrantSettings =
    GrantSettings { ahead: Duration::from_secs(10), share: 0.35, idle: DEFAULT_IDLE_SHARE };
/// Callers can rely on 97 % of a total: supplies are three quarters full on average when instances
/// are killed, so that one kill of the whole fleet loses 3 %.
const DEFAULT_IDLE_SHARE: f64 = 0.04;
const BYTES_PER_MB: u64 = 1 << 20;
/// A gateway with its peers and a few requests in flight uses about 30 MB.
const MIN_MEMORY_MB: u64 = 48;
const MAX_MEMORY_MB: u64 = 1 << 24;
/// Covers the process's own files, the link, the store, and a connection on either side.
const MIN_DESCRIPTORS: u32 = 512;
/// The link rate that a core can fill with requests and changes.
const MBPS_PER_CORE: f64 = 1000.0;
const MIN_PROCESSOR: f64 = 0.001;
const MAX_PROCESSOR: f64 = 4096.0;
const MIN_LINK_MBPS: f64 = 0.01;
const MAX_LINK_MBPS: f64 = 1e7;
const MAX_DESCRIPTORS: u32 = 1 << 30;
const MAX_GRANT_AHEAD_S: f64 = 3_600.0;
const DEFAULT_WARMUP: WarmupSettings = WarmupSettings { overage: 1.0, slack: 0.0 };
const MAX_WARMUP_OVERAGE: f64 = 100.0;
const DEFAULT_ROTATION: RotationSettings = RotationSettings {
    lease: Duration::from_secs(3),
    hold: Duration::from_secs(3),
    keep_out: false,
};
/// A lease covers some renewals over links that lose packets.
const MIN_ROTATION_MS: u64 = 1_000;
const MAX_ROTATION_MS: u64 = 60_000;
const CENTRE_NAME_ALLOWED: &str = "the name of a data centre as the key of its region";
const DEFAULT_RETRIES: RetrySettings =
    RetrySettings { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };

/// Whether a settings file is a gateway's or a relay's. False for a text that isn't JSON: the
/// check for the other roles reports its syntax error.
pub fn is_gateway_or_relay(text: &str) -> bool {
    let document: Result<serde_json::Value, _> = serde_json::from_str(text);
    document.is_ok_and(|document| ROLES.iter().any(|(name, _)| document["role"] == *name))
}

/// Parses and validates the text of a gateway's or a relay's settings file.
///
/// # Errors
///
/// Every validation error at once, with its path, what was found and what is allowed.
pub fn parse_gateway_or_relay(text: &str) -> Result<GatewayOrRelaySettings, ValidationErrors> {
    check_text(text, read_gateway_or_relay)
}

/// Reads and validates a gateway's or a relay's settings file.
///
/// # Errors
///
/// If the file can't be read, or every validation error at once.
pub fn load_gateway_or_relay(path: &Path) -> Result<GatewayOrRelaySettings, Report<SettingsError>> {
    let text =
        fs::read_to_string(path).change_context_lazy(|| SettingsError::Unreadable(path.into()))?;
    parse_gateway_or_relay(&text)
        .map_err(|errors| Report::new(SettingsError::Invalid(path.into(), errors)))
}

fn read_gateway_or_relay(object: &ObjectNode) -> Option<GatewayOrRelaySettings> {
    match object.required("role", |node| node.one_of(&ROLES))? {
        GatewayOrRelayRole::Gateway => {
            read_gateway(object).map(|gateway| GatewayOrRelaySettings::Gateway(Box::new(gateway)))
        }
        GatewayOrRelayRole::Relay => read_relay(object).map(GatewayOrRelaySettings::Relay),
    }
}

fn read_relay(object: &ObjectNode) -> Option<RelaySettings> {
    let instance = object.required("instance", ValueNode::parse);
    let region = object.required("region", ValueNode::parse);
    let centre = object.required("centre", ValueNode::parse);
    let link = object.required("link", ValueNode::connect_address);
    let advertise = object.optional("advertise", ValueNode::connect_address);
    let peers = object.or_default("peers", Vec::new(), read_peers);
    let object_api = object.required("object_api", ValueNode::connect_address);
    let log = object.or_default("log", DEFAULT_LOG, |node| node.object(read_log));
    Some(RelaySettings {
        instance: instance?,
        region: region?,
        centre: centre?,
        link: link?,
        advertise: advertise?,
        peers: peers?,
        object_api: object_api?,
        log: log?,
    })
}

fn read_gateway(object: &ObjectNode) -> Option<GatewaySettings> {
    let instance = object.required("instance", ValueNode::parse);
    let region = object.required("region", ValueNode::parse);
    let centre = object.required("centre", ValueNode::parse);
    let callers = object.required("callers", ValueNode::listen_address);
    let readiness = object.required("readiness", ValueNode::listen_address);
    let metrics = object.optional("metrics", ValueNode::listen_address);
    let link = object.optional("link", ValueNode::connect_address);
    let advertise = object.optional("advertise", ValueNode::connect_address);
    let peers = object.or_default("peers", Vec::new(), read_peers);
    let object_api = object.required("object_api", ValueNode::connect_address);
    let default_stop = Duration::from_secs_f64(DEFAULT_STOP_S);
    let stop_limit =
        object.or_default("stop_limit_s", default_stop, |node| node.seconds(0.1..=MAX_STOP_S));
    let first_start = object.or_default("first_start", false, ValueNode::boolean);
    let upstream_heartbeat =
        object.or_default("upstream_heartbeat_ms", DEFAULT_HEARTBEAT, |node| {
            node.millis(MIN_HEARTBEAT_MS..=MAX_HEARTBEAT_MS)
        });
    let in_force = object.optional("in_force", |node| node.object(read_propagation));
    let regions = object.or_default("regions", BTreeMap::new(), read_regions);
    let warmup = object.or_default("warmup", DEFAULT_WARMUP, |node| node.object(read_warmup));
    let retries = object.or_default("retries", DEFAULT_RETRIES, |node| node.object(read_retries));
    let grants = object.or_default("grants", DEFAULT_GRANTS, |node| node.object(read_grants));
    let rotation = object.optional("rotation", |node| node.object(read_rotation));
    let limits =
        object.or_default("limits", ResourceSettings::default(), |node| node.object(read_limits));
    let log = object.or_default("log", DEFAULT_LOG, |node| node.object(read_log));
    Some(GatewaySettings {
        instance: instance?,
        region: region?,
        centre: centre?,
        callers: callers?,
        readiness: readiness?,
        metrics: metrics?,
        link: link?,
        advertise: advertise?,
        peers: peers?,
        object_api: object_api?,
        upstream_heartbeat: upstream_heartbeat?,
        in_force: in_force?,
        regions: regions?,
        warmup: warmup?,
        first_start: first_start?,
        stop_limit: stop_limit?,
        retries: retries?,
        grants: grants?,
        rotation: rotation?,
        limits: limits?,
        log: log?,
    })
}

fn read_retries(object: &ObjectNode) -> Option<RetrySettings> {
    let ratio = object.or_default("ratio", DEFAULT_RETRIES.ratio, |node| node.float(0.0..=100.0));
    let slack =
        object.or_default("slack", DEFAULT_RETRIES.slack, |node| node.float(0.0..=MAX_SLACK));
    let window = object.or_default("window_s", DEFAULT_RETRIES.window, |node| {
        node.seconds(0.1..=MAX_RETRY_WINDOW_S)
    });
    Some(RetrySettings { ratio: ratio?, slack: slack?, window: window? })
}

fn read_grants(object: &ObjectNode) -> Option<GrantSettings> {
    let ahead = object
        .or_default("ahead_s", DEFAULT_GRANTS.ahead, |node| node.seconds(0.0..=MAX_GRANT_AHEAD_S));
    let share = object.or_default("share", DEFAULT_GRANTS.share, |node| node.float(0.0..=1.0));
    let idle = object.or_default("idle", DEFAULT_GRANTS.idle, |node| node.float(0.0..=1.0));
    Some(GrantSettings { ahead: ahead?, share: share?, idle: idle? })
}

fn read_rotation(object: &ObjectNode) -> Option<RotationSettings> {
    let millis = |node: ValueNode| node.millis(MIN_ROTATION_MS..=MAX_ROTATION_MS);
    let lease = object.or_default("lease_ms", DEFAULT_ROTATION.lease, millis);
    let hold = object.or_default("hold_ms", DEFAULT_ROTATION.hold, millis);
    let keep_out = object.or_default("keep_out", DEFAULT_ROTATION.keep_out, ValueNode::boolean);
    Some(RotationSettings { lease: lease?, hold: hold?, keep_out: keep_out? })
}

/// One watch covers the configuration and the upstreams, so the shorter of their limits applies.
fn read_propagation(object: &ObjectNode) -> Option<PropagationSettings> {
    let configuration = object.required("configuration_ms", read_propagation_time);
    let upstreams = object.required("upstreams_ms", read_propagation_time);
    let evacuations = object.optional("evacuations_ms", read_propagation_time);
    Some(PropagationSettings { changes: configuration?.min(upstreams?), evacuations: evacuations? })
}

fn read_propagation_time(node: ValueNode) -> Option<Duration> {
    node.millis(100..=MAX_PROPAGATION_MS)
}

/// The region of each data centre, by data centre name.
fn read_regions(node: ValueNode) -> Option<BTreeMap<CentreName, RegionName>> {
    let entries = node.entries(|name, region| {
        let Ok(centre) = name.parse::<CentreName>() else {
            return region.reject(CENTRE_NAME_ALLOWED);
        };
        Some((centre, region.parse()?))
    });
    entries.map(|entries| entries.into_iter().collect())
}

fn read_warmup(object: &ObjectNode) -> Option<WarmupSettings> {
    let overage = object
        .or_default("overage", DEFAULT_WARMUP.overage, |node| node.float(0.0..=MAX_WARMUP_OVERAGE));
    let slack =
        object.or_default("slack", DEFAULT_WARMUP.slack, |node| node.float(0.0..=MAX_SLACK));
    Some(WarmupSettings { overage: overage?, slack: slack? })
}

fn read_limits(object: &ObjectNode) -> Option<ResourceSettings> {
    let memory = object.optional("memory_mb", |node| node.number(MIN_MEMORY_MB..=MAX_MEMORY_MB))?;
    let descriptors = object
        .optional("descriptors", |node| node.number_u32(MIN_DESCRIPTORS..=MAX_DESCRIPTORS))?;
    let memory = memory.map(|megabytes| ByteCount(megabytes * BYTES_PER_MB));
    let processor =
        object.optional("processor", |node| node.float(MIN_PROCESSOR..=MAX_PROCESSOR))?;
    let link_mbps =
        object.optional("link_mbps", |node| node.float(MIN_LINK_MBPS..=MAX_LINK_MBPS))?;
    Some(ResourceSettings { memory, descriptors, processor, link_mbps })
}
