//! HTTP client of the platform: protocol, errors and client-side limits.

use assert_matches::assert_matches;
use jacinthrock::{
    HttpStore, HttpStoreOptions, MetricName, MetricRegistry, PlatformStore, StoreChange, StoreError,
};
use rouille::{Response, Server};
use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;

/// HTTP server with fixed responses in place of the platform.
struct StubServer {
    address: String,
    stop: Option<(JoinHandle<()>, Sender<()>)>,
}

impl StubServer {
    fn start(answer: impl Fn(&rouille::Request) -> Response + Send + Sync + 'static) -> Self {
        let server = Server::new("127.0.0.1:0", answer).expect("a loopback port is free");
        let address = format!("http://{}", server.server_addr());
        Self { address, stop: Some(server.stoppable()) }
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        if let Some((handle, stop)) = self.stop.take() {
            let _ = stop.send(());
            let _ = handle.join();
        }
    }
}

fn client(address: &str, options: HttpStoreOptions) -> (HttpStore, Arc<MetricRegistry>) {
    let metrics = Arc::new(MetricRegistry::new());
    (HttpStore::new(address, options, metrics.clone()), metrics)
}

fn start_platform() -> StubServer {
    StubServer::start(|request| match (request.method(), request.raw_url()) {
        ("GET", "/v1/objects/config/root") => {
            Response::text("value").with_additional_header("X-Object-Version", "7")
        }
        ("PUT", "/v1/objects/config/root") if request.header("If-Match") == Some("7") => {
            let mut body = String::new();
            request
                .data()
                .expect("the body is not read yet")
                .read_to_string(&mut body)
                .expect("the body is UTF-8");
            assert_eq!(body, "next");
            Response::text("{\"version\":8}")
        }
        ("PUT" | "DELETE", "/v1/objects/config/root") => {
            Response::text("{\"current\":7}").with_status_code(409)
        }
        ("PUT", "/v1/objects/large") => Response::text("too large").with_status_code(413),
        ("PUT", "/v1/objects/broken") => Response::text("oops").with_status_code(500),
        ("PUT", "/v1/objects/garbled") => Response::text("not json"),
        ("GET", "/v1/objects/broken") => Response::text("oops").with_status_code(503),
        ("GET", "/v1/objects/busy") => {
            Response::text("").with_status_code(429).with_additional_header("Retry-After", "3")
        }
        ("GET", "/v1/objects?prefix=routers/a%20b") => Response::text(
            r#"{"version":9,"objects":[{"key":"routers/a b","version":4,"value":"x"}]}"#,
        ),
        ("GET", "/v1/watch?prefix=config/root&after=7&wait_ms=1500") => Response::text(
            r#"{"version":9,"changes":[{"put":{"key":"config/root","version":8,"value":"x"}},{"delete":{"key":"config/root","version":9}}]}"#,
        ),
        ("GET", url) if url.starts_with("/v1/watch") => Response::text("").with_status_code(410),
        _ => Response::empty_404(),
    })
}

#[tokio::test]
async fn protocol_maps_to_the_store_trait() {
    let server = start_platform();
    let (store, metrics) = client(&server.address, HttpStoreOptions::default());
    let object =
        store.get("config/root").await.expect("the platform answers").expect("the object exists");
    assert_eq!((object.version, &*object.value), (7, b"value".as_slice()));
    assert_eq!(store.get("absent").await, Ok(None));
    let next = || b"next".as_slice().into();
    assert_eq!(store.put("config/root", 7, next()).await, Ok(8));
    assert_eq!(store.put("config/root", 3, next()).await, Err(StoreError::Conflict { current: 7 }));
    assert_eq!(store.delete("config/root", 3).await, Err(StoreError::Conflict { current: 7 }));
    let listing = store.list("routers/a b").await.expect("the platform answers");
    assert_eq!((listing.version, &*listing.objects[0].key), (9, "routers/a b"));
    let watched = store.watch("config/root", 7, Duration::from_millis(1500)).await;
    let (version, changes) = watched.expect("the platform answers");
    assert_eq!(version, 9);
    assert_matches!(&changes[..], [StoreChange::Put(put), StoreChange::Delete { version: 9, .. }] => {
        assert_eq!(put.version, 8);
    });
    let gap = store.watch("config/root", 1, Duration::from_millis(10)).await;
    assert_eq!(gap, Err(StoreError::Gap));
    assert_eq!(metrics.value(MetricName::StoreCalls, &["get", "ok"]), 2);
    assert_eq!(metrics.value(MetricName::StoreCalls, &["put", "store_conflict"]), 1);
}

#[tokio::test]
async fn failures_show_whether_a_write_may_have_run() {
    let server = start_platform();
    let (store, _) = client(&server.address, HttpStoreOptions::default());
    let value = || b"x".as_slice().into();
    assert_matches!(store.put("large", 0, value()).await, Err(StoreError::Rejected(_)));
    assert_matches!(store.put("broken", 0, value()).await, Err(StoreError::Ambiguous(_)));
    assert_matches!(store.put("garbled", 0, value()).await, Err(StoreError::Ambiguous(_)));
    assert_matches!(store.get("broken").await, Err(StoreError::Unavailable(_)));
    let throttled = StoreError::Throttled { retry_after: Duration::from_secs(3) };
    assert_eq!(store.get("busy").await, Err(throttled));
}

#[tokio::test]
async fn refused_connections_are_unavailable_and_broken_ones_ambiguous() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = format!("http://{}", listener.local_addr().expect("the listener is bound"));
    let closing_server = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("the client connects");
            let _ = stream.read(&mut [0; 1024]);
        }
    });
    let (store, _) = client(&address, HttpStoreOptions::default());
    let value = || b"x".as_slice().into();
    assert_matches!(store.put("key", 0, value()).await, Err(StoreError::Ambiguous(_)));
    assert_matches!(store.get("key").await, Err(StoreError::Unavailable(_)));
    closing_server.join().expect("the server thread ends");
    assert_matches!(store.put("key", 0, value()).await, Err(StoreError::Unavailable(_)));
}

#[tokio::test]
async fn client_limits_its_concurrency_and_rate() {
    let running = Arc::new(AtomicUsize::new(0));
    let peak = Arc::new(AtomicUsize::new(0));
    let (server_running, server_peak) = (running.clone(), peak.clone());
    let server = StubServer::start(move |_| {
        let now = server_running.fetch_add(1, Ordering::SeqCst) + 1;
        server_peak.fetch_max(now, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(20));
        server_running.fetch_sub(1, Ordering::SeqCst);
        Response::empty_404()
    });
    let options = HttpStoreOptions { concurrent_calls: 3, ..HttpStoreOptions::default() };
    let (store, _) = client(&server.address, options);
    let calls: Vec<_> = (0..24).map(|_| store.get("key")).collect();
    let results = futures::future::join_all(calls).await;
    assert!(results.iter().all(|result| *result == Ok(None)));
    assert!(peak.load(Ordering::SeqCst) <= 3);
    let options = HttpStoreOptions { calls_per_second: 1, burst: 1, ..HttpStoreOptions::default() };
    let (store, _) = client(&server.address, options);
    let calls: Vec<_> = (0..20).map(|_| store.get("key")).collect();
    let results = futures::future::join_all(calls).await;
    let throttled =
        results.iter().filter(|result| matches!(result, Err(StoreError::Throttled { .. })));
    assert!(throttled.count() >= 10, "20 calls at 1 call/s within a timeout of 2 s");
}
