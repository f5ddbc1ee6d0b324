//! What a gateway is told: an entry that forwards straight to upstreams.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sagespool_log::LogLevel;
use sagespool_types::{ByteCount, CentreName, InstanceName, RegionName};

use crate::check::{CheckNode, ObjectNode};
use crate::document::check_text;
use crate::process::common::{LogSettings, read_log, read_peers};
use crate::{SettingsError, ValidationErrors};

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The instance's name. A later run under the same name replaces this one.
    pub instance: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub centre: CentreName,
    /// Where callers connect (HTTP).
    pub callers: SocketAddr,
    /// Where the balancer asks whether this instance takes requests (HTTP).
    pub readiness: SocketAddr,
    /// Where metrics are served (HTTP); nowhere if it isn't given.
    pub metrics: Option<SocketAddr>,
    /// Where other gateways reach this one (UDP); alone if it isn't given.
    pub link: Option<SocketAddr>,
    /// The address of the link that others are told, if it differs from the one listened at.
    pub advertise: Option<SocketAddr>,
    /// Links of other gateways to begin with.
    pub peers: Vec<SocketAddr>,
    /// The platform's object API.
    pub object_api: SocketAddr,
    /// Within which time a change in the store is in force here. Where it is given, instances of a
    /// data centre follow the store for each other, as far as the time allows.
    pub in_force: Option<PropagationSettings>,
    /// The regions of the data centres.
    pub regions: BTreeMap<CentreName, RegionName>,
    /// What all gateways together may send to a cold upstream.
    pub warmup: WarmupSettings,
    /// How long a graceful stop may take.
    pub stop_limit: Duration,
    /// What may be sent to a second upstream, over all gateways.
    pub retries: RetrySettings,
    /// How much of a budget an instance takes at a time.
    pub grants: GrantSettings,
    /// What the process may use; what isn't given is asked of the system.
    pub limits: ResourceSettings,
    /// The log.
    pub log: LogSettings,
}

/// The settings of a relay, which makes calls of the store for gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// The instance's name.
    pub instance: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub centre: CentreName,
    /// Where gateways reach it (UDP).
    pub link: SocketAddr,
    /// The address of the link that others are told, if it differs from the one listened at.
    pub advertise: Option<SocketAddr>,
    /// Links of others to begin with.
    pub peers: Vec<SocketAddr>,
    /// The platform's object API.
    pub object_api: SocketAddr,
    /// The log.
    pub log: LogSettings,
}

/// The settings of a process that serves requests without a sidecar of its own.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayOrRelaySettings {
    /// Forwards requests straight to upstreams.
    Gateway(Box<GatewaySettings>),
    /// Makes calls of the store for gateways.
    Relay(RelaySettings),
}

/// What all gateways together may send to a second upstream, for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside them in a window.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Within which time changes are in force at each gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PropagationSettings {
    /// Changes of the configuration and of the list of upstreams.
    pub changes: Duration,
    /// Evacuations of data centres; they aren't followed if it isn't given.
    pub evacuations: Option<Duration>,
}

/// What all gateways together may send to a cold upstream in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupSettings {
    /// Factor on what the upstream's service says of it.
    pub overage: f64,
    /// Requests beside that.
    pub slack: f64,
}

/// How much of a client account's budget an instance takes at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantSettings {
    /// The time that a supply lasts if the store is away. More serves callers through longer
    /// outages; a killed instance gives up what it hadn't spent of it.
    pub ahead: Duration,
    /// The most that an instance takes ahead, of its even share of what is free.
    pub share: f64,
    /// The most that may lie idle in supplies, of an account's total. A kill of all instances gives
    /// up as much of each account at most, and later supplies are smaller by what was given up.
    pub idle: f64,
}

/// What a process may use of its machine. What it takes in from callers is bounded by this.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResourceSettings {
    /// Memory of the whole process.
    pub memory: Option<ByteCount>,
    /// Descriptors that it may have open.
    pub descriptors: Option<u32>,
}

/// The words under `role` that tell these settings from those of entries and sidecars.
const ROLES: [(&str, DirectRole); 2] =
    [("gateway", DirectRole::Gateway), ("relay", DirectRole::Relay)];

#[derive(Debug, Clone, Copy)]
enum DirectRole {
    Gateway,
    Relay,
}

const DEFAULT_LOG: LogSettings = LogSettings { level: LogLevel::Info };
const LONGEST_STOP_S: f64 = 86_400.0;
const LONGEST_IN_FORCE_MS: u64 = 3_600_000;
const LONGEST_WINDOW_S: f64 = 3_600.0;
const MOST_SLACK: f64 = 1e9;
const DEFAULT_STOP_S: f64 = 30.0;
/// Outages and cuts on the users' platform last up to nine seconds.
const DEFAULT_GRANTS: GrantSettings =
    GrantSettings { ahead: Duration::from_secs(10), share: 0.35, idle: DEFAULT_IDLE };
/// Callers count on 97 in 100 of a total. A kill finds supplies three quarters full on average, so
/// that a fleet that is killed once gives up three hundredths.
const DEFAULT_IDLE: f64 = 0.04;
const BYTES_IN_MB: u64 = 1 << 20;
/// A gateway that knows its peers and carries a few requests takes some thirty megabytes.
const LEAST_MEMORY_MB: u64 = 48;
const MOST_MEMORY_MB: u64 = 1 << 24;
/// The system's own files, the link, the store, and a connection on either side.
const LEAST_DESCRIPTORS: u32 = 512;
const MOST_DESCRIPTORS: u32 = 1 << 30;
const LONGEST_AHEAD_S: f64 = 3_600.0;
const DEFAULT_WARMUP: WarmupSettings = WarmupSettings { overage: 1.0, slack: 0.0 };
const MOST_OVERAGE: f64 = 100.0;
const CENTRE_NAMES: &str = "the name of a data centre before its region";
const DEFAULT_RETRIES: RetrySettings =
    RetrySettings { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };

/// Whether a settings file is a gateway's or a relay's. A text that isn't a document is nobody's:
/// the other roles' check tells what is wrong with it.
pub fn is_gateway_or_relay(text: &str) -> bool {
    let document: Result<serde_json::Value, _> = serde_json::from_str(text);
    document.is_ok_and(|document| ROLES.iter().any(|(word, _)| document["role"] == *word))
}

/// Checks the text of a gateway's or a relay's settings file.
///
/// # Errors
///
/// Every fault at once: its path, what was found and what is allowed.
pub fn parse_gateway_or_relay(text: &str) -> Result<GatewayOrRelaySettings, ValidationErrors> {
    check_text(text, read_direct)
}

/// Reads and checks a gateway's or a relay's settings file.
///
/// # Errors
///
/// If it can't be read, or has faults: all of them at once.
pub fn load_gateway_or_relay(path: &Path) -> Result<GatewayOrRelaySettings, Report<SettingsError>> {
    let text =
        fs::read_to_string(path).change_context_lazy(|| SettingsError::Unreadable(path.into()))?;
    parse_gateway_or_relay(&text)
        .map_err(|faults| Report::new(SettingsError::Faulty(path.into(), faults)))
}

fn read_direct(object: &ObjectNode) -> Option<GatewayOrRelaySettings> {
    match object.required("role", |node| node.one_of(&ROLES))? {
        DirectRole::Gateway => {
            read_gateway(object).map(|gateway| GatewayOrRelaySettings::Gateway(Box::new(gateway)))
        }
        DirectRole::Relay => read_relay(object).map(GatewayOrRelaySettings::Relay),
    }
}

fn read_relay(object: &ObjectNode) -> Option<RelaySettings> {
    let instance = object.required("instance", CheckNode::parse);
    let region = object.required("region", CheckNode::parse);
    let centre = object.required("centre", CheckNode::parse);
    let link = object.required("link", CheckNode::reached_address);
    let advertise = object.optional("advertise", CheckNode::reached_address);
    let peers = object.or("peers", Vec::new(), read_peers);
    let object_api = object.required("object_api", CheckNode::reached_address);
    let log = object.or("log", DEFAULT_LOG, |node| node.object(read_log));
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
    let instance = object.required("instance", CheckNode::parse);
    let region = object.required("region", CheckNode::parse);
    let centre = object.required("centre", CheckNode::parse);
    let callers = object.required("callers", CheckNode::listen_address);
    let readiness = object.required("readiness", CheckNode::listen_address);
    let metrics = object.optional("metrics", CheckNode::listen_address);
    let link = object.optional("link", CheckNode::reached_address);
    let advertise = object.optional("advertise", CheckNode::reached_address);
    let peers = object.or("peers", Vec::new(), read_peers);
    let object_api = object.required("object_api", CheckNode::reached_address);
    let default_stop = Duration::from_secs_f64(DEFAULT_STOP_S);
    let stop_limit =
        object.or("stop_limit_s", default_stop, |node| node.seconds(0.1..=LONGEST_STOP_S));
    let in_force = object.optional("in_force", |node| node.object(read_in_force));
    let regions = object.or("regions", BTreeMap::new(), read_regions);
    let warmup = object.or("warmup", DEFAULT_WARMUP, |node| node.object(read_warmup));
    let retries = object.or("retries", DEFAULT_RETRIES, |node| node.object(read_retries));
    let grants = object.or("grants", DEFAULT_GRANTS, |node| node.object(read_grants));
    let limits = object.or("limits", ResourceSettings::default(), |node| node.object(read_limits));
    let log = object.or("log", DEFAULT_LOG, |node| node.object(read_log));
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
        in_force: in_force?,
        regions: regions?,
        warmup: warmup?,
        stop_limit: stop_limit?,
        retries: retries?,
        grants: grants?,
        limits: limits?,
        log: log?,
    })
}

fn read_retries(object: &ObjectNode) -> Option<RetrySettings> {
    let ratio = object.or("ratio", DEFAULT_RETRIES.ratio, |node| node.fraction(0.0..=100.0));
    let slack = object.or("slack", DEFAULT_RETRIES.slack, |node| node.fraction(0.0..=MOST_SLACK));
    let window =
        object.or("window_s", DEFAULT_RETRIES.window, |node| node.seconds(0.1..=LONGEST_WINDOW_S));
    Some(RetrySettings { ratio: ratio?, slack: slack?, window: window? })
}

fn read_grants(object: &ObjectNode) -> Option<GrantSettings> {
    let ahead =
        object.or("ahead_s", DEFAULT_GRANTS.ahead, |node| node.seconds(0.0..=LONGEST_AHEAD_S));
    let share = object.or("share", DEFAULT_GRANTS.share, |node| node.fraction(0.0..=1.0));
    let idle = object.or("idle", DEFAULT_GRANTS.idle, |node| node.fraction(0.0..=1.0));
    Some(GrantSettings { ahead: ahead?, share: share?, idle: idle? })
}

/// The configuration and the upstreams are followed in one way, within the shorter of their times.
fn read_in_force(object: &ObjectNode) -> Option<PropagationSettings> {
    let configuration = object.required("configuration_ms", read_in_force_time);
    let upstreams = object.required("upstreams_ms", read_in_force_time);
    let evacuations = object.optional("evacuations_ms", read_in_force_time);
    Some(PropagationSettings { changes: configuration?.min(upstreams?), evacuations: evacuations? })
}

fn read_in_force_time(node: CheckNode) -> Option<Duration> {
    node.millis(100..=LONGEST_IN_FORCE_MS)
}

/// The region of each data centre, by the data centre's name.
fn read_regions(node: CheckNode) -> Option<BTreeMap<CentreName, RegionName>> {
    let entries = node.entries(|name, region| {
        let Ok(centre) = name.parse::<CentreName>() else {
            return region.fault(CENTRE_NAMES);
        };
        Some((centre, region.parse()?))
    });
    entries.map(|entries| entries.into_iter().collect())
}

fn read_warmup(object: &ObjectNode) -> Option<WarmupSettings> {
    let overage =
        object.or("overage", DEFAULT_WARMUP.overage, |node| node.fraction(0.0..=MOST_OVERAGE));
    let slack = object.or("slack", DEFAULT_WARMUP.slack, |node| node.fraction(0.0..=MOST_SLACK));
    Some(WarmupSettings { overage: overage?, slack: slack? })
}

fn read_limits(object: &ObjectNode) -> Option<ResourceSettings> {
    let memory =
        object.optional("memory_mb", |node| node.number(LEAST_MEMORY_MB..=MOST_MEMORY_MB))?;
    let descriptors = object
        .optional("descriptors", |node| node.small_number(LEAST_DESCRIPTORS..=MOST_DESCRIPTORS))?;
    let memory = memory.map(|megabytes| ByteCount(megabytes * BYTES_IN_MB));
    Some(ResourceSettings { memory, descriptors })
}
