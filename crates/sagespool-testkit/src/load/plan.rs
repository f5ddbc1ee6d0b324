//! Planned calls: who sends what, when and through which entry, all from one seed.

use std::time::Duration;

use bon::Builder;
use fastrand::Rng;
use sagespool_types::{BranchName, ModelName, ServiceName, TokenCount};

use crate::{RunMarker, prompt_tokens};

/// What engines take for a prompt's prefix, see docs/PLATFORM.md.
const PREFIX_BYTES: usize = 256;

/// What a call asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum CallKind {
    /// A chat completion.
    Completion {
        /// The model.
        model: ModelName,
        /// The prompt.
        prompt: String,
        /// The most tokens of the answer.
        max_tokens: u32,
        /// How long the answer will be, as the stand-in will have it.
        length: u32,
        /// Whether it is wanted as events.
        stream: bool,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The method.
        method: &'static str,
        /// The path, with the marker.
        path: String,
        /// The settled price.
        price: TokenCount,
    },
}

/// One call.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct PlannedCall {
    /// Its marker, which the upstreams' log finds it by.
    pub marker: RunMarker,
    /// When it is sent, from the start.
    pub at: Duration,
    /// The branch's key.
    pub token: String,
    /// What it asks for.
    pub kind: CallKind,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether it may never run twice.
    #[builder(default)]
    pub non_idempotent: bool,
    /// Its class.
    pub class: Option<String>,
    /// Its deadline, from when it is sent.
    #[builder(default = Duration::from_secs(20))]
    pub deadline: Duration,
    /// The first entry that it is sent through.
    pub entry: usize,
    /// Sent once more with the same key after the answer.
    #[builder(default)]
    pub repeated: bool,
}

impl PlannedCall {
    /// The branch.
    pub fn branch(&self) -> &BranchName {
        &self.marker.branch
    }

    /// The most that it may cost.
    pub fn greatest_cost(&self) -> TokenCount {
        match &self.kind {
            CallKind::Completion { prompt, max_tokens, .. } => {
                TokenCount(prompt_tokens(prompt) + u64::from(*max_tokens))
            }
            CallKind::Service { price, .. } => *price,
        }
    }

    /// What it costs if its answer comes whole.
    pub fn whole_cost(&self) -> TokenCount {
        match &self.kind {
            CallKind::Completion { prompt, length, .. } => {
                TokenCount(prompt_tokens(prompt) + u64::from(*length))
            }
            CallKind::Service { price, .. } => *price,
        }
    }
}

/// A branch that sends calls.
#[derive(Debug, Clone, PartialEq)]
pub struct BranchTraffic {
    /// The branch.
    pub branch: BranchName,
    /// Its key.
    pub token: String,
    /// Its share of the calls against the others.
    pub weight: u32,
}

/// What traffic is made of.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct TrafficMix {
    /// The branches, with their shares.
    pub branches: Vec<BranchTraffic>,
    /// The models, taken in turn.
    pub models: Vec<ModelName>,
    /// A plain service, its price and the path of its calls that may never run twice.
    pub service: Option<(ServiceName, TokenCount, String)>,
    /// Calls of a plain service, in thousandths.
    #[builder(default = 200)]
    pub service_share: u32,
    /// Service calls that may never run twice, in thousandths of the service calls.
    #[builder(default = 100)]
    pub non_idempotent_share: u32,
    /// Calls with a key, in thousandths; those that may never run twice always have one.
    #[builder(default = 300)]
    pub keyed_share: u32,
    /// Keyed calls that are sent again after their answer, in thousandths of the keyed ones.
    #[builder(default = 0)]
    pub repeated_share: u32,
    /// Completions as events, in thousandths.
    #[builder(default = 600)]
    pub stream_share: u32,
    /// The longest answer.
    #[builder(default = 24)]
    pub longest_answer: u32,
    /// Answers that are longer than that, in thousandths.
    #[builder(default = 0)]
    pub long_share: u32,
    /// The longest of those.
    #[builder(default = 24)]
    pub longest_long_answer: u32,
    /// Bytes of a prompt.
    #[builder(default = 200)]
    pub prompt_bytes: usize,
    /// Different beginnings of prompts; the rest of each is its own.
    #[builder(default = 50)]
    pub prefixes: u32,
    /// How unevenly they are used: 1 for all alike, 2 for some more than others.
    #[builder(default = 1)]
    pub prefix_skew: i32,
    /// The deadline of a call.
    #[builder(default = Duration::from_secs(20))]
    pub deadline: Duration,
    /// The entries that calls are spread over.
    pub entries: usize,
}

/// Makes plans; numbers go on over several plans of one run.
#[derive(Debug)]
pub struct PlanBuilder {
    rng: Rng,
    next: u64,
}

impl PlanBuilder {
    /// A builder whose plans depend on the seed alone.
    pub fn new(seed: u64) -> Self {
        Self { rng: Rng::with_seed(seed), next: 0 }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.u32(0..1000) < thousandths
    }

    /// The next call of a mix, to be sent at a moment.
    pub fn call(&mut self, mix: &TrafficMix, at: Duration) -> PlannedCall {
        let total: u32 = mix.branches.iter().map(|branch| branch.weight).sum();
        let mut left = self.rng.u32(0..total.max(1));
        let mut chosen = &mix.branches[0];
        for branch in &mix.branches {
            if left < branch.weight {
                chosen = branch;
                break;
            }
            left -= branch.weight;
        }
        self.next += 1;
        let marker = RunMarker { branch: chosen.branch.clone(), number: self.next };
        let is_service = self.chance(mix.service_share);
        let (kind, non_idempotent) = match &mix.service {
            Some(service) if is_service => self.service_call(mix, service, &marker),
            _ => (self.completion(mix, &marker), false),
        };
        let keyed = non_idempotent || self.chance(mix.keyed_share);
        let key = keyed.then(|| format!("key-{}-{}", chosen.branch, self.next));
        let repeated = keyed && self.chance(mix.repeated_share);
        PlannedCall {
            marker,
            at,
            token: chosen.token.clone(),
            kind,
            key,
            non_idempotent,
            class: None,
            deadline: mix.deadline,
            entry: self.rng.usize(0..mix.entries.max(1)),
            repeated,
        }
    }

    fn service_call(
        &mut self,
        mix: &TrafficMix,
        (service, price, path): &(ServiceName, TokenCount, String),
        marker: &RunMarker,
    ) -> (CallKind, bool) {
        let non_idempotent = self.chance(mix.non_idempotent_share);
        let (method, path) = match non_idempotent {
            true => ("POST", format!("{path}/{marker}")),
            false => ("GET", format!("/status/{marker}")),
        };
        let (service, price) = (service.clone(), *price);
        (CallKind::Service { service, method, path, price }, non_idempotent)
    }

    fn completion(&mut self, mix: &TrafficMix, marker: &RunMarker) -> CallKind {
        let model = mix.models[self.rng.usize(0..mix.models.len())].clone();
        let length = self.length(mix);
        let prefix = self.prefix(mix);
        // Engines' caches are keyed by the first 256 bytes: the marker must come after them.
        let mut prompt = format!("Dossier {prefix:04}. ").repeat(PREFIX_BYTES);
        prompt.truncate(PREFIX_BYTES);
        prompt.push_str(&format!(" {marker} len:{length} "));
        while prompt.len() < mix.prompt_bytes {
            prompt.push_str("More of the file. ");
        }
        let max_tokens = length.max(mix.longest_answer);
        CallKind::Completion {
            model,
            prompt,
            max_tokens,
            length,
            stream: self.chance(mix.stream_share),
        }
    }

    fn length(&mut self, mix: &TrafficMix) -> u32 {
        let is_long = mix.long_share > 0 && self.chance(mix.long_share);
        let longest = if is_long { mix.longest_long_answer } else { mix.longest_answer };
        self.rng.u32(1..=longest.max(1))
    }

    fn prefix(&mut self, mix: &TrafficMix) -> u32 {
        let prefixes = mix.prefixes.max(1);
        if mix.prefix_skew <= 1 {
            return self.rng.u32(0..prefixes);
        }
        let place = self.rng.f64().powi(mix.prefix_skew) * f64::from(prefixes);
        place as u32
    }

    /// The time to the next arrival at a rate, as arrivals that know nothing of each other have it.
    pub fn gap(&mut self, rate: f64) -> Duration {
        let uniform = self.rng.f64().max(1e-12);
        Duration::from_secs_f64((-uniform.ln() / rate).min(10.0))
    }
}

/// Calls at a rate for a time, from a moment on.
pub fn plan_calls(
    builder: &mut PlanBuilder,
    mix: &TrafficMix,
    rate: f64,
    from: Duration,
    lasting: Duration,
) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    let mut at = from;
    loop {
        at += builder.gap(rate);
        if at >= from + lasting {
            return calls;
        }
        calls.push(builder.call(mix, at));
    }
}
