//! Number of starters of failure domains, and the layouts that follow from it.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock_entry::{
    CardView, LayerSpan, LayoutOrder, LayoutPlanner, StartChange, StartInputs, StartPlanner,
};
use support::{DOMAINS, SHAPE, TOKEN_LAYER_MB, apply_orders, capacity_of, empty_fleet};
use tokio::time::Instant;

/// Tokens of a typical stream.
const TOKENS: f64 = 400.0;
/// Interval between two rounds: about the time in which an order is carried out.
const ROUND: Duration = Duration::from_millis(500);
/// Rounds in which any layout of these tests settles, below the 30 s before a starter is removed.
const SETTLE_ROUNDS: u32 = 50;
/// Streams that one card may start: 192 slots x 0.95.
const CARD_STARTS: f64 = 182.4;

/// A service with its planners; orders are carried out within a round.
struct Service {
    cards: Vec<CardView>,
    starts: StartPlanner,
    layout: LayoutPlanner,
    now: Instant,
    has_loads: bool,
    is_first_start: bool,
}

impl Service {
    fn new(cards: Vec<CardView>) -> Self {
        Self {
            cards,
            starts: StartPlanner::default(),
            layout: LayoutPlanner::default(),
            now: Instant::now(),
            has_loads: true,
            is_first_start: false,
        }
    }

    /// A settled service with cards for three copies of the model in each domain.
    fn large() -> Self {
        let mut service = Self::new(large_fleet());
        service.settle(|_| 0.0);
        service
    }

    /// A settled service with cards for one copy of the model in each domain.
    fn small() -> Self {
        let mut service = Self::new(empty_fleet());
        service.settle(|_| 0.0);
        service
    }

    /// Another holder of the placement lease takes over.
    fn change_holder(&mut self) {
        self.starts = StartPlanner::default();
        self.layout = LayoutPlanner::default();
    }

    /// Runs one round in which `demand` streams of each domain are to be in progress; returns the
    /// changes and orders, and how many streams were refused for want of a start.
    fn round(&mut self, demand: impl Fn(&str) -> f64) -> Round {
        let mut refused = 0.0;
        for domain in DOMAINS {
            refused += (demand(domain) - self.starts_of(domain)).max(0.0);
            self.place_streams(domain, demand(domain));
        }
        self.now += ROUND;
        let inputs = StartInputs {
            shape: SHAPE,
            stream_mb: TOKENS * TOKEN_LAYER_MB,
            cards: &self.cards,
            has_loads: self.has_loads,
            is_first_start: self.is_first_start,
        };
        let changes = self.starts.update(inputs, self.now);
        self.layout.set_wanted(self.starts.wanted());
        let orders = self.layout.orders(SHAPE, &self.cards);
        let was_whole = DOMAINS.map(|domain| capacity_of(&self.cards, domain) > 0.0);
        apply_orders(&mut self.cards, &orders);
        for (domain, was_whole) in DOMAINS.into_iter().zip(was_whole) {
            let is_whole = capacity_of(&self.cards, domain) > 0.0;
            assert!(is_whole || !was_whole, "{domain} loses a layer by {orders:?}");
        }
        Round { changes, orders, refused }
    }

    /// Spreads the streams of a domain over its first stages, as many as these start.
    fn place_streams(&mut self, domain: &str, demand: f64) {
        let mut left = demand;
        for card in self.cards.iter_mut().filter(|card| &*card.domain == domain) {
            let most = if is_first_stage(card) { f64::from(card.slots) * 0.95 } else { 0.0 };
            card.starts = left.min(most) as u32;
            left -= f64::from(card.starts);
        }
    }

    fn run(&mut self, rounds: u32, demand: impl Fn(&str) -> f64) -> Vec<Round> {
        (0..rounds).map(|_| self.round(&demand)).collect()
    }

    fn settle(&mut self, demand: impl Fn(&str) -> f64) {
        let rounds = self.run(SETTLE_ROUNDS, demand);
        let last = rounds.last().expect("a round");
        assert_eq!(last.orders, [], "the layout does not settle");
    }

    fn starts_of(&self, domain: &str) -> f64 {
        let near = self.cards.iter().filter(|card| &*card.domain == domain);
        near.filter(|card| is_first_stage(card)).map(|card| f64::from(card.slots) * 0.95).sum()
    }

    /// A load of each domain that takes a share of its present starts.
    fn load(&self, share: f64) -> impl Fn(&str) -> f64 + use<> {
        let loads = DOMAINS.map(|domain| (domain, self.starts_of(domain) * share));
        let loads = BTreeMap::from(loads);
        move |domain| loads[domain]
    }

    fn memory_of(&self, domain: &str) -> f64 {
        capacity_of(&self.cards, domain) / TOKENS
    }

    fn starters(&self, domain: &str) -> Vec<CardView> {
        let near = self.cards.iter().filter(|card| &*card.domain == domain);
        near.filter(|card| card.held == Some(LayerSpan { from: 0, to: 1 })).cloned().collect()
    }

    fn starter_counts(&self) -> Vec<usize> {
        DOMAINS.iter().map(|domain| self.starters(domain).len()).collect()
    }

    fn wanted(&self) -> Vec<usize> {
        let wanted: BTreeMap<_, _> = self.starts.wanted();
        DOMAINS.iter().map(|domain| wanted.get(*domain).copied().unwrap_or_default()).collect()
    }
}

/// Outcome of one round.
struct Round {
    changes: Vec<StartChange>,
    orders: Vec<LayoutOrder>,
    refused: f64,
}

fn is_first_stage(card: &CardView) -> bool {
    card.loaded.is_some_and(|span| span.holds(0))
}

/// Three times the cards of the small deployment.
fn large_fleet() -> Vec<CardView> {
    let copies = (0..3).flat_map(|number| {
        empty_fleet().into_iter().map(move |card| {
            let name = format!("{}-{number}", card.name).into();
            CardView { name, ..card }
        })
    });
    copies.collect()
}

fn changes(rounds: &[Round]) -> usize {
    rounds.iter().map(|round| round.changes.len()).sum()
}

/// The layout of a deployment with spare starts must not change.
#[test]
fn small_deployment_with_low_use_keeps_its_layout() {
    for in_use in [0.0, 20.0 / 3.0, 20.0, 45.0] {
        let mut service = Service::small();
        // One first stage in each domain: a second one has no slots.
        for domain in DOMAINS {
            let near = service.cards.iter_mut().filter(|card| &*card.domain == domain);
            near.filter(|card| is_first_stage(card)).skip(1).for_each(|card| card.slots = 0);
        }
        let starts = DOMAINS.map(|domain| service.starts_of(domain));
        assert!(starts.iter().all(|starts| *starts == 192.0 * 0.95), "{starts:?}");
        let rounds = service.run(200, |_| in_use);
        assert_eq!(changes(&rounds), 0, "starters for {in_use} streams in each domain");
        assert!(rounds.iter().all(|round| round.orders.is_empty()), "the layout changes");
    }
}

/// A service whose streams mostly start at one card must be able to start them after its loss. The
/// starter must not come and go although its own domain has spare starts.
#[test]
fn largest_first_stage_is_backed_by_starters() {
    let mut service = Service::large();
    let large = service.cards.iter_mut().find(|card| is_first_stage(card)).expect("a first stage");
    large.slots = 3_000;
    let load = |domain: &str| if domain == "north" { 1_500.0 } else { 120.0 };
    let rounds = service.run(300, load);
    let largest = 3_000.0 * 0.95;
    let left: f64 = DOMAINS.iter().map(|domain| service.starts_of(domain)).sum::<f64>() - largest;
    println!("{left:.0} starts without the largest, {:?}", service.starter_counts());
    assert!(left >= 1_740.0, "{left} starts are left after the loss of the largest");
    assert!(service.wanted().iter().any(|wanted| *wanted > 0));
    assert_eq!(changes(&rounds[200..]), 0, "the starters come and go");
}

/// The loss of a first stage at low use is no reason for starters.
#[test]
fn small_deployment_with_low_use_gets_no_starter_after_a_loss() {
    let mut service = Service::small();
    let lost = service.cards.iter().position(is_first_stage).expect("a first stage");
    service.cards.remove(lost);
    let rounds = service.run(SETTLE_ROUNDS, |_| 20.0);
    assert_eq!(changes(&rounds), 0);
}

#[test]
fn large_deployment_with_spare_starts_keeps_its_layout() {
    let mut service = Service::large();
    let low = |domain: &str| CARD_STARTS * 0.4 * f64::from(u8::from(domain != "south"));
    let rounds = service.run(200, low);
    assert_eq!(changes(&rounds), 0);
    assert!(rounds.iter().all(|round| round.orders.is_empty()), "the layout changes");
}

/// Streams were refused because all first stages were full, while later stages had memory left. A
/// burst of twice the load must find starts as far as there is memory.
#[test]
fn burst_of_twice_the_load_finds_starts() {
    let mut service = Service::large();
    let load = service.load(0.7);
    service.settle(&load);
    for domain in DOMAINS {
        let (starts, memory) = (service.starts_of(domain), service.memory_of(domain));
        println!("{domain}: {starts:.0} starts, memory for {memory:.0}, load {}", load(domain));
        assert!(starts >= (load(domain) * 2.0).min(memory), "{domain} has {starts} starts");
    }
    let memory = DOMAINS.map(|domain| (domain, service.memory_of(domain)));
    let memory = BTreeMap::from(memory);
    let burst = service.round(|domain| (load(domain) * 2.0).min(memory[domain]));
    assert_eq!(burst.refused, 0.0, "streams are refused for want of a start");
}

/// A load that grows by half over 5 s must not be refused for want of a start while there is memory.
#[test]
fn growing_load_is_not_refused_for_want_of_a_start() {
    let mut service = Service::large();
    let mut load = CARD_STARTS * 0.4;
    for _ in 0..40 {
        let memory: BTreeMap<_, _> =
            DOMAINS.iter().map(|domain| (*domain, service.memory_of(domain))).collect();
        let round = service.round(|domain| load.min(memory[domain] * 0.9));
        assert_eq!(round.refused, 0.0, "refused at {load} streams in each domain");
        load *= 1.04;
    }
}

/// A starter that fails must be replaced, as must one that is lost on its way.
#[test]
fn lost_starter_is_replaced() {
    let mut service = Service::large();
    let load = service.load(0.8);
    service.settle(&load);
    let counts = service.starter_counts();
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    let lost = service.starters("north")[0].name.clone();
    service.cards.retain(|card| card.name != lost);
    service.settle(&load);
    assert!(service.starter_counts()[0] >= counts[0], "{:?}", service.starter_counts());
}

#[test]
fn starter_that_is_lost_on_its_way_is_replaced() {
    let mut service = Service::large();
    let load = service.load(0.8);
    let change = service.round(&load);
    assert!(!change.changes.is_empty(), "no starter is wanted");
    for _ in 0..3 {
        service.round(&load);
        let starter = service.starters("north").first().map(|card| card.name.clone());
        service.cards.retain(|card| Some(&card.name) != starter.as_ref());
    }
    service.settle(&load);
    assert!(service.starter_counts()[0] >= service.wanted()[0], "{:?}", service.starter_counts());
}

/// Waves of the load must not make starters come and go: each change loads layers on several cards.
#[test]
fn waves_of_the_load_do_not_change_the_starters() {
    for period_s in [5.0, 10.0, 20.0] {
        let mut service = Service::large();
        let start = service.now;
        let wave = |now: Instant, base: f64| {
            let phase = (now - start).as_secs_f64() / period_s * std::f64::consts::TAU;
            base * (1.0 + 0.5 * phase.sin())
        };
        for base in [CARD_STARTS, CARD_STARTS * 1.6, CARD_STARTS * 2.4] {
            for _ in 0..SETTLE_ROUNDS * 2 {
                let now = service.now;
                service.round(|_| wave(now, base));
            }
            println!("waves of {period_s} s about {base:.0}: {:?}", service.starter_counts());
            for _ in 0..240 {
                let now = service.now;
                let changes = service.round(|_| wave(now, base)).changes;
                assert_eq!(changes, [], "changes at waves of {period_s} s about {base}");
            }
        }
    }
}

/// Only the domain that lacks starts gets starters.
#[test]
fn domains_with_uneven_demand_get_starters_where_they_lack_starts() {
    let mut service = Service::large();
    let busy = service.load(0.9)("middle");
    service.settle(|domain| if domain == "middle" { busy } else { 30.0 });
    let counts = service.starter_counts();
    assert!(counts[1] > 0, "{counts:?}");
    assert_eq!((counts[0], counts[2]), (0, 0), "a domain with spare starts gets a starter");
}

/// Cards without slots start no stream. As starters they would only take memory.
#[test]
fn cards_without_slots_are_no_starters() {
    let mut service = Service::large();
    for card in service.cards.iter_mut().filter(|card| !is_first_stage(card)) {
        card.slots = if card.name.contains("t4") { 192 } else { 0 };
    }
    let load = service.load(0.8);
    service.settle(&load);
    for domain in DOMAINS {
        let starters = service.starters(domain);
        println!("{domain}: {} starters", starters.len());
        assert!(!starters.is_empty(), "{domain} has no starter");
        assert!(starters.iter().all(|card| card.slots > 0), "{starters:?}");
    }
    for card in &mut service.cards {
        card.slots = 0;
    }
    let rounds = service.run(SETTLE_ROUNDS, |_| CARD_STARTS);
    let raised = rounds.iter().flat_map(|round| &round.changes).any(|c| c.wanted > 3);
    assert!(!raised, "starters are wanted although no card has slots");
}

/// Before the first stream, a domain with two or more copies gets starters up to its memory; one
/// with a single copy gets none. The copies come first.
#[test]
fn first_start_brings_starts_up_to_memory() {
    let mut service = Service::new(large_fleet());
    service.is_first_start = true;
    let first = service.round(|_| 0.0);
    assert!(first.changes.is_empty(), "starters are wanted before whole copies");
    assert_eq!(service.starter_counts(), [0; 3]);
    service.settle(|_| 0.0);
    for domain in DOMAINS {
        let (starts, memory) = (service.starts_of(domain), service.memory_of(domain));
        println!("{domain}: {} starters, {starts} for {memory}", service.starters(domain).len());
        assert!(!service.starters(domain).is_empty() && starts >= memory, "{starts} for {memory}");
    }
    let counts = service.starter_counts();
    // Idle time before the first stream says nothing about the usage.
    service.run(200, |_| 0.0);
    assert_eq!(service.starter_counts(), counts);

    let mut small = Service::new(empty_fleet());
    small.is_first_start = true;
    let rounds = small.run(SETTLE_ROUNDS, |_| 0.0);
    assert_eq!(changes(&rounds), 0);
}

/// Cards are needed for whole copies until all of them hold layers.
#[test]
fn loading_cards_delay_the_first_starters() {
    let mut service = Service::new(large_fleet());
    service.is_first_start = true;
    let late = service.cards[5].name.clone();
    service.cards[5].is_free = false;
    let rounds = service.run(SETTLE_ROUNDS, |_| 0.0);
    assert_eq!(rounds.iter().flat_map(|r| &r.changes).filter(|c| &*c.domain == "north").count(), 0);
    let card = service.cards.iter_mut().find(|card| card.name == late).expect("the late card");
    card.is_free = true;
    service.settle(|_| 0.0);
    assert!(service.starter_counts()[0] > 0);
}

/// A starter is removed after 30 s of low usage, not before, and moves to other layers.
#[test]
fn starter_is_removed_after_low_usage() {
    let mut service = Service::large();
    let load = service.load(0.8);
    service.settle(&load);
    let counts = service.starter_counts();
    let early = service.run(59, |_| 40.0);
    assert_eq!(changes(&early), 0, "a starter is removed before 30 s");
    service.run(400, |_| 40.0);
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    assert_eq!(service.wanted(), [0; 3]);
    assert_eq!(service.starter_counts(), [0; 3], "removed starters stay idle");
}

/// A new holder of the placement lease must neither move the starters nor add others.
#[test]
fn new_holder_keeps_the_starters() {
    let mut service = Service::large();
    let load = service.load(0.8);
    service.settle(&load);
    let counts = service.starter_counts();
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    service.change_holder();
    let rounds = service.run(SETTLE_ROUNDS, &load);
    assert!(
        rounds.iter().all(|round| round.orders.is_empty()),
        "the new holder changes the layout"
    );
    assert_eq!(service.wanted(), counts);

    service.change_holder();
    service.has_loads = false;
    let rounds = service.run(100, |_| 0.0);
    assert!(rounds.iter().all(|round| round.orders.is_empty()), "moved without loads");
    assert_eq!(service.starter_counts(), counts);
}

/// A holder that is replaced in the middle of a change leaves a layout from which the next goes on.
#[test]
fn next_holder_continues_a_change() {
    let mut service = Service::large();
    let load = service.load(0.8);
    for _ in 0..8 {
        service.run(2, &load);
        service.change_holder();
    }
    service.settle(&load);
    assert!(service.starter_counts().iter().all(|count| *count > 0));
}

/// Without recent loads, an apparent drop or rise of the usage must not change the starters.
#[test]
fn stale_loads_change_nothing() {
    let mut service = Service::large();
    let load = service.load(0.8);
    service.settle(&load);
    let counts = service.starter_counts();
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    service.has_loads = false;
    let rounds = service.run(100, |_| 0.0);
    assert_eq!(changes(&rounds), 0, "starters are removed");
    let rounds = service.run(20, |_| 10_000.0);
    assert_eq!(changes(&rounds), 0, "starters are added");
    assert_eq!(service.starter_counts(), counts);
}

/// Cards that carry on with rebalancing beside a starter: permanent starters must not stop it.
#[test]
fn domain_with_starters_is_rebalanced() {
    let mut service = Service::large();
    let load = service.load(0.8);
    service.settle(&load);
    let before = capacity_of(&service.cards, "north");
    let first = service.cards.iter().position(|card| {
        &*card.domain == "north" && card.held.is_some_and(|span| span.count() > 12)
    });
    let lost = service.cards.remove(first.expect("a large card"));
    service.settle(&load);
    let share = lost.memory_mb
        / large_fleet().iter().filter(|c| &*c.domain == "north").map(|c| c.memory_mb).sum::<f64>();
    let after = capacity_of(&service.cards, "north");
    println!("{before:.0} before, {after:.0} after the loss of {share:.2} of the memory");
    assert!(after >= before * (1.0 - share) * 0.55, "{after} after the loss, {before} before");
}

/// Forged counts and bad sizes must not turn a domain into starters.
#[test]
fn bad_input_adds_no_unbounded_starters() {
    let service = Service::large();
    for stream_mb in [f64::NAN, -1.0, 0.0, f64::INFINITY, 1e-300, 3.0] {
        let mut cards = service.cards.clone();
        for card in cards.iter_mut().filter(|card| is_first_stage(card)) {
            card.starts = u32::MAX;
        }
        let inputs = StartInputs {
            shape: SHAPE,
            stream_mb,
            cards: &cards,
            has_loads: true,
            is_first_start: true,
        };
        let mut starts = StartPlanner::default();
        starts.update(inputs, service.now);
        for (domain, wanted) in starts.wanted() {
            let count = cards.iter().filter(|card| card.domain == domain).count();
            assert!(wanted < count, "{wanted} starters of {count} cards at {stream_mb}");
        }
    }
}

/// Guards against a further starter for each one that is still loading: it already counts as one of
/// the domain, and must count with its starts.
#[test]
fn starter_that_loads_the_first_layer_counts() {
    let mut service = Service::large();
    let load = service.load(0.6);
    service.run(SETTLE_ROUNDS, load);
    let domain = DOMAINS[0];
    let wanted = service.wanted();
    let starter = service.starters(domain).pop().expect("the domain has a starter");
    let card = service.cards.iter_mut().find(|card| card.name == starter.name);
    let card = card.expect("the starter is a card of the service");
    card.loaded = Some(LayerSpan { from: 1, to: 2 });
    card.is_free = false;
    let load = service.load(0.6);
    service.place_streams(domain, load(domain));
    let inputs = StartInputs {
        shape: SHAPE,
        stream_mb: TOKENS * TOKEN_LAYER_MB,
        cards: &service.cards,
        has_loads: true,
        is_first_start: false,
    };
    let changes = service.starts.update(inputs, service.now);
    assert_eq!((service.wanted(), changes), (wanted, Vec::new()));
}
