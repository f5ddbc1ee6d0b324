//! The store's object of one account.

use std::collections::BTreeMap;

use sagespool_types::{
    BranchName, ConfigVersion, IncarnationId, InstanceName, TokenCount, derives,
};

derives! { record;
    /// What one run of an instance may spend.
    pub struct HolderRecord {
        /// The instance. A later run of it proves that this one has ended.
        pub instance: InstanceName,
        /// The most that it spends, over its whole life.
        pub granted: TokenCount,
        /// What of it was for the time ahead when it was granted.
        #[serde(default)]
        pub supply: TokenCount,
    }
}

derives! { record;
    /// Who may spend how much of an account's total.
    #[derive(Default)]
    pub struct PrepaidRecord {
        /// The configuration that the total is from.
        pub version: ConfigVersion,
        /// The total.
        pub prepaid: TokenCount,
        /// Grants of runs that have ended, counted as spent.
        pub closed: TokenCount,
        /// What of those was probably never spent. An estimate for the size of supplies; it decides
        /// nothing else.
        #[serde(default)]
        pub given_up: TokenCount,
        /// The runs that may spend.
        pub holders: BTreeMap<IncarnationId, HolderRecord>,
    }
}

/// What a run that is killed hasn't spent of its supply, on average: supplies are filled up again when
/// half of them is spent.
const UNSPENT_SHARE: f64 = 0.75;

/// The key of an account's book in the store.
pub fn prepaid_key(branch: &BranchName) -> String {
    format!("prepaid/{branch}")
}

impl PrepaidRecord {
    /// What nobody may spend yet.
    pub fn free(&self) -> TokenCount {
        let granted: TokenCount = self.holders.values().map(|holder| holder.granted).sum();
        self.prepaid.less(self.closed + granted)
    }

    /// Takes the total of a configuration, unless the book has a newer one's.
    pub fn set_total(&mut self, version: ConfigVersion, prepaid: TokenCount) {
        if version >= self.version {
            self.version = version;
            self.prepaid = prepaid;
        }
    }

    /// What a run was granted.
    pub fn granted(&self, run: IncarnationId) -> TokenCount {
        self.holders.get(&run).map_or(TokenCount::ZERO, |holder| holder.granted)
    }

    /// Sets what a run may spend. The caller has seen to it that a raise is covered by
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

    /// Notes what of a run's grant is for the time ahead.
    pub fn set_supply(&mut self, run: IncarnationId, supply: TokenCount) {
        if let Some(holder) = self.holders.get_mut(&run) {
            holder.supply = supply;
        }
    }

    /// Closes the grants of earlier runs of an instance. What they hadn't spent is given up:
    /// whether they had isn't known.
    pub fn close_earlier_runs(&mut self, run: IncarnationId, instance: &InstanceName) {
        let earlier =
            |id: &IncarnationId, holder: &HolderRecord| *id != run && holder.instance == *instance;
        let ended = self.holders.extract_if(.., |id, holder| earlier(id, holder));
        for (_, holder) in ended {
            self.closed += holder.granted;
            self.given_up += TokenCount((holder.supply.0 as f64 * UNSPENT_SHARE) as u64);
        }
    }

    /// Ends a run that says itself what it has spent.
    pub fn close(&mut self, run: IncarnationId, spent: TokenCount) {
        self.holders.remove(&run);
        self.closed += spent;
    }
}
