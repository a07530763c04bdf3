//! Shares of the pipe between failure domains while no domain holds a whole copy of the model.

use std::time::Duration;

use jacinthrock_entry::CrossingQuota;
use tokio::time::{Instant, advance};

/// 64 hosts want 100 crossings at the same moment, over a pipe that carries 20 streams a second.
#[tokio::test(start_paused = true)]
async fn hosts_together_keep_to_the_pipe_second_by_second() {
    const HOSTS: u32 = 64;
    const PIPE_PER_S: f64 = 20.0;
    let mut hosts: Vec<CrossingQuota> = (0..HOSTS).map(|_| CrossingQuota::default()).collect();
    for second in 0..10 {
        let mut crossed = 0;
        for round in 0..2 {
            for (number, tickets) in hosts.iter_mut().enumerate() {
                let draw = (number as f64 * 0.618 + f64::from(second * 2 + round) * 0.37).fract();
                for _ in 0..2 {
                    if tickets.allows_crossing(Instant::now(), PIPE_PER_S / f64::from(HOSTS), draw)
                    {
                        tickets.take(1);
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
async fn path_with_two_crossings_takes_two_tickets() {
    let mut tickets = CrossingQuota::default();
    assert!(tickets.allows_crossing(Instant::now(), 4.0, 0.9));
    tickets.take(2);
    assert!(!tickets.allows_crossing(Instant::now(), 4.0, 0.0));
    advance(Duration::from_millis(500)).await;
    assert!(tickets.allows_crossing(Instant::now(), 4.0, 0.9));
}
