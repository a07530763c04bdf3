//! Usage of a service by failure domain, from which admission tells a shortage.

use jacinthrock_entry::{
    DemandCount, LayerSpan, PriorityDemand, StageCapacity, admitted_shares, domain_usage,
    service_usage,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn stage_in(domain: &str, from: u16, to: u16, token_layers: u64) -> StageCapacity {
    StageCapacity {
        domain: domain.into(),
        span: LayerSpan { from, to },
        slots: 100,
        starts: 0,
        token_layers,
        kv_capacity: 1_000.0,
    }
}

fn count(arrived_per_s: f64, started_per_s: f64) -> DemandCount {
    DemandCount { arrived_per_s, started_per_s, ..DemandCount::default() }
}

/// Each domain has a layer without room, another one in each, and over all domains each layer has
/// room. The usage over all endpoints stays below that from which streams are refused, so that all
/// were admitted until the queues were long.
#[test]
fn layer_that_is_full_in_each_domain_is_a_shortage() {
    let full = |domain, layer: u16| {
        let used = |from: u16| if from == layer { 1_000 } else { 300 };
        [0, 2, 4].map(|from| stage_in(domain, from, from + 2, used(from)))
    };
    let stages = [full("north", 0), full("middle", 2), full("south", 4)].concat();
    assert!((service_usage(6, &stages) - 1_600.0 / 3_000.0).abs() < 1e-9);
    assert_eq!(domain_usage(6, &stages), 1.0);
    let demand: PriorityDemand = [0, 1].map(|level| (level, count(100.0, 50.0))).into();
    assert_eq!(admitted_shares(service_usage(6, &stages), &demand)[..2], [1.0, 1.0]);
    assert!(admitted_shares(domain_usage(6, &stages), &demand)[1] < 1.0);
}

/// A stream may start in any domain: one with room must keep streams from being refused, also if the
/// others are full.
#[test]
fn usage_is_that_of_the_domain_with_the_most_room() {
    let domain = |name, used| [stage_in(name, 0, 4, used), stage_in(name, 4, 8, used)];
    let stages = [domain("north", 1_000), domain("middle", 200), domain("south", 500)].concat();
    // The mean of all domains is above the lowest of them.
    assert!((domain_usage(8, &stages) - 1_700.0 / 3_000.0).abs() < 1e-9);
    let stages = [domain("north", 1_000).to_vec(), vec![stage_in("middle", 0, 8, 200)]].concat();
    let of_all = service_usage(8, &stages);
    assert_eq!(domain_usage(8, &stages), of_all.max(0.2));
}

/// A domain without some layer starts no stream alone and does not count, whatever room its other
/// layers have. Without any complete domain, the usage is that over all endpoints.
#[test]
fn domain_without_some_layer_does_not_count() {
    let complete = [stage_in("north", 0, 4, 800), stage_in("north", 4, 8, 100)];
    let partial = [stage_in("south", 0, 4, 0)];
    let stages = [&complete[..], &partial[..]].concat();
    assert_eq!(service_usage(8, &stages), 0.4);
    assert_eq!(domain_usage(8, &stages), 0.8);
    let halves = [stage_in("north", 0, 4, 800), stage_in("south", 4, 8, 100)];
    assert_eq!(domain_usage(8, &halves), service_usage(8, &halves));
    assert_eq!(domain_usage(8, &[]), 0.0);
}

/// Admission must not start later than with the usage over all endpoints, for any layout and load;
/// with a single domain, both are the same.
#[test]
fn usage_by_domain_is_never_below_that_over_all_endpoints() {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..2_000 {
        let count = rng.random_range(0..12);
        let stages: Vec<_> = (0..count)
            .map(|_| {
                let from = rng.random_range(0..8);
                let to = rng.random_range(from + 1..=8);
                let domain = ["north", "middle", "south"][rng.random_range(0..3)];
                StageCapacity {
                    starts: rng.random_range(0..120),
                    ..stage_in(domain, from, to, rng.random_range(0..1_500))
                }
            })
            .collect();
        let all = service_usage(8, &stages);
        assert!(domain_usage(8, &stages) >= all, "{stages:?}");
        let of_one = |stage: StageCapacity| StageCapacity { domain: "north".into(), ..stage };
        let stages: Vec<_> = stages.into_iter().map(of_one).collect();
        assert_eq!(domain_usage(8, &stages), all);
    }
}
