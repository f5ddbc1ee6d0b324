//! Reports of sidecars on their engines' prompt caches.

use sagespool_messages::PrefixCacheUpdate;
use sagespool_routing::{CacheEvent, CacheEventKind, UpstreamTable};
use sagespool_types::{ClockTime, IncarnationId};

/// Applies the cache changes that a sidecar reported on the stream of a dispatch.
pub(super) fn apply_cache_updates(
    upstreams: &UpstreamTable,
    sidecar: IncarnationId,
    news: &PrefixCacheUpdate,
    now: ClockTime,
) {
    for (number, note) in news.numbered() {
        let kind = match note.is_stored {
            true => CacheEventKind::Stored,
            false => CacheEventKind::Evicted,
        };
        let event = CacheEvent { number, kind, prefix: note.prefix.into() };
        upstreams.cache_event(sidecar, &event, now);
    }
}
