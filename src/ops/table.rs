//! Operations on the operators' table.

use std::io;
use std::io::Write;
use std::time::Duration;

use fireflyhead_core::table::COLUMNS;
use fireflyhead_core::table::RowChange;
use fireflyhead_core::table::RowError;
use fireflyhead_core::table::Table;
use fireflyhead_node::operators::api::EditAccepted;
use fireflyhead_node::operators::api::EditBody;
use fireflyhead_node::operators::api::NodeEntry;
use tokio::time::Instant;

use crate::ops::client::ClientError;
use crate::ops::client::OperatorClient;

/// Time between two looks at the versions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Number of nodes with a version in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct InForce {
    /// Live nodes with the version or a higher one.
    pub nodes: usize,
    /// All live nodes.
    pub of: usize,
}

impl InForce {
    /// Whether every live node has the version.
    pub fn everywhere(self) -> bool {
        self.nodes == self.of
    }
}

/// Parses `text` as a table.
///
/// # Errors
/// Every invalid cell.
pub fn check(text: &str) -> Result<Table, Vec<RowError>> {
    Table::from_csv(0, text)
}

/// Edit that leads from the table `base` to `new`.
pub fn plan(base: &Table, new: &Table, id: String, summary: String) -> EditBody {
    EditBody { id, summary, changes: base.diff(new) }
}

/// Reason for which cells of a row can't be changed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum CellChangeError {
    /// the table has no {kind} `{name}`
    NoRow {
        /// Kind of the row.
        kind: String,
        /// Name of the row.
        name: String,
    },
    /// `{0}` is not of the form column=value
    NoAssignment(String),
    /// the table has no column `{0}`
    NoColumn(String),
    /// the column `{0}` identifies the row and can't be changed
    KeyColumn(String),
}

impl std::error::Error for CellChangeError {}

/// Change of the row `name` by `assignments` of the form `column=value`.
///
/// # Errors
/// A row or column that the table does not have, or a malformed assignment.
pub fn change_cells(
    base: &Table,
    kind: &str,
    name: &str,
    assignments: &[&str],
) -> Result<RowChange, CellChangeError> {
    let row = base.rows().find(|row| row.kind.as_str() == kind && row.name.as_str() == name);
    let Some(row) = row else {
        return Err(CellChangeError::NoRow { kind: kind.to_owned(), name: name.to_owned() });
    };
    let mut after = row.cells().to_vec();
    for assignment in assignments {
        let (column, value) = assignment
            .split_once('=')
            .ok_or_else(|| CellChangeError::NoAssignment((*assignment).to_owned()))?;
        match COLUMNS.iter().position(|found| *found == column) {
            None => return Err(CellChangeError::NoColumn(column.to_owned())),
            Some(0 | 1) => return Err(CellChangeError::KeyColumn(column.to_owned())),
            Some(at) => after[at] = value.to_owned(),
        }
    }
    let before = Some(row.cells().to_vec());
    Ok(RowChange { kind: kind.to_owned(), name: name.to_owned(), before, after: Some(after) })
}

/// Applies an edit.
///
/// # Errors
/// No answer, conflicts, or an invalid result.
pub async fn apply(client: &OperatorClient, edit: &EditBody) -> Result<EditAccepted, ClientError> {
    client.edit(edit).await
}

/// Counts the live nodes on which `version` is in force.
///
/// # Errors
/// No answer, or an error status.
pub async fn in_force(client: &OperatorClient, version: u64) -> Result<InForce, ClientError> {
    Ok(count_in_force(&client.nodes().await?, version))
}

/// Waits until `version` is in force on all live nodes, at most for `limit`.
///
/// # Errors
/// No answer, or an error status.
pub async fn wait_in_force(
    client: &OperatorClient,
    version: u64,
    limit: Duration,
) -> Result<InForce, ClientError> {
    let end = Instant::now() + limit;
    loop {
        let count = in_force(client, version).await?;
        if count.everywhere() || Instant::now() >= end {
            return Ok(count);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn count_in_force(nodes: &[NodeEntry], version: u64) -> InForce {
    let live = nodes.iter().filter(|node| node.state != "dead");
    let has = |node: &&NodeEntry| node.table_version.is_some_and(|found| found >= version);
    InForce { nodes: live.clone().filter(has).count(), of: live.count() }
}

/// Writes one line for each changed cell.
///
/// # Errors
/// A failed write.
pub fn write_changes(out: &mut impl Write, changes: &[RowChange]) -> io::Result<()> {
    for change in changes {
        let row = format!("{} `{}`", change.kind, change.name);
        match (&change.before, &change.after) {
            (None, Some(after)) => writeln!(out, "+ {row}: {}", after.join(","))?,
            (Some(before), None) => writeln!(out, "- {row}: {}", before.join(","))?,
            (Some(before), Some(after)) => write_cells(out, &row, before, after)?,
            (None, None) => {}
        }
    }
    Ok(())
}

fn write_cells(
    out: &mut impl Write,
    row: &str,
    before: &[String],
    after: &[String],
) -> io::Result<()> {
    let cells = COLUMNS.iter().zip(before.iter().zip(after));
    for (column, (old, new)) in cells.filter(|(_, (old, new))| old != new) {
        writeln!(out, "~ {row}: {column} `{old}` -> `{new}`")?;
    }
    Ok(())
}
