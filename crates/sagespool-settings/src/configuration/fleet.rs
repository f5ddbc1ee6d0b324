//! Classes and services: the object `configuration/fleet`.

use std::collections::HashMap;

use sagespool_messages::UpstreamKind;
use sagespool_types::{ClassName, ModelName, ServiceName, TokenCount, derives};
use serde_json::Value;

use crate::check::{ObjectNode, ValueNode};
use crate::configuration::route::{read_limits, read_rule};
use crate::document::{check_document, check_text};
use crate::{LimitConfig, RouteRule, ValidationErrors};

derives! { record;
    /// The configuration that applies to every branch.
    #[derive(bon::Builder)]
    pub struct FleetObject {
        /// Classes of requests.
        pub classes: Vec<ClassConfig>,
        /// The class of requests that don't name one.
        pub default_class: ClassName,
        /// Services with unique names.
        pub services: Vec<ServiceConfig>,
        /// How long a key is remembered, so that its request can't run twice, in milliseconds.
        pub key_retention_ms: u64,
        /// How long a finished answer is kept for callers that reconnect, in milliseconds.
        pub answer_retention_ms: u64,
    }
}

derives! { record;
    /// A class of requests.
    #[derive(bon::Builder)]
    pub struct ClassConfig {
        /// Unique in the fleet.
        pub name: ClassName,
        /// Lower values are served first.
        pub priority: u8,
        /// The deadline of requests that don't name one, in milliseconds.
        pub deadline_ms: u64,
        /// The longest deadline that a caller may request, in milliseconds.
        pub longest_deadline_ms: u64,
        /// Limits of the class over the whole fleet, divided between the homes.
        #[serde(default, skip_serializing_if = "LimitConfig::is_unlimited")]
        #[builder(default)]
        pub limits: LimitConfig,
    }
}

derives! { record;
    /// A service: a set of upstreams that serve the same requests.
    #[derive(bon::Builder)]
    pub struct ServiceConfig {
        /// Unique in the fleet.
        pub name: ServiceName,
        /// Model engines or plain services.
        pub kind: UpstreamKind,
        /// The models that its engines may load; none for a plain service.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub models: Vec<ModelConfig>,
        /// The fixed price of a call of a plain service; none for engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub price: Option<TokenCount>,
        /// Calls that must not run twice, for every branch.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub non_idempotent: Vec<RouteRule>,
        /// Limits of each of its upstreams.
        #[serde(default, skip_serializing_if = "LimitConfig::is_unlimited")]
        #[builder(default)]
        pub limits: LimitConfig,
    }
}

derives! { record;
    /// A model of an engine service.
    #[derive(Eq, bon::Builder)]
    pub struct ModelConfig {
        /// Unique in the fleet.
        pub name: ModelName,
        /// Lower bound on the bytes of a token, for the upper bound on a prompt's cost.
        pub bytes_per_token: u32,
        /// The maximum number of tokens in an answer.
        pub most_tokens: u32,
    }
}

const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
const MAX_RETENTION_MS: u64 = 30 * 24 * 60 * 60 * 1000;
const MAX_CLASSES: usize = 32;
const MAX_SERVICES_OR_MODELS: usize = 1000;
const MAX_PRICE: u64 = u32::MAX as u64;
const MAX_BYTES_PER_TOKEN: u32 = 64;
const MAX_MODEL_TOKENS: u32 = 10_000_000;
const KINDS: [(&str, UpstreamKind); 2] =
    [("engine", UpstreamKind::Engine), ("service", UpstreamKind::Service)];

/// Validates the object `configuration/fleet`, before it is accepted or applied.
///
/// # Errors
///
/// Every validation error at once.
pub fn check_fleet(value: &Value) -> Result<FleetObject, ValidationErrors> {
    check_document(value, read_object)
}

/// Like [`check_fleet`], but parses `text` first; repeated fields are also errors.
///
/// # Errors
///
/// Every validation error at once.
pub fn parse_fleet(text: &str) -> Result<FleetObject, ValidationErrors> {
    check_text(text, read_object)
}

fn read_object(object: &ObjectNode) -> Option<FleetObject> {
    let classes = object.required("classes", |node| {
        node.named_list(1..=MAX_CLASSES, read_class, |class: &ClassConfig| class.name.as_str())
    });
    let default_class = object.required("default_class", ValueNode::parse);
    let services = object.required("services", |node| {
        node.named_list(0..=MAX_SERVICES_OR_MODELS, read_service, |service: &ServiceConfig| {
            service.name.as_str()
        })
    });
    let retention = |node: ValueNode| node.number(1..=MAX_RETENTION_MS);
    let key_retention_ms = object.required("key_retention_ms", retention);
    let answer_retention_ms = object.required("answer_retention_ms", retention);
    check_default_class(object, classes.as_deref(), default_class.as_ref());
    check_retention(object, key_retention_ms, answer_retention_ms);
    check_shared_models(object, services.as_deref().unwrap_or_default());
    Some(FleetObject {
        classes: classes?,
        default_class: default_class?,
        services: services?,
        key_retention_ms: key_retention_ms?,
        answer_retention_ms: answer_retention_ms?,
    })
}

fn read_class(object: &ObjectNode) -> Option<ClassConfig> {
    let name = object.required("name", ValueNode::parse);
    let priority = object.required("priority", |node| node.number_u32(0..=255));
    let deadline = |node: ValueNode| node.number(1..=MAX_DEADLINE_MS);
    let deadline_ms = object.required("deadline_ms", deadline);
    let longest_deadline_ms = object.required("longest_deadline_ms", deadline);
    let limits =
        object.or_default("limits", LimitConfig::default(), |node| node.object(read_limits));
    let (deadline_ms, longest_deadline_ms) = (deadline_ms?, longest_deadline_ms?);
    if deadline_ms > longest_deadline_ms {
        let allowed = format!("at least `deadline_ms`, which is {deadline_ms}");
        return object.reject_field(
            "longest_deadline_ms",
            longest_deadline_ms.to_string(),
            allowed,
        );
    }
    Some(ClassConfig {
        name: name?,
        priority: u8::try_from(priority?).expect("the range fits in u8"),
        deadline_ms,
        longest_deadline_ms,
        limits: limits?,
    })
}

fn read_service(object: &ObjectNode) -> Option<ServiceConfig> {
    let name = object.required("name", ValueNode::parse);
    let kind = object.required("kind", |node| node.one_of(&KINDS));
    let models = object.or_default("models", Vec::new(), |node| {
        node.named_list(0..=MAX_SERVICES_OR_MODELS, read_model, |model: &ModelConfig| {
            model.name.as_str()
        })
    });
    let price = object.optional("price", |node| node.number(1..=MAX_PRICE).map(TokenCount));
    let non_idempotent = object
        .or_default("non_idempotent", Vec::new(), |node| node.list(|rule| rule.object(read_rule)));
    let limits =
        object.or_default("limits", LimitConfig::default(), |node| node.object(read_limits));
    let service = ServiceConfig {
        name: name?,
        kind: kind?,
        models: models?,
        price: price?,
        non_idempotent: non_idempotent?,
        limits: limits?,
    };
    matches_kind(object, &service).then_some(service)
}

/// Engines are billed by the token and have models; plain services are billed by the call and
/// have none.
fn matches_kind(object: &ObjectNode, service: &ServiceConfig) -> bool {
    let error = |name, found, allowed| object.reject_field::<()>(name, found, allowed).is_some();
    match (service.kind, service.models.is_empty(), service.price) {
        (UpstreamKind::Engine, true, _) => {
            error("models", "no model", "at least one model for engines")
        }
        (UpstreamKind::Engine, false, Some(_)) => {
            error("price", "a price", "no price: engines are paid by the token")
        }
        (UpstreamKind::Service, false, _) => {
            error("models", "models of a plain service", "no models: only engines have them")
        }
        (UpstreamKind::Service, true, None) => {
            error("price", "nothing", "a price for each call of a plain service")
        }
        _ => true,
    }
}

fn read_model(object: &ObjectNode) -> Option<ModelConfig> {
    let name = object.required("name", ValueNode::parse);
    let bytes_per_token =
        object.required("bytes_per_token", |node| node.number_u32(1..=MAX_BYTES_PER_TOKEN));
    let most_tokens = object.required("most_tokens", |node| node.number_u32(1..=MAX_MODEL_TOKENS));
    Some(ModelConfig { name: name?, bytes_per_token: bytes_per_token?, most_tokens: most_tokens? })
}

fn check_default_class(
    object: &ObjectNode,
    classes: Option<&[ClassConfig]>,
    default_class: Option<&ClassName>,
) {
    let (Some(classes), Some(default_class)) = (classes, default_class) else { return };
    let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
    object.reject_unless_known("default_class", default_class.as_str(), &names);
}

/// An answer can't be looked up after its key has expired.
fn check_retention(object: &ObjectNode, key_ms: Option<u64>, answer_ms: Option<u64>) {
    let (Some(key_ms), Some(answer_ms)) = (key_ms, answer_ms) else { return };
    if answer_ms > key_ms {
        let allowed = format!("at most `key_retention_ms`, which is {key_ms}");
        object.reject_field::<()>("answer_retention_ms", answer_ms.to_string(), allowed);
    }
}

/// A request names only the model, so a model must belong to exactly one service.
fn check_shared_models(object: &ObjectNode, services: &[ServiceConfig]) {
    let mut owners: HashMap<&ModelName, &ServiceName> = HashMap::new();
    for (index, service) in services.iter().enumerate() {
        for (model_index, model) in service.models.iter().enumerate() {
            let Some(other) = owners.insert(&model.name, &service.name) else { continue };
            let subpath = format!("services[{index}].models[{model_index}].name");
            let allowed = format!("each model in one service; `{other}` has it already");
            object.reject_below(&subpath, format!("\"{}\"", model.name), allowed);
        }
    }
}
