//! Replies that never end, and replies that end with their connection, from raw TCP servers.

#[path = "support/address.rs"]
mod address;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use address::own_address;
use bytes::Bytes;
use hyper::{Method, Uri};
use jacinthrock_entry::{ConnectionPool, SendError, SendOptions, build_request, host_header};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a reply without end must be given up; reading it up to its limit takes far less.
const MAX_CUT_TIME: Duration = Duration::from_secs(3);
/// Replies at the same time.
const MANY: usize = 300;
/// Head of a reply in chunks.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// How a server ends a connection.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    /// It repeats the last part of its reply until the client closes.
    Never,
    /// It sends nothing more until the client closes.
    Stall,
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
}

/// A server that replies to each request with fixed bytes.
struct RawServer {
    address: SocketAddr,
    /// Times at which clients closed their connections in the middle of a reply.
    closed: Rc<RefCell<Vec<Instant>>>,
}

impl RawServer {
    async fn start(
        start: impl Into<Bytes>,
        repeated: impl Into<Bytes>,
        end: ConnectionEnd,
    ) -> Self {
        let address = SocketAddr::new(own_address(), 7_400);
        let listener = TcpListener::bind(address).await.expect("a free loopback address");
        let closed = Rc::new(RefCell::new(Vec::new()));
        let (start, repeated, seen) = (start.into(), repeated.into(), closed.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (start, repeated, seen) = (start.clone(), repeated.clone(), seen.clone());
                tokio::task::spawn_local(async move {
                    reply(stream, &start, &repeated, end).await;
                    seen.borrow_mut().push(Instant::now());
                });
            }
        });
        Self { address, closed }
    }

    async fn fetch(&self, pool: &ConnectionPool) -> Result<Bytes, SendError> {
        let host = host_header(self.address);
        let request = build_request(Method::GET, Uri::from_static("/x"), host, "");
        let options = SendOptions::within(TIMEOUT, Duration::ZERO);
        pool.fetch(self.address, request, options).await.map(|(_, body)| body)
    }

    /// Fetches a reply and checks that it is given up, and its connection closed, for its size.
    async fn check_cut(&self) {
        let started = Instant::now();
        let error = self.fetch(&ConnectionPool::default()).await.expect_err("no whole reply");
        let text = error.to_string();
        assert!(started.elapsed() < MAX_CUT_TIME, "after {:?}: {text}", started.elapsed());
        assert!(error.is_over_limit(), "{text}");
        self.check_closed(1).await;
    }

    /// Fetches a reply and checks that it is broken, and its connection closed, at once.
    async fn check_broken(&self) {
        let started = Instant::now();
        let error = self.fetch(&ConnectionPool::default()).await.expect_err("no whole reply");
        assert!(matches!(error, SendError::NoReply { .. }), "{error}");
        assert!(started.elapsed() < MAX_CUT_TIME, "after {:?}: {error}", started.elapsed());
        self.check_closed(1).await;
    }

    /// Checks that clients close some connections.
    async fn check_closed(&self, count: usize) {
        let closing = async {
            while self.closed.borrow().len() < count {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(MAX_CUT_TIME, closing).await.expect("connections closed");
    }
}

async fn reply(mut stream: TcpStream, start: &[u8], repeated: &[u8], end: ConnectionEnd) {
    let mut request = [0; 4096];
    if !matches!(stream.read(&mut request).await, Ok(count) if count > 0) {
        return;
    }
    if stream.write_all(start).await.is_err() {
        return;
    }
    match end {
        ConnectionEnd::Never => while stream.write_all(repeated).await.is_ok() {},
        ConnectionEnd::Stall => while matches!(stream.read(&mut request).await, Ok(1..)) {},
        ConnectionEnd::Close => {}
        ConnectionEnd::Reset => {
            // The client reads what was sent before the reset.
            sleep(Duration::from_millis(100)).await;
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket option");
        }
    }
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
    let kib = line.split_whitespace().nth(1).and_then(|text| text.parse::<usize>().ok());
    kib.expect("a number") << 10
}

#[tokio::test]
async fn reply_in_chunks_without_end_is_cut() {
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(4096));
    run(async { RawServer::start(CHUNKED, chunk, ConnectionEnd::Never).await.check_cut().await })
        .await;
}

#[tokio::test]
async fn reply_in_tiny_chunks_without_end_is_cut() {
    run(async {
        let chunks = "1\r\nx\r\n".repeat(500);
        RawServer::start(CHUNKED, chunks, ConnectionEnd::Never).await.check_cut().await;
    })
    .await;
}

#[tokio::test]
async fn reply_without_length_and_end_is_cut() {
    run(async {
        let body = "x".repeat(4096);
        let server = RawServer::start("HTTP/1.1 200 OK\r\n\r\n", body, ConnectionEnd::Never);
        server.await.check_cut().await;
    })
    .await;
}

#[tokio::test]
async fn reply_that_states_a_huge_length_is_cut() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n";
        RawServer::start(head, "x".repeat(4096), ConnectionEnd::Never).await.check_cut().await;
    })
    .await;
}

/// A head is given up as soon as it is too large, not only when its time is over.
#[tokio::test]
async fn long_head_is_cut() {
    run(async {
        let head = format!("HTTP/1.1 200 OK\r\nx: {}", "x".repeat(100_000));
        RawServer::start(head, "", ConnectionEnd::Stall).await.check_cut().await;
    })
    .await;
}

#[tokio::test]
async fn status_line_without_end_is_cut() {
    run(async {
        let server = RawServer::start("HTTP/1.1 200 ", "x".repeat(4096), ConnectionEnd::Never);
        server.await.check_cut().await;
    })
    .await;
}

#[tokio::test]
async fn headers_without_end_are_cut() {
    run(async {
        let headers = "x: y\r\n".repeat(500);
        let server = RawServer::start("HTTP/1.1 200 OK\r\n", headers, ConnectionEnd::Never);
        server.await.check_cut().await;
    })
    .await;
}

/// Interim replies, each of which is complete, never lead to a reply.
#[tokio::test]
async fn interim_replies_without_end_are_cut() {
    run(async {
        let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(100);
        RawServer::start("", interim, ConnectionEnd::Never).await.check_cut().await;
    })
    .await;
}

#[tokio::test]
async fn zeros_before_a_chunk_size_without_end_are_cut() {
    run(async {
        RawServer::start(CHUNKED, "0".repeat(4096), ConnectionEnd::Never).await.check_cut().await;
    })
    .await;
}

#[tokio::test]
async fn spaces_after_a_chunk_size_without_end_are_cut() {
    run(async {
        let start = format!("{CHUNKED}1");
        RawServer::start(start, " ".repeat(4096), ConnectionEnd::Never).await.check_cut().await;
    })
    .await;
}

#[tokio::test]
async fn chunk_extensions_without_end_break_the_reply() {
    run(async {
        let chunk = format!("1;{}\r\nx\r\n", "e".repeat(1024));
        RawServer::start(CHUNKED, chunk, ConnectionEnd::Never).await.check_broken().await;
    })
    .await;
}

#[tokio::test]
async fn trailers_without_end_break_the_reply() {
    run(async {
        let (start, trailers) = (format!("{CHUNKED}0\r\n"), "x: y\r\n".repeat(500));
        RawServer::start(start, trailers, ConnectionEnd::Never).await.check_broken().await;
    })
    .await;
}

/// Bytes that are no HTTP end the connection at once.
#[tokio::test]
async fn bytes_that_are_no_reply_close_their_connection() {
    run(async {
        let server = RawServer::start("\x00", "\x01".repeat(4096), ConnectionEnd::Never).await;
        server.check_broken().await;
    })
    .await;
}

/// Memory of 300 replies without end at a time stays within the budget of all replies, and a small
/// reply still arrives meanwhile.
#[tokio::test]
async fn many_replies_without_end_leave_room_for_a_small_one() {
    const MAX_GROWTH: usize = 64 << 20;
    run(async {
        let chunk = format!("4000\r\n{}\r\n", "x".repeat(16_384));
        let endless = Rc::new(RawServer::start(CHUNKED, chunk, ConnectionEnd::Never).await);
        let small = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsmall";
        let small = RawServer::start(small, "", ConnectionEnd::Close).await;
        let pool = ConnectionPool::default();
        let before = resident_bytes();
        let fetches: Vec<_> = (0..MANY)
            .map(|_| {
                let (endless, pool) = (endless.clone(), pool.clone());
                tokio::task::spawn_local(async move { endless.fetch(&pool).await })
            })
            .collect();
        let mut most = 0;
        let mut served = 0;
        while fetches.iter().any(|fetch| !fetch.is_finished()) || served == 0 {
            assert_eq!(small.fetch(&pool).await.expect("a small reply"), "small");
            served += 1;
            most = most.max(resident_bytes());
            let growth = most.saturating_sub(before);
            assert!(growth < MAX_GROWTH, "memory grew by {growth} bytes");
        }
        for fetch in fetches {
            let error = fetch.await.expect("a result").expect_err("no whole reply");
            assert!(error.is_over_limit(), "{error}");
        }
        endless.check_closed(MANY).await;
    })
    .await;
}

#[tokio::test]
async fn reply_without_length_is_whole_when_its_connection_closes() {
    run(async {
        let reply = "HTTP/1.1 200 OK\r\n\r\nthe whole reply";
        let server = RawServer::start(reply, "", ConnectionEnd::Close).await;
        let body = server.fetch(&ConnectionPool::default()).await.expect("a whole reply");
        assert_eq!(body, "the whole reply");
    })
    .await;
}

#[tokio::test]
async fn reply_without_length_is_broken_when_its_connection_is_reset() {
    run(async {
        let reply = "HTTP/1.1 200 OK\r\n\r\nhalf of the reply";
        let server = RawServer::start(reply, "", ConnectionEnd::Reset).await;
        let error = server.fetch(&ConnectionPool::default()).await.expect_err("no whole reply");
        assert!(matches!(error, SendError::NoReply { .. }), "{error}");
    })
    .await;
}
