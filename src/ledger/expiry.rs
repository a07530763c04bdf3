//! Expiry of ledger pages: pages below the floor are deleted and never used again.

use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

use crate::ids::ObjectVersion;
use crate::ledger::key::{
    PAGE_PREFIX, bucket_at, bucket_of_page, bucket_start, group_prefix, next_group,
};
use crate::ledger::options::LedgerOptions;
use crate::platform::{PlatformStore, StoreError, StoredObject};

/// Name of the object that stores the floor.
pub(crate) const FLOOR_NAME: &str = "ledger-floor";
/// Maximum number of bucket groups that one expiry run lists.
const MAX_GROUPS_PER_EXPIRY: u64 = 256;

/// Lowest bucket whose pages may be used. It never decreases.
///
/// The floor is raised before the pages below it are deleted. A host that creates a page reads
/// the floor afterwards, so that no host reuses a deleted page, however wrong its clock is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerFloor {
    /// Lowest bucket that may be used.
    pub bucket: u64,
    /// Lowest bucket that may still have pages; the pages of all lower buckets are deleted.
    pub swept: u64,
}

/// Result of one expiry run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpiryReport {
    /// Floor after the run.
    pub floor: LedgerFloor,
    /// Number of deleted pages.
    pub deleted_pages: u64,
}

/// Decodes the floor's bucket from its object; 0 if the object does not exist.
pub(crate) fn floor_bucket(object: Option<StoredObject>) -> Result<u64, StoreError> {
    Ok(decode_floor(object.as_ref())?.bucket)
}

/// Raises the floor to the start of the retention period and deletes the pages below it.
///
/// The period is counted back from the earlier of `unix_now` and `newest_bucket`, the newest
/// bucket that this host has used. A host whose clock alone runs fast therefore can't raise the
/// floor past keys that are in use.
pub(crate) async fn expire(
    store: &Rc<dyn PlatformStore>,
    options: &LedgerOptions,
    unix_now: Duration,
    newest_bucket: u64,
) -> Result<ExpiryReport, StoreError> {
    let object = store.get(FLOOR_NAME).await?;
    let version = object.as_ref().map_or(0, |object| object.version);
    let mut floor = decode_floor(object.as_ref())?;
    let retention = options.window + options.clock_margin;
    let newest = bucket_start(newest_bucket, options).min(unix_now);
    floor.bucket = floor.bucket.max(bucket_at(newest.saturating_sub(retention), options));
    if version == 0 {
        floor.swept = oldest_bucket(store).await?.unwrap_or(floor.bucket);
    }
    let version = write_floor(store, version, floor).await?;
    let mut report = ExpiryReport { floor, deleted_pages: 0 };
    for _ in 0..MAX_GROUPS_PER_EXPIRY {
        if report.floor.swept >= floor.bucket {
            break;
        }
        report.deleted_pages += delete_group(store, report.floor.swept, floor.bucket).await?;
        report.floor.swept = next_group(report.floor.swept).min(floor.bucket);
    }
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
    let value = serde_json::to_vec(&floor).expect("a floor consists of integers");
    store.put(FLOOR_NAME, version, value.into()).await
}

async fn oldest_bucket(store: &Rc<dyn PlatformStore>) -> Result<Option<u64>, StoreError> {
    let listing = store.list(PAGE_PREFIX).await?;
    Ok(listing.objects.iter().filter_map(|object| bucket_of_page(&object.key)).min())
}

/// Deletes the pages below the floor in the group that contains `bucket`.
async fn delete_group(
    store: &Rc<dyn PlatformStore>,
    bucket: u64,
    floor: u64,
) -> Result<u64, StoreError> {
    let listing = store.list(&group_prefix(bucket)).await?;
    let mut deleted = 0;
    for object in listing.objects {
        if bucket_of_page(&object.key).is_some_and(|bucket| bucket < floor) {
            store.delete(&object.key, object.version).await?;
            deleted += 1;
        }
    }
    Ok(deleted)
}

fn decode_floor(object: Option<&StoredObject>) -> Result<LedgerFloor, StoreError> {
    let Some(object) = object else {
        return Ok(LedgerFloor::default());
    };
    serde_json::from_slice(&object.value)
        .map_err(|_| StoreError::Rejected("ledger floor could not be decoded".into()))
}
