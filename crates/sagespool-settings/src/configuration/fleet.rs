//! Classes and services: the object `configuration/fleet`.

use std::collections::HashMap;

use sagespool_messages::UpstreamKind;
use sagespool_types::{ClassName, ModelName, ServiceName, TokenCount, derives};
use serde_json::Value;

use crate::check::{CheckNode, ObjectNode};
use crate::configuration::route::{read_limits, read_rule};
use crate::document::{check_document, check_text};
use crate::{LimitConfig, RouteRule, ValidationErrors};

derives! { record;
    /// What holds for every branch.
    #[derive(bon::Builder)]
    pub struct FleetObject {
        /// The classes of requests.
        pub classes: Vec<ClassConfig>,
        /// The class of requests that name none.
        pub default_class: ClassName,
        /// The services.
        pub services: Vec<ServiceConfig>,
        /// How long a key is remembered, so that its request can't run twice, in milliseconds.
        pub key_retention_ms: u64,
        /// How long a finished answer is kept for a caller who comes back, in milliseconds.
        pub answer_retention_ms: u64,
    }
}

derives! { record;
    /// A class of requests.
    #[derive(bon::Builder)]
    pub struct ClassConfig {
        /// Its name.
        pub name: ClassName,
        /// Lower goes first.
        pub priority: u8,
        /// The deadline of requests that name none, in milliseconds.
        pub deadline_ms: u64,
        /// The latest deadline that a caller may ask for, in milliseconds.
        pub longest_deadline_ms: u64,
        /// Limits of the class over the whole fleet, split between the homes.
        #[serde(default, skip_serializing_if = "LimitConfig::is_unlimited")]
        #[builder(default)]
        pub limits: LimitConfig,
    }
}

derives! { record;
    /// A service: a set of upstreams that serve the same requests.
    #[derive(bon::Builder)]
    pub struct ServiceConfig {
        /// Its name.
        pub name: ServiceName,
        /// Model engines or plain services.
        pub kind: UpstreamKind,
        /// The models that its engines may load; none for a plain service.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub models: Vec<ModelConfig>,
        /// What a call of a plain service costs, whatever it does; none for engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub price: Option<TokenCount>,
        /// Calls that may never run twice, for every branch.
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
    /// A model.
    #[derive(Eq, bon::Builder)]
    pub struct ModelConfig {
        /// Its name.
        pub name: ModelName,
        /// No token of it is shorter than so many bytes: bounds a prompt's cost.
        pub bytes_per_token: u32,
        /// The most tokens an answer may have.
        pub most_tokens: u32,
    }
}

const GREATEST_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
const GREATEST_RETENTION_MS: u64 = 30 * 24 * 60 * 60 * 1000;
const MOST_CLASSES: usize = 32;
const MOST_SERVICES: usize = 1000;
const GREATEST_PRICE: u64 = u32::MAX as u64;
const GREATEST_BYTES_PER_TOKEN: u32 = 64;
const GREATEST_TOKENS: u32 = 10_000_000;
const KINDS: [(&str, UpstreamKind); 2] =
    [("engine", UpstreamKind::Engine), ("service", UpstreamKind::Service)];

/// Checks the object `configuration/fleet` before it is accepted or taken over.
///
/// # Errors
///
/// Every fault at once.
pub fn check_fleet(value: &Value) -> Result<FleetObject, ValidationErrors> {
    check_document(value, read_object)
}

/// As [`check_fleet`], from a file's text; repeated fields are faults too.
///
/// # Errors
///
/// Every fault at once.
pub fn parse_fleet(text: &str) -> Result<FleetObject, ValidationErrors> {
    check_text(text, read_object)
}

fn read_object(object: &ObjectNode) -> Option<FleetObject> {
    let classes = object.required("classes", |node| {
        node.named_list(1..=MOST_CLASSES, read_class, |class: &ClassConfig| class.name.as_str())
    });
    let default_class = object.required("default_class", CheckNode::parse);
    let services = object.required("services", |node| {
        node.named_list(0..=MOST_SERVICES, read_service, |service: &ServiceConfig| {
            service.name.as_str()
        })
    });
    let retention = |node: CheckNode| node.number(1..=GREATEST_RETENTION_MS);
    let key_retention_ms = object.required("key_retention_ms", retention);
    let answer_retention_ms = object.required("answer_retention_ms", retention);
    note_default_class(object, classes.as_deref(), default_class.as_ref());
    note_retention(object, key_retention_ms, answer_retention_ms);
    note_shared_models(object, services.as_deref().unwrap_or_default());
    Some(FleetObject {
        classes: classes?,
        default_class: default_class?,
        services: services?,
        key_retention_ms: key_retention_ms?,
        answer_retention_ms: answer_retention_ms?,
    })
}

fn read_class(object: &ObjectNode) -> Option<ClassConfig> {
    let name = object.required("name", CheckNode::parse);
    let priority = object.required("priority", |node| node.small_number(0..=255));
    let deadline = |node: CheckNode| node.number(1..=GREATEST_DEADLINE_MS);
    let deadline_ms = object.required("deadline_ms", deadline);
    let longest_deadline_ms = object.required("longest_deadline_ms", deadline);
    let limits = object.or("limits", LimitConfig::default(), |node| node.object(read_limits));
    let (deadline_ms, longest_deadline_ms) = (deadline_ms?, longest_deadline_ms?);
    if deadline_ms > longest_deadline_ms {
        let allowed = format!("at least `deadline_ms`, which is {deadline_ms}");
        return object.fault_at("longest_deadline_ms", longest_deadline_ms.to_string(), allowed);
    }
    Some(ClassConfig {
        name: name?,
        priority: u8::try_from(priority?).expect("the range is one of u8"),
        deadline_ms,
        longest_deadline_ms,
        limits: limits?,
    })
}

fn read_service(object: &ObjectNode) -> Option<ServiceConfig> {
    let name = object.required("name", CheckNode::parse);
    let kind = object.required("kind", |node| node.one_of(&KINDS));
    let models = object.or("models", Vec::new(), |node| {
        node.named_list(0..=MOST_SERVICES, read_model, |model: &ModelConfig| model.name.as_str())
    });
    let price = object.optional("price", |node| node.number(1..=GREATEST_PRICE).map(TokenCount));
    let non_idempotent =
        object.or("non_idempotent", Vec::new(), |node| node.list(|rule| rule.object(read_rule)));
    let limits = object.or("limits", LimitConfig::default(), |node| node.object(read_limits));
    let service = ServiceConfig {
        name: name?,
        kind: kind?,
        models: models?,
        price: price?,
        non_idempotent: non_idempotent?,
        limits: limits?,
    };
    fits_kind(object, &service).then_some(service)
}

/// An engine is paid by the token and has models, a plain service by the call and has none.
fn fits_kind(object: &ObjectNode, service: &ServiceConfig) -> bool {
    let fault = |name, found, allowed| object.fault_at::<()>(name, found, allowed).is_some();
    match (service.kind, service.models.is_empty(), service.price) {
        (UpstreamKind::Engine, true, _) => {
            fault("models", "no model", "at least one model for engines")
        }
        (UpstreamKind::Engine, false, Some(_)) => {
            fault("price", "a price", "no price: engines are paid by the token")
        }
        (UpstreamKind::Service, false, _) => {
            fault("models", "models of a plain service", "no models: only engines have them")
        }
        (UpstreamKind::Service, true, None) => {
            fault("price", "nothing", "a price for each call of a plain service")
        }
        _ => true,
    }
}

fn read_model(object: &ObjectNode) -> Option<ModelConfig> {
    let name = object.required("name", CheckNode::parse);
    let bytes_per_token =
        object.required("bytes_per_token", |node| node.small_number(1..=GREATEST_BYTES_PER_TOKEN));
    let most_tokens = object.required("most_tokens", |node| node.small_number(1..=GREATEST_TOKENS));
    Some(ModelConfig { name: name?, bytes_per_token: bytes_per_token?, most_tokens: most_tokens? })
}

fn note_default_class(
    object: &ObjectNode,
    classes: Option<&[ClassConfig]>,
    default_class: Option<&ClassName>,
) {
    let (Some(classes), Some(default_class)) = (classes, default_class) else { return };
    let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
    object.note_unless_word("default_class", default_class.as_str(), &names);
}

/// An answer that is kept longer than its key would be found by nobody.
fn note_retention(object: &ObjectNode, key_ms: Option<u64>, answer_ms: Option<u64>) {
    let (Some(key_ms), Some(answer_ms)) = (key_ms, answer_ms) else { return };
    if answer_ms > key_ms {
        let allowed = format!("at most `key_retention_ms`, which is {key_ms}");
        object.fault_at::<()>("answer_retention_ms", answer_ms.to_string(), allowed);
    }
}

/// A request names a model only, which must lead to one service.
fn note_shared_models(object: &ObjectNode, services: &[ServiceConfig]) {
    let mut owners: HashMap<&ModelName, &ServiceName> = HashMap::new();
    for (index, service) in services.iter().enumerate() {
        for (place, model) in service.models.iter().enumerate() {
            let Some(other) = owners.insert(&model.name, &service.name) else { continue };
            let at = format!("services[{index}].models[{place}].name");
            let allowed = format!("each model in one service; `{other}` has it already");
            object.fault_below(&at, format!("\"{}\"", model.name), allowed);
        }
    }
}
