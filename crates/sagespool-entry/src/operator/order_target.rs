//! Resolving the target upstream of an order.

use sagespool_messages::{EngineOrder, MemberInfo, MemberRole, UpstreamKind};
use sagespool_operations::{ItemOutcome, OutcomeState, nearest_of};
use sagespool_types::{ModelName, UpstreamName};

use super::status_query::known_members;
use crate::state::EntryState;

/// An order's upstream and the sidecar beside it.
pub(super) struct OrderTarget {
    pub upstream: UpstreamName,
    pub sidecar: MemberInfo,
}

/// Finds an upstream by its name, or for a drain also by the name of its sidecar's instance.
pub(super) fn find_target(
    state: &EntryState,
    name: &str,
    order: &EngineOrder,
) -> Result<OrderTarget, Box<ItemOutcome>> {
    let members = known_members(state, None);
    let sidecars = members.iter().filter(|member| member.role == MemberRole::Sidecar);
    let named = sidecars.filter_map(|sidecar| {
        let served = sidecar.serves.as_ref()?;
        let is_meant = served.upstream.as_str() == name
            || (is_drain(order) && sidecar.instance.as_str() == name);
        let upstream = served.upstream.clone();
        is_meant.then_some(OrderTarget { upstream, sidecar: sidecar.clone() })
    });
    // Of several incarnations of a sidecar the newest is current.
    if let Some(target) = named.max_by_key(|target| target.sidecar.number) {
        return Ok(target);
    }
    if members.iter().any(|member| member.instance.as_str() == name) {
        let message = format!("`{name}` has no upstream for orders; an entry can be stopped");
        return Err(Box::new(ItemOutcome::new(OutcomeState::Refused, message)));
    }
    Err(Box::new(unknown_target(&members, name)))
}

fn unknown_target(members: &[MemberInfo], name: &str) -> ItemOutcome {
    let upstreams = members.iter().filter_map(|member| member.serves.as_ref());
    let names: Vec<&str> = upstreams.map(|served| served.upstream.as_str()).collect();
    ItemOutcome::builder()
        .state(OutcomeState::Refused)
        .message(format!("there is no upstream `{name}` in this entry's view of the fleet"))
        .maybe_nearest(nearest_of(name, &names))
        .build()
}

fn is_drain(order: &EngineOrder) -> bool {
    matches!(order, EngineOrder::Drain(_))
}

/// The refusal of an order that does not fit the upstream. A model that the configuration does not
/// assign to the upstream's service would receive no requests.
pub(super) fn check_order(
    state: &EntryState,
    target: &OrderTarget,
    order: &EngineOrder,
) -> Option<ItemOutcome> {
    if target.sidecar.serves.as_ref()?.kind == UpstreamKind::Service && !is_drain(order) {
        let message =
            format!("`{}` is a plain service and does not accept this order", target.upstream);
        return Some(ItemOutcome::new(OutcomeState::Refused, message));
    }
    let model: &ModelName = match order {
        EngineOrder::LoadModel(model) | EngineOrder::LoadAdapter { model, .. } => model,
        EngineOrder::UnloadModel(_) | EngineOrder::Drain(_) => return None,
    };
    let config = state.config.current()?;
    let service = &target.sidecar.serves.as_ref()?.service;
    if config.service_of_model(model).is_some_and(|entry| entry.name == *service) {
        return None;
    }
    let models = config.service(service).into_iter().flat_map(|entry| &entry.models);
    let names: Vec<&str> = models.map(|model| model.name.as_str()).collect();
    let message = format!("service `{service}` of `{}` has no model `{model}`", target.upstream);
    let refusal = ItemOutcome::builder()
        .state(OutcomeState::Refused)
        .message(message)
        .maybe_nearest(nearest_of(model.as_str(), &names));
    Some(refusal.build())
}
