//! Reports of sidecars on their engines' prompt caches.

use sagespool_messages::PrefixCacheUpdate;
use sagespool_routing::{CacheEvent, CacheEventKind, UpstreamTable};
use sagespool_types::{ClockTime, IncarnationId};

/// Applies the cache changes that a sidecar reported on the stream of a dispatch.
pub(super) fn apply_cache_updates(
    upstreams: &UpstreamTable,
    sidecar: IncarnationId,
    update: &PrefixCacheUpdate,
    now: ClockTime,
) {
    for (number, change) in update.numbered() {
        let kind = match change.is_stored {
            true => CacheEventKind::Stored,
            false => CacheEventKind::Evicted,
        };
        let event = CacheEvent { number, kind, prefix: change.prefix.into() };
        upstreams.cache_event(sidecar, &event, now);
    }
}
