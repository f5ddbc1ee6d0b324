//! Telling peers of a predecessor that its connections are gone.
//!
//! A process that is killed and started again at the same address knows nothing
//! of its predecessor's connections. Its peers would go on sending into them
//! until they fall silent for too long, and every request on the way would end
//! as "may have run". QUIC's stateless reset ends such a connection within a
//! round trip, if the successor can make the token that the predecessor chose.
//! So both take the token's key from the private key that they share, and
//! connection ids carry nothing that only one of them knows.

use std::fmt;
use std::sync::Arc;

use quinn::{ConnectionId, ConnectionIdGenerator, EndpointConfig};
use ring::{hkdf, hmac};

const PURPOSE: &[u8] = b"sagespool stateless reset";
const ID_BYTES: usize = 8;

/// The key of stateless reset tokens.
#[derive(Clone)]
pub(crate) struct ResetKey(hmac::Key);

impl fmt::Debug for ResetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ResetKey(…)")
    }
}

impl ResetKey {
    /// The key that belongs to a process's private key.
    pub(crate) fn of(private_key: &[u8]) -> Self {
        let secret = hkdf::Salt::new(hkdf::HKDF_SHA256, PURPOSE).extract(private_key);
        let key = secret
            .expand(&[PURPOSE], hmac::HMAC_SHA256)
            .expect("an HMAC key is shorter than the longest output of HKDF");
        Self(key.into())
    }

    /// The configuration of an endpoint that resets its predecessor's connections.
    pub(crate) fn endpoint_config(&self) -> EndpointConfig {
        let mut config = EndpointConfig::new(Arc::new(self.0.clone()));
        config.cid_generator(|| Box::new(PlainIds));
        config
    }
}

/// Makes connection ids of random bytes and takes any, also a predecessor's.
struct PlainIds;

impl ConnectionIdGenerator for PlainIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let bytes: [u8; ID_BYTES] = std::array::from_fn(|_| fastrand::u8(..));
        ConnectionId::new(&bytes)
    }

    fn cid_len(&self) -> usize {
        ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<std::time::Duration> {
        None
    }
}
