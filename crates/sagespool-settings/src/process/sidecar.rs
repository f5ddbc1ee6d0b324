//! What only a sidecar is told.

use std::net::SocketAddr;

use sagespool_messages::UpstreamKind;
use sagespool_types::{ByteCount, ModelName, ServiceName, UpstreamName};

use crate::check::{CheckNode, ObjectNode};

/// The settings of a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// The upstream it stands beside.
    pub upstream: UpstreamSettings,
    /// The answers it keeps. For how long is in the fleet's configuration.
    pub answers: AnswerSettings,
}

/// The upstream that a sidecar stands beside.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamSettings {
    /// Its name.
    pub name: UpstreamName,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it takes calls (HTTP).
    pub address: SocketAddr,
    /// Whether it refuses orders with an old fencing number by itself.
    pub honours_fence: bool,
    /// How many requests it runs at once before it queues.
    pub capacity: u32,
    /// The models that it has loaded at the start; empty for plain services.
    pub models: Vec<ModelName>,
}

/// The answers that a sidecar keeps for callers who come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSettings {
    /// The most memory they may take, all together.
    pub most_bytes: ByteCount,
}

/// The fields that [`read_sidecar`] reads beside the common ones.
pub(crate) const SIDECAR_FIELDS: [&str; 2] = ["upstream", "answers"];

const MEGABYTE: u64 = 1024 * 1024;
const DEFAULT_ANSWERS: AnswerSettings = AnswerSettings { most_bytes: ByteCount(64 * MEGABYTE) };
const GREATEST_ANSWERS: u64 = 64 * 1024 * MEGABYTE;
const GREATEST_CAPACITY: u32 = 100_000;
const KINDS: [(&str, UpstreamKind); 2] =
    [("engine", UpstreamKind::Engine), ("service", UpstreamKind::Service)];

pub(crate) fn read_sidecar(object: &ObjectNode) -> Option<SidecarSettings> {
    let upstream = object.required("upstream", |node| node.object(read_upstream));
    let answers = object.or("answers", DEFAULT_ANSWERS, |node| node.object(read_answers));
    Some(SidecarSettings { upstream: upstream?, answers: answers? })
}

fn read_upstream(object: &ObjectNode) -> Option<UpstreamSettings> {
    let name = object.required("name", CheckNode::parse);
    let kind = object.required("kind", |node| node.one_of(&KINDS));
    let service = object.required("service", CheckNode::parse);
    let address = object.required("address", CheckNode::reached_address);
    let capacity = object.required("capacity", |node| node.small_number(1..=GREATEST_CAPACITY));
    let honours_fence = object.or("honours_fence", false, CheckNode::flag);
    let models = object.or("models", Vec::new(), |node| node.list_of_unique(CheckNode::parse));
    let (kind, models) = (kind?, models?);
    if kind == UpstreamKind::Service && !models.is_empty() {
        return object.fault_at("models", "models of a plain service", "only an engine has models");
    }
    Some(UpstreamSettings {
        name: name?,
        kind,
        service: service?,
        address: address?,
        honours_fence: honours_fence?,
        capacity: capacity?,
        models,
    })
}

fn read_answers(object: &ObjectNode) -> Option<AnswerSettings> {
    let most_bytes = object.or("most_bytes", DEFAULT_ANSWERS.most_bytes, |node| {
        node.number(MEGABYTE..=GREATEST_ANSWERS).map(ByteCount)
    });
    Some(AnswerSettings { most_bytes: most_bytes? })
}
