//! `configuration`: the objects in the store, and where they are in force.

use std::sync::Arc;
use std::time::Duration;

use sagespool_messages::{MemberInfo, StatusQuery};
use sagespool_operations::{
    AnswerBody, ConfigObjectRow, ConfigRollout, ConfigSection, ConfigurationAnswer, LineError,
    RequiredVersions, ShownSection, config_rollout,
};
use sagespool_platform::{ObjectListing, StoreError};
use sagespool_settings::{
    CONFIGURATION_PREFIX, FLEET_OBJECT_KEY, FleetConfiguration, branch_object_key, branch_shard,
};
use sagespool_types::{ClockTime, ConfigVersion};
use serde_json::Value;

use super::basis::BasisBuilder;
use super::status_query::{MemberReplies, known_members, query_members};
use super::{AnswerWithBasis, OperatorRefusal, unknown_branch};
use crate::state::EntryState;

/// How long an accepted change may take to be in force everywhere before the answer lists the
/// members that are not known to have it.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Answers `configuration`.
pub(super) async fn answer(
    state: &Arc<EntryState>,
    line: &str,
    place: Option<&ConfigSection>,
) -> Result<AnswerWithBasis, OperatorRefusal> {
    let mut basis = BasisBuilder::new();
    basis.note_store_read(state.objects.seen_revision());
    let prefix = place.map_or_else(|| CONFIGURATION_PREFIX.to_owned(), object_of);
    let listing = state.objects.list::<Value>(&prefix).await;
    if let Err(error) = &listing {
        basis.note_store_error(error);
    }
    let config = state.config.current();
    let shown = match place {
        Some(place) => Some(show_place(state, line, place, &listing)?),
        None => None,
    };
    let objects = listing.ok().map(|listing| object_rows(&listing));
    let entry_version = config.map(|config| config.version());
    let wanted = wanted_versions(objects.as_deref(), entry_version);
    let (members, replies) = query_versions(state).await;
    basis.add_replies(&replies);
    basis.note("a member that did not answer is shown with the version that it last reported");
    let in_force = config_rollout(wanted, &members);
    let answer = ConfigurationAnswer { entry_version, objects, in_force, shown };
    Ok((AnswerBody::Configuration(answer), basis))
}

fn object_of(place: &ConfigSection) -> String {
    match place {
        ConfigSection::Branch(branch) => branch_object_key(branch_shard(branch)),
        ConfigSection::Class(_) | ConfigSection::Service(_) => FLEET_OBJECT_KEY.to_owned(),
    }
}

fn object_rows(listing: &ObjectListing<Value>) -> Vec<ConfigObjectRow> {
    let row = |(key, stored): &(String, sagespool_platform::StoredObject<Value>)| ConfigObjectRow {
        key: key.clone(),
        version: stored.version,
        holds: count_held(&stored.value),
    };
    listing.items.iter().map(row).collect()
}

fn count_held(value: &Value) -> u64 {
    let branches = value["branches"].as_object().map_or(0, |branches| branches.len());
    let lists = ["classes", "services"].map(|name| value[name].as_array().map_or(0, Vec::len));
    (branches + lists.iter().sum::<usize>()) as u64
}

/// The versions that members need: entries the newest object, sidecars only the fleet object.
fn wanted_versions(
    objects: Option<&[ConfigObjectRow]>,
    entry_version: Option<ConfigVersion>,
) -> RequiredVersions {
    let Some(objects) = objects else {
        return RequiredVersions { entries: entry_version, sidecars: None };
    };
    let fleet = objects.iter().find(|object| object.key == FLEET_OBJECT_KEY);
    RequiredVersions {
        entries: objects.iter().map(|object| ConfigVersion(object.version.0)).max(),
        sidecars: fleet.map(|object| ConfigVersion(object.version.0)),
    }
}

/// One part of the configuration: from the store, or from the configuration in force here while the
/// store is unreachable.
fn show_place(
    state: &EntryState,
    line: &str,
    place: &ConfigSection,
    listing: &Result<ObjectListing<Value>, StoreError>,
) -> Result<ShownSection, OperatorRefusal> {
    let stored = listing.as_ref().ok().map(|listing| {
        let key = object_of(place);
        listing.items.iter().find(|(listed, _)| *listed == key).map(|(_, stored)| stored)
    });
    let found = match stored {
        Some(stored) => stored.and_then(|stored| {
            Some((value_in(place, &stored.value)?, ConfigVersion(stored.version.0)))
        }),
        None => state
            .config
            .current()
            .and_then(|config| Some((value_in_force(place, &config)?, config.version()))),
    };
    let (value, version) = found.ok_or_else(|| unknown_place(state, line, place))?;
    Ok(ShownSection { place: place.to_string(), version, value })
}

fn value_in(place: &ConfigSection, object: &Value) -> Option<Value> {
    let named = |list: &str, name: &str| {
        let items = object[list].as_array()?;
        items.iter().find(|item| item["name"] == name).cloned()
    };
    match place {
        ConfigSection::Branch(branch) => object["branches"].get(branch.as_str()).cloned(),
        ConfigSection::Class(class) => named("classes", class.as_str()),
        ConfigSection::Service(service) => named("services", service.as_str()),
    }
}

fn value_in_force(place: &ConfigSection, config: &FleetConfiguration) -> Option<Value> {
    let value = match place {
        ConfigSection::Branch(branch) => serde_json::to_value(config.branch(branch)?),
        ConfigSection::Class(class) => serde_json::to_value(config.class(class)?),
        ConfigSection::Service(service) => serde_json::to_value(config.service(service)?),
    };
    value.ok()
}

fn unknown_place(state: &EntryState, line: &str, place: &ConfigSection) -> OperatorRefusal {
    let config = state.config.current();
    let (kind, name, known) = match place {
        ConfigSection::Branch(branch) => return unknown_branch(state, line, branch),
        ConfigSection::Class(class) => {
            let classes = config.iter().flat_map(|config| config.classes());
            ("class", class.to_string(), classes.map(|class| class.name.to_string()).collect())
        }
        ConfigSection::Service(service) => {
            let services = config.iter().flat_map(|config| config.services());
            let names: Vec<String> = services.map(|service| service.name.to_string()).collect();
            ("service", service.to_string(), names)
        }
    };
    let known: Vec<&str> = known.iter().map(String::as_str).collect();
    let message = format!("there is no {kind} `{name}`");
    LineError::at_word(line, &name, message, &known).into()
}

/// The members with their current versions, or the last reported ones of those that don't reply.
async fn query_versions(state: &Arc<EntryState>) -> (Vec<MemberInfo>, MemberReplies) {
    let members = known_members(state, None);
    let replies = query_members(state, &members, &StatusQuery { branch: None, running: 0 }).await;
    (with_replies(members, &replies), replies)
}

fn with_replies(members: Vec<MemberInfo>, replies: &MemberReplies) -> Vec<MemberInfo> {
    let answered = replies.by_member();
    let newest = |member: MemberInfo| match answered.get(&member.incarnation) {
        Some(reply) => reply.member.info.clone(),
        None => member,
    };
    members.into_iter().map(newest).collect()
}

/// Where an accepted change is in force, after a bounded wait. Only members not known to have it
/// are queried again.
pub(super) async fn wait_in_force(
    state: &Arc<EntryState>,
    wanted: RequiredVersions,
    basis: &mut BasisBuilder,
) -> ConfigRollout {
    let deadline = ClockTime::now().after(IN_FORCE_TIMEOUT);
    let query = StatusQuery { branch: None, running: 0 };
    loop {
        let mut members = known_members(state, None);
        let known = config_rollout(wanted, &members);
        let not_known = |member: &MemberInfo| {
            known.not_known().any(|other| other.member.incarnation == member.incarnation)
        };
        let asked: Vec<MemberInfo> =
            members.iter().filter(|info| not_known(info)).cloned().collect();
        let replies = query_members(state, &asked, &query).await;
        members = with_replies(members, &replies);
        let found = config_rollout(wanted, &members);
        if found.not_known().next().is_none() || ClockTime::now() >= deadline {
            basis.add_replies(&replies);
            return found;
        }
        smol::Timer::after(IN_FORCE_POLL_INTERVAL).await;
    }
}
