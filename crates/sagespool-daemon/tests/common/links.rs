//! Cutting the links between processes, and between them and the platform.

use super::TestFleet;

/// The store and the instance list, as the fault proxy knows them.
const PLATFORM: [&str; 2] = ["store", "list"];

/// A partition: some members on one side, the others and the platform on the other.
pub struct SplitFleet {
    lone: Vec<String>,
    others: Vec<String>,
}

impl SplitFleet {
    /// Cuts members, by their places, off from all others and from the platform.
    pub fn cut(fleet: &TestFleet, lone: &[usize]) -> Self {
        let name = |place: usize| fleet.members[place].instance.to_string();
        let others = (0..fleet.members.len()).filter(|place| !lone.contains(place)).map(name);
        let split = Self {
            lone: lone.iter().copied().map(name).collect(),
            others: others.chain(PLATFORM.map(str::to_owned)).collect(),
        };
        let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
        proxy.cut_groups(&refs(&split.lone), &refs(&split.others));
        split
    }

    /// Lets the two sides reach each other again.
    pub fn heal(&self, fleet: &TestFleet) {
        let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
        proxy.heal_groups(&refs(&self.lone), &refs(&self.others));
    }

    /// Brings one of the lone members over to the others' side.
    pub fn bring_over(&mut self, fleet: &TestFleet, place: usize) {
        let name = fleet.members[place].instance.to_string();
        self.lone.retain(|lone| *lone != name);
        let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
        proxy.heal_groups(&[&name], &refs(&self.others));
        proxy.cut_groups(&[&name], &refs(&self.lone));
        self.others.push(name);
    }
}

fn refs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

impl TestFleet {
    /// The sidecar of an engine in the data centre of another member.
    pub fn engine_beside(&self, member: usize) -> usize {
        let centre = &self.members[member].centre;
        let mut engines = self.sidecars(super::ENGINES).into_iter();
        let beside = engines.find(|place| self.members[*place].centre == *centre);
        beside.expect("each data centre has an engine")
    }
}
