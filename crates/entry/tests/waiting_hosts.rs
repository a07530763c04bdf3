//! Waiting streams of an entry host whose first stages have no start left, on the paused clock.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use cluster::{Cluster, rules};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use jacinthrock_entry::{
    DemandCount, EntryState, LoadSum, PathQuery, RetryPolicy, RouteRule, StreamGuard, WaitClass,
    level_of,
};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet, yield_now};
use tokio::time::{Instant, sleep};

const MS: Duration = Duration::from_millis(1);

/// Route of streams to the path `/<priority>/`.
fn stream_route(priority: u8) -> RouteRule {
    RouteRule {
        name: format!("kind-{priority}").into(),
        host: "guide.example".into(),
        prefix: format!("/{priority}/").into(),
        targets: vec![("guide".into(), 1)],
        retry_policy: RetryPolicy::Resumable,
        is_stream: true,
        timeout: Duration::from_secs(20),
        objective: Duration::from_millis(500),
        event_gap: Duration::from_millis(200),
        max_attempts: 2,
        priority,
        is_open: true,
    }
}

/// A host whose service has stream routes of the given priorities, and whose starts are all taken.
async fn full_host(priorities: &[u8]) -> (Cluster, Vec<StreamGuard>) {
    let cluster = Cluster::start_hosts(&["north"], 1).await;
    let mut rules = rules(2);
    rules.routes = priorities.iter().copied().map(stream_route).collect();
    cluster.registry.write_rules(rules);
    sleep(Duration::from_secs(2)).await;
    let state = &cluster.hosts[0].state;
    assert_eq!(state.rules_number(), 2);
    let avoid = BTreeSet::new();
    let query = PathQuery {
        service: "guide",
        tokens: 10,
        starts: None,
        avoid: &avoid,
        ignores_rates: false,
    };
    let path = || state.find_path(&query);
    let guard = |path| StreamGuard::new(state.inflight.clone(), path, 10, Instant::now());
    let guards: Vec<_> = std::iter::from_fn(|| path().map(guard)).collect();
    assert!(!guards.is_empty(), "the host has paths before they are taken");
    (cluster, guards)
}

/// Sends a stream to a host; the task ends with the status and body of its reply.
fn send(state: &Rc<EntryState>, priority: u8) -> JoinHandle<(StatusCode, String)> {
    send_then(state, priority, |parts, body| (parts.status, body))
}

/// Sends a stream to a host; the task ends with what is read from its reply.
fn send_then<T: 'static>(
    state: &Rc<EntryState>,
    priority: u8,
    read: impl FnOnce(Parts, String) -> T + 'static,
) -> JoinHandle<T> {
    let address = state.options.front;
    tokio::task::spawn_local(async move {
        let socket = TcpStream::connect(address).await.expect("the host listens");
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(socket)).await.expect("a connection");
        tokio::select! {
            _ = connection => panic!("the host closed the connection"),
            reply = async {
                let request = Request::get(format!("/{priority}/")).header("host", "guide.example");
                let request = request.body(Empty::<Bytes>::new()).expect("a request");
                let reply = sender.send_request(request).await.expect("a reply");
                let (parts, body) = reply.into_parts();
                let body = body.collect().await.expect("a body").to_bytes();
                read(parts, String::from_utf8_lossy(&body).into_owned())
            } => reply,
        }
    })
}

/// Has another host report its demand for the most urgent streams.
fn report_demand(state: &EntryState, count: DemandCount) {
    let demands = [("guide".into(), [(0, count)].into())].into();
    let report = LoadSum { demands, ..LoadSum::default() };
    let (own, now) = (state.own_load(), Instant::now());
    state.relay_loads.borrow_mut().exchange("other".into(), report, &own, true, now);
}

/// Number of streams that wait: in the queue of services without priorities, and by objective.
fn waiting(state: &EntryState) -> (usize, usize) {
    let queues = state.objective_queues.borrow();
    let by_objective = queues.values().map(|queue| queue.len()).sum();
    (state.path_queue.borrow().len(), by_objective)
}

/// Waits until as many streams wait; the clock advances by one ms at a time.
async fn until_waiting(state: &EntryState, expected: (usize, usize)) -> Instant {
    let started = Instant::now();
    while waiting(state) != expected {
        assert!(started.elapsed() < Duration::from_secs(10), "{:?} wait", waiting(state));
        sleep(MS).await;
    }
    Instant::now()
}

/// A shortage in a deployment whose streams all have the same priority: it is served as before, and
/// its streams wait for 350 ms in the queue that all services share.
#[tokio::test(start_paused = true)]
async fn streams_of_one_priority_wait_for_350_ms() {
    LocalSet::new()
        .run_until(async {
            let (cluster, _guards) = full_host(&[1]).await;
            let state = &cluster.hosts[0].state;
            let reply = send(state, 1);
            let joined = until_waiting(state, (1, 0)).await;
            let wait = until_waiting(state, (0, 0)).await - joined;
            assert!(wait.abs_diff(Duration::from_millis(350)) <= 2 * MS, "waited {wait:?}");
            let (status, body) = reply.await.expect("a reply");
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(body.contains("layer 0 has no room"), "{body}");
        })
        .await;
}

/// A burst meets a host that has measured nothing yet, so that the fifth stream is expected to wait
/// for 400 ms, beyond the maximum of 350 ms. In a service with priorities, it may wait longer.
#[tokio::test(start_paused = true)]
async fn line_that_is_too_long_is_refused_at_once_only_without_priorities() {
    LocalSet::new()
        .run_until(async {
            let (cluster, _guards) = full_host(&[1]).await;
            let state = &cluster.hosts[0].state;
            let _waiting: Vec<_> = (0..4).map(|_| send(state, 1)).collect();
            until_waiting(state, (4, 0)).await;
            let (status, body) = send(state, 1).await.expect("a reply");
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(body.contains("the line is 400 ms long"), "{body}");
        })
        .await;
    LocalSet::new()
        .run_until(async {
            let (cluster, _guards) = full_host(&[0, 1]).await;
            let state = &cluster.hosts[0].state;
            let _waiting: Vec<_> = (0..5).map(|_| send(state, 1)).collect();
            until_waiting(state, (0, 5)).await;
        })
        .await;
}

/// A shortage that outlasts the objective of a first attempt: the stream goes on waiting until 0.7 of
/// the 2 s after which its caller gives up, and is refused then.
#[tokio::test(start_paused = true)]
async fn streams_with_priorities_wait_until_their_callers_are_about_to_give_up() {
    LocalSet::new()
        .run_until(async {
            let (cluster, _guards) = full_host(&[0, 1]).await;
            let state = &cluster.hosts[0].state;
            let reply = send(state, 1);
            let joined = until_waiting(state, (0, 1)).await;
            let counted = state.demand.borrow_mut().counts(Instant::now());
            assert_eq!(counted["guide"][&level_of(1, 1)].waiting, 1);
            let wait = until_waiting(state, (0, 0)).await - joined;
            assert!(wait.abs_diff(Duration::from_millis(1_400)) <= 2 * MS, "waited {wait:?}");
            let (status, body) = reply.await.expect("a reply");
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(body.contains("layer 0 has no room"), "{body}");
            assert!(state.objective_queues.borrow().is_empty());
        })
        .await;
}

/// The caller of the first in line leaves: its stream must not stay in the queue or in the counts,
/// where it would hold up those behind it.
#[tokio::test(start_paused = true)]
async fn stream_whose_caller_leaves_leaves_the_queue_at_once() {
    LocalSet::new()
        .run_until(async {
            let (cluster, _guards) = full_host(&[0, 1]).await;
            let state = &cluster.hosts[0].state;
            let leaving = send(state, 0);
            until_waiting(state, (0, 1)).await;
            let staying = send(state, 1);
            until_waiting(state, (0, 2)).await;
            leaving.abort();
            let left = Instant::now();
            let gone = until_waiting(state, (0, 1)).await - left;
            assert!(gone <= Duration::from_millis(10), "it stayed for {gone:?}");
            let counted = state.demand.borrow_mut().counts(Instant::now());
            assert_eq!(counted["guide"].get(&0).map_or(0, |count| count.waiting), 0);
            staying.abort();
            until_waiting(state, (0, 0)).await;
        })
        .await;
}

/// A start becomes free in a shortage while streams of two kinds wait: the more urgent one must take
/// it, although it came later.
#[tokio::test(start_paused = true)]
async fn free_start_goes_to_the_most_urgent_stream() {
    LocalSet::new()
        .run_until(async {
            let (cluster, mut guards) = full_host(&[0, 1]).await;
            let state = &cluster.hosts[0].state;
            let _low = send(state, 1);
            until_waiting(state, (0, 1)).await;
            let _urgent = send(state, 0);
            until_waiting(state, (0, 2)).await;
            guards.pop();
            state.wake_queue();
            let started = |priority: u8| {
                let counts = state.demand.borrow_mut().counts(Instant::now());
                counts["guide"]
                    .get(&level_of(priority, priority))
                    .is_some_and(|count| count.started_per_s > 0.0)
            };
            while !started(0) && !started(1) {
                yield_now().await;
            }
            assert!(started(0) && !started(1), "the less urgent stream has taken the start");
        })
        .await;
}

/// A report that claims a thousand urgent streams at another host, forged or true, while this host
/// has free starts. It may hold back a less urgent stream until the midpoint between 350 ms, when that
/// is late, and its last moment at 1,400 ms, but neither refuse it nor hold it any longer, and it does
/// not concern the most urgent ones.
#[tokio::test(start_paused = true)]
async fn free_starts_are_left_to_urgent_streams_of_other_hosts_for_a_bounded_time() {
    LocalSet::new()
        .run_until(async {
            let (cluster, guards) = full_host(&[0, 1]).await;
            let state = &cluster.hosts[0].state;
            drop(guards);
            report_demand(state, DemandCount { waiting: 1_000, ..DemandCount::default() });
            sleep(Duration::from_millis(400)).await;
            let _low = send(state, 1);
            let joined = until_waiting(state, (0, 1)).await;
            let _urgent = send(state, 0);
            let has_started = |priority| {
                let counts = state.demand.borrow_mut().counts(Instant::now());
                let levels = counts.get("guide");
                let level = level_of(priority, priority);
                let demand = levels.and_then(|levels| levels.get(&level).copied());
                demand.is_some_and(|count| count.started_per_s > 0.0)
            };
            while !has_started(0) {
                sleep(MS).await;
            }
            assert!(joined.elapsed() < Duration::from_millis(100), "{:?}", joined.elapsed());
            assert!(!has_started(1));
            while !has_started(1) {
                sleep(MS).await;
            }
            let wait = joined.elapsed();
            assert!(wait.abs_diff(Duration::from_millis(875)) <= 2 * MS, "waited {wait:?}");
        })
        .await;
}

/// Several late streams wait while another host claims urgent ones: each looks at whether those before
/// it leave their starts. The look-up of free starts once borrowed the queue a second time, which
/// ended the tasks of the streams without a reply to their callers.
#[tokio::test(start_paused = true)]
async fn late_streams_behind_others_are_served_past_claims_of_other_hosts() {
    LocalSet::new()
        .run_until(async {
            let (cluster, guards) = full_host(&[0, 1]).await;
            let state = &cluster.hosts[0].state;
            drop(guards);
            report_demand(state, DemandCount { waiting: 1_000, ..DemandCount::default() });
            sleep(Duration::from_millis(400)).await;
            let replies: Vec<_> = (0..3).map(|_| send(state, 1)).collect();
            let joined = until_waiting(state, (0, 3)).await;
            let started = || {
                let counts = state.demand.borrow_mut().counts(Instant::now());
                counts["guide"][&level_of(1, 1)].started_per_s
            };
            // Each stream counts as 0.5 a second at first.
            while started() < 1.4 {
                let waited = joined.elapsed();
                assert!(
                    waited < Duration::from_millis(900),
                    "{} a second after {waited:?}",
                    started()
                );
                sleep(MS).await;
            }
            for reply in replies {
                reply.await.expect("a reply to each caller");
            }
        })
        .await;
}

/// In a surge, hosts that do not know each other's latest streams send a first stage more than it has
/// slots, and it refuses them. Its KV cache is nearly free then: judged by that alone, it was taken
/// for one that accepts no work and excluded at all hosts for 3 s, with its streams still running.
#[tokio::test(start_paused = true)]
async fn first_stage_without_free_slots_counts_as_full() {
    LocalSet::new()
        .run_until(async {
            let (cluster, mut guards) = full_host(&[0, 1]).await;
            let state = &cluster.hosts[0].state;
            let usages = || -> Vec<f64> {
                let endpoints = state.endpoints.borrow();
                let first = endpoints.entries().filter(|entry| {
                    entry.layers.is_some_and(|span| span.from == 0 && span.count() > 0)
                });
                first.filter_map(|entry| state.known_usage(entry)).collect()
            };
            assert!(usages().iter().all(|usage| *usage >= 0.6), "{:?}", usages());
            guards.clear();
            assert!(usages().iter().all(|usage| *usage < 0.6), "{:?}", usages());
        })
        .await;
}

/// Guards against a Retry-After that follows from the wrong queue: streams of a service with one
/// priority wait in the shared queue, which says nothing about the wait of a service with several.
/// The time of the latter must fit into a third of the caller's time with the random factor of 2.
#[tokio::test(start_paused = true)]
async fn refusal_by_objective_names_the_wait_of_its_own_queue() {
    let delay = async |site: Option<DemandCount>, shared: usize| {
        let (cluster, _guards) = full_host(&[0, 1]).await;
        let state = &cluster.hosts[0].state;
        for _ in 0..shared {
            state.path_queue.borrow_mut().join(WaitClass::New, 1);
        }
        // Nine streams are served for one that is refused.
        let served = |_| {
            let mut schedules = state.return_schedules.borrow_mut();
            schedules.get_mut(&"guide".into(), true).record_served(Instant::now());
        };
        let reply = send_then(state, 1, |parts, body| {
            assert_eq!(parts.status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
            let value = parts.headers["retry-after"].to_str().expect("text").to_owned();
            value.parse::<f64>().expect("seconds")
        });
        sleep(Duration::from_millis(1_000)).await;
        (0..9).for_each(served);
        if let Some(count) = site {
            report_demand(state, count);
        }
        reply.await.expect("a reply")
    };
    LocalSet::new()
        .run_until(async {
            // Nine were served 0.4 s before the refusal and count for exp(-0.2) each, so that 0.1195 is
            // refused: 1.151 s, prolonged by a factor of up to 2.
            let alone = delay(None, 0).await;
            assert!((1.15..2.31).contains(&alone), "{alone} s");
            let shared = delay(None, 50).await;
            assert!((1.15..2.31).contains(&shared), "{shared} s although no stream waits");
            let waiting = DemandCount { waiting: 300, started_per_s: 200.0, ..Default::default() };
            let busy = delay(Some(waiting), 0).await;
            assert!((2.65..5.31).contains(&busy), "{busy} s with 1.5 s of waiting");
            let forged = DemandCount { waiting: 1_000_000, started_per_s: 1.0, ..waiting };
            let forged = delay(Some(forged), 0).await;
            assert!((3.1..6.7).contains(&forged), "{forged} s of 20");
        })
        .await;
}
