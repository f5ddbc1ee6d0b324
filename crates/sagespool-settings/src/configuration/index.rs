//! The configuration that a process has in force.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Debug};
use std::sync::Arc;

use sagespool_types::{BranchName, ClassName, ConfigVersion, ModelName, SecretHash, ServiceName};

use crate::configuration::token::TokenIndex;
use crate::{
    BRANCH_SHARDS, BranchConfig, BranchObject, ClassConfig, FleetObject, ModelConfig,
    ServiceConfig, branch_shard, split_branches,
};

/// One state of the configuration, with the lookups of a request's way.
///
/// A change makes a new one that shares what didn't change, so that with
/// 57,000 branches a change of one of them costs one shard. What refers to a
/// class or service that isn't there is without effect: two objects change
/// one after the other, and the state between must not stop a process.
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
    /// A configuration of checked objects, whichever shards the branches come in.
    pub fn build<'a>(
        version: ConfigVersion,
        fleet: FleetObject,
        branches: impl IntoIterator<Item = &'a BranchObject>,
    ) -> Self {
        let mut configuration = Self {
            version,
            fleet: Arc::new(FleetIndex::new(fleet)),
            shards: vec![Arc::default(); BRANCH_SHARDS as usize],
            tokens: TokenIndex::new(),
        };
        let all = branches.into_iter().flat_map(|object| object.branches.clone()).collect();
        for (shard, object) in split_branches(BranchObject { branches: all }) {
            configuration.replace_shard(shard, object);
        }
        configuration
    }

    /// The same with another fleet object.
    pub fn with_fleet(&self, version: ConfigVersion, fleet: FleetObject) -> Self {
        let mut changed = Self { version, ..self.clone() };
        changed.fleet = Arc::new(FleetIndex::new(fleet));
        changed
    }

    /// The same with another object of one shard.
    pub fn with_branches(&self, version: ConfigVersion, shard: u64, object: BranchObject) -> Self {
        let mut changed = Self { version, ..self.clone() };
        changed.replace_shard(shard, object);
        changed
    }

    /// The store's revision of its newest object.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The fleet's object.
    pub fn fleet(&self) -> &FleetObject {
        &self.fleet.object
    }

    /// One shard of the branches.
    pub fn shard(&self, shard: u64) -> Option<&BranchObject> {
        Some(self.shards.get(usize::try_from(shard).ok()?)?)
    }

    /// Every branch, by shard and name.
    pub fn branches(&self) -> impl Iterator<Item = (&BranchName, &BranchConfig)> {
        self.shards.iter().flat_map(|object| &object.branches)
    }

    /// The branch that a bearer token belongs to; none if it is unknown or revoked.
    pub fn branch_by_token(&self, token: &str) -> Option<&BranchName> {
        self.tokens.owner_of(token)
    }

    /// A branch.
    pub fn branch(&self, branch: &BranchName) -> Option<&BranchConfig> {
        self.shard(branch_shard(branch))?.branches.get(branch)
    }

    /// A class.
    pub fn class(&self, class: &ClassName) -> Option<&ClassConfig> {
        let place = *self.fleet.classes.get(class)?;
        Some(&self.fleet.object.classes[place])
    }

    /// Every class.
    pub fn classes(&self) -> impl Iterator<Item = &ClassConfig> {
        self.fleet.object.classes.iter()
    }

    /// The class of requests that name none.
    pub fn default_class(&self) -> &ClassConfig {
        self.class(&self.fleet.object.default_class)
            .expect("a checked object has its default class")
    }

    /// A service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceConfig> {
        let place = *self.fleet.services.get(service)?;
        Some(&self.fleet.object.services[place])
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.fleet.object.services.iter()
    }

    /// Every model of every service.
    pub fn models(&self) -> impl Iterator<Item = &ModelConfig> {
        self.services().flat_map(|service| &service.models)
    }

    /// The service whose engines serve a model.
    pub fn service_of_model(&self, model: &ModelName) -> Option<&ServiceConfig> {
        let (place, _) = *self.fleet.models.get(model)?;
        Some(&self.fleet.object.services[place])
    }

    /// A model.
    pub fn model(&self, model: &ModelName) -> Option<&ModelConfig> {
        let (place, inner) = *self.fleet.models.get(model)?;
        Some(&self.fleet.object.services[place].models[inner])
    }

    /// Whether a call may never run twice, by the service's rules or the branch's.
    pub fn is_non_idempotent(
        &self,
        branch: &BranchName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> bool {
        let service_says = self.service(service).is_some_and(|entry| {
            entry.non_idempotent.iter().any(|rule| rule.matches(method, path))
        });
        service_says || self.branch_declares(branch, service, method, path)
    }

    fn branch_declares(
        &self,
        branch: &BranchName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> bool {
        let Some(entry) = self.branch(branch) else { return false };
        let mut rules = entry.non_idempotent.iter().filter(|rule| rule.service == *service);
        rules.any(|rule| rule.route.matches(method, path))
    }

    /// Keys of branches in a shard that isn't theirs are left out: the branch itself isn't found.
    fn replace_shard(&mut self, shard: u64, object: BranchObject) {
        let Some(place) = usize::try_from(shard).ok().filter(|at| *at < self.shards.len()) else {
            return;
        };
        let old = std::mem::replace(&mut self.shards[place], Arc::new(object));
        let new = self.shards[place].clone();
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
        let classes = classes.map(|(place, class)| (class.name.clone(), place)).collect();
        let services = object.services.iter().enumerate();
        let services = services.map(|(place, service)| (service.name.clone(), place)).collect();
        let mut models = HashMap::new();
        for (place, service) in object.services.iter().enumerate() {
            for (inner, model) in service.models.iter().enumerate() {
                models.insert(model.name.clone(), (place, inner));
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
    from.iter().flat_map(move |(name, entry)| {
        let kept = other.get(name).map_or(&[][..], |entry| &entry.key_hashes);
        let missing = entry.key_hashes.iter().filter(move |hash| !kept.contains(hash));
        missing.map(move |hash| (name, hash))
    })
}
