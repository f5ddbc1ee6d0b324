//! Which members of a data centre watch the store.

use std::time::Duration;

use quickcheck::quickcheck;
use sagespool_membership::{WatchPolicy, WatchRank, watch_order};
use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{ConfigVersion, IncarnationId, InstanceCapacity};

fn member(number: u8, role: MemberRole, centre: &str, leaving: bool) -> MemberInfo {
    MemberInfo {
        instance: format!("{role}-{number}").parse().expect("the name is valid"),
        incarnation: IncarnationId(u64::from(number) << 1 | u64::from(role == MemberRole::Entry)),
        number: 1,
        role,
        region: "coast".parse().expect("the name is valid"),
        centre: centre.parse().expect("the name is valid"),
        address: ([127, 0, 0, 1], 4000 + u16::from(number)).into(),
        leaving,
        config: ConfigVersion::ZERO,
        started_at: None,
        serves: None,
        capacity: InstanceCapacity::default(),
    }
}

/// The members that watch without any silence, if each has a view of all others.
fn first_watchers(members: &[MemberInfo]) -> Vec<&MemberInfo> {
    let policy = WatchPolicy::default();
    let watches = |own: &&MemberInfo| {
        let others: Vec<_> =
            members.iter().filter(|other| other.instance != own.instance).cloned().collect();
        let index = WatchRank::of(own, &watch_order(own, &others), &policy);
        index.is_some_and(|index| index.should_watch(Duration::ZERO, &policy))
    };
    members.iter().filter(watches).collect()
}

quickcheck! {
    /// With equal views two entries of a data centre watch, or one if there is only one; sidecars
    /// only where there is no entry; no leaving member.
    fn two_watchers(entries: Vec<bool>, sidecars: Vec<bool>) -> bool {
        let all = |role, leaving: &[bool]| -> Vec<MemberInfo> {
            let numbered = (0u8..20).zip(leaving);
            numbered.map(|(number, leaving)| member(number, role, "north", *leaving)).collect()
        };
        let mut members = all(MemberRole::Entry, &entries);
        members.extend(all(MemberRole::Sidecar, &sidecars));
        members.push(member(90, MemberRole::Entry, "south", false));
        let staying = |role| {
            let north = |m: &&MemberInfo| m.role == role && !m.leaving && m.centre.as_str() == "north";
            members.iter().filter(north).count()
        };
        let role = match staying(MemberRole::Entry) {
            0 => MemberRole::Sidecar,
            _ => MemberRole::Entry,
        };
        let watchers = first_watchers(&members);
        let north: Vec<_> = watchers.iter().filter(|m| m.centre.as_str() == "north").collect();
        watchers.len() == north.len() + 1
            && north.len() == staying(role).min(2)
            && north.iter().all(|m| m.role == role && !m.leaving)
    }

    /// However many members earlier in the order are silent, every later one watches in the end.
    fn all_take_over(entries: u8, sidecars: u8) -> bool {
        let policy = WatchPolicy::default();
        let own = member(200, MemberRole::Sidecar, "north", false);
        let mut live: Vec<_> =
            (0..entries % 50).map(|n| member(n, MemberRole::Entry, "north", false)).collect();
        live.extend((0..sidecars % 50).map(|n| member(n, MemberRole::Sidecar, "north", false)));
        let generations = live.len() as u32 + 1;
        let limit = policy.silence_limit + policy.tier_step * generations;
        let index = WatchRank::of(&own, &watch_order(&own, &live), &policy);
        index.is_some_and(|index| index.should_watch(limit, &policy))
    }
}

#[test]
fn silent_watchers() {
    // The watchers of a data centre answer heartbeats and can't reach the store. The others must
    // take over, but not all at once.
    let policy = WatchPolicy::default();
    let (limit, step) = (policy.silence_limit, policy.tier_step);
    let moment = Duration::from_millis(1);
    let cases = [
        (0, Duration::ZERO, true),
        (1, limit, false),
        (1, limit + moment, true),
        (2, limit + moment, false),
        (2, limit + step + moment, true),
    ];
    for (tier, silent, expected) in cases {
        let watches = WatchRank { tier }.should_watch(silent, &policy);
        assert_eq!(watches, expected, "tier {tier} after {silent:?}");
    }
}
