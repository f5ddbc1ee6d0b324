//! The verification of peers' certificates.

mod support;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sagespool_link::{IdentityError, LinkError, LinkIdentity};
use sagespool_messages::PeerReply;
use support::{
    TEST_TIMEOUT, TestAuthority, endpoint, handler, silent_handler, status_request, wait_until,
};

#[test]
fn untrusted_peer_refused() {
    // A process with a certificate of another authority sends or receives a request.
    // A TLS 1.3 client considers the connection established before the server has
    // verified its certificate: the request would be in doubt although the server never
    // read it. It must count as not sent, and must not be handled.
    smol::block_on(async {
        let (trusted_authority, other_authority) = (TestAuthority::new(), TestAuthority::new());
        let both = format!("{}{}", trusted_authority.certificate, other_authority.certificate);
        let untrusted = || other_authority.issue().trusting(&both);
        let member = || trusted_authority.identity();
        for (client, server) in [(untrusted(), member()), (member(), untrusted())] {
            let handled = Arc::new(AtomicUsize::new(0));
            let count = handled.clone();
            let counting = handler(move |call| {
                count.fetch_add(1, Ordering::SeqCst);
                call.responder.reply(PeerReply::Done)
            });
            let server = endpoint(server, counting);
            let client = endpoint(client, silent_handler());
            let error =
                client.request(server.local_address(), &status_request(), TEST_TIMEOUT).await;
            let error = error.unwrap_err();
            assert!(matches!(error, LinkError::Unreachable { .. }), "{error}");
            assert!(error.definitely_not_handled());
            assert_eq!(handled.load(Ordering::SeqCst), 0);
            wait_until(|| client.counters().handshakes_refused == 1).await;
            wait_until(|| server.counters().handshakes_refused == 1).await;
        }
    });
}

#[test]
fn unusable_identity() {
    let authority = TestAuthority::new();
    let (one, other) = (authority.issue(), authority.issue());
    let trusted = authority.certificate.as_str();
    let cases = [
        ("", one.key.as_str(), trusted, IdentityError::NoCertificate),
        (&one.certificate, "", trusted, IdentityError::NoKey),
        (&one.certificate, &one.key, "no PEM", IdentityError::NoAuthority),
        (&one.certificate, &other.key, trusted, IdentityError::Unusable),
    ];
    for (certificate, key, authority, expected) in cases {
        let report = LinkIdentity::from_pem(certificate, key, authority).unwrap_err();
        assert_eq!(*report.current_context(), expected);
    }
    let missing = Path::new("no/such/file");
    let report = LinkIdentity::from_files(missing, missing, missing).unwrap_err();
    assert_eq!(*report.current_context(), IdentityError::Unreadable(missing.to_owned()));
}
