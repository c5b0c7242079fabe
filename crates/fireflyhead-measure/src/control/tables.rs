//! Cost of the operators' table: text, memory, parsing and edits.

use std::fmt::Write;

use fireflyhead_core::table::COLUMNS;
use fireflyhead_core::table::Table;

use crate::control::report;
use crate::control::report::Figure;
use crate::control::report::Report;

/// Numbers of adapter rows: today's sizes up to the size to design for.
const ROWS: [usize; 4] = [1_000, 3_000, 9_000, 23_000];
/// Lookups over which the mean is taken.
const LOOKUPS: usize = 100_000;
/// Edits over which the mean is taken.
const EDITS: usize = 10;

/// Text of a table with `rows` adapters in 6 classes.
pub(crate) fn text(rows: usize) -> String {
    let mut text = COLUMNS.join(",") + "\n";
    for class in 0..6 {
        writeln!(
            text,
            "class,class-{class},,models,,,standard,{},0.1,,,530,30000,0.2,true",
            class + 1
        )
        .expect("a write to memory succeeds");
    }
    for row in 0..rows {
        writeln!(text, "adapter,adapter-{row:06},class-{},,,v1 v2,,,,,,,,,", row % 6)
            .expect("a write to memory succeeds");
    }
    text
}

/// Measures tables of growing size.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn measure(report: &mut Report) {
    for rows in ROWS {
        let text = text(rows);
        let mut add = |quantity, value, unit| {
            report.add(Figure {
                section: "table",
                variable: "rows",
                size: rows,
                quantity,
                value,
                unit,
            });
        };
        let (table, bytes, parse) =
            report::build(|| Table::from_csv(1, &text).expect("the generated table is valid"));
        add("text", text.len() as f64, "B");
        add("memory", bytes as f64, "B");
        add("parse", parse.as_secs_f64() * 1e3, "ms");
        let edited = text.replacen("adapter-000000,class-0", "adapter-000000,class-1", 1);
        let edited = Table::from_csv(2, &edited).expect("the edited table is valid");
        let changes = table.diff(&edited);
        let encoded = serde_json::to_vec(&changes).expect("changes are serialisable");
        add("edit of one row, encoded", encoded.len() as f64, "B");
        let apply = report::mean_micros(EDITS, |_| {
            table.apply(2, &changes).expect("the edit applies");
        });
        add("apply an edit", apply / 1e3, "ms");
        let lookup = report::mean_micros(LOOKUPS, |i| {
            let model = format!("adapter-{:06}@v2", i * 7 % rows);
            table.find_adapter(&model, None).expect("the adapter exists");
        });
        add("look up a request's policy", lookup, "us");
    }
}
