//! The operators' table: rows, lookup, differences and edits.
//!
//! The table is CSV text. A `class` row sets the policy of a class of work; an
//! `adapter` row names an adapter, its served versions and its class, whose
//! policy fills the row's empty cells. A table is immutable: an edit gives a new
//! one with a higher version.

mod csv_text;
mod edit;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::types::AdapterKey;
use crate::types::Name;
use crate::types::Rank;
use crate::types::RowId;

pub use csv_text::COLUMNS;
pub use csv_text::RowError;
pub use edit::ApplyError;
pub use edit::Conflict;
pub use edit::RowChange;

/// Kind of a table row.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RowKind {
    /// Class of work.
    Class,
    /// Adapter.
    Adapter,
}

impl RowKind {
    /// Name as written in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            RowKind::Class => "class",
            RowKind::Adapter => "adapter",
        }
    }
}

/// Method and path prefix of the calls that belong to a class.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallMatch {
    /// HTTP method in upper case; `*` for all.
    pub method: String,
    /// Prefix of the path, beginning with `/`.
    pub prefix: String,
}

impl CallMatch {
    fn covers(&self, method: &str, path: &str) -> bool {
        (self.method == "*" || self.method.eq_ignore_ascii_case(method))
            && path_has_prefix(path, &self.prefix)
    }
}

/// Whether `prefix` ends at a segment boundary of `path`, so that `/orders` does not cover `/orders-old`.
fn path_has_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => {
            rest.is_empty()
                || prefix.ends_with('/')
                || rest.starts_with('/')
                || rest.starts_with('?')
        }
        None => false,
    }
}

/// Policy of a class of work or of an adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Urgency.
    pub rank: Rank,
    /// Weight in fair queueing, above 0.
    pub weight: f64,
    /// Share of an upstream that is guaranteed to the class, from 0 to 1.
    pub floor: f64,
    /// Largest number of requests a second over all nodes.
    pub rate: Option<f64>,
    /// Largest number of requests in flight over all nodes.
    pub in_flight: Option<u32>,
    /// Target for the time to first token.
    pub target: Duration,
    /// Time after which a request is refused if it has not started.
    pub deadline: Duration,
    /// Retries allowed, as a fraction of fresh requests.
    pub retry_budget: f64,
    /// Whether requests may run more than once.
    pub idempotent: bool,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            rank: Rank::Standard,
            weight: 1.0,
            floor: 0.0,
            rate: None,
            in_flight: None,
            target: Duration::from_millis(530),
            deadline: Duration::from_secs(30),
            retry_budget: 0.2,
            idempotent: true,
        }
    }
}

/// Row of the table with its policy, inherited cells filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Class or adapter.
    pub kind: RowKind,
    /// Name of the class or adapter.
    pub name: Name,
    /// Class of an adapter; the class itself for a class row.
    pub class: Name,
    /// Service whose upstreams do the work.
    pub service: Name,
    /// Calls of a plain service that belong to the class.
    pub call: Option<CallMatch>,
    /// Served versions of an adapter, the default first.
    pub versions: Vec<Name>,
    /// Policy.
    pub terms: Terms,
    /// Cells as written, in the order of [`COLUMNS`].
    cells: Vec<String>,
}

impl Row {
    /// Stable id of the row.
    pub fn id(&self) -> RowId {
        row_id(self.kind, &self.name)
    }

    /// Cells as written, in the order of [`COLUMNS`].
    pub fn cells(&self) -> &[String] {
        &self.cells
    }
}

/// Policy that governs one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Row whose weight and limits apply.
    pub row: RowId,
    /// Row of the class that the request belongs to.
    pub class: RowId,
    /// Service to route to.
    pub service: Name,
    /// Adapter and version; `None` for plain services.
    pub adapter: Option<AdapterKey>,
    /// Limits and urgency.
    pub terms: Terms,
}

/// Reason for which no policy governs a request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum LookupError {
    /// the table has no adapter `{0}`
    UnknownAdapter(String),
    /// the table does not serve version `{version}` of adapter `{adapter}`
    UnknownVersion {
        /// Adapter that the request names.
        adapter: String,
        /// Version that the request names.
        version: String,
    },
    /// the table has no class `{0}` for this service
    UnknownClass(String),
    /// no class of the table covers this call to service `{0}`
    UnknownService(String),
}

impl std::error::Error for LookupError {}

impl LookupError {
    /// Stable error code for callers.
    pub const fn code(&self) -> &'static str {
        match self {
            LookupError::UnknownAdapter(_) => "unknown_adapter",
            LookupError::UnknownVersion { .. } => "unknown_version",
            LookupError::UnknownClass(_) => "unknown_class",
            LookupError::UnknownService(_) => "unknown_service",
        }
    }
}

/// One version of the operators' table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    rows: Vec<Row>,
    index: HashMap<RowId, usize>,
    /// Class rows with a call match, by service, longest prefix first.
    calls: HashMap<Name, Vec<usize>>,
}

impl Table {
    /// Parses and checks CSV text.
    ///
    /// # Errors
    /// Every invalid cell, with line and column.
    pub fn from_csv(version: u64, text: &str) -> Result<Table, Vec<RowError>> {
        Ok(Table::from_rows(version, csv_text::parse(text)?))
    }

    /// The table as CSV text.
    pub fn to_csv(&self) -> String {
        csv_text::write(self.rows.iter().map(Row::cells))
    }

    fn from_rows(version: u64, rows: Vec<Row>) -> Table {
        let index = rows.iter().enumerate().map(|(i, row)| (row.id(), i)).collect();
        let mut calls: HashMap<Name, Vec<usize>> = HashMap::new();
        for (i, row) in rows.iter().enumerate().filter(|(_, row)| row.call.is_some()) {
            calls.entry(row.service.clone()).or_default().push(i);
        }
        for list in calls.values_mut() {
            list.sort_by_key(|&i| std::cmp::Reverse(specificity(&rows[i])));
        }
        Table { version, rows, index, calls }
    }

    /// Policy of a model request for `model`, which is `adapter` or `adapter@version`.
    ///
    /// # Errors
    /// An adapter, version or class that the table does not name.
    pub fn find_adapter(&self, model: &str, class: Option<&str>) -> Result<Policy, LookupError> {
        let (name, version) = match AdapterKey::parse(model) {
            Some(key) => (key.name, Some(key.version)),
            None => (Name::from(model), None),
        };
        let row = self
            .row(row_id(RowKind::Adapter, &name))
            .ok_or_else(|| LookupError::UnknownAdapter(name.to_string()))?;
        let version = match version {
            Some(version) if row.versions.contains(&version) => version,
            Some(version) => {
                let (adapter, version) = (name.to_string(), version.to_string());
                return Err(LookupError::UnknownVersion { adapter, version });
            }
            None => row.versions[0].clone(),
        };
        let adapter = Some(AdapterKey { name, version });
        let default = row_id(RowKind::Class, &row.class);
        let service = row.service.clone();
        let Some(class) = class else {
            return Ok(Policy {
                row: row.id(),
                class: default,
                service,
                adapter,
                terms: row.terms,
            });
        };
        match self.row(row_id(RowKind::Class, &Name::from(class))) {
            Some(found) if found.service == service && found.call.is_none() => Ok(Policy {
                row: found.id(),
                class: found.id(),
                service,
                adapter,
                terms: found.terms,
            }),
            _ => Err(LookupError::UnknownClass(class.to_owned())),
        }
    }

    /// Policy of a call to a plain service.
    ///
    /// # Errors
    /// A service or call that no class covers.
    pub fn find_call(
        &self,
        service: &str,
        method: &str,
        path: &str,
    ) -> Result<Policy, LookupError> {
        let rows = self.calls.get(service).into_iter().flatten().map(|&i| &self.rows[i]);
        let covers = |row: &&Row| row.call.as_ref().is_some_and(|call| call.covers(method, path));
        match rows.clone().find(covers) {
            Some(row) => Ok(Policy {
                row: row.id(),
                class: row.id(),
                service: row.service.clone(),
                adapter: None,
                terms: row.terms,
            }),
            None => Err(LookupError::UnknownService(service.to_owned())),
        }
    }

    /// Row with the id `row`.
    pub fn row(&self, row: RowId) -> Option<&Row> {
        self.index.get(&row).map(|&i| &self.rows[i])
    }

    /// All rows in the order of the text.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter()
    }

    /// Sums of the floors of the classes of `service`, by rank.
    pub fn floors(&self, service: &Name) -> [f64; 3] {
        let mut floors = [0.0; 3];
        for class in self.classes().filter(|class| class.service == *service) {
            floors[class.terms.rank.index()] += class.terms.floor;
        }
        floors
    }

    /// Rows that describe classes of work.
    pub fn classes(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(|row| row.kind == RowKind::Class)
    }
}

/// Exact methods go before `*`, longer prefixes before shorter ones.
fn specificity(row: &Row) -> (usize, bool) {
    row.call.as_ref().map_or((0, false), |call| (call.prefix.len(), call.method != "*"))
}

/// Stable id of the row of `kind` named `name`.
pub fn row_id(kind: RowKind, name: &Name) -> RowId {
    let mut hasher = SipHasher13::new();
    hasher.write(kind.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(name.as_str().as_bytes());
    RowId(hasher.finish())
}
