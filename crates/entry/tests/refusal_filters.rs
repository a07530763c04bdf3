//! Recognition of callers that return after a refusal.

use std::time::Duration;

use jacinthrock_entry::{
    LoadAggregator, LoadSum, PeerLoads, RefusalMemory, RefusedFilter, RelayLoads, RequestKey,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Refusals in a shortage: 200 per second, known for up to 8 s.
const REFUSALS: usize = 1_600;

fn keys(seed: u64, count: usize) -> Vec<RequestKey> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..count).map(|_| rng.random()).collect()
}

fn filter(keys: &[RequestKey]) -> RefusedFilter {
    let mut filter = RefusedFilter::default();
    keys.iter().for_each(|key| filter.insert(*key));
    filter
}

fn report(keys: &[RequestKey]) -> LoadSum {
    LoadSum { refused: filter(keys), ..LoadSum::default() }
}

/// A new caller that is taken for a returned one waits behind others; this must stay rare in the
/// largest shortage, and no returned caller may be taken for a new one.
#[test]
fn few_new_requests_are_taken_for_returned_ones() {
    let refused = keys(1, REFUSALS);
    let filter = filter(&refused);
    assert!(refused.iter().all(|key| filter.contains(*key)));
    let new = keys(2, 10_000);
    let mistaken = new.iter().filter(|key| filter.contains(**key)).count();
    assert!(mistaken <= 200, "{mistaken} of {} new requests", new.len());
}

/// Callers return after up to 6.7 s, and a request that was sent a second time much later is a new
/// one.
#[tokio::test(start_paused = true)]
async fn refused_requests_are_known_for_the_time_in_which_callers_return() {
    let (mut memory, start) = (RefusalMemory::default(), Instant::now());
    for (number, key) in keys(3, 100).into_iter().enumerate() {
        let at = start + Duration::from_millis(100) * number as u32;
        memory.record(key, at);
        assert!(memory.contains(key, at + Duration::from_millis(900)), "request {number}");
    }
    let end = start + Duration::from_secs(10);
    assert!(keys(3, 100)[70..].iter().all(|key| memory.contains(*key, end)));
    assert!(memory.is_empty(end + Duration::from_secs(8)));
    assert!(memory.filter(end + Duration::from_secs(9)).is_empty());
}

/// A caller returns at another host than the one that refused it, also in another group of hosts.
#[tokio::test(start_paused = true)]
async fn refusals_are_known_at_all_hosts() {
    let (keys, now) = (keys(4, 3), Instant::now());
    let (mut relay, mut holder) = (RelayLoads::default(), RelayLoads::default());
    let own = LoadSum::default();
    relay.exchange("member".into(), report(&keys[..1]), &own, false, now);
    let group = relay.group_total(&report(&keys[1..2]), now);
    holder.exchange("other".into(), report(&keys[2..]), &own, true, now);
    let total = holder.exchange("relay".into(), group.clone(), &own, true, now).expect("a total");
    relay.record_total(total, &group, now);
    let total = relay.exchange("member".into(), own.clone(), &own, false, now).expect("a total");
    let mut loads = PeerLoads::default();
    loads.update(total, own, 3, now);
    let refused = loads.refused(now).expect("a recent total");
    assert!(keys.iter().all(|key| refused.contains(*key)));
}

/// Reports that expire or are replaced take their refusals with them; otherwise every request would
/// count as refused after some shortages.
#[tokio::test(start_paused = true)]
async fn totals_forget_former_refusals() {
    let (keys, now) = (keys(5, 2), Instant::now());
    let mut sums = LoadAggregator::default();
    sums.exchange("a".into(), report(&keys[..1]), now);
    let total = sums.exchange("b".into(), report(&keys[1..]), now);
    assert!(keys.iter().all(|key| total.refused.contains(*key)));
    let total = sums.exchange("a".into(), LoadSum::default(), now);
    assert!(!total.refused.contains(keys[0]) && total.refused.contains(keys[1]));
    assert!(sums.total(now + Duration::from_secs(2)).refused.is_empty());
}

/// Hosts of the previous version do not send the field, and a host without refusals does not either.
#[test]
fn reports_without_refusals_have_no_field() {
    let text = serde_json::to_string(&LoadSum::default()).expect("text");
    assert!(!text.contains("refused"), "{text}");
    let sum: LoadSum = serde_json::from_str(&text).expect("a report");
    assert!(sum.refused.is_empty());
    let text = serde_json::to_string(&report(&keys(6, REFUSALS))).expect("text");
    assert!(text.len() < 8 << 10, "{} bytes five times a second", text.len());
    let sum: LoadSum = serde_json::from_str(&text).expect("a report");
    assert_eq!(sum.refused, filter(&keys(6, REFUSALS)));
}
