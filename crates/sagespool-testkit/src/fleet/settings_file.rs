//! Settings files of a fleet's processes.

use std::net::SocketAddr;

use sagespool_types::RegionName;
use serde_json::{Value, json};

use super::certificates::CertificateFiles;
use super::{FleetMember, FleetOptions, ServicePlan};

/// Addresses of the platform for one process.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlatformAddresses {
    pub(super) objects: SocketAddr,
    pub(super) instances: SocketAddr,
}

fn common(
    member: &FleetMember,
    region: &RegionName,
    platform: PlatformAddresses,
    files: &CertificateFiles,
    options: &FleetOptions,
) -> Value {
    json!({
        "instance": member.instance,
        "region": region,
        "centre": member.centre,
        "link": {
            "listen": member.link,
            "advertise": member.advertised,
            "certificate": files.certificate,
            "key": files.key,
            "authority": files.authority,
        },
        "http": {"listen": member.http},
        "platform": {"object_api": platform.objects, "instance_list": platform.instances},
        "peers": [],
        "stop_limit_ms": options.stop_limit.as_millis() as u64,
        "log": {"level": options.log_level},
    })
}

fn budget(options: &FleetOptions) -> Value {
    if options.budget == "static-split" {
        return json!({"static-split": {"entries": options.deployment.entry_count()}});
    }
    json!(options.budget)
}

/// The settings of an entry.
pub(super) fn entry_settings(
    member: &FleetMember,
    platform: PlatformAddresses,
    files: &CertificateFiles,
    options: &FleetOptions,
) -> Value {
    let mut settings = common(member, &options.deployment.region, platform, files, options);
    settings["role"] = json!("entry");
    settings["policy"] = json!({"routing": options.routing, "budget": budget(options)});
    settings["ledger"] = json!({
        "settle_interval_ms": options.settle_interval.as_millis() as u64,
        "grant_ahead_ms": options.grant_ahead.as_millis() as u64,
    });
    settings
}

/// The settings of a sidecar.
pub(super) fn sidecar_settings(
    member: &FleetMember,
    upstream_address: SocketAddr,
    plan: &ServicePlan,
    platform: PlatformAddresses,
    files: &CertificateFiles,
    options: &FleetOptions,
) -> Value {
    let mut settings = common(member, &options.deployment.region, platform, files, options);
    settings["role"] = json!("sidecar");
    if let Some((upstream, service)) = &member.upstream {
        let is_engine = plan.tokens_per_second.is_some();
        settings["upstream"] = json!({
            "name": upstream,
            "kind": if is_engine { "engine" } else { "service" },
            "service": service,
            "address": upstream_address,
            "honours_fence": plan.honours_fence,
            "capacity": plan.capacity,
            "models": plan.models,
        });
    }
    settings
}
