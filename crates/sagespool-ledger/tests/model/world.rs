//! The model: homes, sidecars, entries and one book, driven step by step.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_ledger::{
    BookRecord, BudgetMode, GrantRecovery, HomeLedger, LedgerPolicy, OrphanCharge, ReserveDecision,
    book_of,
};
use sagespool_messages::{ChargeRecord, FinishReport, ReserveRequest, ReservedCharge};
use sagespool_types::{
    AttemptNumber, BookNumber, BranchName, ChargeId, ClockTime, CommandId, ContentDigest,
    IncarnationId, RequestId, StoreRevision, TokenCount,
};

use super::sidecar::{ModelDispatch, ModelSidecar};
use super::step::Step;
use super::store::{DraftWrite, ModelStore, WriteOutcome};

const HOMES: usize = 3;
const INITIAL_SIDECARS: usize = 2;
const MAX_SIDECARS: usize = 4;
const ENTRIES: usize = 2;
pub const MAX_ATTEMPTS: usize = 3;
pub const INITIAL_BUDGET: TokenCount = TokenCount(150);

/// Prepares a write of the book.
type ApplyBook =
    fn(&HomeLedger, BookNumber, &mut BookRecord, StoreRevision, StoreRevision, ClockTime) -> bool;

/// The state of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    Paused,
    Gone,
}

/// The recovery of a charge whose entry is gone.
pub struct ChargeRecovery {
    pub orphan: OrphanCharge,
    pub recovery: GrantRecovery,
}

/// One incarnation of a home.
pub struct ModelHome {
    pub incarnation: IncarnationId,
    pub ledger: HomeLedger,
    pub state: ProcessState,
    pub draft: Option<DraftWrite>,
    /// A read whose reply isn't processed yet.
    pub(super) late_read: Option<DraftWrite>,
    pub recoveries: Vec<GrantRecovery>,
    pub charge_recoveries: Vec<ChargeRecovery>,
}

/// One incarnation of an entry.
pub struct ModelEntry {
    pub incarnation: IncarnationId,
    pub alive: bool,
}

/// An attempt's outcome as far as its entry has received it.
#[derive(Debug, Clone)]
pub enum AttemptOutcome {
    /// It may have run.
    Open,
    Refused,
    Ended(ChargeRecord),
}

/// A request with its reservation.
pub struct ModelRequest {
    pub request: RequestId,
    pub branch: BranchName,
    pub home: usize,
    pub entry: usize,
    pub reserved: ReservedCharge,
    pub sent: Vec<AttemptOutcome>,
    pub finished: bool,
}

pub struct World {
    pub now: ClockTime,
    policy: LedgerPolicy,
    pub book: BookNumber,
    pub branches: Vec<BranchName>,
    pub store: ModelStore,
    pub homes: Vec<ModelHome>,
    pub home_slots: Vec<usize>,
    pub sidecars: Vec<ModelSidecar>,
    pub sidecar_slots: Vec<usize>,
    pub entries: Vec<ModelEntry>,
    entry_slots: Vec<usize>,
    pub requests: Vec<ModelRequest>,
    pub(super) in_flight: Vec<(usize, ModelDispatch)>,
    /// The use of every started attempt, by charge.
    pub actual_use: BTreeMap<ChargeId, BTreeMap<AttemptNumber, TokenCount>>,
    pub(super) finish_log: Vec<(usize, FinishReport)>,
    pub(super) usage_log: Vec<ChargeRecord>,
    next_id: u64,
}

impl World {
    pub fn new(mode: BudgetMode) -> Self {
        let branches = branches_of_one_book();
        let mut world = Self {
            now: ClockTime::from_millis(1_000),
            policy: LedgerPolicy::builder().mode(mode).build(),
            book: book_of(&branches[0]),
            branches,
            store: ModelStore::default(),
            homes: Vec::new(),
            home_slots: Vec::new(),
            sidecars: Vec::new(),
            sidecar_slots: Vec::new(),
            entries: Vec::new(),
            entry_slots: Vec::new(),
            requests: Vec::new(),
            in_flight: Vec::new(),
            actual_use: BTreeMap::new(),
            finish_log: Vec::new(),
            usage_log: Vec::new(),
            next_id: 0,
        };
        world.fill();
        world
    }

    pub(super) fn fill(&mut self) {
        self.store.touch();
        for branch in 0..self.branches.len() {
            self.top_up(branch, 1_000, INITIAL_BUDGET, WriteOutcome::Acknowledged);
        }
        for _ in 0..HOMES {
            let home = self.start_home();
            self.home_slots.push(home);
        }
        for _ in 0..INITIAL_SIDECARS {
            self.add_sidecar();
        }
        for _ in 0..ENTRIES {
            let entry = self.start_entry();
            self.entry_slots.push(entry);
        }
    }

    pub(super) fn new_incarnation(&mut self) -> IncarnationId {
        self.next_id += 1;
        IncarnationId(self.next_id)
    }

    /// Starts a home; returns its index.
    pub fn start_home(&mut self) -> usize {
        let incarnation = self.new_incarnation();
        // Every other home requests only what waiting requests need, so it raises its grant
        // repeatedly.
        let sparing = self.homes.len().is_multiple_of(2);
        let policy = &self.policy;
        let grant_requests = if sparing { 1 } else { policy.grant_requests };
        let policy = LedgerPolicy { grant_requests, ..policy.clone() };
        self.homes.push(ModelHome {
            incarnation,
            ledger: HomeLedger::new(incarnation, policy),
            state: ProcessState::Running,
            draft: None,
            late_read: None,
            recoveries: Vec::new(),
            charge_recoveries: Vec::new(),
        });
        self.homes.len() - 1
    }

    pub(super) fn start_sidecar(&mut self, first: bool) -> usize {
        let incarnation = self.new_incarnation();
        self.sidecars.push(ModelSidecar::new(incarnation, self.store.revision, first));
        self.sidecars.len() - 1
    }

    pub(super) fn add_sidecar(&mut self) {
        if self.sidecar_slots.len() < MAX_SIDECARS {
            let sidecar = self.start_sidecar(true);
            self.sidecar_slots.push(sidecar);
        }
    }

    pub(super) fn start_entry(&mut self) -> usize {
        let incarnation = self.new_incarnation();
        self.entries.push(ModelEntry { incarnation, alive: true });
        self.entries.len() - 1
    }

    pub(super) fn running_home(&self, slot: usize) -> Option<usize> {
        let home = self.home_slots[slot % HOMES];
        (self.homes[home].state == ProcessState::Running).then_some(home)
    }

    pub fn take_step(&mut self, step: &Step) {
        self.now = self.now.after(Duration::from_millis(5));
        match *step {
            Step::Reserve { home, branch, entry, amount } => {
                self.reserve(home, branch, entry, TokenCount(amount));
            }
            Step::Flush { home, outcome } => {
                self.read(home);
                self.write(home, outcome);
            }
            Step::Round { home, outcome } => self.round(home, outcome),
            Step::Read { home } => self.read(home),
            Step::Write { home, outcome } => self.write(home, outcome),
            Step::DelayRead { home } => self.delay_read(home),
            Step::ObserveLate { home } => self.observe_late(home),
            Step::ApplyDelayed { pick } => self.store.apply_delayed(pick),
            Step::Dispatch { pick, sidecar, delayed } => self.dispatch(pick, sidecar, delayed),
            Step::Deliver { pick } => self.deliver(pick),
            Step::Progress { pick, tokens } => self.progress(pick, TokenCount(tokens)),
            Step::End { pick, whole, seen } => self.end(pick, whole, seen),
            Step::Finish { pick, lost } => self.finish_one(pick, lost),
            Step::Report { pick } => self.report(pick),
            Step::ReportUsage { pick } => self.report_usage(pick),
            Step::Forget { sidecar, home } => self.forget(sidecar, home),
            Step::Crash { home } => self.crash_home(home % HOMES),
            Step::Pause { home } => self.set_state(home, ProcessState::Paused),
            Step::Resume { home } => self.set_state(home, ProcessState::Running),
            Step::RestartSidecar { sidecar } => {
                self.restart_sidecar(sidecar % self.sidecar_slots.len())
            }
            Step::AddSidecar => self.add_sidecar(),
            Step::CrashEntry { entry } => self.crash_entry(entry % ENTRIES),
            Step::MarkSealed { home, target, outcome } => self.mark_sealed(home, target, outcome),
            Step::SealGrant { home, pick, sidecar, lost } => {
                self.seal_grant(home, pick, sidecar, lost);
            }
            Step::Settle { home, pick, outcome } => self.settle(home, pick, outcome),
            Step::EntryGone { home, entry } => self.entry_gone(home, entry),
            Step::Overdue { home } => self.overdue(home),
            Step::SealCharge { home, pick, sidecar, lost } => {
                self.seal_charge(home, pick, sidecar, lost);
            }
            Step::Resolve { home, pick } => self.resolve(home, pick),
            Step::Recover { home, target, replied } => self.recover(home, target, replied),
            Step::QueryCharges { home, replied } => self.query_charges(home, replied),
            Step::TopUp { branch, command, outcome } => {
                self.top_up(branch, command, TokenCount(20 + 10 * command), outcome);
            }
            Step::ReturnUnspent { home, branch, wanted } => {
                self.return_unspent(home, branch, wanted)
            }
            Step::Release { pick, outcome } => self.release(pick, outcome),
            Step::Leave { home } => self.leave(home),
            Step::Outage { begins } => self.store.outage = begins,
            Step::TouchStore => self.store.touch(),
            Step::Wait { seconds } => self.now = self.now.after(Duration::from_secs(seconds)),
        }
    }

    pub(super) fn branch(&self, branch: usize) -> BranchName {
        self.branches[branch % self.branches.len()].clone()
    }

    pub(super) fn reserve(&mut self, slot: usize, branch: usize, entry: usize, amount: TokenCount) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        let entry = self.entry_slots[entry % ENTRIES];
        self.next_id += 1;
        let request = RequestId(u128::from(self.next_id));
        let branch = self.branch(branch);
        let order = reserve_request(request, self.entries[entry].incarnation, &branch, amount);
        let ledger = &self.homes[home].ledger;
        match ledger.reserve(&order, self.now) {
            ReserveDecision::Reserved(reserved) => self.requests.push(ModelRequest {
                request,
                branch,
                home,
                entry,
                reserved,
                sent: Vec::new(),
                finished: false,
            }),
            ReserveDecision::Insufficient(_) => ledger.note_waiting(&branch, amount, self.now),
        }
    }

    /// Makes a home read the book and prepare a write.
    pub(super) fn read(&mut self, slot: usize) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        self.read_book(home);
    }

    /// Makes a home request more for its waiting requests.
    pub(super) fn round(&mut self, slot: usize, outcome: WriteOutcome) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        self.draft_by(home, HomeLedger::apply_for_waiting);
        self.write_draft(home, outcome);
    }

    pub fn read_book(&mut self, home: usize) {
        self.draft_by(home, HomeLedger::apply);
    }

    fn draft_by(&mut self, home: usize, apply: ApplyBook) {
        let Some(mut draft) = self.store.read() else {
            return;
        };
        let (book, now) = (self.book, self.now);
        self.homes[home].ledger.observe(book, &draft.record, draft.base, now);
        self.start_recoveries(home, &draft.record);
        let seen = self.store.revision;
        let ledger = &self.homes[home].ledger;
        let changed = apply(ledger, book, &mut draft.record, draft.base, seen, now);
        self.homes[home].draft = changed.then_some(draft);
    }

    pub(super) fn delay_read(&mut self, slot: usize) {
        if let Some(home) = self.running_home(slot) {
            self.homes[home].late_read = self.store.read();
        }
    }

    pub(super) fn observe_late(&mut self, slot: usize) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        if let Some(read) = self.homes[home].late_read.take() {
            self.homes[home].ledger.observe(self.book, &read.record, read.base, self.now);
        }
    }

    pub(super) fn write(&mut self, slot: usize, outcome: WriteOutcome) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        self.write_draft(home, outcome);
    }

    /// True if the home received the reply that its write took effect.
    pub fn write_draft(&mut self, home: usize, outcome: WriteOutcome) -> bool {
        let Some(draft) = self.homes[home].draft.take() else {
            return false;
        };
        let Some(version) = self.store.write(&draft, outcome) else {
            return false;
        };
        self.homes[home].ledger.observe(self.book, &draft.record, version, self.now);
        self.store.count_acknowledged(&draft);
        true
    }

    pub(super) fn set_state(&mut self, slot: usize, state: ProcessState) {
        let home = self.home_slots[slot % HOMES];
        self.homes[home].state = state;
    }

    pub fn crash_home(&mut self, slot: usize) {
        self.homes[self.home_slots[slot]].state = ProcessState::Gone;
        self.home_slots[slot] = self.start_home();
    }

    pub(super) fn restart_sidecar(&mut self, slot: usize) {
        let old = self.sidecar_slots[slot];
        self.sidecars[old].replaced_at = Some(self.store.revision);
        self.sidecar_slots[slot] = self.start_sidecar(false);
    }

    pub(super) fn crash_entry(&mut self, slot: usize) {
        self.entries[self.entry_slots[slot]].alive = false;
        self.entry_slots[slot] = self.start_entry();
    }

    pub(super) fn top_up(
        &mut self,
        branch: usize,
        command: u64,
        amount: TokenCount,
        outcome: WriteOutcome,
    ) {
        let Some(mut draft) = self.store.read() else {
            return;
        };
        let branch = self.branch(branch);
        draft.record.top_up(CommandId(u128::from(command)), &branch, amount);
        self.store.write(&draft, outcome);
    }

    pub(super) fn return_unspent(&mut self, slot: usize, branch: usize, wanted: u64) {
        let branch = self.branch(branch);
        if let Some(home) = self.running_home(slot) {
            self.homes[home].ledger.return_unspent(&branch, TokenCount(wanted), self.now);
        }
    }

    pub(super) fn leave(&mut self, slot: usize) {
        if let Some(home) = self.running_home(slot) {
            self.homes[home].ledger.return_all(self.now);
        }
    }
}

fn branches_of_one_book() -> Vec<BranchName> {
    let mut books: BTreeMap<BookNumber, BranchName> = BTreeMap::new();
    for number in 0.. {
        let branch: BranchName = format!("branch-{number}").parse().expect("a branch name");
        if let Some(first) = books.insert(book_of(&branch), branch.clone()) {
            return vec![first, branch];
        }
    }
    unreachable!("there are fewer books than names")
}

fn reserve_request(
    request: RequestId,
    entry: IncarnationId,
    branch: &BranchName,
    amount: TokenCount,
) -> ReserveRequest {
    ReserveRequest {
        request,
        entry,
        branch: branch.clone(),
        service: "sage-core".parse().expect("a service name"),
        class: "lookup".parse().expect("a class name"),
        key: None,
        content: ContentDigest(0),
        non_idempotent: false,
        amount,
        time_left: Duration::from_secs(10),
    }
}
