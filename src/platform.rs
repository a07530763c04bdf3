//! Interface of the platform's object store.

use futures::future::LocalBoxFuture;
use std::time::Duration;

use crate::ids::ObjectVersion;

/// An object with the version assigned by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Key of the object; its parts are separated by `/`.
    pub key: Box<str>,
    /// Version of the value. Each later write of any object gets a higher version.
    pub version: ObjectVersion,
    /// Value of at most [`MAX_VALUE_BYTES`] bytes.
    pub value: Box<[u8]>,
}

/// Maximum size of a value on the platform in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The expected version is not the current one; the write had no effect.
    #[error("object has version {current}, not the expected one")]
    Conflict {
        /// Version in the store; 0 if the object does not exist.
        current: ObjectVersion,
    },
    /// The platform is unavailable; the call definitely had no effect.
    #[error("platform's store unavailable: {0}")]
    Unavailable(Box<str>),
    /// The platform rejected the call because of rate limiting; it had no effect.
    #[error("platform's store throttled the call")]
    Throttled {
        /// Delay after which the call may be retried.
        retry_after: Duration,
    },
    /// The call was sent but got no usable reply: a write may have taken effect.
    #[error("platform's store gave no answer: {0}")]
    Ambiguous(Box<str>),
    /// The platform rejected the call as invalid; it had no effect.
    #[error("platform's store rejected the call: {0}")]
    Rejected(Box<str>),
    /// The platform no longer has all changes since the version given to the watch. The client
    /// must list the objects again.
    #[error("watch fell behind the platform's history")]
    Gap,
}

/// A change returned by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// The object was written.
    Put(StoredObject),
    /// The object was deleted.
    Delete {
        /// Key of the deleted object.
        key: Box<str>,
        /// Version of the deletion.
        version: ObjectVersion,
    },
}

/// Snapshot of the objects under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreListing {
    /// Version of the snapshot, from which a watch can continue.
    pub version: ObjectVersion,
    /// Objects sorted by key.
    pub objects: Vec<StoredObject>,
}

/// Object API of the platform with versions, conditional updates and watches.
pub trait PlatformStore {
    /// Reads one object.
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<StoredObject>, StoreError>>;

    /// Writes an object if its version is `expected`, where 0 stands for an object that does not
    /// exist. Returns the new version.
    fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Box<[u8]>,
    ) -> LocalBoxFuture<'_, Result<ObjectVersion, StoreError>>;

    /// Deletes an object if its version is `expected`.
    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Lists the objects whose keys start with `prefix`.
    fn list(&self, prefix: &str) -> LocalBoxFuture<'_, Result<StoreListing, StoreError>>;

    /// Waits up to `wait` for changes under `prefix` that are later than `after`.
    ///
    /// Returns the changes in order and the version from which to continue. The list is empty if
    /// `wait` expires without a change. Returns [`StoreError::Gap`] if changes were missed.
    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<(ObjectVersion, Vec<StoreChange>), StoreError>>;
}
