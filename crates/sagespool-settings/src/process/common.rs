//! Settings that entries and sidecars have in common.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use sagespool_log::LogLevel;
use sagespool_messages::MemberRole;
use sagespool_types::{CentreName, InstanceName, RegionName};

use crate::check::{ObjectNode, ValueNode};
use crate::document::check_text;
use crate::process::entry::{ENTRY_FIELDS, read_entry};
use crate::process::sidecar::{SIDECAR_FIELDS, read_sidecar};
use crate::{EntrySettings, SecretText, SidecarSettings, ValidationErrors};

/// The settings of one entry or sidecar process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessSettings {
    /// The instance's name, as in the instance list.
    pub instance: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Data centre of the instance.
    pub centre: CentreName,
    /// The link to other processes.
    pub link: LinkSettings,
    /// The HTTP listener: callers for an entry, metrics and health for both roles.
    pub http: HttpSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Link addresses of other processes, used while the instance list can't be read.
    pub peers: Vec<SocketAddr>,
    /// How long a graceful stop waits for requests in flight.
    pub stop_limit: Duration,
    /// Log settings.
    pub log: LogSettings,
    /// Settings of the role.
    pub role: RoleSettings,
}

/// The settings of one role.
#[derive(Debug, Clone, PartialEq)]
pub enum RoleSettings {
    /// Serves callers and is the home of branches.
    Entry(EntrySettings),
    /// Runs beside one upstream.
    Sidecar(SidecarSettings),
}

impl RoleSettings {
    /// The role without its settings.
    pub fn kind(&self) -> MemberRole {
        match self {
            Self::Entry(_) => MemberRole::Entry,
            Self::Sidecar(_) => MemberRole::Sidecar,
        }
    }
}

/// The link to other processes.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkSettings {
    /// The UDP listen address; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The address that other processes connect to; `None` if it is the listen address.
    pub advertise: Option<SocketAddr>,
    /// PEM file of this process's certificate chain.
    pub certificate: PathBuf,
    /// PEM file of its private key.
    pub key: PathBuf,
    /// PEM file of the certificate authority that signs the certificates of all processes.
    pub authority: PathBuf,
}

/// The HTTP listener of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpSettings {
    /// The TCP listen address; with port 0 the system chooses the port.
    pub listen: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// The object store's API.
    pub object_api: SocketAddr,
    /// The API that lists the instances.
    pub instance_list: SocketAddr,
    /// The bearer token for both; `None` if they need none.
    pub token: Option<SecretText>,
}

/// Log settings.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LogLevel,
}

const MIN_STOP_LIMIT_MS: u64 = 100;
const MAX_STOP_LIMIT_MS: u64 = 24 * 60 * 60 * 1000;
const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(30);
const ROLES: [(&str, MemberRole); 2] =
    [("entry", MemberRole::Entry), ("sidecar", MemberRole::Sidecar)];

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Every validation error at once, with its path, what was found and what is allowed. The files
/// that the settings name aren't checked; see [`check_files`](crate::check_files).
pub fn parse_process_settings(text: &str) -> Result<ProcessSettings, ValidationErrors> {
    check_text(text, read_process)
}

fn read_process(object: &ObjectNode) -> Option<ProcessSettings> {
    let role = object.required("role", |node| node.one_of(&ROLES));
    let instance = object.required("instance", ValueNode::parse);
    let region = object.required("region", ValueNode::parse);
    let centre = object.required("centre", ValueNode::parse);
    let link = object.required("link", |node| node.object(read_link));
    let http = read_http(object, role);
    let platform = object.required("platform", |node| node.object(read_platform));
    let peers = object.or_default("peers", Vec::new(), read_peers);
    let stop_limit = object.or_default("stop_limit_ms", DEFAULT_STOP_LIMIT, |node| {
        node.millis(MIN_STOP_LIMIT_MS..=MAX_STOP_LIMIT_MS)
    });
    let default_log = LogSettings { level: LogLevel::Info };
    let log = object.or_default("log", default_log, |node| node.object(read_log));
    let role = read_role(object, role);
    Some(ProcessSettings {
        instance: instance?,
        region: region?,
        centre: centre?,
        link: link?,
        http: http?,
        platform: platform?,
        peers: peers?,
        stop_limit: stop_limit?,
        log: log?,
        role: role?,
    })
}

/// With an unknown role, accepts the fields of both roles: otherwise one misspelt role name would
/// make all of them unknown fields.
fn read_role(object: &ObjectNode, role: Option<MemberRole>) -> Option<RoleSettings> {
    match role {
        Some(MemberRole::Entry) => read_entry(object).map(RoleSettings::Entry),
        Some(MemberRole::Sidecar) => read_sidecar(object).map(RoleSettings::Sidecar),
        None => {
            object.allow(&ENTRY_FIELDS);
            object.allow(&SIDECAR_FIELDS);
            None
        }
    }
}

fn read_link(object: &ObjectNode) -> Option<LinkSettings> {
    let listen = object.required("listen", ValueNode::listen_address);
    let advertise = object.optional("advertise", ValueNode::connect_address);
    let certificate = object.required("certificate", ValueNode::pem_path);
    let key = object.required("key", ValueNode::pem_path);
    let authority = object.required("authority", ValueNode::pem_path);
    let (listen, advertise) = (listen?, advertise?);
    if listen.ip().is_unspecified() && advertise.is_none() {
        let allowed = "required if `listen` is an unspecified IP, as peers can't connect to that";
        return object.reject_field("advertise", "nothing", allowed);
    }
    Some(LinkSettings {
        listen,
        advertise,
        certificate: certificate?,
        key: key?,
        authority: authority?,
    })
}

/// The limits beside `listen` are entry settings and are read with these.
fn read_http(object: &ObjectNode, role: Option<MemberRole>) -> Option<HttpSettings> {
    object.required("http", |node| {
        node.object(|http| {
            if role != Some(MemberRole::Sidecar) {
                http.allow(&["body_limit_bytes", "header_limit_bytes"]);
            }
            let listen = http.required("listen", ValueNode::listen_address);
            Some(HttpSettings { listen: listen? })
        })
    })
}

fn read_platform(object: &ObjectNode) -> Option<PlatformSettings> {
    let object_api = object.required("object_api", ValueNode::connect_address);
    let instance_list = object.required("instance_list", ValueNode::connect_address);
    let token = object.optional("token", |node| node.secret("a bearer token"));
    Some(PlatformSettings { object_api: object_api?, instance_list: instance_list?, token: token? })
}

pub(crate) fn read_peers(node: ValueNode) -> Option<Vec<SocketAddr>> {
    node.unique_list(ValueNode::connect_address)
}

pub(crate) fn read_log(object: &ObjectNode) -> Option<LogSettings> {
    let levels = LogLevel::ALL.map(|level| (level.as_str(), level));
    let level = object.or_default("level", LogLevel::Info, |node| node.one_of(&levels));
    Some(LogSettings { level: level? })
}
