//! The length of calls that come from other nodes.

use std::sync::Arc;
use std::time::Duration;

use crossweir::rpc::node::{self, NodeCall, NodeReply, NodeService};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{self, LocalSet};

/// How long is waited for what must happen.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The length that a message announces, in words of eight bytes: as much as the protocol's library
/// accepts by itself.
const ANNOUNCED_WORDS: u32 = 8_000_000;

struct NoNode;

impl NodeService for NoNode {
    fn serve(&self, _: NodeCall) -> BoxFuture<'_, NodeReply> {
        async { NodeReply::Unavailable }.boxed()
    }
}

/// A few bytes on each connection to the port of other nodes took 64 MB each.
#[tokio::test]
async fn a_call_that_announces_more_than_nodes_send_ends_its_connection() {
    let test = async {
        // Arrange.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        task::spawn_local(node::serve(listener, Arc::new(NoNode), Arc::default()));
        let mut stream = TcpStream::connect(address).await.expect("a connection");

        // Act: one segment of that length, of which nothing comes.
        let head = [0_u32.to_le_bytes(), ANNOUNCED_WORDS.to_le_bytes()].concat();
        stream.write_all(&head).await.expect("it is sent");

        // Assert.
        let ending = async { while stream.read_u8().await.is_ok() {} };
        let ended = tokio::time::timeout(TIMEOUT, ending).await;
        assert!(ended.is_ok(), "the connection is open");
    };
    LocalSet::new().run_until(test).await;
}
