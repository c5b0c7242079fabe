//! Differences between two tables and edits that are applied to a newer one.
//!
//! An edit carries, for each row that it changes, the cells that its author
//! read. A row that someone else changed since is a conflict; edits of other
//! rows are applied to the newer table.

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
    /// Kind cell of the row.
    pub kind: String,
    /// Name cell of the row.
    pub name: String,
    /// Cells that the author read; `None` if the row is new.
    pub before: Option<Vec<String>>,
    /// New cells; `None` if the row is removed.
    pub after: Option<Vec<String>>,
}

/// {kind} `{name}` was changed by someone else: you read {before:?}, the table now has {current:?}, you want {after:?}
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize, displaydoc::Display)]
pub struct Conflict {
    /// Kind cell of the row.
    pub kind: String,
    /// Name cell of the row.
    pub name: String,
    /// Cells that the author read.
    pub before: Option<Vec<String>>,
    /// Cells in force.
    pub current: Option<Vec<String>>,
    /// Cells that the author wants.
    pub after: Option<Vec<String>>,
}

/// Reason for which an edit is refused as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyError {
    /// Rows that someone else changed.
    Conflicts(Vec<Conflict>),
    /// The edited table is invalid.
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

type RowKey<'a> = (&'a str, &'a str);

fn key_of(cells: &[String]) -> RowKey<'_> {
    (&cells[0], &cells[1])
}

fn by_key(table: &Table) -> HashMap<RowKey<'_>, &[String]> {
    table.rows().map(|row| (key_of(row.cells()), row.cells())).collect()
}

impl Table {
    /// Changes that lead from this table to `new`.
    pub fn diff(&self, new: &Table) -> Vec<RowChange> {
        let old_rows = by_key(self);
        let new_rows = by_key(new);
        let change =
            |cells: &[String], before: Option<&[String]>, after: Option<&[String]>| RowChange {
                kind: cells[0].clone(),
                name: cells[1].clone(),
                before: before.map(<[String]>::to_vec),
                after: after.map(<[String]>::to_vec),
            };
        let removed =
            self.rows().map(Row::cells).filter(|cells| !new_rows.contains_key(&key_of(cells)));
        let mut changes: Vec<RowChange> =
            removed.map(|cells| change(cells, Some(cells), None)).collect();
        for cells in new.rows().map(Row::cells) {
            match old_rows.get(&key_of(cells)) {
                Some(old) if *old == cells => {}
                old => changes.push(change(cells, old.copied(), Some(cells))),
            }
        }
        changes
    }

    /// This table with `changes` applied, as `version`.
    ///
    /// # Errors
    /// Rows changed since their author read them, or a result that is invalid.
    pub fn apply(&self, version: u64, changes: &[RowChange]) -> Result<Table, ApplyError> {
        let rows = by_key(self);
        let conflicts: Vec<Conflict> =
            changes.iter().filter_map(|change| conflict(&rows, change)).collect();
        if !conflicts.is_empty() {
            return Err(ApplyError::Conflicts(conflicts));
        }
        let wanted: HashMap<RowKey<'_>, &RowChange> =
            changes.iter().map(|change| ((&*change.kind, &*change.name), change)).collect();
        let mut cells: Vec<&[String]> = Vec::new();
        for row in self.rows().map(Row::cells) {
            match wanted.get(&key_of(row)) {
                Some(change) => cells.extend(change.after.as_deref()),
                None => cells.push(row),
            }
        }
        let added =
            changes.iter().filter(|change| !rows.contains_key(&(&*change.kind, &*change.name)));
        cells.extend(added.filter_map(|change| change.after.as_deref()));
        if let Some(malformed) = cells.iter().find(|row| row.len() != csv_text::COLUMNS.len()) {
            let reason =
                format!("expected {} cells, found {}", csv_text::COLUMNS.len(), malformed.len());
            let error = RowError { line: 0, column: String::new(), reason };
            return Err(ApplyError::Invalid(vec![error]));
        }
        let text = csv_text::write(cells.into_iter());
        Table::from_csv(version, &text).map_err(ApplyError::Invalid)
    }
}

/// Conflict of `change` with the rows in force, unless they already are as wanted.
fn conflict(rows: &HashMap<RowKey<'_>, &[String]>, change: &RowChange) -> Option<Conflict> {
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
