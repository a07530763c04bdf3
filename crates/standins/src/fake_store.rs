//! An in-memory platform store for tests, with faults that a seed decides.

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

/// Probabilities of faults, each from 0 to 1, and the longest delay of a call.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// The call is lost before it has an effect, and the caller can't tell.
    pub lost_call: f64,
    /// The call takes effect and its reply is lost.
    pub lost_reply: f64,
    /// The call is refused, certainly without effect.
    pub unavailable: f64,
    /// The call is refused for its rate.
    pub throttled: f64,
    /// Longest delay before a call takes effect, and again before its reply.
    pub longest_delay: Duration,
}

/// How many calls of each sort were made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Calls to `get`, `list` and `watch`.
    pub reads: u64,
    /// Calls to `put` and `delete`.
    pub writes: u64,
    /// Bytes in values written.
    pub written_bytes: u64,
}

struct StoreState {
    version: ObjectVersion,
    oldest_change: ObjectVersion,
    objects: BTreeMap<Box<str>, StoredObject>,
    changes: Vec<StoreChange>,
    record: Vec<StoredObject>,
    faults: StoreFaults,
    down: bool,
    rng: ChaCha8Rng,
    usage: StoreUsage,
}

/// The one store that every [`FakeStore`] handle of a test reads and writes.
pub struct StoreCore {
    state: RefCell<StoreState>,
    changed: Notify,
}

/// One host's handle on the store; the handle can be cut off on its own.
#[derive(Clone)]
pub struct FakeStore {
    core: Rc<StoreCore>,
    cut: Rc<Cell<bool>>,
}

enum CallFate {
    Served,
    LostReply,
    Failed(StoreError),
}

impl FakeStore {
    /// An empty store without faults.
    pub fn new(seed: u64) -> Self {
        let state = StoreState {
            version: 0,
            oldest_change: 0,
            objects: BTreeMap::new(),
            changes: Vec::new(),
            record: Vec::new(),
            faults: StoreFaults::default(),
            down: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            usage: StoreUsage::default(),
        };
        let core = StoreCore { state: RefCell::new(state), changed: Notify::new() };
        Self { core: Rc::new(core), cut: Rc::new(Cell::new(false)) }
    }

    /// Another host's handle on the same store.
    pub fn handle(&self) -> Self {
        Self { core: self.core.clone(), cut: Rc::new(Cell::new(false)) }
    }

    /// Cuts this handle off from the store, or joins it again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.set(cut);
        self.core.changed.notify_waiters();
    }

    /// Takes the whole store down, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.core.state.borrow_mut().down = down;
        self.core.changed.notify_waiters();
    }

    /// Sets the faults of the calls to come, from every handle.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.core.state.borrow_mut().faults = faults;
    }

    /// Forgets the history of changes, so that every watch meets a gap.
    pub fn compact_changes(&self) {
        let mut state = self.core.state.borrow_mut();
        state.oldest_change = state.version;
        state.changes.clear();
    }

    /// Calls made so far.
    pub fn usage(&self) -> StoreUsage {
        self.core.state.borrow().usage
    }

    /// Reads an object past every fault, for checkers.
    pub fn peek(&self, key: &str) -> Option<StoredObject> {
        self.core.state.borrow().objects.get(key).cloned()
    }

    /// Keys under a prefix, past every fault, for checkers.
    pub fn peek_keys(&self, prefix: &str) -> Vec<Box<str>> {
        let state = self.core.state.borrow();
        state.objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Every value that an object ever had, in order, past every fault and for checkers.
    pub fn peek_history(&self, key: &str) -> Vec<StoredObject> {
        let state = self.core.state.borrow();
        state.record.iter().filter(|object| &*object.key == key).cloned().collect()
    }

    fn delay(&self) -> Duration {
        let mut state = self.core.state.borrow_mut();
        let longest = state.faults.longest_delay.as_micros() as u64;
        if longest == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(state.rng.random_range(0..=longest))
    }

    fn fate(&self) -> CallFate {
        let mut state = self.core.state.borrow_mut();
        if state.down || self.cut.get() {
            return CallFate::Failed(StoreError::Unavailable("store is down".into()));
        }
        let faults = state.faults.clone();
        let draw: f64 = state.rng.random();
        let lost_reply = faults.lost_call + faults.lost_reply;
        let unavailable = lost_reply + faults.unavailable;
        let throttled = unavailable + faults.throttled;
        match draw {
            draw if draw < faults.lost_call => {
                CallFate::Failed(StoreError::Ambiguous("call lost".into()))
            }
            draw if draw < lost_reply => CallFate::LostReply,
            draw if draw < unavailable => {
                CallFate::Failed(StoreError::Unavailable("connection refused".into()))
            }
            draw if draw < throttled => {
                CallFate::Failed(StoreError::Throttled { retry_after: Duration::from_millis(100) })
            }
            _ => CallFate::Served,
        }
    }

    async fn perform<T>(
        &self,
        effect: impl FnOnce(&mut StoreState) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        sleep(self.delay()).await;
        let fate = self.fate();
        if let CallFate::Failed(error) = fate {
            return Err(error);
        }
        let result = effect(&mut self.core.state.borrow_mut());
        self.core.changed.notify_waiters();
        sleep(self.delay()).await;
        if matches!(fate, CallFate::LostReply) {
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
        self.core.state.borrow_mut().usage.reads += 1;
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.core.changed.notified();
            sleep(self.delay()).await;
            if let CallFate::Failed(error) = self.fate() {
                return Err(error);
            }
            let (version, changes) = self.core.state.borrow().changes_after(prefix, after)?;
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
        if after < self.oldest_change {
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
        self.record.push(object.clone());
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
        let under = |object: &&StoredObject| object.key.starts_with(prefix);
        let objects = self.objects.values().filter(under).cloned().collect();
        StoreListing { version: self.version, objects }
    }
}

impl PlatformStore for FakeStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<StoredObject>, StoreError>> {
        let key: Box<str> = key.into();
        async move {
            self.perform(|state| {
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
        async move { self.perform(|state| state.put(key, expected, value)).await }.boxed_local()
    }

    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        let key: Box<str> = key.into();
        async move { self.perform(|state| state.delete(key, expected)).await }.boxed_local()
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'_, Result<StoreListing, StoreError>> {
        let prefix: Box<str> = prefix.into();
        async move { self.perform(|state| Ok(state.list(&prefix))).await }.boxed_local()
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
