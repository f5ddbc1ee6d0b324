//! Looks up the route and the client account of a request.

use std::collections::HashMap;
use std::time::Duration;

use sagespool_types::ServiceName;
use twox_hash::XxHash3_64;

use crate::{BranchPlan, ForwardPlan, ForwardRoute, ServicePlan};

/// A plan with indexes for lookup.
#[derive(Debug)]
pub struct PlanIndex {
    plan: ForwardPlan,
    /// Positions of each host's routes, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
    services: HashMap<ServiceName, usize>,
    tightest_target: Option<Duration>,
}

/// A request's route, and the service that it goes to.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// The route with the longest matching prefix.
    pub route: &'a ForwardRoute,
    /// The service, chosen by the route's weights.
    pub service: &'a ServiceName,
}

impl PlanIndex {
    /// Indexes a plan.
    pub fn new(plan: ForwardPlan) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(position);
        }
        for positions in hosts.values_mut() {
            positions
                .sort_by_key(|position| std::cmp::Reverse(plan.routes[*position].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (position, branch) in plan.branches.iter().enumerate() {
            keys.extend(branch.keys.iter().map(|key| (key.clone(), position)));
        }
        let names = plan.services.iter().enumerate();
        let services = names.map(|(position, service)| (service.name.clone(), position)).collect();
        let tightest_target = plan.routes.iter().map(|route| route.latency_target).min();
        Self { plan, hosts, keys, services, tightest_target }
    }

    /// The tightest latency target of the routes; `None` if there are none.
    pub fn tightest_target(&self) -> Option<Duration> {
        self.tightest_target
    }

    /// The indexed plan.
    pub fn plan(&self) -> &ForwardPlan {
        &self.plan
    }

    /// The route with the longest prefix of a path. The request id decides between the services of
    /// a split route, so that retries of a request go to the same service.
    pub fn route(&self, host: &str, path: &str, request: &str) -> Option<RouteMatch<'_>> {
        let host = host.to_ascii_lowercase();
        let positions = self.hosts.get(without_port(&host))?;
        let position = positions
            .iter()
            .find(|position| path.starts_with(&self.plan.routes[**position].prefix));
        let route = &self.plan.routes[*position?];
        let service = pick_target(route, request)?;
        Some(RouteMatch { route, service })
    }

    /// The account that a key belongs to.
    pub fn branch(&self, key: &str) -> Option<&BranchPlan> {
        self.keys.get(key).map(|position| &self.plan.branches[*position])
    }

    /// A service of the plan. None if the plan doesn't define it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePlan> {
        self.services.get(name).map(|position| &self.plan.services[*position])
    }

    /// Whether the plan has client accounts. If not, requests need no key.
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
