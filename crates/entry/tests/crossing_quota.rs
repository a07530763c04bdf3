//! Rate limit on the inter-domain link while no domain holds a whole copy of the model.

use std::time::Duration;

use jacinthrock_entry::CrossingQuota;
use tokio::time::{Instant, advance};

/// 64 hosts want 128 crossings at the same time over a link that carries 20 streams per second.
/// Without a limit on each host, the streams would saturate the link for seconds and stall.
#[tokio::test(start_paused = true)]
async fn hosts_together_stay_within_the_link_capacity() {
    const HOSTS: u32 = 64;
    const LINK_CROSSINGS_PER_S: f64 = 20.0;
    let mut hosts: Vec<CrossingQuota> = (0..HOSTS).map(|_| CrossingQuota::default()).collect();
    for second in 0..10 {
        let mut crossed = 0;
        for round in 0..2 {
            for (number, quota) in hosts.iter_mut().enumerate() {
                let draw = (number as f64 * 0.618 + f64::from(second * 2 + round) * 0.37).fract();
                for _ in 0..2 {
                    if quota.allows_crossing(
                        Instant::now(),
                        LINK_CROSSINGS_PER_S / f64::from(HOSTS),
                        draw,
                    ) {
                        quota.consume(1);
                        crossed += 1;
                    }
                }
            }
            advance(Duration::from_millis(500)).await;
        }
        assert!((12..=28).contains(&crossed), "{crossed} streams crossed in second {second}");
    }
}

#[tokio::test(start_paused = true)]
async fn path_with_two_crossings_uses_twice_the_quota() {
    let mut quota = CrossingQuota::default();
    assert!(quota.allows_crossing(Instant::now(), 4.0, 0.9));
    quota.consume(2);
    assert!(!quota.allows_crossing(Instant::now(), 4.0, 0.0));
    advance(Duration::from_millis(500)).await;
    assert!(quota.allows_crossing(Instant::now(), 4.0, 0.9));
}
