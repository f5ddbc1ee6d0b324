//! Claims on callers' keys before a non-idempotent run, and the state of a key.

use std::collections::BTreeSet;
use std::time::Duration;

use sagespool_types::{
    AttemptNumber, BranchName, ChargeId, ContentDigest, CrashWeight, IncarnationId, KeyDigest,
    RequestId, ServiceName, UpstreamName, derives,
};

use crate::RefusalNotice;

derives! { record;
    /// An entry's request to the home to make a claim durable before dispatch.
    pub struct ClaimRequest {
        /// The request.
        pub request: RequestId,
        /// The branch.
        pub branch: BranchName,
        /// The caller's idempotency key.
        pub key: KeyDigest,
        /// Digest of the request's target and body.
        pub content: ContentDigest,
        /// The charge it is reserved under.
        pub charge: ChargeId,
        /// The attempt that the claim is for.
        pub attempt: AttemptNumber,
        /// The only sidecar that may run it.
        pub sidecar: IncarnationId,
        /// That sidecar's upstream.
        pub upstream: UpstreamName,
        /// True if the claim must be in the store before the request runs; otherwise it is
        /// kept in the home's memory only.
        pub durable: bool,
        /// Time left until the request's deadline.
        pub time_left: Duration,
    }
}

derives! { record;
    /// The home's reply to a [`ClaimRequest`].
    pub enum ClaimReply {
        /// The claim is made; the request may be dispatched to the named sidecar only.
        Durable,
        /// The key is claimed already.
        Known(KeyState),
        /// The claim was not made and will not be made for this request.
        Refused(RefusalNotice),
    }
}

derives! { record;
    /// The state of a key.
    pub enum KeyState {
        /// The request runs at this sidecar, or its complete response is kept there.
        At {
            /// The sidecar.
            sidecar: IncarnationId,
            /// The request that runs under the key.
            request: RequestId,
            /// Digest of that request's target and body.
            content: ContentDigest,
        },
        /// The key was claimed or its request ran, and the response is not available.
        Unknown {
            /// The request that ran under the key.
            request: RequestId,
        },
        /// The key was used for a request with other content.
        OtherContent,
        /// The key's state is being determined for another request; retry shortly.
        Pending,
    }
}

derives! { record;
    /// A home's query to a sidecar for the state of a key.
    pub struct KeyRequest {
        /// The service that would run it.
        pub service: ServiceName,
        /// The key.
        pub key: KeyDigest,
        /// If set and the sidecar has not seen the key, it refuses this request from now on,
        /// so that its reply stays valid.
        pub fence: Option<RequestId>,
    }
}

derives! { record;
    /// A sidecar's reply to a [`KeyRequest`].
    pub struct KeyReply {
        /// The sidecar's incarnation.
        pub sidecar: IncarnationId,
        /// The key's state; `None` if the sidecar has not seen the key.
        pub known: Option<KeyState>,
    }
}

derives! { record;
    /// An entry's report to the other entries of a request in flight when its upstream crashed.
    pub struct CrashReport {
        /// Digest of the request's target and body, or of a part of its prompt.
        pub content: ContentDigest,
        /// The request that was in flight; identifies repeated reports of one crash.
        pub crash: RequestId,
        /// The upstream that crashed.
        pub upstream: UpstreamName,
        /// The attempt that was in flight.
        pub attempt: AttemptNumber,
        /// How much it counts.
        pub weight: CrashWeight,
        /// The other digests of the request: its content, and the parts of its prompt that aren't
        /// known to be harmless.
        pub company: BTreeSet<ContentDigest>,
        /// Time since the crash when the report was sent.
        pub age: Duration,
    }
}

derives! { record;
    /// What a process knows of the crashes with a content in flight.
    pub struct ContentCrashes {
        /// Digest of the request's target and body, or of a part of prompts.
        pub content: ContentDigest,
        /// One report of each crash.
        pub reports: Vec<CrashReport>,
    }
}
