//! An in-memory fleet whose processes exchange heartbeats over links that can be cut.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_membership::{ListedMember, MemberTable, MembershipPolicy};
use sagespool_messages::{Heartbeat, MemberInfo, MemberRole};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceCapacity, StoreRevision};

pub const TICK: Duration = Duration::from_millis(100);

/// The description of run `run` of the process on instance `index`.
pub fn info(index: u16, run: u64, role: MemberRole) -> MemberInfo {
    let serves = (role == MemberRole::Sidecar).then(|| sagespool_messages::ServedUpstream {
        upstream: format!("core-{index}").parse().expect("a valid name"),
        kind: sagespool_messages::UpstreamKind::Engine,
        service: "sage-core".parse().expect("a valid name"),
        models: vec!["sage-large".parse().expect("a valid name")],
        capacity: 32,
        healthy: true,
        load: Default::default(),
    });
    MemberInfo {
        instance: format!("{role}-{index}").parse().expect("a valid name"),
        incarnation: IncarnationId(run * 1_000_000 + u64::from(index)),
        number: run * 1_000_000,
        role,
        region: "muscat".parse().expect("a valid name"),
        centre: ["ghala", "rusayl", "seeb", "qurum"][usize::from(index) % 4]
            .parse()
            .expect("a valid name"),
        address: address(index),
        leaving: false,
        config: ConfigVersion(1),
        started_at: Some(StoreRevision(run)),
        serves,
        capacity: InstanceCapacity::default(),
    }
}

pub fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

pub struct Fleet {
    pub tables: BTreeMap<SocketAddr, MemberTable>,
    pub paused: BTreeSet<SocketAddr>,
    /// Links cut in both directions.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    pub now: ClockTime,
    pub exchanges: u64,
    /// Exchanges between members of different data centres.
    pub remote_exchanges: u64,
    /// Bytes of all heartbeats and replies; counted only if `size_of` is set.
    pub bytes: u64,
    pub size_of: Option<fn(&Heartbeat) -> usize>,
    pub policy: MembershipPolicy,
}

impl Fleet {
    /// Starts entries first, then sidecars. The first three entries are everyone's seeds.
    pub fn start(entries: u16, sidecars: u16, policy: MembershipPolicy) -> Self {
        let mut fleet = Self {
            tables: BTreeMap::new(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            now: ClockTime::from_millis(1000),
            exchanges: 0,
            remote_exchanges: 0,
            bytes: 0,
            size_of: None,
            policy,
        };
        for index in 0..entries + sidecars {
            let role = if index < entries { MemberRole::Entry } else { MemberRole::Sidecar };
            fleet.join(info(index, 1, role));
        }
        fleet
    }

    pub fn join(&mut self, info: MemberInfo) {
        let address = info.address;
        let table = MemberTable::new(info.clone(), self.policy.clone(), info.incarnation.0);
        let seeds: Vec<_> =
            (0..3).map(|index| listed(&self::info(index, 1, MemberRole::Entry), false)).collect();
        table.apply_instance_list(&seeds, self.now);
        self.tables.insert(address, table);
    }

    pub fn at(&self, index: u16) -> &MemberTable {
        &self.tables[&address(index)]
    }

    pub fn kill(&mut self, index: u16) {
        self.tables.remove(&address(index));
    }

    pub fn cut(&mut self, left: u16, right: u16) {
        self.cut.insert((address(left), address(right)));
        self.cut.insert((address(right), address(left)));
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, heartbeat: &Heartbeat) {
        self.exchanges += 1;
        let centre = |address| self.tables.get(&address).map(|table| table.own().centre);
        self.remote_exchanges += u64::from(centre(from) != centre(to));
        self.count(heartbeat);
        let open = !self.cut.contains(&(from, to)) && !self.paused.contains(&to);
        let peer = self.tables.get(&to).filter(|_| open);
        let reply = peer.map(|peer| peer.handle_heartbeat(heartbeat, self.now));
        if let Some(reply) = &reply {
            self.count(reply);
        }
        let sender = &self.tables[&from];
        match reply {
            Some(reply) => sender.handle_reply(to, &reply, self.now),
            None => sender.record_call_failure(to, self.now),
        }
    }

    fn count(&mut self, heartbeat: &Heartbeat) {
        self.bytes += self.size_of.map_or(0, |size_of| size_of(heartbeat)) as u64;
    }

    pub fn step(&mut self) {
        self.now = self.now.after(TICK);
        let indices: Vec<_> = self.tables.keys().copied().collect();
        for from in indices {
            if self.paused.contains(&from) {
                continue;
            }
            for (to, heartbeat) in self.tables[&from].due_heartbeats(self.now) {
                self.deliver(from, to, &heartbeat);
            }
        }
    }

    pub fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.step();
        }
    }

    /// Steps until the condition holds; returns the ticks it took, or `None` after `limit`.
    pub fn run_until(&mut self, limit: u32, holds: impl Fn(&Self) -> bool) -> Option<u32> {
        for ticks in 0..=limit {
            if holds(self) {
                return Some(ticks);
            }
            self.step();
        }
        None
    }

    /// True if every table has all running members.
    pub fn is_complete(&self) -> bool {
        let count = self.tables.len();
        self.tables.values().all(|table| table.members().len() == count)
    }

    /// True if the condition holds for all running members except those at `indices`.
    pub fn all_but(&self, indices: &[u16], holds: impl Fn(&MemberTable) -> bool) -> bool {
        let left_out: Vec<_> = indices.iter().map(|index| address(*index)).collect();
        let others = self.tables.iter().filter(|(address, _)| !left_out.contains(address));
        others.into_iter().all(|(_, table)| holds(table))
    }
}

pub fn listed(info: &MemberInfo, leaving: bool) -> ListedMember {
    ListedMember {
        instance: info.instance.clone(),
        role: info.role,
        address: info.address,
        leaving,
    }
}
