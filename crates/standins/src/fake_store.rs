//! In-memory platform store for tests, with seeded random faults.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    MAX_VALUE_BYTES, ObjectVersion, PlatformStore, StoreChange, StoreError, StoreListing,
    StoredObject,
};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Probabilities of faults, each from 0 to 1, and the maximum delay of a call.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// The call is lost before it takes effect; the caller cannot tell whether it did.
    pub lost_call: f64,
    /// The call takes effect but its reply is lost.
    pub lost_reply: f64,
    /// The call is refused and has certainly had no effect.
    pub unavailable: f64,
    /// The call is refused by rate limiting.
    pub throttled: f64,
    /// Maximum delay before a call takes effect, and again before its reply arrives.
    pub longest_delay: Duration,
}

/// Number of calls and bytes written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Calls to `get`, `list` and `watch`.
    pub reads: u64,
    /// Calls to `put` and `delete`.
    pub writes: u64,
    /// Bytes of the values passed to `put`.
    pub written_bytes: u64,
}

struct StoreState {
    version: ObjectVersion,
    compacted_version: ObjectVersion,
    objects: BTreeMap<Box<str>, StoredObject>,
    changes: Vec<StoreChange>,
    history: Vec<StoredObject>,
    faults: StoreFaults,
    is_down: bool,
    rng: ChaCha8Rng,
    usage: StoreUsage,
}

/// State shared by all [`FakeStore`] handles of a test.
pub struct SharedStore {
    state: RefCell<StoreState>,
    changed: Notify,
}

/// One host's handle to the store; each handle can be disconnected separately.
#[derive(Clone)]
pub struct FakeStore {
    shared: Rc<SharedStore>,
    is_partitioned: Rc<Cell<bool>>,
}

enum CallOutcome {
    Served,
    LostReply,
    Failed(StoreError),
}

impl FakeStore {
    /// Creates an empty store without faults.
    pub fn new(seed: u64) -> Self {
        let state = StoreState {
            version: 0,
            compacted_version: 0,
            objects: BTreeMap::new(),
            changes: Vec::new(),
            history: Vec::new(),
            faults: StoreFaults::default(),
            is_down: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            usage: StoreUsage::default(),
        };
        let shared = SharedStore { state: RefCell::new(state), changed: Notify::new() };
        Self { shared: Rc::new(shared), is_partitioned: Rc::new(Cell::new(false)) }
    }

    /// Returns another host's handle to the same store.
    pub fn handle(&self) -> Self {
        Self { shared: self.shared.clone(), is_partitioned: Rc::new(Cell::new(false)) }
    }

    /// Disconnects this handle from the store, or reconnects it.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.set(is_partitioned);
        self.shared.changed.notify_waiters();
    }

    /// Makes the store unavailable to all handles, or available again.
    pub fn set_down(&self, is_down: bool) {
        self.shared.state.borrow_mut().is_down = is_down;
        self.shared.changed.notify_waiters();
    }

    /// Sets the faults of later calls from all handles.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.state.borrow_mut().faults = faults;
    }

    /// Discards all recorded changes, so that a watch from an earlier version returns
    /// [`StoreError::Gap`].
    pub fn compact_changes(&self) {
        let mut state = self.shared.state.borrow_mut();
        state.compacted_version = state.version;
        state.changes.clear();
    }

    /// Returns the calls made so far.
    pub fn usage(&self) -> StoreUsage {
        self.shared.state.borrow().usage
    }

    /// Reads an object without faults, delay or counting, for checks in tests.
    pub fn peek(&self, key: &str) -> Option<StoredObject> {
        self.shared.state.borrow().objects.get(key).cloned()
    }

    /// Returns the keys under a prefix without faults, for checks in tests.
    pub fn peek_keys(&self, prefix: &str) -> Vec<Box<str>> {
        let state = self.shared.state.borrow();
        state.objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns every value that an object has had, oldest first, without faults, for checks in
    /// tests.
    pub fn peek_history(&self, key: &str) -> Vec<StoredObject> {
        let state = self.shared.state.borrow();
        state.history.iter().filter(|object| &*object.key == key).cloned().collect()
    }

    fn random_delay(&self) -> Duration {
        let mut state = self.shared.state.borrow_mut();
        let longest = state.faults.longest_delay.as_micros() as u64;
        if longest == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(state.rng.random_range(0..=longest))
    }

    fn draw_outcome(&self) -> CallOutcome {
        let mut state = self.shared.state.borrow_mut();
        if state.is_down || self.is_partitioned.get() {
            return CallOutcome::Failed(StoreError::Unavailable("store is down".into()));
        }
        let faults = state.faults.clone();
        let draw: f64 = state.rng.random();
        let lost_reply_limit = faults.lost_call + faults.lost_reply;
        let unavailable_limit = lost_reply_limit + faults.unavailable;
        let throttled_limit = unavailable_limit + faults.throttled;
        match draw {
            draw if draw < faults.lost_call => {
                CallOutcome::Failed(StoreError::Ambiguous("call lost".into()))
            }
            draw if draw < lost_reply_limit => CallOutcome::LostReply,
            draw if draw < unavailable_limit => {
                CallOutcome::Failed(StoreError::Unavailable("connection refused".into()))
            }
            draw if draw < throttled_limit => CallOutcome::Failed(StoreError::Throttled {
                retry_after: Duration::from_millis(100),
            }),
            _ => CallOutcome::Served,
        }
    }

    async fn call_with_faults<T>(
        &self,
        effect: impl FnOnce(&mut StoreState) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        sleep(self.random_delay()).await;
        let outcome = self.draw_outcome();
        if let CallOutcome::Failed(error) = outcome {
            return Err(error);
        }
        let result = effect(&mut self.shared.state.borrow_mut());
        self.shared.changed.notify_waiters();
        sleep(self.random_delay()).await;
        if matches!(outcome, CallOutcome::LostReply) {
            return Err(StoreError::Ambiguous("reply lost".into()));
        }
        result
    }

    async fn wait_for_change(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<(ObjectVersion, Vec<StoreChange>), StoreError> {
        self.shared.state.borrow_mut().usage.reads += 1;
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.shared.changed.notified();
            sleep(self.random_delay()).await;
            if let CallOutcome::Failed(error) = self.draw_outcome() {
                return Err(error);
            }
            let (version, changes) = self.shared.state.borrow().changes_after(prefix, after)?;
            if !changes.is_empty() {
                return Ok((version, changes));
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Ok((version, changes));
            }
        }
    }
}

impl StoreState {
    fn changes_after(
        &self,
        prefix: &str,
        after: ObjectVersion,
    ) -> Result<(ObjectVersion, Vec<StoreChange>), StoreError> {
        if after < self.compacted_version {
            return Err(StoreError::Gap);
        }
        let matches = |change: &&StoreChange| {
            let (key, version) = match change {
                StoreChange::Put(object) => (&object.key, object.version),
                StoreChange::Delete { key, version } => (key, *version),
            };
            version > after && key.starts_with(prefix)
        };
        Ok((self.version, self.changes.iter().filter(matches).cloned().collect()))
    }

    fn check_version(&self, key: &str, expected: ObjectVersion) -> Result<(), StoreError> {
        let current = self.objects.get(key).map_or(0, |object| object.version);
        if current == expected {
            return Ok(());
        }
        Err(StoreError::Conflict { current })
    }

    fn put(
        &mut self,
        key: Box<str>,
        expected: ObjectVersion,
        value: Box<[u8]>,
    ) -> Result<ObjectVersion, StoreError> {
        self.usage.writes += 1;
        self.usage.written_bytes += value.len() as u64;
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::Rejected("value too large".into()));
        }
        self.check_version(&key, expected)?;
        self.version += 1;
        let object = StoredObject { key: key.clone(), version: self.version, value };
        self.objects.insert(key, object.clone());
        self.history.push(object.clone());
        self.changes.push(StoreChange::Put(object));
        Ok(self.version)
    }

    fn delete(&mut self, key: Box<str>, expected: ObjectVersion) -> Result<(), StoreError> {
        self.usage.writes += 1;
        self.check_version(&key, expected)?;
        self.version += 1;
        self.objects.remove(&key);
        self.changes.push(StoreChange::Delete { key, version: self.version });
        Ok(())
    }

    fn list(&mut self, prefix: &str) -> StoreListing {
        self.usage.reads += 1;
        let has_prefix = |object: &&StoredObject| object.key.starts_with(prefix);
        let objects = self.objects.values().filter(has_prefix).cloned().collect();
        StoreListing { version: self.version, objects }
    }
}

impl PlatformStore for FakeStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<StoredObject>, StoreError>> {
        let key: Box<str> = key.into();
        async move {
            self.call_with_faults(|state| {
                state.usage.reads += 1;
                Ok(state.objects.get(&key).cloned())
            })
            .await
        }
        .boxed_local()
    }

    fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Box<[u8]>,
    ) -> LocalBoxFuture<'_, Result<ObjectVersion, StoreError>> {
        let key: Box<str> = key.into();
        async move { self.call_with_faults(|state| state.put(key, expected, value)).await }
            .boxed_local()
    }

    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        let key: Box<str> = key.into();
        async move { self.call_with_faults(|state| state.delete(key, expected)).await }
            .boxed_local()
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'_, Result<StoreListing, StoreError>> {
        let prefix: Box<str> = prefix.into();
        async move { self.call_with_faults(|state| Ok(state.list(&prefix))).await }.boxed_local()
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<(ObjectVersion, Vec<StoreChange>), StoreError>> {
        let prefix: Box<str> = prefix.into();
        async move { self.wait_for_change(&prefix, after, wait).await }.boxed_local()
    }
}

async fn sleep(delay: Duration) {
    if delay.is_zero() {
        tokio::task::yield_now().await;
        return;
    }
    tokio::time::sleep(delay).await;
}
