//! Output of commands: aligned text for people, JSON for scripts.

use std::io;
use std::io::Write;

use serde::Serialize;

/// Format of a command's output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Aligned text.
    #[default]
    Human,
    /// One JSON document.
    Json,
}

impl Format {
    /// Format with the name `name`: `human` or `json`.
    pub fn from_name(name: &str) -> Option<Format> {
        match name {
            "human" => Some(Format::Human),
            "json" => Some(Format::Json),
            _ => None,
        }
    }
}

/// Writes `value` as JSON and a line end.
///
/// # Errors
/// A failed write.
pub fn write_json(out: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}

/// Writes `rows` below `header` in aligned columns.
///
/// # Errors
/// A failed write.
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
