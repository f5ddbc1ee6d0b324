//! Applied configuration versions never decrease.

use quickcheck::quickcheck;
use sagespool_membership::{AppliedVersions, VersionOutcome};
use sagespool_types::{ConfigVersion, StoreRevision};

const FLEET: &str = "configuration/fleet";

#[derive(Debug, Clone, Copy)]
enum Step {
    Offer(u64),
    Reported(u64),
}

/// Relayed objects arrive late and repeatedly. A process that applied an old version after a newer
/// one would revert a limit that was confirmed to an operator as in force.
#[test]
fn offers_in_order() {
    use Step::{Offer, Reported};
    let cases: [(&str, &[Step], &[u64]); 5] = [
        ("newer ones", &[Offer(3), Offer(5)], &[3, 5]),
        ("a late relay", &[Offer(5), Offer(3), Offer(6)], &[5, 6]),
        ("repeated", &[Offer(5), Offer(5)], &[5]),
        ("restarted, neighbour newer", &[Reported(9), Offer(7), Offer(9), Offer(8)], &[9]),
        ("running, neighbour newer", &[Offer(5), Reported(9), Offer(7), Offer(9)], &[5, 7, 9]),
    ];
    for (case, steps, expected) in cases {
        let versions = AppliedVersions::new();
        let mut applied = Vec::new();
        for step in steps {
            match *step {
                Reported(version) => versions.record_reported(FLEET, StoreRevision(version)),
                Offer(version) => {
                    if versions.offer(FLEET, StoreRevision(version)) == VersionOutcome::Apply {
                        applied.push(version);
                    }
                }
            }
        }
        assert_eq!(applied, expected, "{case}");
    }
}

#[test]
fn objects_independent() {
    let versions = AppliedVersions::new();
    assert_eq!(versions.offer(FLEET, StoreRevision(9)), VersionOutcome::Apply);
    assert_eq!(versions.offer("configuration/branches/1", StoreRevision(4)), VersionOutcome::Apply);
    assert_eq!(versions.in_force(), ConfigVersion(9));
    versions.record_reported("configuration/branches/2", StoreRevision(11));
    let missing = ("configuration/branches/2".to_owned(), StoreRevision(11));
    assert_eq!(versions.missing(), [missing]);
    assert!(versions.is_behind(ConfigVersion(11)));
    assert_eq!(versions.list().len(), 2);
}

quickcheck! {
    fn versions_never_decrease(offers: Vec<(bool, u8)>) -> bool {
        let versions = AppliedVersions::new();
        let mut newest = None;
        offers.into_iter().all(|(heard, version)| {
            let version = StoreRevision(u64::from(version));
            if heard {
                versions.record_reported(FLEET, version);
            } else if versions.offer(FLEET, version) == VersionOutcome::Apply {
                let rises = Some(version) > newest;
                newest = Some(version);
                return rises;
            }
            versions.applied(FLEET) == newest
        })
    }
}
