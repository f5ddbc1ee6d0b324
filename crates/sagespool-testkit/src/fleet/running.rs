//! A running fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sagespool_ledger::{BookRecord, TopUpOutcome, book_key, book_of};
use sagespool_messages::MemberRole;
use sagespool_platform::{ObjectClient, ObjectOptions, StoreError, UpdateChoice, update_object};
use sagespool_settings::{FLEET_OBJECT_KEY, branch_object_key, split_branches};
use sagespool_types::{
    BranchName, CentreName, ClockTime, CommandId, InstanceName, ServiceName, StoreRevision,
    TokenCount, TokenRate, UpstreamName,
};
use serde::Serialize;
use tempfile::TempDir;

use super::certificates::CertificateSet;
use super::member::{FleetMember, free_addresses};
use super::settings_file::{PlatformAddresses, entry_settings, sidecar_settings};
use super::{FleetError, FleetOptions, ProcessEvent, ProcessEventKind, ServicePlan};
use crate::processes::{ChildProcess, END_WITH_STDIN};
use crate::{
    EngineOptions, FakeEngine, FakeInstanceList, FakeObjectStore, FakeService, FaultProxy,
    InstanceEntry, InstanceListOptions, InstanceState, ObjectStoreOptions, RunLog, ServiceOptions,
};

const MAX_CREATE_TRIES: u32 = 4;
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Names of the platform's servers at the fault proxy.
const STORE_NAME: &str = "store";
const LIST_NAME: &str = "list";

/// A fleet of real processes on loopback, with fakes of the platform and the upstreams.
pub struct RunningFleet {
    /// Options of the start.
    pub options: FleetOptions,
    /// The fake object store.
    pub store: FakeObjectStore,
    /// The fake instance list.
    pub list: FakeInstanceList,
    /// Fake engines by name.
    pub engines: BTreeMap<UpstreamName, FakeEngine>,
    /// Fake plain services by name.
    pub services: BTreeMap<UpstreamName, FakeService>,
    /// All runs recorded by the upstreams.
    pub run_log: RunLog,
    /// The fault proxy, if the fleet is proxied.
    pub proxy: Option<FaultProxy>,
    /// The processes, entries first.
    pub members: Vec<FleetMember>,
    /// A client with direct access to the store, unaffected by the proxy.
    pub objects: ObjectClient,
    /// Starts, stop orders and exits of the processes.
    pub process_events: Vec<ProcessEvent>,
    certificates: CertificateSet,
    directory: TempDir,
}

impl RunningFleet {
    /// Starts the fakes and all processes, and waits until all are ready.
    ///
    /// # Errors
    /// If anything can't be started, or a process is not ready within 20 s.
    pub async fn start(options: FleetOptions) -> Result<Self, Report<FleetError>> {
        let fault = |doing: &str| FleetError::new(doing);
        let directory = TempDir::new().change_context_lazy(|| fault("creating a directory"))?;
        let certificates = CertificateSet::create(directory.path())?;
        let store = FakeObjectStore::start(ObjectStoreOptions::builder().build())
            .change_context_lazy(|| fault("starting the store"))?;
        let list =
            FakeInstanceList::start(InstanceListOptions::builder().lag(options.list_lag).build())
                .change_context_lazy(|| fault("starting the instance list"))?;
        let proxy = match options.proxied {
            true => Some(FaultProxy::start().change_context_lazy(|| fault("starting the proxy"))?),
            false => None,
        };
        let objects = ObjectClient::new(ObjectOptions::builder().address(store.address()).build());
        let mut fleet = Self {
            options,
            store,
            list,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            run_log: RunLog::new(),
            proxy,
            members: Vec::new(),
            objects,
            process_events: Vec::new(),
            certificates,
            directory,
        };
        fleet.write_configuration().await?;
        fleet.top_up_branches().await?;
        fleet.start_upstreams()?;
        fleet.register_members()?;
        for index in 0..fleet.members.len() {
            fleet.start_member(index)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn write_configuration(&self) -> Result<(), Report<FleetError>> {
        let fault = || FleetError::new("writing the configuration to the store");
        self.create(FLEET_OBJECT_KEY, &self.options.fleet).await.change_context_lazy(fault)?;
        for (shard, object) in split_branches(self.options.branches.clone()) {
            let created = self.create(&branch_object_key(shard), &object).await;
            created.change_context_lazy(fault)?;
        }
        Ok(())
    }

    /// Creates an object of the new store. A write whose response was lost is tried again; that it exists then
    /// shows that it was written, since nobody else writes yet.
    async fn create<T: Serialize>(&self, key: &str, value: &T) -> Result<(), StoreError> {
        let mut is_uncertain = false;
        for _ in 0..MAX_CREATE_TRIES {
            match self.objects.put(key, StoreRevision::ZERO, value).await {
                Ok(_) => return Ok(()),
                Err(StoreError::Conflict { .. }) if is_uncertain => return Ok(()),
                Err(StoreError::Uncertain) => is_uncertain = true,
                Err(error) => return Err(error),
            }
        }
        Err(StoreError::Uncertain)
    }

    async fn top_up_branches(&self) -> Result<(), Report<FleetError>> {
        for (branch, deposit) in &self.options.deployment.branches {
            top_up(&self.objects, branch, deposit.prepaid, CommandId::random()).await?;
        }
        Ok(())
    }

    fn start_upstreams(&mut self) -> Result<(), Report<FleetError>> {
        let deployment = self.options.deployment.clone();
        let mut counts: BTreeMap<ServiceName, u32> = BTreeMap::new();
        for centre in &deployment.centres {
            for (service, number) in &centre.upstreams {
                let plan = deployment.services.get(service).ok_or_else(|| {
                    Report::new(FleetError::new(format!(
                        "looking for the plan of service {service}"
                    )))
                })?;
                for _ in 0..*number {
                    let count = counts.entry(service.clone()).or_default();
                    *count += 1;
                    let name = format!("{service}-{count}");
                    self.start_upstream(&name, service, &centre.name, plan)?;
                }
            }
        }
        Ok(())
    }

    fn start_upstream(
        &mut self,
        name: &str,
        service: &ServiceName,
        centre: &CentreName,
        plan: &ServicePlan,
    ) -> Result<(), Report<FleetError>> {
        let fault = || FleetError::new(format!("starting upstream {name}"));
        let upstream: UpstreamName = name.parse().change_context_lazy(fault)?;
        if let Some(rate) = plan.tokens_per_second {
            let tuning = self.options.engine;
            let options = EngineOptions::builder()
                .name(upstream.clone())
                .models(plan.models.clone())
                .capacity(plan.capacity as usize)
                .token_rate(TokenRate(rate))
                .honours_fences(plan.honours_fence && !self.ignores_fences())
                .load_lag(tuning.load_lag)
                .first_token_base(tuning.first_token_base)
                .prompt_token_time(tuning.prompt_token_time)
                .tick(tuning.tick)
                .run_log(self.run_log.clone())
                .seed(self.options.seed)
                .build();
            let engine = FakeEngine::start(options).change_context_lazy(fault)?;
            self.engines.insert(upstream.clone(), engine);
        } else {
            let options = ServiceOptions::builder()
                .name(upstream.clone())
                .capacity(plan.capacity as usize)
                .latency(Duration::from_millis(plan.answer_ms.unwrap_or(0)))
                .run_log(self.run_log.clone())
                .build();
            let service = FakeService::start(options).change_context_lazy(fault)?;
            self.services.insert(upstream.clone(), service);
        }
        let instance = format!("{name}-sidecar");
        self.add_member(&instance, centre, Some((upstream, service.clone())))
    }

    fn register_members(&mut self) -> Result<(), Report<FleetError>> {
        let centres = self.options.deployment.centres.clone();
        for centre in &centres {
            for number in 1..=centre.entries {
                let instance = format!("{}-entry-{number}", centre.name);
                self.add_member(&instance, &centre.name, None)?;
            }
        }
        // Entries first, so that the first member accepts callers.
        self.members.sort_by_key(|member| !member.is_entry());
        for member in &self.members {
            self.list.set(instance_entry(member, &self.options));
        }
        Ok(())
    }

    fn add_member(
        &mut self,
        instance: &str,
        centre: &CentreName,
        upstream: Option<(UpstreamName, ServiceName)>,
    ) -> Result<(), Report<FleetError>> {
        let fault = || FleetError::new(format!("preparing {instance}"));
        let name: InstanceName = instance.parse().change_context_lazy(fault)?;
        let (http, link) = free_addresses()?;
        let advertised = match &self.proxy {
            Some(proxy) => {
                proxy.register_sender(instance, link);
                proxy.udp_link(instance, link).change_context_lazy(fault)?
            }
            None => link,
        };
        self.members.push(FleetMember {
            instance: name,
            centre: centre.clone(),
            http,
            link,
            advertised,
            upstream,
            settings: self.directory.path().join(format!("{instance}.json")),
            log: self.directory.path().join(format!("{instance}.log")),
            process: None,
        });
        Ok(())
    }

    fn proxied_address(
        &self,
        from: &InstanceName,
        to: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<FleetError>> {
        let fault = || FleetError::new(format!("opening the link from {from} to {to}"));
        match &self.proxy {
            Some(proxy) => proxy.tcp_link(from.as_str(), to, target).change_context_lazy(fault),
            None => Ok(target),
        }
    }

    fn write_settings(&self, member: &FleetMember) -> Result<(), Report<FleetError>> {
        let fault = || FleetError::new(format!("writing the settings of {}", member.instance));
        let platform = PlatformAddresses {
            objects: self.proxied_address(&member.instance, STORE_NAME, self.store.address())?,
            instances: self.proxied_address(&member.instance, LIST_NAME, self.list.address())?,
        };
        let files = self.certificates.issue(member.instance.as_str())?;
        let settings = match &member.upstream {
            None => entry_settings(member, platform, &files, &self.options),
            Some((upstream, service)) => {
                let address = self.upstream_address(upstream);
                let address = self.proxied_address(&member.instance, upstream.as_str(), address)?;
                let plan = &self.options.deployment.services[service];
                sidecar_settings(member, address, plan, platform, &files, &self.options)
            }
        };
        std::fs::write(&member.settings, settings.to_string()).change_context_lazy(fault)
    }

    /// True if the next engine to start ignores fencing numbers.
    fn ignores_fences(&self) -> bool {
        self.options.mixed_fences && self.engines.len() % 2 == 1
    }

    fn upstream_address(&self, upstream: &UpstreamName) -> SocketAddr {
        match self.engines.get(upstream) {
            Some(engine) => engine.address(),
            None => self.services[upstream].address(),
        }
    }

    /// Starts the process of a member, which must not be running.
    ///
    /// # Errors
    /// If the settings can't be written or the process can't be started.
    pub fn start_member(&mut self, index: usize) -> Result<(), Report<FleetError>> {
        if !self.members[index].settings.exists() {
            self.write_settings(&self.members[index])?;
        }
        let daemon = self.options.binaries.daemon.clone();
        let member = &mut self.members[index];
        let fault = || FleetError::new(format!("starting {}", member.instance));
        let argument = member.settings.display().to_string();
        let arguments = [END_WITH_STDIN, argument.as_str()];
        let process = ChildProcess::start(&daemon, &arguments, &member.log);
        member.process = Some(process.change_context_lazy(fault)?);
        self.record_process_event(index, ProcessEventKind::Started);
        Ok(())
    }

    /// Records an event of a member's process with the current time.
    pub fn record_process_event(&mut self, index: usize, kind: ProcessEventKind) {
        let instance = self.members[index].instance.clone();
        self.process_events.push(ProcessEvent { instance, at: ClockTime::now(), kind });
    }

    /// Marks a member as live in the instance list, which shows it after its lag.
    pub fn mark_live(&self, index: usize) {
        self.list.set(instance_entry(&self.members[index], &self.options));
    }

    /// The index of a member in `members`.
    pub fn member_index(&self, instance: &str) -> Option<usize> {
        self.members.iter().position(|member| member.instance.as_str() == instance)
    }

    /// HTTP addresses of the entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.members.iter().filter(|member| member.is_entry());
        entries.map(|member| member.http).collect()
    }

    /// The directory of the settings and log files.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Copies all processes' logs to a directory, which is created if missing.
    ///
    /// # Errors
    /// If the directory can't be created or a log can't be copied.
    pub fn copy_logs(&self, target: &Path) -> Result<(), Report<FleetError>> {
        let fault = || FleetError::new(format!("copying logs to {}", target.display()));
        std::fs::create_dir_all(target).change_context_lazy(fault)?;
        for member in self.members.iter().filter(|member| member.log.exists()) {
            let kept = target.join(format!("{}.log", member.instance));
            std::fs::copy(&member.log, kept).change_context_lazy(fault)?;
        }
        Ok(())
    }

    pub(super) fn has_ended(&self, index: usize) -> bool {
        let process = self.members[index].process.as_ref();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Moves a member to other ports and starts it.
    pub(super) fn move_member(&mut self, index: usize) -> Result<(), Report<FleetError>> {
        let (http, link) = free_addresses()?;
        let instance = self.members[index].instance.clone();
        let fault = || FleetError::new(format!("moving {instance} to other ports"));
        let advertised = match &self.proxy {
            Some(proxy) => {
                proxy.register_sender(instance.as_str(), link);
                proxy.udp_link(instance.as_str(), link).change_context_lazy(fault)?
            }
            None => link,
        };
        let member = &mut self.members[index];
        (member.http, member.link, member.advertised) = (http, link, advertised);
        member.process = None;
        self.list.set(instance_entry(&self.members[index], &self.options));
        self.write_settings(&self.members[index])?;
        self.start_member(index)
    }

    /// Stops all processes gracefully and in parallel; returns those that failed or did not end in
    /// time.
    pub fn stop(&mut self) -> Vec<InstanceName> {
        for member in &self.members {
            if let Some(process) = &member.process {
                let _ = process.terminate();
            }
        }
        let limit = self.options.stop_limit + Duration::from_secs(10);
        let mut unclean = Vec::new();
        for member in &mut self.members {
            if let Some(process) = member.process.take() {
                let status = process.wait(limit);
                if !status.is_ok_and(|status| status.success()) {
                    unclean.push(member.instance.clone());
                }
            }
        }
        unclean
    }
}

/// Adds prepaid tokens to a branch, directly in the store.
///
/// # Errors
/// If the store can't be reached.
pub async fn top_up(
    objects: &ObjectClient,
    branch: &BranchName,
    amount: TokenCount,
    command: CommandId,
) -> Result<TopUpOutcome, Report<FleetError>> {
    let mut outcome = TopUpOutcome::AlreadyApplied;
    let key = book_key(book_of(branch));
    let apply = |record: &mut BookRecord| {
        outcome = record.top_up(command, branch, amount);
        UpdateChoice::Write
    };
    let updated = update_object(objects, &key, STORE_TIMEOUT, apply).await;
    updated.change_context_lazy(|| FleetError::new(format!("topping up branch {branch}")))?;
    Ok(outcome)
}

fn instance_entry(member: &FleetMember, options: &FleetOptions) -> InstanceEntry {
    InstanceEntry {
        instance: member.instance.clone(),
        role: if member.is_entry() { MemberRole::Entry } else { MemberRole::Sidecar },
        region: options.deployment.region.clone(),
        centre: member.centre.clone(),
        address: member.advertised,
        state: InstanceState::Live,
    }
}
