//! The floor below which pages are deleted and never used again.

use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

use crate::ids::ObjectVersion;
use crate::ledger::key::{PAGE_PREFIX, bucket_at, bucket_of_page, bucket_prefix};
use crate::ledger::options::LedgerOptions;
use crate::platform::{PlatformStore, StoreError, StoredObject};

/// Object that holds the floor.
pub(crate) const FLOOR_NAME: &str = "ledger-floor";
/// Buckets that one expiry visits, at most.
const BUCKETS_PER_EXPIRY: u64 = 256;

/// The lowest bucket whose pages may be used. It only rises.
///
/// The floor rises before a page below it is deleted. A host that makes a page reads the floor
/// afterwards, so that no host uses a deleted page anew, however wrong its clock is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerFloor {
    /// Lowest bucket that may be used.
    pub bucket: u64,
    /// Lowest bucket that may still have pages.
    pub swept: u64,
}

/// What one expiry did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpiryReport {
    /// Floor after the expiry.
    pub floor: LedgerFloor,
    /// Pages that were deleted.
    pub deleted_pages: u64,
}

/// Reads the floor's bucket out of its object.
pub(crate) fn floor_bucket(object: Option<StoredObject>) -> Result<u64, StoreError> {
    Ok(decode(object.as_ref())?.bucket)
}

/// Raises the floor to the window's end and deletes the pages below it.
///
/// `newest_bucket` is the newest page that this host has used: a host whose clock alone runs
/// ahead can't raise the floor past keys in use.
pub(crate) async fn expire(
    store: &Rc<dyn PlatformStore>,
    options: &LedgerOptions,
    unix_now: Duration,
    newest_bucket: u64,
) -> Result<ExpiryReport, StoreError> {
    let object = store.get(FLOOR_NAME).await?;
    let version = object.as_ref().map_or(0, |object| object.version);
    let mut floor = decode(object.as_ref())?;
    if version == 0 {
        floor.swept = oldest_bucket(store).await?;
    }
    let kept = options.window + options.clock_margin;
    let newest =
        (options.page_span * u32::try_from(newest_bucket).unwrap_or(u32::MAX)).min(unix_now);
    let target = bucket_at(newest.saturating_sub(kept), options);
    floor.bucket = floor.bucket.max(target);
    let version = write_floor(store, version, floor).await?;
    let mut report = ExpiryReport { floor, deleted_pages: 0 };
    let last = floor.bucket.min(floor.swept + BUCKETS_PER_EXPIRY);
    for bucket in floor.swept..last {
        report.deleted_pages += delete_bucket(store, bucket).await?;
    }
    report.floor.swept = floor.swept.max(last);
    if report.floor != floor {
        write_floor(store, version, report.floor).await?;
    }
    Ok(report)
}

async fn write_floor(
    store: &Rc<dyn PlatformStore>,
    version: ObjectVersion,
    floor: LedgerFloor,
) -> Result<ObjectVersion, StoreError> {
    let value = serde_json::to_vec(&floor).expect("a floor holds only numbers");
    store.put(FLOOR_NAME, version, value.into()).await
}

async fn oldest_bucket(store: &Rc<dyn PlatformStore>) -> Result<u64, StoreError> {
    let listing = store.list(PAGE_PREFIX).await?;
    let buckets = listing.objects.iter().filter_map(|object| bucket_of_page(&object.key));
    Ok(buckets.min().unwrap_or(0))
}

async fn delete_bucket(store: &Rc<dyn PlatformStore>, bucket: u64) -> Result<u64, StoreError> {
    let listing = store.list(&bucket_prefix(bucket)).await?;
    let mut deleted = 0;
    for object in listing.objects {
        store.delete(&object.key, object.version).await?;
        deleted += 1;
    }
    Ok(deleted)
}

fn decode(object: Option<&StoredObject>) -> Result<LedgerFloor, StoreError> {
    let Some(object) = object else {
        return Ok(LedgerFloor::default());
    };
    serde_json::from_slice(&object.value)
        .map_err(|_| StoreError::Rejected("the ledger's floor can't be read".into()))
}
