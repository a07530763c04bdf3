//! Choice of the host through which a host exchanges loads and endpoint changes.
//!
//! Answers to a load pattern: hundreds of hosts, of which each starts a few streams a second. If all
//! exchanged with the holder of the placement lease directly, the holder's link would limit each of
//! them to one exchange in more than a second, so that they would choose paths by stale loads, and
//! take the holder's table for unconfirmed and list the registry themselves. With many hosts, those
//! of a failure domain therefore form groups, and each group exchanges through a relay, which
//! exchanges with the holder.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::HostName;
use tokio::time::Instant;

/// Interval between two exchanges of a host.
pub(crate) const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of hosts that all exchange with the holder directly: 160 exchanges per second take
/// a few percent of a processor and about 5 Mbit/s.
const MAX_DIRECT_HOSTS: usize = 32;
/// Time for which a relay that failed is not chosen again.
const AVOID_TIME: Duration = Duration::from_secs(3);
/// Number of relays that a host tries before it exchanges with the holder directly.
const MAX_TRIED_RELAYS: usize = 2;

/// A host of the own failure domain, as a candidate for a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Name.
    pub host: HostName,
    /// Capacity of its network link and processor, relative to other hosts.
    pub capacity: u32,
}

/// Chooses relays, and remembers those that failed.
#[derive(Debug, Default)]
pub struct RelayPicker {
    avoided: BTreeMap<HostName, Instant>,
}

impl RelayPicker {
    /// Returns the host that `own` exchanges through, or `None` if it exchanges with the holder
    /// directly. `candidates` are the hosts of its failure domain, including itself, and
    /// `host_count` the hosts of all failure domains.
    ///
    /// All hosts that know the same candidates choose the same relays: those with the most
    /// capacity.
    ///
    /// ```
    /// use jacinthrock_entry::{RelayCandidate, RelayPicker};
    /// use tokio::time::Instant;
    ///
    /// let candidates = [("a", 120), ("b", 500)];
    /// let candidates =
    ///     candidates.map(|(host, capacity)| RelayCandidate { host: host.into(), capacity });
    /// let picker = RelayPicker::default();
    /// let now = Instant::now();
    /// assert_eq!(picker.relay(&"a".into(), candidates.to_vec(), 2, now), None);
    /// assert_eq!(picker.relay(&"a".into(), candidates.to_vec(), 195, now), Some("b".into()));
    /// ```
    pub fn relay(
        &self,
        own: &HostName,
        mut candidates: Vec<RelayCandidate>,
        host_count: usize,
        now: Instant,
    ) -> Option<HostName> {
        if host_count <= MAX_DIRECT_HOSTS {
            return None;
        }
        candidates.sort_by(|a, b| b.capacity.cmp(&a.capacity).then_with(|| a.host.cmp(&b.host)));
        let relay_count = candidates.len().div_ceil(group_size(host_count));
        let position = candidates.iter().position(|candidate| candidate.host == *own)?;
        if position < relay_count {
            return None;
        }
        // The hosts of a group are spread over all capacities.
        let relays = (0..relay_count).map(|offset| (position + offset) % relay_count);
        let relays = relays.map(|relay| &candidates[relay].host).take(MAX_TRIED_RELAYS);
        relays.into_iter().find(|relay| !self.is_avoided(relay, now)).cloned()
    }

    /// Records that a relay did not reply, or knew nothing recent.
    pub fn record_failure(&mut self, relay: HostName, now: Instant) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(relay, now + AVOID_TIME);
    }

    fn is_avoided(&self, host: &str, now: Instant) -> bool {
        self.avoided.get(host).is_some_and(|until| now < *until)
    }
}

/// Number of hosts of a group with its relay, such that a relay has as many members as the holder
/// has relays.
fn group_size(host_count: usize) -> usize {
    host_count.isqrt() + 1
}

/// Relative capacity of a host with a processor share in cores and a network link in Mbit/s: the
/// smaller of both, in thousandths of a core and fifths of a Mbit/s, since a relay uses about as
/// much of either.
///
/// ```
/// use jacinthrock_entry::host_capacity;
///
/// assert_eq!(host_capacity(0.125, 20.0), 100);
/// assert_eq!(host_capacity(0.5, 200.0), 500);
/// ```
pub fn host_capacity(cores: f64, link_mbps: f64) -> u32 {
    (cores * 1_000.0).min(link_mbps * 5.0) as u32
}

/// Time within which all hosts usually learn of a change of the holder's table.
///
/// ```
/// use jacinthrock_entry::spread_time;
///
/// assert_eq!(spread_time(7).as_millis(), 200);
/// assert_eq!(spread_time(340).as_millis(), 400);
/// ```
pub fn spread_time(host_count: usize) -> Duration {
    if host_count <= MAX_DIRECT_HOSTS { EXCHANGE_INTERVAL } else { EXCHANGE_INTERVAL * 2 }
}
