//! Clients that nobody controls, and ordinary ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::site::{HOST, PATH};

/// How many connections a crowd opens: more than the lowered limit of descriptors.
pub const CROWD: usize = 300;
/// How long a member of a crowd sends at most; then it stays open as it is.
const SENDING: Duration = Duration::from_secs(30);
/// How long a client waits for its answer: one that comes later counts as none.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// The pieces of a client on a slow link, and the pause between them.
const SLOW_PIECES: usize = 20;
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// The bytes that a crowd member sends at a time.
const PIECE: usize = 16_384;

/// The receive buffer of a client that takes few bytes.
const NARROW: u32 = 4_096;

/// The connections of a crowd, which stay open until it is dropped.
pub struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens [`CROWD`] connections to `at`, and sends `bytes` over each, at the same time.  Nobody
    /// reads the answers; with `narrow` the kernel takes few of them either.
    pub async fn send(at: SocketAddr, bytes: Vec<u8>, narrow: bool) -> Self {
        let bytes = Arc::new(bytes);
        let members =
            (0..CROWD).map(|_| tokio::spawn(send_and_stay(at, Arc::clone(&bytes), narrow)));
        let connections = join_all(members).await;
        let open = connections
            .into_iter()
            .filter_map(|joined| joined.expect("it ran"));
        Self {
            _connections: open.collect(),
        }
    }
}

/// Sends bytes until the other side closes the connection; returns it if that stays open.
async fn send_and_stay(at: SocketAddr, bytes: Arc<Vec<u8>>, narrow: bool) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    if narrow {
        let set = socket.set_recv_buffer_size(NARROW);
        set.expect("the kernel accepts it");
    }
    let mut stream = socket.connect(at).await.ok()?;
    let sending = async {
        for piece in bytes.chunks(PIECE) {
            stream.write_all(piece).await?;
        }
        std::io::Result::Ok(())
    };
    match tokio::time::timeout(SENDING, sending).await {
        Ok(Err(_)) => None,
        _ => Some(stream),
    }
}

/// Returns the status of an ordinary request for a job; none if no complete answer comes.
pub async fn hand_in(at: SocketAddr, id: u64) -> Option<u16> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(&job(id)).await.ok()?;
    read_status(&mut stream).await
}

/// Does the same from behind a slow link.
pub async fn hand_in_slowly(at: SocketAddr, id: u64) -> Option<u16> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    let bytes = job(id);
    for piece in bytes.chunks(bytes.len().div_ceil(SLOW_PIECES)) {
        stream.write_all(piece).await.ok()?;
        tokio::time::sleep(SLOW_PAUSE).await;
    }
    read_status(&mut stream).await
}

/// Requests for the state of a job that nobody handed in, all at once.
pub fn questions(count: usize) -> Vec<u8> {
    format!("GET {PATH}{:016x} HTTP/1.1\r\nhost: {HOST}\r\n\r\n", 9)
        .repeat(count)
        .into_bytes()
}

/// Returns the status of a GET request; none if no complete answer comes.
pub async fn get(at: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    read_status(&mut stream).await
}

/// Reads the head of an answer and returns its status.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut answer = Vec::new();
    let reading = async {
        while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
            if stream.read_buf(&mut answer).await.ok()? == 0 {
                return None;
            }
        }
        let head = String::from_utf8_lossy(&answer);
        head.split(' ').nth(1)?.parse().ok()
    };
    tokio::time::timeout(ANSWER_TIMEOUT, reading).await.ok()?
}

/// A request that submits a job.
fn job(id: u64) -> Vec<u8> {
    let body = r#"{"spec":"work","steps":[{"count":1,"cpu":100,"mem_mb":16,"est_ms":100}]}"#;
    let mut bytes = head(id, &format!("content-length: {}\r\n\r\n", body.len()));
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// The head of a request that submits a job, up to and with `rest`.
pub fn head(id: u64, rest: &str) -> Vec<u8> {
    let text = format!(
        "POST {PATH}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n{rest}"
    );
    text.into_bytes()
}
