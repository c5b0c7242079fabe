//! Writes the output of commands: aligned columns for people, JSON for scripts.

use std::io;
use std::io::Write;

use serde::Serialize;

/// Format of a command's output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Columns aligned with spaces.
    #[default]
    Human,
    /// One JSON document.
    Json,
}

impl Format {
    /// Returns the format called `name`, `human` or `json`; `None` for any other name.
    pub fn from_name(name: &str) -> Option<Format> {
        match name {
            "human" => Some(Format::Human),
            "json" => Some(Format::Json),
            _ => None,
        }
    }
}

/// Writes `value` as indented JSON, followed by a newline.
///
/// # Errors
/// Returns an error if `out` can't be written or `value` can't be serialized.
pub fn write_json(out: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}

/// Writes `header` and `rows` as aligned columns, one line each.
///
/// # Errors
/// Returns an error if `out` can't be written.
pub fn write_columns(
    out: &mut impl Write,
    header: &[&str],
    rows: &[Vec<String>],
) -> io::Result<()> {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells = widths.iter().zip(row).map(|(width, cell)| format!("{cell:<width$}"));
        writeln!(out, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
    }
    Ok(())
}
