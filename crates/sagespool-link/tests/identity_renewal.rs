//! Replacing the identity without a restart.

mod support;

use sagespool_link::LinkEndpoint;
use sagespool_messages::PeerReply;
use support::{TEST_TIMEOUT, TestAuthority, endpoint, handler, status_request};

#[test]
fn renewed_authority() {
    // Operators replace the fleet's authority. Processes get their new identity one
    // after another and keep their connections. Such a process must be able to connect
    // to and from a process that trusts only the new authority, and must no longer
    // connect to or from one that trusts only the old.
    smol::block_on(async {
        let (old, new) = (TestAuthority::new(), TestAuthority::new());
        let done = || handler(async |call| call.responder.reply(PeerReply::Done).await);
        let node = endpoint(old.identity(), done());
        let old_node = endpoint(old.identity(), done());
        let new_node = endpoint(new.identity(), done());
        let request_status = async |from: &LinkEndpoint, to: &LinkEndpoint| {
            from.request(to.local_address(), &status_request(), TEST_TIMEOUT).await
        };

        assert_eq!(request_status(&node, &old_node).await, Ok(PeerReply::Done));
        assert!(request_status(&node, &new_node).await.unwrap_err().definitely_not_handled());
        assert!(request_status(&new_node, &node).await.unwrap_err().definitely_not_handled());

        node.replace_identity(new.identity());
        assert_eq!(request_status(&node, &old_node).await, Ok(PeerReply::Done));
        assert_eq!(request_status(&new_node, &node).await, Ok(PeerReply::Done));
        assert_eq!(request_status(&node, &new_node).await, Ok(PeerReply::Done));

        let late_node = endpoint(old.identity(), done());
        assert!(request_status(&node, &late_node).await.unwrap_err().definitely_not_handled());
        assert!(request_status(&late_node, &node).await.unwrap_err().definitely_not_handled());
    });
}

#[test]
fn renewed_client() {
    // The first connection of the renewed process must use its new certificate.
    smol::block_on(async {
        let (old, new) = (TestAuthority::new(), TestAuthority::new());
        let done = || handler(async |call| call.responder.reply(PeerReply::Done).await);
        let node = endpoint(old.identity(), done());
        let new_node = endpoint(new.identity(), done());
        node.replace_identity(new.identity());
        let reply = node.request(new_node.local_address(), &status_request(), TEST_TIMEOUT).await;
        assert_eq!(reply, Ok(PeerReply::Done));
    });
}
