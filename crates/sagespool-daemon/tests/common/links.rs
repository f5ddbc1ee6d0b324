//! Network partitions between processes, and between processes and the platform.

use super::TestFleet;

/// Names of the store and the instance list in the fault proxy.
const PLATFORM: [&str; 2] = ["store", "list"];

/// A network partition: isolated members on one side, the others and the platform on the other.
pub struct NetworkPartition {
    isolated: Vec<String>,
    others: Vec<String>,
}

impl NetworkPartition {
    /// Cuts members, given by their indexes, off from all others and from the platform.
    pub fn cut(fleet: &TestFleet, isolated: &[usize]) -> Self {
        let name = |index: usize| fleet.members[index].instance.to_string();
        let others = (0..fleet.members.len()).filter(|index| !isolated.contains(index)).map(name);
        let partition = Self {
            isolated: isolated.iter().copied().map(name).collect(),
            others: others.chain(PLATFORM.map(str::to_owned)).collect(),
        };
        let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
        proxy.cut_groups(&refs(&partition.isolated), &refs(&partition.others));
        partition
    }

    /// Reconnects the two sides.
    pub fn heal(&self, fleet: &TestFleet) {
        let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
        proxy.heal_groups(&refs(&self.isolated), &refs(&self.others));
    }

    /// Moves an isolated member to the side of the others and the platform.
    pub fn move_to_others(&mut self, fleet: &TestFleet, index: usize) {
        let name = fleet.members[index].instance.to_string();
        self.isolated.retain(|isolated| *isolated != name);
        let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
        proxy.heal_groups(&[&name], &refs(&self.others));
        proxy.cut_groups(&[&name], &refs(&self.isolated));
        self.others.push(name);
    }
}

fn refs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

impl TestFleet {
    /// The member index of an engine's sidecar in the data centre of `member`.
    pub fn engine_sidecar_near(&self, member: usize) -> usize {
        let centre = &self.members[member].centre;
        let mut engines = self.sidecars(super::ENGINES).into_iter();
        let beside = engines.find(|index| self.members[*index].centre == *centre);
        beside.expect("each data centre has an engine")
    }
}
