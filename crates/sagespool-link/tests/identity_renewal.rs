//! Another identity, without a restart.

mod support;

use sagespool_link::LinkEndpoint;
use sagespool_messages::PeerReply;
use support::{PATIENCE, TestAuthority, endpoint, handler, question};

#[test]
fn renewed_authority() {
    // Operators replace the fleet's authority. Processes are renewed one after
    // another and keep their streams; a renewed one must be able to talk to a
    // process that knows only the new authority, in both directions, and no
    // longer to one that knows only the old.
    smol::block_on(async {
        let (old, new) = (TestAuthority::new(), TestAuthority::new());
        let done = || handler(async |call| call.responder.reply(PeerReply::Done).await);
        let node = endpoint(old.identity(), done());
        let old_node = endpoint(old.identity(), done());
        let new_node = endpoint(new.identity(), done());
        let ask = async |from: &LinkEndpoint, to: &LinkEndpoint| {
            from.request(to.local_address(), &question(), PATIENCE).await
        };

        assert_eq!(ask(&node, &old_node).await, Ok(PeerReply::Done));
        assert!(ask(&node, &new_node).await.unwrap_err().definitely_not_handled());
        assert!(ask(&new_node, &node).await.unwrap_err().definitely_not_handled());

        node.replace_identity(new.identity());
        assert_eq!(ask(&node, &old_node).await, Ok(PeerReply::Done));
        assert_eq!(ask(&new_node, &node).await, Ok(PeerReply::Done));
        assert_eq!(ask(&node, &new_node).await, Ok(PeerReply::Done));

        let late_node = endpoint(old.identity(), done());
        assert!(ask(&node, &late_node).await.unwrap_err().definitely_not_handled());
        assert!(ask(&late_node, &node).await.unwrap_err().definitely_not_handled());
    });
}

#[test]
fn renewed_client() {
    // The renewed process is the first to speak: it must show its new certificate.
    smol::block_on(async {
        let (old, new) = (TestAuthority::new(), TestAuthority::new());
        let done = || handler(async |call| call.responder.reply(PeerReply::Done).await);
        let node = endpoint(old.identity(), done());
        let new_node = endpoint(new.identity(), done());
        node.replace_identity(new.identity());
        let reply = node.request(new_node.local_address(), &question(), PATIENCE).await;
        assert_eq!(reply, Ok(PeerReply::Done));
    });
}
