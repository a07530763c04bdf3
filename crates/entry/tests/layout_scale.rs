//! Layouts of large fleets.

#[path = "support/planned.rs"]
mod planned;
mod support;

use planned::{PHASES, PlannedFleet};

/// Orders of the planner at d1a419b, which compared every card with every other one, for fleets of
/// each size.
const ORDERS: [(usize, &str); 3] =
    [(100, "bc01771955074d67"), (300, "092aed8cf4784e0c"), (1_000, "77da9b5d1bbdaf6f")];

/// Guards against a faster planner that gives other orders: from empty to a complete layout, while
/// starters are made under load, and after the loss of one card in ten.
#[test]
fn orders_are_those_of_the_planner_that_compares_all_cards() {
    for (count, digest) in ORDERS {
        let mut fleet = PlannedFleet::new(count);
        let order_counts = PHASES.map(|phase| fleet.run(phase, |_| {}));
        println!("{count} cards: {order_counts:?} orders");
        assert!(order_counts.iter().all(|orders| *orders > 0), "a phase without orders");
        assert_eq!(fleet.digest(), digest, "{count} cards");
    }
}
