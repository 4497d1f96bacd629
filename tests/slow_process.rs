//! Calls of a process that is out of CPU time: whatever has arrived counts, however late it is
//! read.
//!
//! Here the process is slow since other tasks take its time, so that each ready task waits for its
//! turn for longer than a call may take.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crossweir::http::client::{CallError, HttpClient};
use tokio::task::JoinSet;
use volo_http::http::Method;

/// The time limit of the calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(50);
/// How many tasks take the time of the process, and for how long at a time.  Together they take
/// twelve times the time limit, and more than any grace.
const BUSY_TASKS: usize = 60;
const BUSY_TIME: Duration = Duration::from_millis(10);
/// The number of calls.
const CALLS: usize = 8;

/// Starts a server on a thread of its own that answers each request at once.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_all(stream));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream) {
    let mut buf = [0; 1_024];
    while stream.read(&mut buf).is_ok_and(|read| read > 0) {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).is_err() {
            return;
        }
    }
}

/// Takes the time of the process, in turn with all that is ready, until the set is dropped.
fn keep_busy() -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for _ in 0..BUSY_TASKS {
        tasks.spawn(async {
            loop {
                std::thread::sleep(BUSY_TIME);
                tokio::task::yield_now().await;
            }
        });
    }
    tasks
}

async fn call(client: HttpClient, url: String, timeout: Duration) -> Result<(), CallError> {
    let answer = client.call(Method::POST, &url, &[], b"x".to_vec(), timeout);
    answer.await.map(drop)
}

#[tokio::test]
async fn an_answer_that_has_arrived_is_read_however_late_the_process_is() {
    // Arrange: a connection for each call is open, and the process is slow from now on.
    let url = format!("http://{}/", start_server());
    let client = HttpClient::new();
    let long = Duration::from_secs(60);
    let opened = (0..CALLS).map(|_| call(client.clone(), url.clone(), long));
    let opened = futures::future::join_all(opened).await;
    assert!(opened.iter().all(Result::is_ok), "{opened:?}");
    let busy = keep_busy();

    // Act.
    let mut calls = JoinSet::new();
    for _ in 0..CALLS {
        calls.spawn(call(client.clone(), url.clone(), CALL_TIMEOUT));
    }
    let answers = calls.join_all().await;
    drop(busy);

    // Assert.
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
}

/// Guards against answers that are thrown away unread: a slow owner took its workers for silent,
/// closed its connections to them, and started tasks again whose ends they had listed.
#[tokio::test]
async fn an_answer_on_a_new_connection_is_read_however_late_the_process_is() {
    // Arrange.
    let url = format!("http://{}/", start_server());
    let busy = keep_busy();

    // Act.
    let answer = call(HttpClient::new(), url, CALL_TIMEOUT).await;
    drop(busy);

    // Assert.
    assert_eq!(answer, Ok(()));
}
