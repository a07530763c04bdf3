//! Candidates for a path: what keeps an endpoint from being a stage, or from being the first one.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthrock_entry::{
    CardProfile, DownTable, EndpointEntry, EndpointName, EndpointNotices, EndpointTable,
    EngineProfile, ExclusionTable, ExpiringFlags, HealthTable, LayerSpan, LinkUse, LoadMap,
    LoadSum, PathQuery, PeerLoads, RateTable, RoutingView, StageLoad, StageView, cheapest_path,
    explain_gap, first_gap,
};
use tokio::time::Instant;

const LAYERS: u16 = 8;
const TOKENS: u32 = 100;
/// Slots of each endpoint.
const SLOTS: u32 = 192;

/// Tables of a host that knows the endpoints `a` with the first four layers and `b` with the others.
struct HostTables {
    now: Instant,
    endpoints: EndpointTable,
    health: HealthTable,
    exclusions: ExclusionTable,
    down_table: DownTable,
    notices: EndpointNotices,
    rates: RateTable,
    own_loads: LoadMap,
    peer_loads: PeerLoads,
    suspected: ExpiringFlags,
    overloaded: ExpiringFlags,
    domain_hosts: u32,
}

impl HostTables {
    fn new() -> Self {
        let now = Instant::now();
        let mut endpoints = EndpointTable::default();
        endpoints.replace(5, [entry("a", 0, 4), entry("b", 4, LAYERS)], now);
        Self {
            now,
            endpoints,
            health: HealthTable::default(),
            exclusions: ExclusionTable::default(),
            down_table: DownTable::default(),
            notices: EndpointNotices::default(),
            rates: RateTable::new(1),
            own_loads: LoadMap::new(),
            peer_loads: PeerLoads::default(),
            suspected: ExpiringFlags::default(),
            overloaded: ExpiringFlags::default(),
            domain_hosts: 1,
        }
    }

    fn stages_for(&self, query: &PathQuery<'_>, at: Instant) -> Vec<StageView> {
        let view = RoutingView {
            domain: "north",
            hosts: 6,
            domain_hosts: self.domain_hosts,
            endpoints: &self.endpoints,
            health: &self.health,
            exclusions: &self.exclusions,
            down_table: &self.down_table,
            notices: &self.notices,
            rates: &self.rates,
            own_loads: &self.own_loads,
            peer_loads: &self.peer_loads,
            suspected: &self.suspected,
            overloaded: &self.overloaded,
        };
        view.stage_views(&engine(), query, at, |range| *range.start())
    }

    fn stages_at(&self, at: Instant) -> Vec<StageView> {
        self.stages_for(&query(&BTreeSet::new()), at)
    }

    fn has_path(&self, at: Instant) -> bool {
        cheapest_path(LAYERS, "north", 0.0, &self.stages_at(at)).is_some()
    }

    /// First layer without a stage.
    fn gap(&self) -> Option<u16> {
        first_gap(LAYERS, &self.stages_at(self.now))
    }
}

fn entry(name: &str, from: u16, to: u16) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "guide".into(),
        address: ([10, 0, 0, 1], u16::from(name.as_bytes()[0])).into(),
        domain: "north".into(),
        slots: SLOTS,
        is_draining: false,
        orders: 0,
        start_unix_ms: 1,
        card: Some("k".into()),
        layers: Some(LayerSpan { from, to }),
        under_way: None,
    }
}

/// A card has memory for 968,000 tokens times layers beside the weights of four layers.
fn engine() -> EngineProfile {
    let card = CardProfile { memory_mb: 1_000.0, step_factor: 2.0, prefill_factor: 1.0 };
    EngineProfile {
        layers: LAYERS,
        layer_mb: 8.0,
        token_layer_mb: 0.001,
        step_ms: 1.0,
        request_ms: 0.0,
        context_ms: 0.0,
        prefill_tokens_per_ms: 100.0,
        load_time: Duration::from_millis(500),
        parallel_loads: 4,
        activation_bytes: 1_000.0,
        link_mbps: 0.0,
        mean_prompt_tokens: 100,
        mean_output_tokens: 50,
        event_tokens: 1,
        cards: [("k".into(), card)].into(),
    }
}

fn query(avoid: &BTreeSet<EndpointName>) -> PathQuery<'_> {
    PathQuery { service: "guide", tokens: TOKENS, starts: None, avoid, ignores_rates: false }
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Streams must not go to an endpoint that has just refused one, first stage or not, and must go
/// there again once the flag has expired.
#[test]
fn overloaded_stage_takes_no_stream_until_its_flag_expires() {
    for (name, layer) in [("a", 0), ("b", 4)] {
        let mut tables = HostTables::new();
        assert_eq!(tables.gap(), None);
        let until = tables.now + millis(250);
        tables.overloaded.set(&name.into(), tables.now, until);
        assert_eq!(tables.gap(), Some(layer));
        assert!(!tables.has_path(until - millis(1)) && tables.has_path(until));
    }
}

/// A first stage accepts 192 concurrent requests; streams beyond 0.95 of them would be refused.
/// Later stages have no slots.
#[test]
fn first_stage_without_slots_starts_no_stream() {
    let load = |starts| StageLoad { streams: starts, starts, token_layers: 0 };
    let mut tables = HostTables::new();
    // 0.95 x 192 = 182.4, the new stream included.
    tables.own_loads.insert("a".into(), load(181));
    tables.own_loads.insert("b".into(), load(1_000));
    assert!(tables.has_path(tables.now));
    tables.own_loads.insert("a".into(), load(182));
    assert!(!tables.has_path(tables.now));
    assert_eq!(tables.gap(), Some(0));
}

/// Slots that streams of other hosts take count as well.
#[test]
fn starts_of_other_hosts_take_slots() {
    let load = |starts| StageLoad { streams: starts, starts, token_layers: 0 };
    for (others, has_path) in [(181, true), (182, false)] {
        let mut tables = HostTables::new();
        let loads = LoadMap::from([("a".into(), load(others))]);
        let total = LoadSum { loads, ..LoadSum::default() };
        tables.peer_loads.update(total, LoadSum::default(), 6, tables.now);
        assert_eq!(tables.has_path(tables.now), has_path, "{others} starts of other hosts");
    }
}

/// Without a recent total, a host of three in its domain counts its own load three times.
#[test]
fn own_load_stands_for_the_domain_without_a_recent_total() {
    let load = StageLoad { streams: 61, starts: 61, token_layers: 0 };
    let mut tables = HostTables::new();
    tables.own_loads.insert("a".into(), load);
    assert!(tables.has_path(tables.now));
    tables.domain_hosts = 3;
    assert!(!tables.has_path(tables.now));
    let own = LoadSum { loads: tables.own_loads.clone(), ..LoadSum::default() };
    tables.peer_loads.update(own.clone(), own, 6, tables.now);
    assert!(tables.has_path(tables.now), "the total shows no load of others");
}

/// The memory of a stage must have room for the whole new stream, up to 0.95 of it.
#[test]
fn stage_without_memory_takes_no_stream() {
    // 0.95 x 968,000 = 919,600, of which the new stream takes 400.
    for (token_layers, gap) in [(919_199, None), (919_200, Some(4))] {
        let mut tables = HostTables::new();
        let load = StageLoad { streams: 1, starts: 0, token_layers };
        tables.own_loads.insert("b".into(), load);
        assert_eq!(tables.gap(), gap, "{token_layers} token layers in use");
    }
}

/// A pause that an endpoint asks for keeps new streams away, but not those that pass through it.
#[test]
fn paused_endpoint_starts_no_path() {
    let mut tables = HostTables::new();
    let start = tables.endpoints.get("b").expect("an entry").start();
    tables.notices.pause(start, millis(300), tables.now);
    assert!(tables.has_path(tables.now), "a later stage may be paused");
    let start = tables.endpoints.get("a").expect("an entry").start();
    tables.notices.pause(start, millis(300), tables.now);
    assert!(!tables.has_path(tables.now) && tables.has_path(tables.now + millis(300)));
    let none = BTreeSet::new();
    let query = PathQuery { ignores_rates: true, ..query(&none) };
    assert!(tables.stages_for(&query, tables.now).iter().all(|stage| !stage.may_start));
}

/// An endpoint with a rate limit starts no path without a permit, except in searches that start no
/// stream: detours, and the readiness of the host.
#[test]
fn endpoint_without_a_permit_starts_no_path() {
    let mut tables = HostTables::new();
    let start = tables.endpoints.get("a").expect("an entry").start();
    tables.rates.observe_limit(start, 0.5, tables.now);
    while tables.rates.may_send(start, tables.now) {
        tables.rates.take(start, tables.now);
    }
    assert!(!tables.has_path(tables.now));
    assert_eq!(tables.gap(), Some(0));
    let none = BTreeSet::new();
    let query = PathQuery { ignores_rates: true, ..query(&none) };
    let stages = tables.stages_for(&query, tables.now);
    assert!(cheapest_path(LAYERS, "north", 0.0, &stages).is_some());
}

/// Endpoints that are down, excluded, draining, leaving, avoided or of another service are no
/// candidates at all, and a path starts only where the query allows it.
#[test]
fn endpoints_that_accept_no_work_are_no_candidates() {
    let names = |stages: Vec<StageView>| -> Vec<EndpointName> {
        stages.into_iter().map(|stage| stage.name).collect()
    };
    let mut tables = HostTables::new();
    tables.health.mark_down(&"a".into());
    assert_eq!(names(tables.stages_at(tables.now)), ["b".into()]);
    let mut tables = HostTables::new();
    tables.exclusions.exclude(&entry("a", 0, 4), millis(300), tables.now);
    assert_eq!(names(tables.stages_at(tables.now)), ["b".into()]);
    let mut tables = HostTables::new();
    tables.notices.mark_leaving(entry("a", 0, 4).start(), tables.now);
    assert_eq!(names(tables.stages_at(tables.now)), ["b".into()]);
    let mut tables = HostTables::new();
    let draining = EndpointEntry { is_draining: true, ..entry("a", 0, 4) };
    let other = EndpointEntry { service: "other".into(), ..entry("c", 0, 4) };
    tables.endpoints.replace(6, [draining, other, entry("b", 4, LAYERS)], tables.now);
    assert_eq!(names(tables.stages_at(tables.now)), ["b".into()]);
    let tables = HostTables::new();
    let avoided = BTreeSet::from(["a".into()]);
    assert_eq!(names(tables.stages_for(&query(&avoided), tables.now)), ["b".into()]);
    let (starts, none) = (BTreeSet::from(["z".into()]), BTreeSet::new());
    let query = PathQuery { starts: Some(&starts), ..query(&none) };
    assert!(tables.stages_for(&query, tables.now).iter().all(|stage| !stage.may_start));
}

/// A suspected stage keeps its place, at a cost above that of a whole path over other cards.
#[test]
fn suspected_stage_is_used_only_if_no_other_holds_its_layers() {
    let mut tables = HostTables::new();
    tables.suspected.set(&"b".into(), tables.now, tables.now + millis(1_500));
    assert!(tables.has_path(tables.now));
    let entries = [entry("a", 0, 4), entry("b", 4, LAYERS), entry("c", 4, LAYERS)];
    tables.endpoints.replace(6, entries, tables.now);
    let stages = tables.stages_at(tables.now);
    let path = cheapest_path(LAYERS, "north", 0.0, &stages).expect("a path");
    assert_eq!(&*path[1].name, "c");
}

/// Costs vary by at most a tenth at the shortest load exchange interval, and by at most a half with
/// longer ones; each candidate takes one draw.
#[test]
fn cost_of_a_stage_varies_within_the_jitter() {
    let tables = HostTables::new();
    let flags = ExpiringFlags::default();
    for (hosts, least, most) in [(1, 1.1, 1.1), (100_000, 1.1, 1.5)] {
        let view = RoutingView {
            domain: "north",
            hosts,
            domain_hosts: 1,
            endpoints: &tables.endpoints,
            health: &tables.health,
            exclusions: &tables.exclusions,
            down_table: &tables.down_table,
            notices: &tables.notices,
            rates: &tables.rates,
            own_loads: &tables.own_loads,
            peer_loads: &tables.peer_loads,
            suspected: &flags,
            overloaded: &flags,
        };
        let (mut draws, none) = (0, BTreeSet::new());
        let stages = view.stage_views(&engine(), &query(&none), tables.now, |range| {
            draws += 1;
            assert_eq!(*range.start(), 1.0);
            assert!((least..=most).contains(range.end()), "{hosts} hosts: {range:?}");
            *range.end()
        });
        assert_eq!(draws, stages.len());
        // step factor 2 x 1 ms / 8 layers
        assert!(stages.iter().all(|stage| stage.layer_ms <= 0.25 * most));
    }
}

/// Guards against loads that are taken for those of another endpoint, as they are read in order of
/// the names: endpoints without loads, loads of endpoints that are not listed, and names of which
/// one is the beginning of another.
#[test]
fn each_stage_has_its_own_loads() {
    let mut tables = HostTables::new();
    let names: Vec<String> = (0..200).map(|number| format!("{number:b}")).collect();
    let listed = names.iter().enumerate().filter(|(number, _)| number % 7 != 0);
    let entries = listed.map(|(number, name)| EndpointEntry {
        name: name.as_str().into(),
        is_draining: number % 11 == 0,
        ..entry("a", 0, 4)
    });
    tables.endpoints.replace(6, entries.collect::<Vec<_>>(), tables.now);
    let loads = |step: usize, factor: usize| -> LoadMap {
        let used = names.iter().enumerate().skip(1).step_by(step);
        let loads = used.map(|(number, name)| {
            let streams = (number * factor) as u32;
            let token_layers = u64::from(streams) * 7;
            (name.as_str().into(), StageLoad { streams, starts: streams / 2, token_layers })
        });
        loads.collect()
    };
    tables.own_loads = loads(3, 5);
    let sum = |loads| LoadSum { loads, ..LoadSum::default() };
    tables.peer_loads.update(sum(loads(2, 100)), sum(loads(5, 3)), 4, tables.now);
    let stages = tables.stages_at(tables.now);
    assert!(stages.len() > 150);
    for stage in stages {
        let own = tables.own_loads.get(&stage.name).copied().unwrap_or_default();
        let others = tables.peer_loads.load(&stage.name, own, tables.now).expect("a recent total");
        assert_eq!(stage.streams, f64::from(own.streams + others.streams), "{}", stage.name);
        let tokens = (own.token_layers + others.token_layers) as f64 + f64::from(TOKENS) * 4.0;
        assert_eq!(stage.kv_usage, tokens / 968_000.0, "{}", stage.name);
    }
}

/// Stage views of two domains, of which `north` has no room at layer 5 and `south` at layer 1.
fn views_with_gaps(holders: u16) -> Vec<StageView> {
    let mut tables = HostTables::new();
    let in_domain = |number: u16, domain: &str, from, to| EndpointEntry {
        domain: domain.into(),
        ..entry(&format!("{domain}-{number:02}"), from, to)
    };
    let north = (0..holders).map(|number| in_domain(number, "north", 5, LAYERS));
    let south = (0..holders).map(|number| in_domain(number, "south", 1, 5));
    let free = [in_domain(90, "north", 0, 5), in_domain(90, "south", 5, LAYERS)];
    let first = in_domain(91, "south", 0, 1);
    tables.endpoints.replace(6, north.chain(south).chain(free).chain([first]), tables.now);
    let now = tables.now;
    for number in 0..holders {
        for domain in ["north", "south"] {
            let name: EndpointName = format!("{domain}-{number:02}").into();
            tables.overloaded.set(&name, now, now + millis(250));
        }
    }
    tables.stages_at(now)
}

/// A refusal that named no layer left operators to find out which domain lacks which endpoints.
#[test]
fn explanation_names_the_layer_without_room_of_each_domain() {
    let link = LinkUse { share: 3.5, quota_bytes: Some(-1_200) };
    let text = explain_gap(LAYERS, &link, &views_with_gaps(1));
    let expected = "no path joins 5 stages; pipe share 3.50; link quota -1200 bytes; \
        north: layer 5 has no room; holders: [\"north-00 streams 0 fill 0.00\"]; \
        south: layer 1 has no room; holders: [\"south-00 streams 0 fill 0.00\"]";
    assert_eq!(&*text, expected);
}

/// With thousands of endpoints, a refusal and its log line must stay short.
#[test]
fn explanation_of_all_domains_names_sixteen_holders() {
    let link = LinkUse { share: 0.2, quota_bytes: None };
    let text = explain_gap(LAYERS, &link, &views_with_gaps(40));
    assert_eq!(text.matches(" fill ").count(), 16, "{text}");
    assert_eq!(text.matches("and 32 others").count(), 2, "{text}");
    assert!(text.starts_with("no path joins 83 stages; pipe share 0.20; north: "), "{text}");
}

/// Each domain may have room for every layer and still no path, if stages are full for other reasons
/// than memory; the text must not blame a layer then.
#[test]
fn explanation_blames_no_layer_that_has_room() {
    let tables = HostTables::new();
    let link = LinkUse { share: 0.0, quota_bytes: None };
    let text = explain_gap(LAYERS, &link, &tables.stages_at(tables.now));
    let expected = "no path joins 2 stages; pipe share 0.00; north: every layer has room";
    assert_eq!(&*text, expected);
}
