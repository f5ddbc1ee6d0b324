//! The configuration that a process applies.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Debug};
use std::sync::Arc;

use sagespool_types::{BranchName, ClassName, ConfigVersion, ModelName, SecretHash, ServiceName};

use crate::configuration::token::TokenIndex;
use crate::{
    BRANCH_SHARD_COUNT, BranchConfig, BranchObject, ClassConfig, FleetObject, ModelConfig,
    ServiceConfig, branch_shard, split_branches,
};

/// One version of the configuration, with indexes for the lookups of the request path.
///
/// A change makes a new version that shares the unchanged parts, so that with 57,000 branches a
/// change of one branch copies one shard. References to a missing class or service have no
/// effect: objects change one after the other, and the state in between must not stop a process.
#[derive(Clone)]
pub struct FleetConfiguration {
    version: ConfigVersion,
    fleet: Arc<FleetIndex>,
    pub(super) shards: Vec<Arc<BranchObject>>,
    pub(super) tokens: TokenIndex,
}

struct FleetIndex {
    object: FleetObject,
    classes: HashMap<ClassName, usize>,
    services: HashMap<ServiceName, usize>,
    models: HashMap<ModelName, (usize, usize)>,
}

impl FleetConfiguration {
    /// Builds a configuration from validated objects. The branches may be in any shard.
    pub fn build<'a>(
        version: ConfigVersion,
        fleet: FleetObject,
        branches: impl IntoIterator<Item = &'a BranchObject>,
    ) -> Self {
        let mut configuration = Self {
            version,
            fleet: Arc::new(FleetIndex::new(fleet)),
            shards: vec![Arc::default(); BRANCH_SHARD_COUNT as usize],
            tokens: TokenIndex::new(),
        };
        let all = branches.into_iter().flat_map(|object| object.branches.clone()).collect();
        for (shard, object) in split_branches(BranchObject { branches: all }) {
            configuration.replace_shard(shard, object);
        }
        configuration
    }

    /// A copy with another fleet object.
    pub fn with_fleet(&self, version: ConfigVersion, fleet: FleetObject) -> Self {
        let mut changed = Self { version, ..self.clone() };
        changed.fleet = Arc::new(FleetIndex::new(fleet));
        changed
    }

    /// A copy with another object for one shard.
    pub fn with_branches(&self, version: ConfigVersion, shard: u64, object: BranchObject) -> Self {
        let mut changed = Self { version, ..self.clone() };
        changed.replace_shard(shard, object);
        changed
    }

    /// The store's revision of its newest object.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The object `configuration/fleet`.
    pub fn fleet(&self) -> &FleetObject {
        &self.fleet.object
    }

    /// The branches of one shard; `None` from [`BRANCH_SHARD_COUNT`](crate::BRANCH_SHARD_COUNT) up.
    pub fn shard(&self, shard: u64) -> Option<&BranchObject> {
        Some(self.shards.get(usize::try_from(shard).ok()?)?)
    }

    /// Every branch, ordered by shard and name.
    pub fn branches(&self) -> impl Iterator<Item = (&BranchName, &BranchConfig)> {
        self.shards.iter().flat_map(|object| &object.branches)
    }

    /// The branch that a bearer token belongs to; `None` if the token is unknown, revoked, or
    /// registered for two branches.
    pub fn branch_by_token(&self, token: &str) -> Option<&BranchName> {
        self.tokens.owner_of(token)
    }

    /// `None` if no branch in its own shard has this name.
    pub fn branch(&self, branch: &BranchName) -> Option<&BranchConfig> {
        self.shard(branch_shard(branch))?.branches.get(branch)
    }

    /// `None` if no class has this name.
    pub fn class(&self, class: &ClassName) -> Option<&ClassConfig> {
        let index = *self.fleet.classes.get(class)?;
        Some(&self.fleet.object.classes[index])
    }

    /// Every class, in the order of the fleet object.
    pub fn classes(&self) -> impl Iterator<Item = &ClassConfig> {
        self.fleet.object.classes.iter()
    }

    /// The class of requests that don't name one.
    pub fn default_class(&self) -> &ClassConfig {
        self.class(&self.fleet.object.default_class)
            .expect("a validated fleet object has its default class")
    }

    /// `None` if no service has this name.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceConfig> {
        let index = *self.fleet.services.get(service)?;
        Some(&self.fleet.object.services[index])
    }

    /// Every service, in the order of the fleet object.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.fleet.object.services.iter()
    }

    /// Every model of every service.
    pub fn models(&self) -> impl Iterator<Item = &ModelConfig> {
        self.services().flat_map(|service| &service.models)
    }

    /// The service whose engines serve a model.
    pub fn service_of_model(&self, model: &ModelName) -> Option<&ServiceConfig> {
        let (index, _) = *self.fleet.models.get(model)?;
        Some(&self.fleet.object.services[index])
    }

    /// `None` if no service has this model.
    pub fn model(&self, model: &ModelName) -> Option<&ModelConfig> {
        let (index, model_index) = *self.fleet.models.get(model)?;
        Some(&self.fleet.object.services[index].models[model_index])
    }

    /// Whether a call must not run twice, by a rule of the service or of the branch.
    pub fn is_non_idempotent(
        &self,
        branch: &BranchName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> bool {
        let by_service = self.service(service).is_some_and(|config| {
            config.non_idempotent.iter().any(|rule| rule.matches(method, path))
        });
        by_service || self.matches_branch_rule(branch, service, method, path)
    }

    fn matches_branch_rule(
        &self,
        branch: &BranchName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> bool {
        let Some(config) = self.branch(branch) else { return false };
        let mut rules = config.non_idempotent.iter().filter(|rule| rule.service == *service);
        rules.any(|rule| rule.route.matches(method, path))
    }

    /// Doesn't index keys of branches that belong to another shard: lookups don't find these branches.
    fn replace_shard(&mut self, shard: u64, object: BranchObject) {
        let Some(index) = usize::try_from(shard).ok().filter(|at| *at < self.shards.len()) else {
            return;
        };
        let old = std::mem::replace(&mut self.shards[index], Arc::new(object));
        let new = self.shards[index].clone();
        for (name, hash) in keys_missing_in(&old.branches, &new.branches) {
            self.tokens.remove(hash, name);
        }
        let added = keys_missing_in(&new.branches, &old.branches);
        for (name, hash) in added.filter(|(name, _)| branch_shard(name) == shard) {
            self.tokens.add(hash, name);
        }
    }
}

impl Debug for FleetConfiguration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let branches: usize = self.shards.iter().map(|object| object.branches.len()).sum();
        f.debug_struct("FleetConfiguration")
            .field("fleet", &self.fleet.object)
            .field("branches", &branches)
            .finish_non_exhaustive()
    }
}

impl FleetIndex {
    fn new(object: FleetObject) -> Self {
        let classes = object.classes.iter().enumerate();
        let classes = classes.map(|(index, class)| (class.name.clone(), index)).collect();
        let services = object.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index)).collect();
        let mut models = HashMap::new();
        for (index, service) in object.services.iter().enumerate() {
            for (model_index, model) in service.models.iter().enumerate() {
                models.insert(model.name.clone(), (index, model_index));
            }
        }
        Self { object, classes, services, models }
    }
}

type BranchMap = BTreeMap<BranchName, BranchConfig>;

fn keys_missing_in<'a>(
    from: &'a BranchMap,
    other: &'a BranchMap,
) -> impl Iterator<Item = (&'a BranchName, &'a SecretHash)> {
    from.iter().flat_map(move |(name, config)| {
        let kept = other.get(name).map_or(&[][..], |config| &config.key_hashes);
        let missing = config.key_hashes.iter().filter(move |hash| !kept.contains(hash));
        missing.map(move |hash| (name, hash))
    })
}
