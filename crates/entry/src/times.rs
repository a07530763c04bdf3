//! How long streams and calls are expected to take, by what their requests name and by what this host
//! has seen of their service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthrock::ServiceName;
use tokio::time::Instant;

/// Streams or calls of a service whose times are kept.
const KEPT_TIMES: usize = 256;
/// Ratio of the time that a stream or a call is expected to take at most to the time that follows
/// from those that were seen.
const TIME_MARGIN: f64 = 1.25;
/// Streams of a service that must have ended before any conclusion is drawn from them.
const MIN_KNOWN_STREAMS: usize = 8;
/// Latest streams that show whether the service has just turned slower.
const RECENT_STREAMS: usize = 8;
/// Quantile of the times per event that streams are expected to take.
const EVENT_TIME_QUANTILE: f64 = 0.9;
/// Longest time of a stream until streams have ended for as long: those that end in the first
/// seconds of a process are the short ones.
const UNKNOWN_STREAM_TIME: Duration = Duration::from_secs(20);
/// Time that a call to a plain service must have at least; most take a tenth of it.
const MIN_CALL_TIME: Duration = Duration::from_millis(600);

/// What is known of the length of a stream when its request arrives. Estimates of callers do not
/// count, since they are often far off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLength {
    /// Maximum number of output tokens that the request names, if any.
    pub max_tokens: Option<u32>,
    /// Number of tokens in an event; 0, if unknown, counts as one.
    pub event_tokens: u32,
    /// Identifier of the event after which the stream resumes, 0 at its beginning.
    pub resume_after: u64,
}

impl StreamLength {
    /// Most events that the whole stream has, if its request names a maximum.
    fn max_events(&self) -> Option<f64> {
        Some(f64::from(self.max_tokens?.div_ceil(self.event_tokens.max(1))))
    }
}

/// A stream that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedStream {
    /// What its request named.
    pub length: StreamLength,
    /// Time from the arrival of its request to its end.
    pub time: Duration,
    /// Time from the arrival of its request to its first event.
    pub first_event: Duration,
    /// Identifier of its last event; 0 if its events have none.
    pub last_event: u64,
}

impl EndedStream {
    /// Number of events; a step of the identifiers counts as one.
    fn events(&self) -> u64 {
        self.last_event.saturating_sub(self.length.resume_after)
    }

    /// Ratio of the events of the whole stream to the most that were expected.
    fn excess(&self) -> Option<f64> {
        Some(self.last_event as f64 / self.length.max_events()?.max(1.0))
    }
}

/// Times and lengths of the latest streams of each service.
#[derive(Debug, Default)]
pub struct StreamTimes {
    by_service: BTreeMap<ServiceName, ServiceStreams>,
}

#[derive(Debug)]
struct ServiceStreams {
    since: Instant,
    latest: VecDeque<EndedStream>,
}

impl StreamTimes {
    /// Records a stream that has ended.
    pub fn record(&mut self, service: &str, ended: EndedStream, now: Instant) {
        let streams = self.by_service.entry(service.into());
        let streams =
            streams.or_insert_with(|| ServiceStreams { since: now, latest: VecDeque::new() });
        push_latest(&mut streams.latest, ended);
    }

    /// Longest time that a stream is expected to take: that of as many events as its request allows.
    /// A stream whose request names no maximum is expected to be like others that named none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthrock_entry::{EndedStream, StreamLength, StreamTimes};
    /// use tokio::time::Instant;
    ///
    /// let mut times = StreamTimes::default();
    /// let now = Instant::now();
    /// let named = |tokens| {
    ///     StreamLength { max_tokens: Some(tokens), event_tokens: 1, resume_after: 0 }
    /// };
    /// let ended = EndedStream {
    ///     length: named(40),
    ///     time: Duration::from_millis(2_050),
    ///     first_event: Duration::from_millis(100),
    ///     last_event: 40,
    /// };
    /// for _ in 0..10 {
    ///     times.record("guide", ended, now);
    /// }
    /// let later = now + Duration::from_secs(60);
    /// assert_eq!(times.longest("guide", named(20), later), Duration::from_millis(1_375));
    /// assert_eq!(times.longest("guide", named(200), later), Duration::from_millis(12_625));
    /// ```
    pub fn longest(&self, service: &str, length: StreamLength, now: Instant) -> Duration {
        let streams = self.by_service.get(service);
        let known = streams.filter(|streams| streams.are_known(now));
        let longest = known.and_then(|streams| match length.max_events() {
            Some(events) => streams.longest_of(events, length.resume_after),
            None => streams.longest_unnamed(),
        });
        longest.map_or(UNKNOWN_STREAM_TIME, |time| time.mul_f64(TIME_MARGIN))
    }
}

impl ServiceStreams {
    /// Whether the streams that have ended tell how long others take.
    fn are_known(&self, now: Instant) -> bool {
        self.latest.len() >= MIN_KNOWN_STREAMS
            && now.saturating_duration_since(self.since) >= UNKNOWN_STREAM_TIME
    }

    /// Longest time of the streams whose requests named no maximum.
    fn longest_unnamed(&self) -> Option<Duration> {
        let unnamed = self.latest.iter().filter(|it| it.length.max_tokens.is_none());
        unnamed.map(|it| it.time).max()
    }

    /// Time of a stream with a number of events that resumes after some of them.
    fn longest_of(&self, events: f64, resume_after: u64) -> Option<Duration> {
        let first_event = self.latest.iter().map(|it| it.first_event).max()?;
        // Endpoints may put fewer tokens into an event than the rules say.
        let excess = self.latest.iter().filter_map(EndedStream::excess).fold(1.0, f64::max);
        let left = (events * excess - resume_after as f64).max(1.0);
        Some(first_event + self.event_time()?.mul_f64(left))
    }

    /// Time per event that streams are expected to take at most: by all that are kept, and by the last
    /// few, since the service may have turned slower.
    fn event_time(&self) -> Option<Duration> {
        let timed: Vec<_> = self.latest.iter().filter(|it| it.events() > 1).collect();
        let recent = &timed[timed.len().saturating_sub(RECENT_STREAMS)..];
        long_event_time(&timed).max(long_event_time(recent))
    }
}

/// Time per event of those streams that have the mean length or more; a late event counts for more
/// in short ones.
fn long_event_time(streams: &[&EndedStream]) -> Option<Duration> {
    let (total, count) = (streams.iter().map(|it| it.events()).sum::<u64>(), streams.len() as u64);
    let long = streams.iter().filter(|it| it.events() * count >= total);
    let mut times: Vec<_> = long
        .map(|it| it.time.saturating_sub(it.first_event).div_f64((it.events() - 1) as f64))
        .collect();
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let index = (last as f64 * EVENT_TIME_QUANTILE).round() as usize;
    times.get(index).copied()
}

/// Times of the latest calls to each plain service.
#[derive(Debug, Default)]
pub struct CallTimes {
    by_service: BTreeMap<ServiceName, VecDeque<Duration>>,
}

impl CallTimes {
    /// Records the time that a call took until its answer was complete.
    pub fn record(&mut self, service: &str, time: Duration) {
        if let Some(latest) = self.by_service.get_mut(service) {
            push_latest(latest, time);
        } else {
            self.by_service.insert(service.into(), VecDeque::from([time]));
        }
    }

    /// Longest time that a call is expected to take; none if this host has seen no call to its service.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthrock_entry::CallTimes;
    ///
    /// let mut times = CallTimes::default();
    /// assert_eq!(times.longest("desk"), None);
    /// times.record("desk", Duration::from_secs(2));
    /// assert_eq!(times.longest("desk"), Some(Duration::from_millis(2_500)));
    /// ```
    pub fn longest(&self, service: &str) -> Option<Duration> {
        let longest = self.by_service.get(service)?.iter().max()?;
        Some(longest.mul_f64(TIME_MARGIN).max(MIN_CALL_TIME))
    }
}

/// Adds a time to the latest ones.
fn push_latest<T>(latest: &mut VecDeque<T>, time: T) {
    if latest.len() >= KEPT_TIMES {
        latest.pop_front();
    }
    latest.push_back(time);
}
