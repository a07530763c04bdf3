//! Stand-in engines run each layer once per token, and refuse calls and orders that do not match
//! their state.

mod support;

use assert_matches::assert_matches;
use jacinthrock::{EngineOrder, GenerateCall, GenerateEvent, PriorityClass, RouteStage};
use jacinthrock_standins::engine::{
    EngineApi, EngineRecords, EngineStage, ForwardCall, LoadHistory, PrefixCache, slowdown,
};
use jacinthrock_standins::load::check_layer_records;
use jacinthrock_standins::token::{answer_digest, expected_answer, fold_layers};
use std::rc::Rc;
use std::time::Duration;
use support::{
    LAYERS, TestReply, call, engine_options, generate_call, route_stage, serve_on_free_port,
};
use tokio::task::LocalSet;
use tokio::time::Instant;

async fn two_stages() -> Vec<RouteStage> {
    let first = serve_on_free_port(Rc::new(EngineApi::new(engine_options("a", 0, 5)))).await;
    let second = serve_on_free_port(Rc::new(EngineApi::new(engine_options("b", 6, 11)))).await;
    vec![route_stage("a", &first, 0, 5), route_stage("b", &second, 6, 11)]
}

async fn generate(request: &GenerateCall) -> TestReply {
    let url = format!("http://{}/v1/generate", request.route[0].address);
    call("POST", url, &[], &serde_json::to_string(request).unwrap()).await.unwrap()
}

async fn events(call: &GenerateCall) -> Vec<GenerateEvent> {
    let reply = generate(call).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    reply.body.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn tokens(events: &[GenerateEvent]) -> Vec<u64> {
    let token = |event: &GenerateEvent| match event {
        GenerateEvent::Token { token, .. } => Some(*token),
        _ => None,
    };
    events.iter().filter_map(token).collect()
}

async fn post(stage: &RouteStage, path: &str, body: &str) -> TestReply {
    call("POST", format!("http://{}{path}", stage.address), &[], body).await.unwrap()
}

fn expected(length: u32) -> Vec<u64> {
    expected_answer("guide", "v1", "user: how hot is the kiln", LAYERS, length)
}

#[tokio::test]
async fn an_answer_over_two_stages_matches_the_expected_one() {
    LocalSet::new()
        .run_until(async {
            let route = two_stages().await;
            let events = events(&generate_call(route, &[], 5)).await;
            assert_eq!(tokens(&events), expected(5));
            let digest = answer_digest(&expected(5));
            let end = GenerateEvent::End { attempt: 1, length: 5, digest };
            assert_eq!(events.last(), Some(&end));
            assert_matches!(&events[0], GenerateEvent::Token { stages, .. } if stages.len() == 2);
        })
        .await;
}

#[tokio::test]
async fn an_answer_continues_after_the_accepted_tokens() {
    LocalSet::new()
        .run_until(async {
            let route = two_stages().await;
            let whole = expected(6);
            let events = events(&generate_call(route, &whole[..4], 6)).await;
            assert_eq!(tokens(&events), whole[4..]);
            let digest = answer_digest(&whole);
            let end = GenerateEvent::End { attempt: 1, length: 6, digest };
            assert_eq!(events.last(), Some(&end));
        })
        .await;
}

#[tokio::test]
async fn a_stale_attempt_is_refused_before_it_starts() {
    LocalSet::new()
        .run_until(async {
            let route = two_stages().await;
            let later = GenerateCall { attempt: 2, ..generate_call(route.clone(), &[], 1) };
            events(&later).await;
            let reply = generate(&generate_call(route, &[], 1)).await;
            assert_eq!((reply.status, reply.not_started), (409, true));
        })
        .await;
}

#[tokio::test]
async fn a_route_with_other_layers_fails_at_the_mismatched_stage() {
    LocalSet::new()
        .run_until(async {
            let mut route = two_stages().await;
            route[1].first_layer = 5;
            let events = events(&generate_call(route, &[], 3)).await;
            assert_matches!(&events[..], [GenerateEvent::Failed { endpoint, .. }] if &**endpoint == "b");
        })
        .await;
}

#[tokio::test]
async fn an_injected_failure_and_a_false_version_appear_in_the_events() {
    LocalSet::new()
        .run_until(async {
            let route = two_stages().await;
            post(&route[1], "/control/faults", r#"{"fail_at_position":2,"lie_version":"v0"}"#).await;
            let events = events(&generate_call(route, &[], 4)).await;
            assert_eq!(tokens(&events), expected(2));
            assert_matches!(&events[0], GenerateEvent::Token { stages, .. } if &*stages[1].version == "v0");
            assert_matches!(&events[2], GenerateEvent::Failed { endpoint, .. } if &**endpoint == "b");
        })
        .await;
}

#[tokio::test]
async fn a_leaving_engine_refuses_new_work() {
    LocalSet::new()
        .run_until(async {
            let route = two_stages().await;
            let order = EngineOrder {
                fence: 3,
                model: "guide".into(),
                version: "v1".into(),
                first_layer: 0,
                last_layer: 5,
                leaving: true,
            };
            let body = serde_json::to_string(&order).unwrap();
            assert_eq!(post(&route[0], "/v1/order", &body).await.status, 200);
            let reply = generate(&generate_call(route.clone(), &[], 1)).await;
            assert_eq!((reply.status, reply.not_started), (409, true));
            assert!(reply.body.contains(r#""leaving":true"#));
            let stale = serde_json::to_string(&EngineOrder { fence: 2, ..order }).unwrap();
            assert_eq!(post(&route[0], "/v1/order", &stale).await.status, 409);
        })
        .await;
}

#[test]
fn an_engine_that_ignores_fences_applies_a_stale_order() {
    let mut options = engine_options("a", 0, 5);
    options.checks_fence = false;
    let stage = EngineStage::new(options);
    let order = |fence, last_layer| EngineOrder {
        fence,
        model: "guide".into(),
        version: "v1".into(),
        first_layer: 0,
        last_layer,
        leaving: false,
    };
    stage.apply_order(&order(7, 5)).unwrap();
    let status = stage.apply_order(&order(6, 3)).unwrap();
    assert_eq!((status.fence, status.last_layer), (7, 3));
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_request() {
    LocalSet::new()
        .run_until(async {
            let route = two_stages().await;
            post(&route[0], "/control/faults", r#"{"extra_us_per_token":5000}"#).await;
            let request = generate_call(route.clone(), &[], 100_000);
            let body = serde_json::to_string(&request).unwrap();
            let url = format!("http://{}/v1/generate", route[0].address);
            let start = move || drop(ureq::post(&url).send(&body).unwrap());
            tokio::task::spawn_blocking(start).await.unwrap();
            let records = format!("http://{}/control/records", route[0].address);
            loop {
                let reply = call("GET", records.clone(), &[], "").await.unwrap();
                let records: EngineRecords = serde_json::from_str(&reply.body).unwrap();
                if let Some(end) = records.ends.front() {
                    assert_eq!(serde_json::to_value(end.end).unwrap(), "cancelled");
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
}

fn forward_call(position: u32, first: bool) -> ForwardCall {
    ForwardCall {
        request: "r1".into(),
        attempt: 1,
        model: "guide".into(),
        version: "v1".into(),
        route: vec![route_stage("a", "", 0, 5)],
        index: 0,
        position,
        state: 1,
        priority: PriorityClass::Guidance,
        first,
        prompt: "one two three".into(),
        prompt_words: 3,
        kv_sources: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_stage_without_kv_cache_prefills_the_prompt_and_the_accepted_tokens() {
    let mut options = engine_options("a", 0, 5);
    options.layer_time = Duration::from_millis(1);
    options.prefill_time = Duration::from_millis(2);
    let stage = EngineStage::new(options);
    let start = Instant::now();
    let reply = stage.forward(forward_call(10, true)).await.unwrap();
    assert_eq!(reply.token, fold_layers(1, 0, 5));
    assert_eq!(start.elapsed(), Duration::from_millis(6 + 2 * 13));
    let start = Instant::now();
    stage.forward(forward_call(11, false)).await.unwrap();
    assert_eq!(start.elapsed(), Duration::from_millis(6));
}

#[tokio::test]
async fn a_kv_cache_of_another_engine_is_imported() {
    LocalSet::new()
        .run_until(async {
            let source =
                serve_on_free_port(Rc::new(EngineApi::new(engine_options("a", 0, 5)))).await;
            // With this prefill time, the test passes only if the KV cache is imported.
            let mut options = engine_options("a", 0, 5);
            options.prefill_time = Duration::from_secs(3600);
            let importer = EngineStage::new(options);
            let url = format!("http://{source}/v1/forward");
            let body = serde_json::to_string(&forward_call(0, true)).unwrap();
            assert_eq!(call("POST", url, &[], &body).await.unwrap().status, 200);
            let import_call = ForwardCall { kv_sources: vec![source], ..forward_call(1, true) };
            let run = tokio::time::timeout(Duration::from_secs(30), importer.forward(import_call));
            assert_matches!(run.await, Ok(Ok(_)));
        })
        .await;
}

#[test]
fn guidance_is_slowed_least_when_slots_are_scarce() {
    let batched = [4, 8, 8];
    assert_eq!(slowdown(batched, 8, PriorityClass::Guidance), 1.0);
    assert_eq!(slowdown(batched, 8, PriorityClass::Interactive), 2.0);
    assert!(slowdown(batched, 8, PriorityClass::Batch) > 8.0);
    assert_eq!(slowdown([0, 16, 0], 8, PriorityClass::Interactive), 2.0);
}

#[tokio::test(start_paused = true)]
async fn reported_load_lags() {
    let mut history = LoadHistory::new(Duration::from_millis(500));
    history.record(3, Instant::now());
    assert_eq!(history.reported(Instant::now()), 0);
    tokio::time::advance(Duration::from_millis(500)).await;
    history.record(9, Instant::now());
    assert_eq!(history.reported(Instant::now()), 3);
}

#[tokio::test(start_paused = true)]
async fn a_prompt_prefix_is_cached_and_its_events_are_delayed() {
    let prompt = "word ".repeat(40);
    let mut cache = PrefixCache::new(64);
    assert_eq!(cache.lookup_and_insert(&prompt, Instant::now()), 0);
    assert_eq!(cache.lookup_and_insert(&prompt, Instant::now()), 32);
    assert!(cache.events_after(0, Instant::now()).is_empty());
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(cache.events_after(0, Instant::now()).len(), 2);
}

#[test]
fn a_layer_that_ran_twice_is_detected() {
    let records = |first, last| {
        let mut records = EngineRecords::default();
        let run = format!(
            r#"{{"request":"r","attempt":1,"position":0,"first_layer":{first},"last_layer":{last}}}"#
        );
        records.add_run(serde_json::from_str(&run).unwrap());
        records
    };
    assert_eq!(check_layer_records(&[records(0, 5), records(6, 11)]).run_twice, 0);
    assert_eq!(check_layer_records(&[records(0, 5), records(5, 11)]).run_twice, 1);
}
