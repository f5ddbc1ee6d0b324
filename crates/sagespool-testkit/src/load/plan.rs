//! Planned calls: branch, content, time and entry of each, generated from one seed.

use std::time::Duration;

use bon::Builder;
use fastrand::Rng;
use sagespool_types::{BranchName, ModelName, ServiceName, TokenCount};

use crate::{RunMarker, prompt_tokens};

/// Length of the prompt prefix that keys the engines' caches, see docs/PLATFORM.md.
const PREFIX_BYTES: usize = 256;

/// What a call requests.
#[derive(Debug, Clone, PartialEq)]
pub enum CallKind {
    /// A chat completion.
    Completion {
        /// The model.
        model: ModelName,
        /// The prompt.
        prompt: String,
        /// Limit on the answer's tokens.
        max_tokens: u32,
        /// Tokens that the fake engine will produce.
        length: u32,
        /// Whether the answer is streamed as events.
        stream: bool,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The method.
        method: &'static str,
        /// The path, which contains the marker.
        path: String,
        /// The fixed price of a call.
        price: TokenCount,
    },
}

/// A call with its time and target.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct PlannedCall {
    /// Identifies the call in the upstreams' run log.
    pub marker: RunMarker,
    /// When it is sent, relative to the start of the traffic.
    pub at: Duration,
    /// The branch's bearer token.
    pub token: String,
    /// The content of the request.
    pub kind: CallKind,
    /// Its idempotency key; calls without one are not retried after a broken connection.
    pub key: Option<String>,
    /// Whether it must never run twice.
    #[builder(default)]
    pub non_idempotent: bool,
    /// Its priority class; none for the default.
    pub class: Option<String>,
    /// Its deadline, relative to the time it is sent.
    #[builder(default = Duration::from_secs(20))]
    pub deadline: Duration,
    /// Index of the entry that is tried first.
    pub entry: usize,
    /// Whether it is sent once more with the same key after the answer.
    #[builder(default)]
    pub repeated: bool,
}

impl PlannedCall {
    /// The branch.
    pub fn branch(&self) -> &BranchName {
        &self.marker.branch
    }

    /// Whether the upstreams' run log has its marker. Calls that crash upstreams all have the same
    /// content.
    pub fn is_marked(&self) -> bool {
        match &self.kind {
            CallKind::Completion { prompt, .. } => RunMarker::find(prompt).is_some(),
            CallKind::Service { .. } => true,
        }
    }

    /// The upper bound of its cost, which is what is reserved.
    pub fn greatest_cost(&self) -> TokenCount {
        match &self.kind {
            CallKind::Completion { prompt, max_tokens, .. } => {
                TokenCount(prompt_tokens(prompt) + u64::from(*max_tokens))
            }
            CallKind::Service { price, .. } => *price,
        }
    }

    /// Its cost if the answer is complete.
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
    /// Its bearer token.
    pub token: String,
    /// Its share of the calls, relative to the sum of all weights.
    pub weight: u32,
}

/// Composition of the traffic.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct TrafficMix {
    /// The branches that send calls.
    pub branches: Vec<BranchTraffic>,
    /// The models, chosen uniformly at random.
    pub models: Vec<ModelName>,
    /// A plain service, its price and the path of its non-idempotent calls.
    pub service: Option<(ServiceName, TokenCount, String)>,
    /// Calls of a plain service, in thousandths.
    #[builder(default = 200)]
    pub service_share: u32,
    /// Non-idempotent calls, in thousandths of the service calls.
    #[builder(default = 100)]
    pub non_idempotent_share: u32,
    /// Calls with an idempotency key, in thousandths; non-idempotent calls always have one.
    #[builder(default = 300)]
    pub keyed_share: u32,
    /// Calls that are sent again after their answer, in thousandths of those with a key.
    #[builder(default = 0)]
    pub repeated_share: u32,
    /// Streamed completions, in thousandths of the completions.
    #[builder(default = 600)]
    pub stream_share: u32,
    /// The longest normal answer, in tokens.
    #[builder(default = 24)]
    pub max_answer_tokens: u32,
    /// Long answers, in thousandths.
    #[builder(default = 0)]
    pub long_share: u32,
    /// The longest long answer, in tokens.
    #[builder(default = 24)]
    pub max_long_answer_tokens: u32,
    /// Minimum length of a prompt, in bytes.
    #[builder(default = 200)]
    pub prompt_bytes: usize,
    /// Number of distinct prompt prefixes; the remainder of each prompt is unique.
    #[builder(default = 50)]
    pub prefixes: u32,
    /// Skew of their use: 1 is uniform, higher values prefer the first ones.
    #[builder(default = 1)]
    pub prefix_skew: i32,
    /// The deadline of a call.
    #[builder(default = Duration::from_secs(20))]
    pub deadline: Duration,
    /// Number of entries that calls are spread over.
    pub entries: usize,
}

/// Generates calls; their numbers continue over several plans of one run.
#[derive(Debug)]
pub struct PlanBuilder {
    rng: Rng,
    next: u64,
}

impl PlanBuilder {
    /// The generated calls depend on the seed alone.
    pub fn new(seed: u64) -> Self {
        Self { rng: Rng::with_seed(seed), next: 0 }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.u32(0..1000) < thousandths
    }

    /// The next call of a mix, to be sent at a time relative to the start.
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
        // Engines' caches are keyed by the first 256 bytes, so the unique marker must follow them.
        let mut prompt = format!("Dossier {prefix:04}. ").repeat(PREFIX_BYTES);
        prompt.truncate(PREFIX_BYTES);
        prompt.push_str(&format!(" {marker} len:{length} "));
        while prompt.len() < mix.prompt_bytes {
            prompt.push_str("More of the file. ");
        }
        let max_tokens = length.max(mix.max_answer_tokens);
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
        let longest = if is_long { mix.max_long_answer_tokens } else { mix.max_answer_tokens };
        self.rng.u32(1..=longest.max(1))
    }

    fn prefix(&mut self, mix: &TrafficMix) -> u32 {
        let prefixes = mix.prefixes.max(1);
        if mix.prefix_skew <= 1 {
            return self.rng.u32(0..prefixes);
        }
        let index = self.rng.f64().powi(mix.prefix_skew) * f64::from(prefixes);
        index as u32
    }

    /// The time to the next arrival of a Poisson process with a rate per second; at most 10 s.
    pub fn gap(&mut self, rate: f64) -> Duration {
        let uniform = self.rng.f64().max(1e-12);
        Duration::from_secs_f64((-uniform.ln() / rate).min(10.0))
    }
}

/// Generates calls at a rate per second, from a start time on.
pub fn plan_calls(
    builder: &mut PlanBuilder,
    mix: &TrafficMix,
    rate: f64,
    from: Duration,
    duration: Duration,
) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    let mut at = from;
    loop {
        at += builder.gap(rate);
        if at >= from + duration {
            return calls;
        }
        calls.push(builder.call(mix, at));
    }
}
