//! Settings of sidecars.

use std::net::SocketAddr;

use sagespool_messages::UpstreamKind;
use sagespool_types::{ByteCount, ModelName, ServiceName, UpstreamName};

use crate::check::{ObjectNode, ValueNode};

/// The settings of a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// The upstream beside which the sidecar runs.
    pub upstream: UpstreamSettings,
    /// The answer cache. The fleet's configuration has the retention time.
    pub answers: AnswerSettings,
}

/// The upstream beside which a sidecar runs.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamSettings {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// The service of the upstream.
    pub service: ServiceName,
    /// Where the upstream accepts calls (HTTP).
    pub address: SocketAddr,
    /// Whether the upstream itself rejects orders with an old fencing number.
    pub honours_fence: bool,
    /// How many requests it runs at once; it queues further ones.
    pub capacity: u32,
    /// The models that are loaded at the start; empty for plain services.
    pub models: Vec<ModelName>,
}

/// The finished answers that a sidecar keeps for callers that reconnect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSettings {
    /// Maximum memory of all kept answers together.
    pub most_bytes: ByteCount,
}

/// The fields that [`read_sidecar`] reads in addition to the common ones.
pub(crate) const SIDECAR_FIELDS: [&str; 2] = ["upstream", "answers"];

const MEGABYTE: u64 = 1024 * 1024;
const DEFAULT_ANSWERS: AnswerSettings = AnswerSettings { most_bytes: ByteCount(64 * MEGABYTE) };
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * MEGABYTE;
const MAX_CAPACITY: u32 = 100_000;
const KINDS: [(&str, UpstreamKind); 2] =
    [("engine", UpstreamKind::Engine), ("service", UpstreamKind::Service)];

pub(crate) fn read_sidecar(object: &ObjectNode) -> Option<SidecarSettings> {
    let upstream = object.required("upstream", |node| node.object(read_upstream));
    let answers = object.or_default("answers", DEFAULT_ANSWERS, |node| node.object(read_answers));
    Some(SidecarSettings { upstream: upstream?, answers: answers? })
}

fn read_upstream(object: &ObjectNode) -> Option<UpstreamSettings> {
    let name = object.required("name", ValueNode::parse);
    let kind = object.required("kind", |node| node.one_of(&KINDS));
    let service = object.required("service", ValueNode::parse);
    let address = object.required("address", ValueNode::connect_address);
    let capacity = object.required("capacity", |node| node.number_u32(1..=MAX_CAPACITY));
    let honours_fence = object.or_default("honours_fence", false, ValueNode::boolean);
    let models = object.or_default("models", Vec::new(), |node| node.unique_list(ValueNode::parse));
    let (kind, models) = (kind?, models?);
    if kind == UpstreamKind::Service && !models.is_empty() {
        return object.reject_field(
            "models",
            "models of a plain service",
            "only an engine has models",
        );
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
    let most_bytes = object.or_default("most_bytes", DEFAULT_ANSWERS.most_bytes, |node| {
        node.number(MEGABYTE..=MAX_ANSWER_BYTES).map(ByteCount)
    });
    Some(AnswerSettings { most_bytes: most_bytes? })
}
