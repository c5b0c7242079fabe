//! The table in the key-value service: a head, changed by compare-and-swap, and pages.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_core::table::ApplyError;
use fireflyhead_core::table::Conflict;
use fireflyhead_core::table::RowChange;
use fireflyhead_core::table::RowError;
use fireflyhead_core::table::Table;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages::TableEdit;
use fireflyhead_schema::messages::TableHead;
use tokio::time::Instant;

use crate::kv::KeyValue;
use crate::kv::Store;
use crate::kv::StoreError;
use crate::kv::Swap;
use crate::tables::pages;
use crate::tables::pages::Page;

/// Key of the head.
pub const HEAD_KEY: &str = "/fireflyhead/table/head";
/// Edits that the head keeps to resolve lost replies and to show the history.
///
/// Every node reads the head after every edit, so a long history costs bandwidth.
const MAX_EDITS: usize = 64;
/// Attempts to read pages whose head was replaced meanwhile.
const READ_ATTEMPTS: usize = 5;
/// Time for which an edit is tried.
const EDIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without any answer of the service after which an edit is rejected.
const UNAVAILABLE_TIMEOUT: Duration = Duration::from_secs(4);
/// First delay between two attempts of an edit; doubles up to the longest.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest delay between two attempts of an edit.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which pages of a replaced head are deleted, for nodes still reading them.
const PAGE_RETENTION: Duration = Duration::from_secs(30);

fn page_key(index: usize, hash: &str) -> String {
    format!("/fireflyhead/table/page/{index}/{hash}")
}

/// Edit of some rows, as an operator sends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Edit {
    /// Id chosen by the author; an edit sent twice takes effect once.
    pub id: String,
    /// One line for the history.
    pub summary: String,
    /// Changed rows with the cells that the author read.
    pub changes: Vec<RowChange>,
}

/// Reason for which an edit is not in force.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum EditError {
    /// rows were changed by someone else
    Conflicts(Vec<Conflict>),
    /// the edited table is invalid
    Invalid(Vec<RowError>),
    /// the key-value service is unavailable and the edit took no effect: {0}
    StoreUnavailable(String),
    /// the key-value service gave no answer; the edit may have taken effect, send it again with the same id: {0}
    OutcomeUnknown(String),
}

impl std::error::Error for EditError {}

/// Reason for which the table can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum ReadError {
    /// cannot read the table: {0}
    Store(StoreError),
    /// the table in the key-value service is damaged: {0}
    Damaged(String),
}

impl std::error::Error for ReadError {}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> ReadError {
        ReadError::Store(error)
    }
}

/// Table as read from the service.
#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) table: Arc<Table>,
    pub(super) head: TableHead,
    /// Revision of the head; 0 if the service has none.
    pub(super) revision: i64,
    /// Pages in order, with the revision of their key.
    pages: Vec<(Page, i64)>,
}

impl Stored {
    fn empty() -> Stored {
        Stored {
            table: Arc::new(Table::default()),
            head: TableHead::default(),
            revision: 0,
            pages: Vec::new(),
        }
    }

    /// Version that contains the edit `id`; the version read if it is not in the history.
    pub(super) fn version_of(&self, id: &str) -> u64 {
        self.version_of_edit(id).unwrap_or(self.head.version)
    }

    fn version_of_edit(&self, id: &str) -> Option<u64> {
        self.head.edits.iter().find(|edit| edit.id == id).map(|edit| edit.version)
    }
}

pub(super) fn decode_head(kv: &KeyValue) -> Result<TableHead, ReadError> {
    codec::decode(&kv.value).map_err(|e| ReadError::Damaged(e.to_string()))
}

/// Reads the table; pages of `known` are not read again.
pub(super) async fn read(store: &dyn Store, known: Option<&Stored>) -> Result<Stored, ReadError> {
    let mut missing = String::new();
    for _ in 0..READ_ATTEMPTS {
        let Some(kv) = store.get(HEAD_KEY).await? else { return Ok(Stored::empty()) };
        if let Some(known) = known.filter(|known| known.revision == kv.revision) {
            return Ok(known.clone());
        }
        let head = decode_head(&kv)?;
        match read_pages(store, &head, known).await? {
            Ok(pages) => return assemble(head, kv.revision, pages),
            // The head was replaced and its pages deleted between the two reads.
            Err(hash) => missing = hash,
        }
    }
    Err(ReadError::Damaged(format!("the page {missing} is missing")))
}

async fn read_pages(
    store: &dyn Store,
    head: &TableHead,
    known: Option<&Stored>,
) -> Result<Result<Vec<(Page, i64)>, String>, ReadError> {
    let known: HashMap<&str, &(Page, i64)> = known
        .into_iter()
        .flat_map(|known| known.pages.iter().map(|page| (page.0.hash.as_str(), page)))
        .collect();
    let mut pages = Vec::with_capacity(head.pages.len());
    for (index, hash) in head.pages.iter().enumerate() {
        if let Some(page) = known.get(hash.as_str()) {
            pages.push((*page).clone());
            continue;
        }
        let Some(kv) = store.get(&page_key(index, hash)).await? else {
            return Ok(Err(hash.clone()));
        };
        if pages::hash(&kv.value) != *hash {
            return Err(ReadError::Damaged(format!("the page {hash} has another hash")));
        }
        pages.push((Page { hash: hash.clone(), text: kv.value }, kv.revision));
    }
    Ok(Ok(pages))
}

fn assemble(head: TableHead, revision: i64, pages: Vec<(Page, i64)>) -> Result<Stored, ReadError> {
    let texts: Vec<Page> = pages.iter().map(|(page, _)| page.clone()).collect();
    let table = Table::from_csv(head.version, &pages::join(&texts)).map_err(|errors| {
        ReadError::Damaged(errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
    })?;
    Ok(Stored { table: Arc::new(table), head, revision, pages })
}

/// Outcome of one attempt to put an edit in force.
enum Attempt {
    Done(Box<Stored>),
    /// Nothing was changed by this attempt; the reason, for the message.
    Retry(String),
    /// Nothing was changed, since the service can't be read.
    Unavailable(String),
    /// The head may have been changed by this attempt.
    InDoubt(String),
}

/// Puts `edit` in force, rebased on what others changed; the table that contains it.
///
/// `floor` is the highest version known, below which no version is given; pages of
/// `known` are not read again.
///
/// # Errors
/// Conflicts with other edits, an invalid result, or an unavailable service.
pub(super) async fn commit(
    store: &Arc<dyn Store>,
    edit: &Edit,
    floor: u64,
    known: Option<&Stored>,
) -> Result<Stored, EditError> {
    let deadline = Instant::now() + EDIT_TIMEOUT;
    let mut answered = Instant::now();
    let mut delay = MIN_RETRY_DELAY;
    let mut in_doubt = false;
    loop {
        let mut limit = deadline;
        let reason = match attempt(store, edit, floor, known).await {
            Ok(Attempt::Done(stored)) => return Ok(*stored),
            Ok(Attempt::Retry(reason)) => {
                answered = Instant::now();
                reason
            }
            Ok(Attempt::Unavailable(reason)) => {
                if !in_doubt {
                    limit = deadline.min(answered + UNAVAILABLE_TIMEOUT);
                }
                reason
            }
            Ok(Attempt::InDoubt(reason)) => {
                in_doubt = true;
                reason
            }
            // The rows or the head changed, so that an earlier attempt in doubt can no longer
            // take effect.
            Err(error) => return Err(error),
        };
        if Instant::now() + delay > limit {
            return Err(match in_doubt {
                true => EditError::OutcomeUnknown(reason),
                false => EditError::StoreUnavailable(reason),
            });
        }
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

async fn attempt(
    store: &Arc<dyn Store>,
    edit: &Edit,
    floor: u64,
    known: Option<&Stored>,
) -> Result<Attempt, EditError> {
    let base = match read(store.as_ref(), known).await {
        Ok(base) => base,
        Err(e) => return Ok(Attempt::Unavailable(e.to_string())),
    };
    if base.version_of_edit(&edit.id).is_some() {
        return Ok(Attempt::Done(Box::new(base)));
    }
    let version = base.head.version.max(floor) + 1;
    let table = match base.table.apply(version, &edit.changes) {
        Ok(table) => Arc::new(table),
        Err(ApplyError::Conflicts(conflicts)) => return Err(EditError::Conflicts(conflicts)),
        Err(ApplyError::Invalid(errors)) => return Err(EditError::Invalid(errors)),
    };
    let pages = match write_pages(store.as_ref(), &base, pages::split(&table.to_csv())).await {
        Ok(pages) => pages,
        // Pages without a head have no effect.
        Err(e) => return Ok(Attempt::Retry(e.to_string())),
    };
    let head = next_head(&base.head, edit, version, &pages);
    let bytes = codec::encode(&head).expect("a head holds only texts and numbers");
    match store.swap(HEAD_KEY, base.revision, Bytes::from(bytes), None).await {
        Ok(Swap::Done(revision)) => {
            tokio::spawn(delete_pages(store.clone(), unused_pages(&base, &pages)));
            Ok(Attempt::Done(Box::new(Stored { table, head, revision, pages })))
        }
        Ok(Swap::Conflict(_)) => Ok(Attempt::Retry("others edit the table as well".to_owned())),
        Err(error @ StoreError::NoAnswer(_)) => Ok(Attempt::InDoubt(error.to_string())),
        Err(error) => Ok(Attempt::Retry(error.to_string())),
    }
}

fn next_head(base: &TableHead, edit: &Edit, version: u64, pages: &[(Page, i64)]) -> TableHead {
    let entry = TableEdit { id: edit.id.clone(), version, summary: edit.summary.clone() };
    let kept = base.edits.len().saturating_sub(MAX_EDITS - 1);
    let edits = base.edits.iter().skip(kept).cloned().chain([entry]).collect();
    TableHead { version, edits, pages: pages.iter().map(|(page, _)| page.hash.clone()).collect() }
}

/// Writes the pages that `base` does not have under the same key.
///
/// A page that exists without being part of `base` is written again: its new
/// revision keeps the author of an older head from deleting it.
async fn write_pages(
    store: &dyn Store,
    base: &Stored,
    pages: Vec<Page>,
) -> Result<Vec<(Page, i64)>, StoreError> {
    let mut written = Vec::with_capacity(pages.len());
    for (index, page) in pages.into_iter().enumerate() {
        let old = base.pages.get(index).filter(|(old, _)| old.hash == page.hash);
        let revision = match old {
            Some((_, revision)) => *revision,
            None => write_page(store, &page_key(index, &page.hash), &page.text).await?,
        };
        written.push((page, revision));
    }
    Ok(written)
}

async fn write_page(store: &dyn Store, key: &str, text: &Bytes) -> Result<i64, StoreError> {
    let mut expected = 0;
    loop {
        match store.swap(key, expected, text.clone(), None).await? {
            Swap::Done(revision) => return Ok(revision),
            Swap::Conflict(current) => expected = current.map_or(0, |kv| kv.revision),
        }
    }
}

/// Keys, with their revisions, of the pages of `base` that `pages` do not use.
fn unused_pages(base: &Stored, pages: &[(Page, i64)]) -> Vec<(String, i64)> {
    let old = base.pages.iter().enumerate();
    let unused =
        old.filter(|(i, (page, _))| pages.get(*i).is_none_or(|(new, _)| new.hash != page.hash));
    unused.map(|(i, (page, revision))| (page_key(i, &page.hash), *revision)).collect()
}

/// Deletes replaced pages unless someone wrote them again.
async fn delete_pages(store: Arc<dyn Store>, pages: Vec<(String, i64)>) {
    tokio::time::sleep(PAGE_RETENTION).await;
    for (key, revision) in pages {
        if let Err(error) = store.delete(&key, revision).await {
            tracing::warn!(%error, key, "a replaced page of the table was not deleted");
        }
    }
}
