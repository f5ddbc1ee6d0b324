//! Checks across the objects of the configuration.

use sagespool_types::BranchName;

use crate::check::{field_path, nearest_of};
use crate::{
    BranchConfig, FleetConfiguration, ValidationError, ValidationErrors, branch_object_key,
    branch_shard,
};

impl FleetConfiguration {
    /// Checks a change, before it is accepted, across objects: classes and services that branches
    /// refer to, and keys that two branches share.
    ///
    /// # Errors
    ///
    /// Every error of `changed` that the present configuration doesn't have. Older errors don't
    /// block a change, so that they can be corrected one at a time.
    pub fn check_change(&self, changed: &Self) -> Result<(), ValidationErrors> {
        let present = self.validation_errors();
        let mut errors = changed.validation_errors();
        errors.retain(|error| !present.contains(error));
        if errors.is_empty() {
            return Ok(());
        }
        Err(ValidationErrors { errors })
    }

    /// Every reference to an unknown class or service, every key that two branches share, and every
    /// branch in a shard other than its own.
    pub fn validation_errors(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        for (shard, object) in (0..).zip(&self.shards) {
            let parent = format!("{}:$.branches", branch_object_key(shard));
            for (name, config) in &object.branches {
                let path = field_path(&parent, name.as_str());
                self.check_shard(shard, name, &path, &mut errors);
                self.check_shared_keys(name, config, &path, &mut errors);
                self.check_references(config, &path, &mut errors);
            }
        }
        errors
    }

    fn check_shard(
        &self,
        shard: u64,
        name: &BranchName,
        path: &str,
        errors: &mut Vec<ValidationError>,
    ) {
        let own = branch_shard(name);
        if own == shard {
            return;
        }
        let allowed = format!("this branch only in {}", branch_object_key(own));
        errors.push(new_error(path.to_owned(), "a branch of another shard".to_owned(), allowed));
    }

    fn check_shared_keys(
        &self,
        name: &BranchName,
        config: &BranchConfig,
        path: &str,
        errors: &mut Vec<ValidationError>,
    ) {
        for (index, hash) in config.key_hashes.iter().enumerate() {
            if let Some(other) = self.tokens.other_owner(hash, name) {
                let path = format!("{path}.key_hashes[{index}]");
                let found = format!("a key that branch `{other}` has too");
                errors.push(new_error(path, found, "a key of its own for each branch".to_owned()));
            }
        }
    }

    fn check_references(
        &self,
        config: &BranchConfig,
        path: &str,
        errors: &mut Vec<ValidationError>,
    ) {
        let fleet = self.fleet();
        for (index, held) in config.held_back.iter().enumerate() {
            if self.class(&held.class).is_none() {
                let path = format!("{path}.held_back[{index}].class");
                let names = fleet.classes.iter().map(|class| class.name.as_str()).collect();
                errors.push(unknown_name(path, held.class.as_str(), names));
            }
        }
        for (index, rule) in config.non_idempotent.iter().enumerate() {
            if self.service(&rule.service).is_none() {
                let path = format!("{path}.non_idempotent[{index}].service");
                let names = fleet.services.iter().map(|service| service.name.as_str()).collect();
                errors.push(unknown_name(path, rule.service.as_str(), names));
            }
        }
    }
}

fn new_error(path: String, found: String, allowed: String) -> ValidationError {
    ValidationError { path, found, allowed, nearest: None }
}

fn unknown_name(path: String, found: &str, names: Vec<&str>) -> ValidationError {
    let nearest = nearest_of(found, &names);
    let allowed = format!("one of `{}`", names.join("`, `"));
    ValidationError { path, found: format!("{found:?}"), allowed, nearest }
}
