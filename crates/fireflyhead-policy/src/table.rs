//! The operators' table: parsing, differences, edits, and the routes that are derived from it.
//!
//! The table is CSV text. A `class` row sets the policy of a class of requests; an `adapter` row
//! names an adapter, its served versions and its class, from which it inherits the policy of its
//! empty cells; an `account` row describes a client account. A table is immutable: an edit creates a
//! new one with a higher version.

mod account_rows;
mod csv_text;
mod edit;
mod routes;

use std::time::Duration;

use crate::accounts::KeyDigest;
use crate::accounts::Quota;
use crate::types::Name;
use crate::types::Rank;

pub use csv_text::COLUMNS;
pub use csv_text::OPTIONAL_COLUMNS;
pub use csv_text::RowError;
pub use edit::ApplyError;
pub use edit::Conflict;
pub use edit::RowChange;

/// Kind of a table row.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RowKind {
    /// Class of requests.
    Class,
    /// Adapter of a class.
    Adapter,
    /// Client account.
    Account,
}

impl RowKind {
    /// Returns the name that the table uses.
    pub const fn as_str(self) -> &'static str {
        match self {
            RowKind::Class => "class",
            RowKind::Adapter => "adapter",
            RowKind::Account => "account",
        }
    }
}

/// Method and path prefix of the requests that belong to a class.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestMatch {
    /// HTTP method in upper case; `*` for any method.
    pub method: String,
    /// Path prefix, which begins with `/`.
    pub prefix: String,
}

/// Scheduling policy of a class of requests or of an adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Urgency.
    pub rank: Rank,
    /// Weight among the classes of the same rank, above 0; requests of a class with twice the
    /// weight wait half as long.
    pub weight: f64,
    /// Minimum share of the service's requests that is guaranteed to the class, from 0 to 1.
    pub floor: f64,
    /// Maximum number of requests per second over all nodes; `None` for no limit.
    pub rate: Option<f64>,
    /// Maximum number of requests in flight over all nodes; `None` for no limit.
    pub in_flight: Option<u32>,
    /// Latency objective for the response, or for the first event of a stream.
    pub target: Duration,
    /// Maximum time for which a caller waits for the response.
    pub deadline: Duration,
    /// Allowed retries as a fraction of the fresh requests.
    pub retry_budget: f64,
    /// Whether requests may be executed more than once.
    pub idempotent: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
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

/// Where the table finds a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum KeySource {
    /// Digest of a key that the configuration in the store, or another account's file, has in clear.
    Digest(KeyDigest),
    /// File with one key in clear on each line.
    File(String),
}

/// Client account of an `account` row.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// Its keys.
    pub keys: Vec<KeySource>,
    /// Priority of its requests instead of that of their route.
    pub priority: Option<u8>,
    /// Quota; `None` without a limit.
    pub quota: Option<Quota>,
}

/// Row of the table with its policy, including the inherited cells.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Class, adapter or account.
    pub kind: RowKind,
    /// Name of the class, adapter or account.
    pub name: Name,
    /// Class of an adapter row; the name of another row itself.
    pub class: Name,
    /// Service whose upstreams execute the requests.
    pub service: Name,
    /// Requests to a plain service that belong to the class; `None` for a service with models.
    pub request_match: Option<RequestMatch>,
    /// Served versions of an adapter, the default version first.
    pub versions: Vec<Name>,
    /// Policy of the row.
    pub policy: Policy,
    /// Whether the requests of a class need no key.
    pub is_public: bool,
    /// Account of an `account` row.
    pub account: Option<AccountSpec>,
    /// Cells as written, in the order of [`COLUMNS`] and, unless all of these are empty,
    /// [`OPTIONAL_COLUMNS`].
    cells: Vec<String>,
}

impl Row {
    /// Returns the cells as written, in the order of [`COLUMNS`] and, unless all of these are empty,
    /// [`OPTIONAL_COLUMNS`].
    pub fn cells(&self) -> &[String] {
        &self.cells
    }
}

/// One version of the operators' table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    rows: Vec<Row>,
}

impl Table {
    /// Parses and validates CSV text.
    ///
    /// # Errors
    /// Returns every invalid cell with its line and column.
    pub fn from_csv(version: u64, text: &str) -> Result<Table, Vec<RowError>> {
        Ok(Table::from_rows(version, csv_text::parse(text)?))
    }

    /// Returns the table as CSV text.
    pub fn to_csv(&self) -> String {
        csv_text::write(self.rows.iter().map(Row::cells))
    }

    fn from_rows(version: u64, rows: Vec<Row>) -> Table {
        Table { version, rows }
    }

    /// Returns all rows in the order of the text.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter()
    }

    /// Returns the rows that describe classes of requests.
    pub fn classes(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(|row| row.kind == RowKind::Class)
    }

    /// Returns the names and properties of the client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&Name, &AccountSpec)> {
        self.rows.iter().filter_map(|row| Some((&row.name, row.account.as_ref()?)))
    }
}
