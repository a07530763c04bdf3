//! Pools of permits for endpoints with a rate limit, from which hosts draw.
//!
//! The holder of the placement lease issues as many permits as each limit allows. A relay draws for
//! its group, and its members draw from it. Each permit is for one request and is used by one host,
//! so that the sum over all hosts keeps to the limit whatever hosts believe of one another; a permit
//! that gets lost on its way is not used.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::{EndpointName, HostName};
use tokio::time::Instant;

use crate::notices::EndpointStart;
use crate::rates::{PermitDraw, PermitGrant};
use crate::relay::EXCHANGE_INTERVAL;

/// Time whose permits the holder keeps for the next draws: more than one exchange.
const MAX_STOCK_TIME: Duration = Duration::from_millis(300);
/// Time whose permits all hosts may hold together. Hosts that begin to send at the same time send
/// as many beyond the limit.
const MAX_HELD_TIME: Duration = Duration::from_millis(1_250);
/// Time for which hosts must want more permits than there are until the limit counts as exceeded.
const EXCEEDED_AFTER: Duration = Duration::from_millis(500);
/// Time after which what a host wanted no longer counts.
const MAX_WANT_AGE: Duration = Duration::from_millis(600);
/// Time after which permits that a host was given are used or have expired.
const MAX_HELD_AGE: Duration = Duration::from_millis(1_500);

/// State of a host after its last draw.
#[derive(Clone, Copy, Debug)]
struct HostDraw {
    at: Instant,
    /// Permits that it would use soon beyond those that it holds.
    wanted: f64,
    /// Permits that it holds.
    held: u32,
}

/// Permits for one start of an endpoint.
#[derive(Clone, Debug)]
struct PermitPool {
    start_unix_ms: u64,
    permits: f64,
    issued_at: Instant,
    draws: BTreeMap<HostName, HostDraw>,
    /// Permits that all hosts may hold together; a relay holds what it gets.
    max_held: f64,
    /// Since when hosts have wanted more permits than there are.
    exceeded_since: Option<Instant>,
}

impl PermitPool {
    fn new(start_unix_ms: u64, now: Instant) -> Self {
        Self {
            start_unix_ms,
            permits: 0.0,
            issued_at: now,
            draws: BTreeMap::new(),
            max_held: f64::MAX,
            exceeded_since: None,
        }
    }

    /// What other hosts are expected to want before `host` draws again.
    fn wanted_by_others(&self, host: &str, now: Instant) -> f64 {
        let others = self.draws.iter().filter(|(name, _)| &***name != host);
        let weighted = others.filter_map(|(_, draw)| {
            let age = now.saturating_duration_since(draw.at);
            let weight = age.div_duration_f64(EXCHANGE_INTERVAL).min(1.0);
            (age < MAX_WANT_AGE).then_some(draw.wanted * weight)
        });
        weighted.sum()
    }

    /// Permits that hosts hold.
    fn held(&mut self, now: Instant) -> u32 {
        self.draws.retain(|_, draw| now.saturating_duration_since(draw.at) < MAX_HELD_AGE);
        self.draws.values().map(|draw| draw.held).sum()
    }

    fn draw(&mut self, host: &HostName, draw: &PermitDraw, rounding: f64, now: Instant) -> u32 {
        self.permits += f64::from(draw.returned);
        self.draws.remove(host);
        let held = self.held(now).saturating_add(draw.held);
        let room = (self.max_held - f64::from(held)).max(0.0);
        let total = draw.wanted + self.wanted_by_others(host, now);
        let share = if total > 0.0 { (self.permits / total).min(1.0) } else { 0.0 };
        let whole = (draw.wanted * share + rounding).floor();
        let granted = whole.min(self.permits.min(room).floor()).max(0.0);
        self.permits -= granted;
        let wanted = (draw.wanted - granted).max(0.0);
        let held = draw.held.saturating_add(granted as u32);
        self.draws.insert(host.clone(), HostDraw { at: now, wanted, held });
        let is_exceeded = self.wanted_by_others("", now + EXCHANGE_INTERVAL) >= 1.0;
        self.exceeded_since = self.exceeded_since.or(Some(now)).filter(|_| is_exceeded);
        granted as u32
    }

    /// Draw of the whole group: what its hosts want beyond the permits in the pool, and the permits
    /// that none of them wants.
    fn group_draw(&mut self, endpoint: &EndpointName, now: Instant) -> PermitDraw {
        let wanted = self.wanted_by_others("", now + EXCHANGE_INTERVAL);
        let returned = (self.permits - wanted).max(0.0).floor();
        self.permits -= returned;
        PermitDraw {
            endpoint: endpoint.clone(),
            start_unix_ms: self.start_unix_ms,
            wanted: (wanted - self.permits).max(0.0),
            held: self.held(now).saturating_add(self.permits as u32),
            returned: returned as u32,
        }
    }
}

/// Pools of permits by endpoint.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::{EndpointStart, PermitDraw, PermitPools};
/// use tokio::time::Instant;
///
/// let (mut pools, start) = (PermitPools::default(), Instant::now());
/// let name = "i-1".into();
/// let endpoint = EndpointStart { name: &name, start_unix_ms: 5 };
/// let draw = PermitDraw { endpoint: name.clone(), start_unix_ms: 5, wanted: 9.0, held: 0, returned: 0 };
/// pools.issue(endpoint, 10.0, start);
/// assert!(pools.draw(&"host".into(), &draw, 0.0, start).is_none());
/// let later = start + Duration::from_millis(200);
/// pools.issue(endpoint, 10.0, later);
/// let grant = pools.draw(&"host".into(), &draw, 0.0, later);
/// assert_eq!(grant.map(|grant| grant.permits), Some(2));
/// ```
#[derive(Debug, Default)]
pub struct PermitPools {
    by_name: BTreeMap<EndpointName, PermitPool>,
}

impl PermitPools {
    /// On the holder: adds the permits of the time since the last issue.
    pub fn issue(&mut self, endpoint: EndpointStart<'_>, limit_per_s: f64, now: Instant) {
        let pool = self.pool(endpoint, now);
        let elapsed = now.saturating_duration_since(std::mem::replace(&mut pool.issued_at, now));
        let most = 1.0 + limit_per_s * MAX_STOCK_TIME.as_secs_f64();
        pool.max_held = 1.0 + limit_per_s * MAX_HELD_TIME.as_secs_f64();
        let issued = limit_per_s * elapsed.min(MAX_STOCK_TIME).as_secs_f64();
        pool.permits = (pool.permits + issued).min(most);
    }

    /// Takes back what a host returns and gives it permits, in proportion to what all hosts want.
    /// `rounding` is a random number between 0 and 1.
    pub fn draw(
        &mut self,
        host: &HostName,
        draw: &PermitDraw,
        rounding: f64,
        now: Instant,
    ) -> Option<PermitGrant> {
        let PermitDraw { endpoint, start_unix_ms, .. } = draw;
        let start = EndpointStart { name: endpoint, start_unix_ms: *start_unix_ms };
        let pool = self.pool(start, now);
        if pool.start_unix_ms != *start_unix_ms {
            return None;
        }
        let permits = pool.draw(host, draw, rounding, now);
        let grant =
            PermitGrant { endpoint: endpoint.clone(), start_unix_ms: *start_unix_ms, permits };
        (permits > 0).then_some(grant)
    }

    /// On a relay: what it draws for its group.
    pub fn draws(&mut self, now: Instant) -> Vec<PermitDraw> {
        let draws = self.by_name.iter_mut().map(|(name, pool)| pool.group_draw(name, now));
        draws.filter(PermitDraw::has_effect).collect()
    }

    /// On a relay: adds permits that it got for its group.
    pub fn add(&mut self, grant: &PermitGrant, now: Instant) {
        let start = EndpointStart { name: &grant.endpoint, start_unix_ms: grant.start_unix_ms };
        self.pool(start, now).permits += f64::from(grant.permits);
    }

    /// Whether hosts have wanted more permits than there are for some time.
    pub fn is_exceeded(&self, endpoint: EndpointStart<'_>, now: Instant) -> bool {
        let pool = self.by_name.get(endpoint.name);
        let pool = pool.filter(|pool| pool.start_unix_ms == endpoint.start_unix_ms);
        pool.and_then(|pool| pool.exceeded_since)
            .is_some_and(|since| now.saturating_duration_since(since) >= EXCEEDED_AFTER)
    }

    /// Drops the pools of endpoints without a limit.
    pub fn retain(&mut self, is_limited: impl Fn(EndpointStart<'_>) -> bool) {
        self.by_name.retain(|name, pool| {
            is_limited(EndpointStart { name, start_unix_ms: pool.start_unix_ms })
        });
    }

    fn pool(&mut self, endpoint: EndpointStart<'_>, now: Instant) -> &mut PermitPool {
        let new = || PermitPool::new(endpoint.start_unix_ms, now);
        let pool = self.by_name.entry(endpoint.name.clone()).or_insert_with(new);
        if pool.start_unix_ms < endpoint.start_unix_ms {
            *pool = new();
        }
        pool
    }
}
