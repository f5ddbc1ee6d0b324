//! What one object alone doesn't show.

use sagespool_types::BranchName;

use crate::check::{field_path, nearest_of};
use crate::{
    BranchConfig, FleetConfiguration, ValidationError, ValidationErrors, branch_object_key,
    branch_shard,
};

impl FleetConfiguration {
    /// Checks a change, before it is accepted, for what one object alone doesn't show: classes
    /// and services that branches refer to, keys that two branches share.
    ///
    /// # Errors
    ///
    /// Every fault of `changed` that isn't in force already: an old one must not stop the
    /// change that mends another.
    pub fn check_change(&self, changed: &Self) -> Result<(), ValidationErrors> {
        let present = self.validation_errors();
        let mut faults = changed.validation_errors();
        faults.retain(|fault| !present.contains(fault));
        if faults.is_empty() {
            return Ok(());
        }
        Err(ValidationErrors { faults })
    }

    /// Every reference that leads nowhere, every key that two branches share, every branch in
    /// another shard than its own.
    pub fn validation_errors(&self) -> Vec<ValidationError> {
        let mut faults = Vec::new();
        for (shard, object) in (0..).zip(&self.shards) {
            let parent = format!("{}:$.branches", branch_object_key(shard));
            for (name, entry) in &object.branches {
                let path = field_path(&parent, name.as_str());
                self.note_misplaced(shard, name, &path, &mut faults);
                self.note_shared_keys(name, entry, &path, &mut faults);
                self.note_references(entry, &path, &mut faults);
            }
        }
        faults
    }

    fn note_misplaced(
        &self,
        shard: u64,
        name: &BranchName,
        path: &str,
        faults: &mut Vec<ValidationError>,
    ) {
        let own = branch_shard(name);
        if own == shard {
            return;
        }
        let allowed = format!("this branch only in {}", branch_object_key(own));
        faults.push(new_fault(path.to_owned(), "a branch of another shard".to_owned(), allowed));
    }

    fn note_shared_keys(
        &self,
        name: &BranchName,
        entry: &BranchConfig,
        path: &str,
        faults: &mut Vec<ValidationError>,
    ) {
        for (index, hash) in entry.key_hashes.iter().enumerate() {
            if let Some(other) = self.tokens.other_owner(hash, name) {
                let path = format!("{path}.key_hashes[{index}]");
                let found = format!("a key that branch `{other}` has too");
                faults.push(new_fault(path, found, "a key of its own for each branch".to_owned()));
            }
        }
    }

    fn note_references(&self, entry: &BranchConfig, path: &str, faults: &mut Vec<ValidationError>) {
        let fleet = self.fleet();
        for (index, held) in entry.held_back.iter().enumerate() {
            if self.class(&held.class).is_none() {
                let path = format!("{path}.held_back[{index}].class");
                let words = fleet.classes.iter().map(|class| class.name.as_str()).collect();
                faults.push(unknown_word(path, held.class.as_str(), words));
            }
        }
        for (index, rule) in entry.non_idempotent.iter().enumerate() {
            if self.service(&rule.service).is_none() {
                let path = format!("{path}.non_idempotent[{index}].service");
                let words = fleet.services.iter().map(|service| service.name.as_str()).collect();
                faults.push(unknown_word(path, rule.service.as_str(), words));
            }
        }
    }
}

fn new_fault(path: String, found: String, allowed: String) -> ValidationError {
    ValidationError { path, found, allowed, nearest: None }
}

fn unknown_word(path: String, found: &str, words: Vec<&str>) -> ValidationError {
    let nearest = nearest_of(found, &words);
    let allowed = format!("one of `{}`", words.join("`, `"));
    ValidationError { path, found: format!("{found:?}"), allowed, nearest }
}
