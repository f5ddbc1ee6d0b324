//! Stateless resets for the connections of a previous process.
//!
//! A process that is killed and restarted at the same address has no state of the
//! previous process's connections. Its peers would continue to send on them until
//! the liveness check fails, and every request in flight would end as "may have
//! run". QUIC's stateless reset ends such a connection within a round trip, if
//! the new process can compute the token that the previous one has announced. So
//! both derive the token's key from the private key that they share, and
//! connection ids contain no state of one process.

use std::fmt;
use std::sync::Arc;

use quinn::{ConnectionId, ConnectionIdGenerator, EndpointConfig};
use ring::{hkdf, hmac};

const HKDF_CONTEXT: &[u8] = b"sagespool stateless reset";
const CONNECTION_ID_BYTES: usize = 8;

/// The key of stateless reset tokens.
#[derive(Clone)]
pub(crate) struct ResetKey(hmac::Key);

impl fmt::Debug for ResetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ResetKey(…)")
    }
}

impl ResetKey {
    /// Derives the key from a process's private key, so that it survives a restart.
    pub(crate) fn derive_from(private_key: &[u8]) -> Self {
        let secret = hkdf::Salt::new(hkdf::HKDF_SHA256, HKDF_CONTEXT).extract(private_key);
        let key = secret
            .expand(&[HKDF_CONTEXT], hmac::HMAC_SHA256)
            .expect("an HMAC key is shorter than the longest output of HKDF");
        Self(key.into())
    }

    /// The configuration of an endpoint that resets the previous process's connections.
    pub(crate) fn endpoint_config(&self) -> EndpointConfig {
        let mut config = EndpointConfig::new(Arc::new(self.0.clone()));
        config.cid_generator(|| Box::new(RandomConnectionIds));
        config
    }
}

/// Generates random connection ids and accepts any, including those of a previous process.
struct RandomConnectionIds;

impl ConnectionIdGenerator for RandomConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let bytes: [u8; CONNECTION_ID_BYTES] = std::array::from_fn(|_| fastrand::u8(..));
        ConnectionId::new(&bytes)
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<std::time::Duration> {
        None
    }
}
