//! Peers that send malformed requests.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Connection, Endpoint, ReadToEndError};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use sagespool_messages::PeerReply;
use support::{
    TEST_TIMEOUT, TestAuthority, endpoint, handler, loopback, silent_handler, status_request,
    within_timeout,
};

const KIND_REQUEST: u8 = 1;

/// A connection with a certificate of the authority, for sending arbitrary bytes.
async fn connect(authority: &TestAuthority, to: SocketAddr) -> (Endpoint, Connection) {
    let issued = authority.issue();
    let certificate = |text: &str| CertificateDer::from_pem_slice(text.as_bytes()).unwrap();
    let key = PrivateKeyDer::from_pem_slice(issued.key.as_bytes()).unwrap();
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate(&authority.certificate)).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_client_auth_cert(vec![certificate(&issued.certificate)], key)
        .unwrap();
    config.alpn_protocols = vec![b"sagespool/4".to_vec()];
    let config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(config).unwrap()));
    let endpoint = Endpoint::client(loopback()).unwrap();
    let connection = endpoint.connect_with(config, to, "node.test").unwrap().await.unwrap();
    (endpoint, connection)
}

fn frame(kind: u8, message: &[u8]) -> Vec<u8> {
    let length = (1 + message.len()) as u32;
    [&length.to_le_bytes()[..], &[kind], message].concat()
}

#[test]
fn malformed_requests_rejected() {
    // A peer of another version, or a faulty one, sends bytes that can't be decoded.
    // Its stream must be reset with the code for "not run", no handler may be called, no
    // memory may be allocated for the announced length, and other peers are still served.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let handled = Arc::new(AtomicUsize::new(0));
        let count = handled.clone();
        let counting = handler(move |call| {
            count.fetch_add(1, Ordering::SeqCst);
            call.responder.reply(PeerReply::Done)
        });
        let server = endpoint(authority.identity(), counting);
        let to = server.local_address();
        let (_endpoint, connection) = connect(&authority, to).await;

        let status = postcard::to_stdvec(&status_request()).unwrap();
        let longer = [&status[..], &[0]].concat();
        let cases = [
            vec![0, 0, 0, 0],
            vec![0xff, 0xff, 0xff, 0xff],
            frame(9, &status),
            frame(KIND_REQUEST, &[0xff; 20]),
            frame(KIND_REQUEST, &longer),
        ];
        for bytes in cases {
            let (mut send, mut recv) = connection.open_bi().await.unwrap();
            send.write_all(&bytes).await.unwrap();
            let ended = within_timeout(recv.read_to_end(100)).await;
            let rejected = matches!(
                ended,
                Err(ReadToEndError::Read(quinn::ReadError::Reset(code))) if code == 2u32.into()
            );
            assert!(rejected, "{bytes:?}: {ended:?}");
        }

        let (mut send, mut recv) = connection.open_bi().await.unwrap();
        send.write_all(&frame(KIND_REQUEST, &status)[..5]).await.unwrap();
        send.finish().unwrap();
        assert_eq!(within_timeout(recv.read_to_end(100)).await, Ok(Vec::new()));

        assert_eq!(handled.load(Ordering::SeqCst), 0);
        let client = endpoint(authority.identity(), silent_handler());
        assert_eq!(client.request(to, &status_request(), TEST_TIMEOUT).await, Ok(PeerReply::Done));
    });
}
