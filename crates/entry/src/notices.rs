//! What endpoints have said of themselves in their answers to this host.
//!
//! | Notice | Set by | Meaning | Ended by |
//! |---|---|---|---|
//! | leaving | any answer of the endpoint | gets nothing new from this host | a new start |
//! | pause | a refusal with Retry-After | gets nothing from this host | its end, a new start |
//!
//! Both belong to one start of the endpoint and hold whatever the registry or other hosts say.
//! Apart from them, a host may exclude an endpoint that it has found to accept no work for some
//! seconds, and tells other hosts; and the registry lists endpoints that leave as draining.
//!
//! Answers to the load pattern of a burst in which many endpoints turn work away at once: sent
//! again before they have room, it only takes their time and the retry budget.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::Instant;

/// Longest pause that is kept; asks for more are taken for this.
const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Time after the last answer for which a notice on an unlisted endpoint is kept: a registry that
/// was restored may list it again.
const UNLISTED_TIME: Duration = Duration::from_secs(120);

/// Identity of one start of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointStart<'a> {
    /// Name.
    pub name: &'a EndpointName,
    /// Start time, in ms since the Unix epoch; 0 if it reports none.
    pub start_unix_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct EndpointNotice {
    start_unix_ms: u64,
    is_leaving: bool,
    paused_until: Option<Instant>,
    noted_at: Instant,
}

/// What the endpoints have said, by name.
///
/// ```
/// use std::time::Duration;
/// use jacinthrock_entry::{EndpointNotices, EndpointStart};
/// use tokio::time::Instant;
///
/// let (mut notices, now) = (EndpointNotices::default(), Instant::now());
/// let name = "i-1".into();
/// let endpoint = EndpointStart { name: &name, start_unix_ms: 5 };
/// notices.pause(endpoint, Duration::from_secs(2), now);
/// assert!(notices.is_paused(endpoint, now + Duration::from_secs(1)));
/// assert!(!notices.is_paused(endpoint, now + Duration::from_secs(2)));
/// ```
#[derive(Debug, Default)]
pub struct EndpointNotices {
    by_name: BTreeMap<EndpointName, EndpointNotice>,
}

impl EndpointNotices {
    /// Records that an endpoint leaves; returns whether that is new.
    pub fn mark_leaving(&mut self, endpoint: EndpointStart<'_>, now: Instant) -> bool {
        let notice = self.notice(endpoint, now);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that an endpoint wants nothing for some time; returns whether it was not paused. A
    /// pause never becomes shorter.
    pub fn pause(&mut self, endpoint: EndpointStart<'_>, time: Duration, now: Instant) -> bool {
        let notice = self.notice(endpoint, now);
        let was_paused = notice.paused_until.is_some_and(|until| now < until);
        notice.paused_until = notice.paused_until.max(Some(now + time.min(MAX_PAUSE)));
        !was_paused && !time.is_zero()
    }

    /// Whether an endpoint has said that it leaves.
    pub fn is_leaving(&self, endpoint: EndpointStart<'_>) -> bool {
        self.find(endpoint).is_some_and(|notice| notice.is_leaving)
    }

    /// Whether an endpoint wants nothing at present.
    pub fn is_paused(&self, endpoint: EndpointStart<'_>, now: Instant) -> bool {
        self.paused_until(endpoint, now).is_some()
    }

    /// End of an endpoint's pause, if it is paused.
    pub fn paused_until(&self, endpoint: EndpointStart<'_>, now: Instant) -> Option<Instant> {
        self.find(endpoint)?.paused_until.filter(|until| now < *until)
    }

    /// Drops notices on endpoints that have not been listed for a long time.
    pub fn prune(&mut self, is_listed: impl Fn(&str) -> bool, now: Instant) {
        self.by_name.retain(|name, notice| {
            let is_recent = now.saturating_duration_since(notice.noted_at) < UNLISTED_TIME;
            let is_paused = notice.paused_until.is_some_and(|until| now < until);
            is_recent || is_paused || is_listed(name)
        });
    }

    fn find(&self, endpoint: EndpointStart<'_>) -> Option<&EndpointNotice> {
        let notice = self.by_name.get(endpoint.name);
        notice.filter(|notice| notice.start_unix_ms == endpoint.start_unix_ms)
    }

    fn notice(&mut self, endpoint: EndpointStart<'_>, now: Instant) -> &mut EndpointNotice {
        let new = EndpointNotice {
            start_unix_ms: endpoint.start_unix_ms,
            is_leaving: false,
            paused_until: None,
            noted_at: now,
        };
        let notice = self.by_name.entry(endpoint.name.clone()).or_insert(new);
        if notice.start_unix_ms != endpoint.start_unix_ms {
            *notice = new;
        }
        notice.noted_at = now;
        notice
    }
}
