//! Keys of callers: claims before a non-idempotent run, and what is known of a key.

use sagespool_types::{
    AttemptNumber, BranchName, ChargeId, ContentDigest, IncarnationId, KeyDigest, RequestId,
    ServiceName, UpstreamName, derives,
};

use crate::RefusalNotice;

derives! { record;
    /// An entry asks the home to make a claim durable before it dispatches.
    pub struct ClaimRequest {
        /// The request.
        pub request: RequestId,
        /// The branch.
        pub branch: BranchName,
        /// The caller's key.
        pub key: KeyDigest,
        /// What the request asks for.
        pub content: ContentDigest,
        /// The charge it is reserved under.
        pub charge: ChargeId,
        /// Which attempt this is.
        pub attempt: AttemptNumber,
        /// The sidecar that alone may run it.
        pub sidecar: IncarnationId,
        /// That sidecar's upstream.
        pub upstream: UpstreamName,
        /// True if the claim must be durable in the store before the request runs; else the home's
        /// memory is enough.
        pub durable: bool,
        /// Time left until the request's deadline.
        pub time_left: std::time::Duration,
    }
}

derives! { record;
    /// The home's answer to a [`ClaimRequest`].
    pub enum ClaimReply {
        /// Durable: dispatch to the named sidecar and no other.
        Durable,
        /// The key is claimed already.
        Known(KeyState),
        /// Not durable, and it never will be for this request.
        Refused(RefusalNotice),
    }
}

derives! { record;
    /// What is known of a key.
    pub enum KeyState {
        /// It runs, or its whole answer is kept, at this sidecar.
        At {
            /// The sidecar.
            sidecar: IncarnationId,
            /// The request that runs under the key.
            request: RequestId,
            /// What that request asked for.
            content: ContentDigest,
        },
        /// It was claimed or ran, and the answer can't be had.
        Unknown {
            /// The request that ran under the key.
            request: RequestId,
        },
        /// The same key stands for another request.
        OtherContent,
        /// Being settled by another request now; ask again shortly.
        Pending,
    }
}

derives! { record;
    /// A home asks a sidecar what it knows of a key.
    pub struct KeyRequest {
        /// The service that would run it.
        pub service: ServiceName,
        /// The key.
        pub key: KeyDigest,
        /// If set and the key is not known here, this request is refused from now on,
        /// so that "it did not run here" stays true.
        pub fence: Option<RequestId>,
    }
}

derives! { record;
    /// A sidecar's answer to a [`KeyRequest`].
    pub struct KeyReply {
        /// The sidecar's incarnation.
        pub sidecar: IncarnationId,
        /// What it knows; nothing if it never saw the key.
        pub known: Option<KeyState>,
    }
}

derives! { record;
    /// An entry tells the other entries of a request that took its upstream down.
    pub struct CrashReport {
        /// What the request asked for.
        pub content: ContentDigest,
        /// Each crash counts once, however often it is reported.
        pub crash: RequestId,
        /// The upstream that crashed.
        pub upstream: UpstreamName,
        /// The attempt that it ran.
        pub attempt: AttemptNumber,
    }
}
