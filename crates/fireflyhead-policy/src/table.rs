//! The operators' table: rows, differences, edits, and the routes that follow from it.
//!
//! The table is CSV text. A `class` row sets the policy of a class of work; an
//! `adapter` row names an adapter, its served versions and its class, whose
//! policy fills the row's empty cells. A table is immutable: an edit gives a new
//! one with a higher version.

mod csv_text;
mod edit;
mod routes;

use std::time::Duration;

use crate::types::Name;
use crate::types::Rank;

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
pub struct RequestMatch {
    /// HTTP method in upper case; `*` for all.
    pub method: String,
    /// Prefix of the path, beginning with `/`.
    pub prefix: String,
}

/// Policy of a class of work or of an adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
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
    pub request_match: Option<RequestMatch>,
    /// Served versions of an adapter, the default first.
    pub versions: Vec<Name>,
    /// Policy.
    pub policy: Policy,
    /// Cells as written, in the order of [`COLUMNS`].
    cells: Vec<String>,
}

impl Row {
    /// Cells as written, in the order of [`COLUMNS`].
    pub fn cells(&self) -> &[String] {
        &self.cells
    }
}

/// One version of the operators' table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    rows: Vec<Row>,
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
        Table { version, rows }
    }

    /// All rows in the order of the text.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter()
    }

    /// Rows that describe classes of work.
    pub fn classes(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(|row| row.kind == RowKind::Class)
    }
}
