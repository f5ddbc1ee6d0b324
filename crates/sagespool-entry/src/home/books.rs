//! Writing books with conditional updates: grants requested and charges settled.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use event_listener::Event;
use sagespool_ledger::{BookRecord, book_key};
use sagespool_log::log_event;
use sagespool_platform::{StoreError, StoredObject};
use sagespool_types::{BookNumber, ClockTime, StoreRevision};

use crate::state::EntryState;

const MAX_CONFLICT_TRIES: u32 = 20;
const WRITER_TICK: Duration = Duration::from_millis(100);
/// The pause after a failed write, unless a request waits.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// A book as last seen in the store, locked during a write.
type CachedBook = Arc<async_lock::Mutex<Option<StoredObject<BookRecord>>>>;

/// Why a book is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteCause {
    /// A scheduled write, or grants are returned at shutdown: everything that changed is written.
    Scheduled,
    /// Requests wait for more budget than is held. The book is read again, since a top-up may just
    /// have been applied, and written only if that helps one of them. Otherwise each request that
    /// is refused near the end of a budget would cost a write.
    Acquisition,
    /// Another home recalls unspent budget. The book is read again: the other home may have taken
    /// this one for dead and sealed its grants, which a cached copy does not show. Charges that are
    /// not accounted for would stay in doubt, and the other home would refuse requests for lack of
    /// budget.
    Recall,
}

/// The books as last seen in the store, each under its own lock so that writes of one process to
/// the same book do not conflict.
#[derive(Default)]
pub(crate) struct BookWriter {
    books: Mutex<HashMap<BookNumber, CachedBook>>,
    /// Notified when a book is due before its scheduled write.
    pub(crate) due: Event,
}

impl BookWriter {
    fn book(&self, book: BookNumber) -> CachedBook {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(books.entry(book).or_default())
    }
}

async fn read_book(
    state: &EntryState,
    book: BookNumber,
) -> Result<StoredObject<BookRecord>, StoreError> {
    let stored = state.objects.get::<BookRecord>(&book_key(book)).await?;
    let empty = || StoredObject { version: StoreRevision::ZERO, value: BookRecord::default() };
    Ok(stored.unwrap_or_else(empty))
}

/// Writes this home's changes to a book and applies the stored book to this home's ledger. Returns
/// once an acknowledged write or a fresh read shows the present state of the book.
///
/// Guards against a lost reply to a write that took effect: after any failure the book is read
/// again, and `apply` finds earlier changes by id, so that nothing is granted or settled twice.
///
/// # Errors
/// The store's error, after a bounded number of tries.
pub(crate) async fn write_book(
    state: &EntryState,
    book: BookNumber,
    cause: WriteCause,
) -> Result<(), StoreError> {
    let entry = state.books.book(book);
    let mut cached = entry.lock().await;
    if cause != WriteCause::Scheduled {
        *cached = None;
    }
    for _ in 0..MAX_CONFLICT_TRIES {
        let stored = match cached.take() {
            Some(stored) => stored,
            None => {
                let stored = read_book(state, book).await?;
                state.ledger.observe(book, &stored.value, stored.version, ClockTime::now());
                state.budget_changed.notify(usize::MAX);
                stored
            }
        };
        let mut record = stored.value.clone();
        let (base, seen) = (stored.version, state.objects.seen_revision());
        let now = ClockTime::now();
        let changed = match cause {
            WriteCause::Acquisition => {
                state.ledger.apply_for_waiting(book, &mut record, base, seen, now)
            }
            WriteCause::Scheduled | WriteCause::Recall => {
                state.ledger.apply(book, &mut record, base, seen, now)
            }
        };
        if !changed {
            *cached = Some(stored);
            return Ok(());
        }
        match state.objects.put(&book_key(book), stored.version, &record).await {
            Ok(version) => {
                state.ledger.observe(book, &record, version, ClockTime::now());
                state.budget_changed.notify(usize::MAX);
                *cached = Some(StoredObject { version, value: record });
                return Ok(());
            }
            Err(StoreError::Conflict { .. }) => {}
            Err(StoreError::Uncertain) => {
                log_event!(info, "book-write-uncertain", book = book);
            }
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unavailable)
}

/// Writes books as they become due, for the lifetime of the process.
pub(crate) async fn run_book_writer(state: Arc<EntryState>) {
    loop {
        let due = state.books.due.listen();
        let books = state.ledger.books_due(ClockTime::now());
        let writes = books.into_iter().map(|book| {
            let state = Arc::clone(&state);
            smol::spawn(async move {
                let written = write_book(&state, book, WriteCause::Scheduled).await;
                state.note_store_result(written.is_ok(), ClockTime::now());
                if let Err(error) = &written {
                    log_event!(warn, "book-write-failed", book = book, error = error);
                }
                written.is_ok()
            })
        });
        let writes: Vec<_> = writes.collect();
        let mut failed = false;
        for write in writes {
            failed |= !write.await;
        }
        let pause = if failed { FAILURE_PAUSE } else { WRITER_TICK };
        futures_lite::future::or(due, async {
            smol::Timer::after(pause).await;
        })
        .await;
    }
}
