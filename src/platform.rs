//! The platform's object store, as the rest of the library sees it.

use futures::future::LocalBoxFuture;
use std::time::Duration;

use crate::ids::ObjectVersion;

/// An object with the version that the platform gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Key of the object, with `/` between its parts.
    pub key: Box<str>,
    /// Version of this value, higher for each later write of any object.
    pub version: ObjectVersion,
    /// Value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Box<[u8]>,
}

/// Largest value that the platform takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Why a call to the platform did not give an answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The expected version is not the current one; the write had no effect.
    #[error("object has version {current}, not the expected one")]
    Conflict {
        /// Version in the store, 0 where the object does not exist.
        current: ObjectVersion,
    },
    /// The call certainly had no effect.
    #[error("platform's store unavailable: {0}")]
    Unavailable(Box<str>),
    /// The platform refused the call for its rate; it had no effect.
    #[error("platform's store throttled the call")]
    Throttled {
        /// Time after which the platform takes calls again.
        retry_after: Duration,
    },
    /// The call left, but no answer came: a write may have taken effect.
    #[error("platform's store gave no answer: {0}")]
    Ambiguous(Box<str>),
    /// The platform took the call for a wrong one; it had no effect.
    #[error("platform's store rejected the call: {0}")]
    Rejected(Box<str>),
    /// The watch fell behind the platform's history: list again.
    #[error("watch fell behind the platform's history")]
    Gap,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// The object was written.
    Put(StoredObject),
    /// The object was deleted, in the write with this version.
    Delete {
        /// Key of the deleted object.
        key: Box<str>,
        /// Version of the deletion.
        version: ObjectVersion,
    },
}

/// Objects under a prefix at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreListing {
    /// Version up to which the listing is complete; a watch goes on from here.
    pub version: ObjectVersion,
    /// Objects in the order of their keys.
    pub objects: Vec<StoredObject>,
}

/// The platform's object API: versions, conditional updates and watches.
pub trait PlatformStore {
    /// Reads one object.
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<StoredObject>, StoreError>>;

    /// Writes an object if its version is `expected`; 0 creates it. Returns the new version.
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

    /// Waits up to `wait` for changes under `prefix` later than `after`.
    ///
    /// Returns the changes in order with the version to go on from; an empty list after `wait`.
    /// Returns [`StoreError::Gap`] where changes were missed.
    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<(ObjectVersion, Vec<StoreChange>), StoreError>>;
}
