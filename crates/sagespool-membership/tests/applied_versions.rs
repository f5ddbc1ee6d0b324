//! Configuration never goes back.

use quickcheck::quickcheck;
use sagespool_membership::{AppliedVersions, VersionOffer};
use sagespool_types::{ConfigVersion, StoreRevision};

const FLEET: &str = "configuration/fleet";

#[derive(Debug, Clone, Copy)]
enum Step {
    Offer(u64),
    Heard(u64),
}

/// Relays between neighbours are late and repeat themselves. A process that
/// applied an old version after a newer one would take back a limit that an
/// operator was told is in force.
#[test]
fn offers_in_order() {
    use Step::{Heard, Offer};
    let cases: [(&str, &[Step], &[u64]); 5] = [
        ("newer ones", &[Offer(3), Offer(5)], &[3, 5]),
        ("a late relay", &[Offer(5), Offer(3), Offer(6)], &[5, 6]),
        ("repeated", &[Offer(5), Offer(5)], &[5]),
        ("restarted, told by a neighbour", &[Heard(9), Offer(7), Offer(9), Offer(8)], &[9]),
        ("running, told by a neighbour", &[Offer(5), Heard(9), Offer(7), Offer(9)], &[5, 7, 9]),
    ];
    for (case, steps, expected) in cases {
        let versions = AppliedVersions::new();
        let mut applied = Vec::new();
        for step in steps {
            match *step {
                Heard(version) => versions.heard(FLEET, StoreRevision(version)),
                Offer(version) => {
                    if versions.offer(FLEET, StoreRevision(version)) == VersionOffer::Apply {
                        applied.push(version);
                    }
                }
            }
        }
        assert_eq!(applied, expected, "{case}");
    }
}

#[test]
fn objects_apart() {
    let versions = AppliedVersions::new();
    assert_eq!(versions.offer(FLEET, StoreRevision(9)), VersionOffer::Apply);
    assert_eq!(versions.offer("configuration/branches/1", StoreRevision(4)), VersionOffer::Apply);
    assert_eq!(versions.in_force(), ConfigVersion(9));
    versions.heard("configuration/branches/2", StoreRevision(11));
    let missing = ("configuration/branches/2".to_owned(), StoreRevision(11));
    assert_eq!(versions.missing(), [missing]);
    assert!(versions.is_behind(ConfigVersion(11)));
    assert_eq!(versions.list().len(), 2);
}

quickcheck! {
    fn never_back(offers: Vec<(bool, u8)>) -> bool {
        let versions = AppliedVersions::new();
        let mut newest = None;
        offers.into_iter().all(|(heard, version)| {
            let version = StoreRevision(u64::from(version));
            if heard {
                versions.heard(FLEET, version);
            } else if versions.offer(FLEET, version) == VersionOffer::Apply {
                let rises = Some(version) > newest;
                newest = Some(version);
                return rises;
            }
            versions.applied(FLEET) == newest
        })
    }
}
