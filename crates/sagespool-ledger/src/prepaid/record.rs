//! The store object of one account.

use std::collections::BTreeMap;

use sagespool_types::{
    BranchName, ConfigVersion, IncarnationId, InstanceName, TokenCount, derives,
};

derives! { record;
    /// What one run of an instance may spend.
    pub struct HolderRecord {
        /// The instance. A later run of it proves that this run has ended.
        pub instance: InstanceName,
        /// Most that the run may spend over its whole lifetime.
        pub granted: TokenCount,
        /// The part of the grant that was a supply for expected use when it was granted.
        #[serde(default)]
        pub supply: TokenCount,
    }
}

derives! { record;
    /// How much of an account's total each run may spend.
    #[derive(Default)]
    pub struct PrepaidRecord {
        /// Version of the configuration that the total comes from.
        pub version: ConfigVersion,
        /// The configured total.
        pub prepaid: TokenCount,
        /// Grants of ended runs, counted as spent.
        pub closed: TokenCount,
        /// The supplies in `closed`, which may not have been spent. It only limits the size of later
        /// supplies.
        #[serde(default)]
        pub given_up: TokenCount,
        /// Grants of the runs that may still spend.
        pub holders: BTreeMap<IncarnationId, HolderRecord>,
    }
}

/// The store key of an account's record.
pub fn prepaid_key(branch: &BranchName) -> String {
    format!("prepaid/{branch}")
}

impl PrepaidRecord {
    /// The part of the total that isn't granted.
    pub fn free(&self) -> TokenCount {
        let granted: TokenCount = self.holders.values().map(|holder| holder.granted).sum();
        self.prepaid.saturating_sub(self.closed + granted)
    }

    /// Sets the total, unless the record has the total of a newer configuration.
    pub fn set_total(&mut self, version: ConfigVersion, prepaid: TokenCount) {
        if version >= self.version {
            self.version = version;
            self.prepaid = prepaid;
        }
    }

    /// The grant of a run; zero if it has none.
    pub fn granted(&self, run: IncarnationId) -> TokenCount {
        self.holders.get(&run).map_or(TokenCount::ZERO, |holder| holder.granted)
    }

    /// Sets the grant of a run. The caller has checked that a raise is covered by
    /// [`free`](Self::free).
    pub fn set_granted(
        &mut self,
        run: IncarnationId,
        instance: &InstanceName,
        granted: TokenCount,
    ) {
        let supply = self.holders.get(&run).map_or(TokenCount::ZERO, |holder| holder.supply);
        let record = HolderRecord { instance: instance.clone(), granted, supply };
        self.holders.insert(run, record);
    }

    /// Records which part of a run's grant is a supply for expected use.
    pub fn set_supply(&mut self, run: IncarnationId, supply: TokenCount) {
        if let Some(holder) = self.holders.get_mut(&run) {
            holder.supply = supply;
        }
    }

    /// Closes the grants of earlier runs of an instance. They count as spent in full, since their
    /// unspent part can't be established.
    pub fn close_earlier_runs(&mut self, run: IncarnationId, instance: &InstanceName) {
        let earlier =
            |id: &IncarnationId, holder: &HolderRecord| *id != run && holder.instance == *instance;
        let ended = self.holders.extract_if(.., |id, holder| earlier(id, holder));
        for (_, holder) in ended {
            self.closed += holder.granted;
            self.given_up += holder.supply;
        }
    }

    /// Closes a run that reports its own spend.
    pub fn close(&mut self, run: IncarnationId, spent: TokenCount) {
        self.holders.remove(&run);
        self.closed += spent;
    }
}
