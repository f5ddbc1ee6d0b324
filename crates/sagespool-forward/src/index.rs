//! Finding the route and the client account of a request.

use std::collections::HashMap;

use sagespool_types::ServiceName;
use twox_hash::XxHash3_64;

use crate::{BranchPlan, ForwardPlan, ForwardRoute, ServicePlan};

/// A plan with what is needed to look things up quickly.
#[derive(Debug)]
pub struct PlanIndex {
    plan: ForwardPlan,
    /// Of each host, the places of its routes, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
    services: HashMap<ServiceName, usize>,
}

/// A request's route, and the service that it goes to.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a ForwardRoute,
    /// The service, chosen by the route's weights.
    pub service: &'a ServiceName,
}

impl PlanIndex {
    /// Prepares a plan.
    pub fn new(plan: ForwardPlan) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(place);
        }
        for places in hosts.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(plan.routes[*place].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (place, branch) in plan.branches.iter().enumerate() {
            keys.extend(branch.keys.iter().map(|key| (key.clone(), place)));
        }
        let names = plan.services.iter().enumerate();
        let services = names.map(|(place, service)| (service.name.clone(), place)).collect();
        Self { plan, hosts, keys, services }
    }

    /// The plan itself.
    pub fn plan(&self) -> &ForwardPlan {
        &self.plan
    }

    /// The route with the longest prefix of a path. A request keeps to one service of a split
    /// route, which its id decides.
    pub fn route(&self, host: &str, path: &str, request: &str) -> Option<RouteMatch<'_>> {
        let host = host.to_ascii_lowercase();
        let places = self.hosts.get(without_port(&host))?;
        let place = places.iter().find(|place| path.starts_with(&self.plan.routes[**place].prefix));
        let route = &self.plan.routes[*place?];
        let service = pick_target(route, request)?;
        Some(RouteMatch { route, service })
    }

    /// The account whose key this is.
    pub fn branch(&self, key: &str) -> Option<&BranchPlan> {
        self.keys.get(key).map(|place| &self.plan.branches[*place])
    }

    /// A service of the plan.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePlan> {
        self.services.get(name).map(|place| &self.plan.services[*place])
    }

    /// Whether requests have to show a key at all.
    pub fn has_branches(&self) -> bool {
        !self.plan.branches.is_empty()
    }
}

fn without_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}

fn pick_target<'a>(route: &'a ForwardRoute, request: &str) -> Option<&'a ServiceName> {
    if let [only] = route.targets.as_slice() {
        return Some(&only.service);
    }
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return route.targets.first().map(|target| &target.service);
    }
    let mut point = XxHash3_64::oneshot(request.as_bytes()) % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(&target.service);
        }
        point -= weight;
    }
    None
}
