//! What both roles are told.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use sagespool_log::LogLevel;
use sagespool_messages::MemberRole;
use sagespool_types::{CentreName, InstanceName, RegionName};

use crate::check::{CheckNode, ObjectNode};
use crate::document::check_text;
use crate::process::entry::{ENTRY_FIELDS, read_entry};
use crate::process::sidecar::{SIDECAR_FIELDS, read_sidecar};
use crate::{EntrySettings, SecretText, SidecarSettings, ValidationErrors};

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessSettings {
    /// The instance's name, as the instance list has it.
    pub instance: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub centre: CentreName,
    /// The link to other processes.
    pub link: LinkSettings,
    /// Where it listens for HTTP: callers for an entry, metrics and health for both roles.
    pub http: HttpSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Links of other processes to begin with, while the instance list can't be read.
    pub peers: Vec<SocketAddr>,
    /// How long a graceful stop waits for requests in flight.
    pub stop_limit: Duration,
    /// The log.
    pub log: LogSettings,
    /// What only its role needs.
    pub role: RoleSettings,
}

/// The settings of one role.
#[derive(Debug, Clone, PartialEq)]
pub enum RoleSettings {
    /// Takes callers' requests and is home of branches.
    Entry(EntrySettings),
    /// Stands beside one upstream.
    Sidecar(SidecarSettings),
}

impl RoleSettings {
    /// The role itself.
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
    /// Where it listens (UDP); port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Where others reach it, if that isn't where it listens.
    pub advertise: Option<SocketAddr>,
    /// PEM file of this process's certificate chain.
    pub certificate: PathBuf,
    /// PEM file of its private key.
    pub key: PathBuf,
    /// PEM file of the authority that every process's certificate is signed by.
    pub authority: PathBuf,
}

/// Where a process listens for HTTP.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpSettings {
    /// The address (TCP); port 0 lets the system choose.
    pub listen: SocketAddr,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// The object API.
    pub object_api: SocketAddr,
    /// The instance list.
    pub instance_list: SocketAddr,
    /// The bearer token for both, if they want one.
    pub token: Option<SecretText>,
}

/// The log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// The least important level that is logged.
    pub level: LogLevel,
}

const LEAST_STOP_LIMIT_MS: u64 = 100;
const GREATEST_STOP_LIMIT_MS: u64 = 24 * 60 * 60 * 1000;
const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(30);
const ROLES: [(&str, MemberRole); 2] =
    [("entry", MemberRole::Entry), ("sidecar", MemberRole::Sidecar)];

/// Checks the text of a settings file.
///
/// # Errors
///
/// Every fault at once: its path, what was found and what is allowed. Files
/// that the settings name aren't looked at; see [`check_files`](crate::check_files).
pub fn parse_process_settings(text: &str) -> Result<ProcessSettings, ValidationErrors> {
    check_text(text, read_process)
}

fn read_process(object: &ObjectNode) -> Option<ProcessSettings> {
    let role = object.required("role", |node| node.one_of(&ROLES));
    let instance = object.required("instance", CheckNode::parse);
    let region = object.required("region", CheckNode::parse);
    let centre = object.required("centre", CheckNode::parse);
    let link = object.required("link", |node| node.object(read_link));
    let http = read_http(object, role);
    let platform = object.required("platform", |node| node.object(read_platform));
    let peers = object.or("peers", Vec::new(), read_peers);
    let stop_limit = object.or("stop_limit_ms", DEFAULT_STOP_LIMIT, |node| {
        node.millis(LEAST_STOP_LIMIT_MS..=GREATEST_STOP_LIMIT_MS)
    });
    let default_log = LogSettings { level: LogLevel::Info };
    let log = object.or("log", default_log, |node| node.object(read_log));
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

/// With an unknown role, the fields of either are let pass: they would all
/// be called unknown because of one misspelt word.
fn read_role(object: &ObjectNode, role: Option<MemberRole>) -> Option<RoleSettings> {
    match role {
        Some(MemberRole::Entry) => read_entry(object).map(RoleSettings::Entry),
        Some(MemberRole::Sidecar) => read_sidecar(object).map(RoleSettings::Sidecar),
        None => {
            object.know(&ENTRY_FIELDS);
            object.know(&SIDECAR_FIELDS);
            None
        }
    }
}

fn read_link(object: &ObjectNode) -> Option<LinkSettings> {
    let listen = object.required("listen", CheckNode::listen_address);
    let advertise = object.optional("advertise", CheckNode::reached_address);
    let certificate = object.required("certificate", CheckNode::file_path);
    let key = object.required("key", CheckNode::file_path);
    let authority = object.required("authority", CheckNode::file_path);
    let (listen, advertise) = (listen?, advertise?);
    if listen.ip().is_unspecified() && advertise.is_none() {
        let allowed = "required where `listen` is on every address, as others can't connect to it";
        return object.fault_at("advertise", "nothing", allowed);
    }
    Some(LinkSettings {
        listen,
        advertise,
        certificate: certificate?,
        key: key?,
        authority: authority?,
    })
}

/// The limits beside `listen` belong to the entry and are read with it.
fn read_http(object: &ObjectNode, role: Option<MemberRole>) -> Option<HttpSettings> {
    object.required("http", |node| {
        node.object(|http| {
            if role != Some(MemberRole::Sidecar) {
                http.know(&["body_limit_bytes", "header_limit_bytes"]);
            }
            let listen = http.required("listen", CheckNode::listen_address);
            Some(HttpSettings { listen: listen? })
        })
    })
}

fn read_platform(object: &ObjectNode) -> Option<PlatformSettings> {
    let object_api = object.required("object_api", CheckNode::reached_address);
    let instance_list = object.required("instance_list", CheckNode::reached_address);
    let token = object.optional("token", |node| node.secret("a bearer token"));
    Some(PlatformSettings { object_api: object_api?, instance_list: instance_list?, token: token? })
}

pub(crate) fn read_peers(node: CheckNode) -> Option<Vec<SocketAddr>> {
    node.list_of_unique(CheckNode::reached_address)
}

pub(crate) fn read_log(object: &ObjectNode) -> Option<LogSettings> {
    let words = LogLevel::ALL.map(|level| (level.as_str(), level));
    let level = object.or("level", LogLevel::Info, |node| node.one_of(&words));
    Some(LogSettings { level: level? })
}
