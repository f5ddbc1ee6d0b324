//! Who is let in, and who isn't.

mod support;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sagespool_link::{IdentityError, LinkError, LinkIdentity};
use sagespool_messages::PeerReply;
use support::{PATIENCE, TestAuthority, deaf, endpoint, handler, question, until};

#[test]
fn stranger_refused() {
    // A process whose certificate is another authority's sends a request, or is
    // sent one. A client of TLS 1.3 takes the connection for made before the
    // server has looked at its certificate: the request would be in doubt, though
    // the server never read it. It must count as not sent, and must not be handled.
    smol::block_on(async {
        let (ours, theirs) = (TestAuthority::new(), TestAuthority::new());
        let both = format!("{}{}", ours.certificate, theirs.certificate);
        let stranger = || theirs.issue().trusting(&both);
        let member = || ours.identity();
        for (client, server) in [(stranger(), member()), (member(), stranger())] {
            let handled = Arc::new(AtomicUsize::new(0));
            let count = handled.clone();
            let counting = handler(move |call| {
                count.fetch_add(1, Ordering::SeqCst);
                call.responder.reply(PeerReply::Done)
            });
            let server = endpoint(server, counting);
            let client = endpoint(client, deaf());
            let error = client.request(server.local_address(), &question(), PATIENCE).await;
            let error = error.unwrap_err();
            assert!(matches!(error, LinkError::Unreachable { .. }), "{error}");
            assert!(error.definitely_not_handled());
            assert_eq!(handled.load(Ordering::SeqCst), 0);
            until(|| client.counters().handshakes_refused == 1).await;
            until(|| server.counters().handshakes_refused == 1).await;
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
