//! Differences between two tables, and edits that are merged into a newer table.
//!
//! For each row that it changes, an edit carries the cells that its author read. If someone else
//! changed that row since, the edit conflicts; edits of other rows are merged into the newer table.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::table::Row;
use crate::table::RowError;
use crate::table::Table;
use crate::table::csv_text;

/// Change of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowChange {
    /// Value of the row's `kind` cell.
    pub kind: String,
    /// Value of the row's `name` cell.
    pub name: String,
    /// Cells that the author read; `None` if the row did not exist.
    pub before: Option<Vec<String>>,
    /// New cells; `None` if the row is removed.
    pub after: Option<Vec<String>>,
}

/// {kind} `{name}` was changed by someone else: you read {before:?}, the table now has {current:?}, you want {after:?}
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize, displaydoc::Display)]
pub struct Conflict {
    /// Value of the row's `kind` cell.
    pub kind: String,
    /// Value of the row's `name` cell.
    pub name: String,
    /// Cells that the author read; `None` if the row did not exist.
    pub before: Option<Vec<String>>,
    /// Cells of the current table; `None` if the row does not exist.
    pub current: Option<Vec<String>>,
    /// Cells that the author wants to write; `None` to remove the row.
    pub after: Option<Vec<String>>,
}

/// Reason for the rejection of a whole edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyError {
    /// Someone else changed these rows since the author read them.
    Conflicts(Vec<Conflict>),
    /// The edited table would be invalid.
    Invalid(Vec<RowError>),
}

impl std::fmt::Display for ApplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = match self {
            ApplyError::Conflicts(list) => list.iter().map(ToString::to_string).collect(),
            ApplyError::Invalid(list) => list.iter().map(ToString::to_string).collect(),
        };
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ApplyError {}

/// Kind and name of a row.
type RowKey<'a> = (&'a str, &'a str);

fn row_key(cells: &[String]) -> RowKey<'_> {
    (&cells[0], &cells[1])
}

/// Returns the cells of all rows by key.
fn rows_by_key(table: &Table) -> HashMap<RowKey<'_>, &[String]> {
    table.rows().map(|row| (row_key(row.cells()), row.cells())).collect()
}

impl Table {
    /// Returns the changes that turn this table into `new`.
    pub fn diff(&self, new: &Table) -> Vec<RowChange> {
        let old_rows = rows_by_key(self);
        let new_rows = rows_by_key(new);
        let change =
            |cells: &[String], before: Option<&[String]>, after: Option<&[String]>| RowChange {
                kind: cells[0].clone(),
                name: cells[1].clone(),
                before: before.map(<[String]>::to_vec),
                after: after.map(<[String]>::to_vec),
            };
        let removed =
            self.rows().map(Row::cells).filter(|cells| !new_rows.contains_key(&row_key(cells)));
        let mut changes: Vec<RowChange> =
            removed.map(|cells| change(cells, Some(cells), None)).collect();
        for cells in new.rows().map(Row::cells) {
            match old_rows.get(&row_key(cells)) {
                Some(old) if *old == cells => {}
                old => changes.push(change(cells, old.copied(), Some(cells))),
            }
        }
        changes
    }

    /// Returns this table with `changes` applied, as version `version`.
    ///
    /// # Errors
    /// A row changed since the author of the edit read it, or the resulting table is invalid.
    pub fn apply(&self, version: u64, changes: &[RowChange]) -> Result<Table, ApplyError> {
        let rows = rows_by_key(self);
        let conflicts: Vec<Conflict> =
            changes.iter().filter_map(|change| find_conflict(&rows, change)).collect();
        if !conflicts.is_empty() {
            return Err(ApplyError::Conflicts(conflicts));
        }
        let changes_by_key: HashMap<RowKey<'_>, &RowChange> =
            changes.iter().map(|change| ((&*change.kind, &*change.name), change)).collect();
        let mut cells: Vec<&[String]> = Vec::new();
        for row in self.rows().map(Row::cells) {
            match changes_by_key.get(&row_key(row)) {
                Some(change) => cells.extend(change.after.as_deref()),
                None => cells.push(row),
            }
        }
        let added =
            changes.iter().filter(|change| !rows.contains_key(&(&*change.kind, &*change.name)));
        cells.extend(added.filter_map(|change| change.after.as_deref()));
        let is_malformed = |row: &&&[String]| !csv_text::ROW_LENGTHS.contains(&row.len());
        if let Some(malformed) = cells.iter().find(is_malformed) {
            let reason =
                format!("expected {} cells, found {}", csv_text::COLUMNS.len(), malformed.len());
            let error = RowError { line: 0, column: String::new(), reason };
            return Err(ApplyError::Invalid(vec![error]));
        }
        let text = csv_text::write(cells.into_iter());
        Table::from_csv(version, &text).map_err(ApplyError::Invalid)
    }
}

/// Returns the conflict of `change` with the current rows; `None` if the row is as the author read
/// it or already has the wanted cells.
fn find_conflict(rows: &HashMap<RowKey<'_>, &[String]>, change: &RowChange) -> Option<Conflict> {
    let current = rows.get(&(&*change.kind, &*change.name)).copied();
    match current {
        _ if current == change.before.as_deref() || current == change.after.as_deref() => None,
        _ => Some(Conflict {
            kind: change.kind.clone(),
            name: change.name.clone(),
            before: change.before.clone(),
            current: current.map(<[String]>::to_vec),
            after: change.after.clone(),
        }),
    }
}
