//! Parsing of the table's CSV text, which reports all errors at once, and writing.

use std::collections::HashMap;
use std::collections::HashSet;
use std::str::FromStr;
use std::time::Duration;

use crate::table::Policy;
use crate::table::RequestMatch;
use crate::table::Row;
use crate::table::RowKind;
use crate::table::account_rows::parse_account;
use crate::types::Name;
use crate::types::Rank;

/// Columns of the table, in order.
pub const COLUMNS: [&str; 15] = [
    "kind",
    "name",
    "class",
    "service",
    "match",
    "version",
    "rank",
    "weight",
    "floor",
    "rate",
    "in_flight",
    "target_ms",
    "deadline_ms",
    "retry_budget",
    "idempotent",
];

/// Columns that a table may have beyond those, all or none of them.
pub const OPTIONAL_COLUMNS: [&str; 6] =
    ["keys", "burst", "priority", "unit", "plain_tokens", "public"];

/// Numbers of cells of a row without and with the optional ones.
pub(super) const ROW_LENGTHS: [usize; 2] = [COLUMNS.len(), COLUMNS.len() + OPTIONAL_COLUMNS.len()];

/// Maximum length of the name of a class, adapter, service or version, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum deadline or target: one day, in milliseconds.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Error in a cell or a line of the text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowError {
    /// Line number; the header is line 1.
    pub line: u64,
    /// Name of the column; empty if the error concerns the whole line.
    pub column: String,
    /// Description of the error.
    pub reason: String,
}

impl std::fmt::Display for RowError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.column.as_str() {
            "" => write!(f, "line {}: {}", self.line, self.reason),
            column => write!(f, "line {}, column `{column}`: {}", self.line, self.reason),
        }
    }
}

impl std::error::Error for RowError {}

/// Line of the text with its cells in the order of [`COLUMNS`] and, unless all of these are empty,
/// [`OPTIONAL_COLUMNS`].
pub(super) struct Line {
    number: u64,
    cells: Vec<String>,
}

impl Line {
    /// Returns the cell in `column`, which must be one of [`COLUMNS`] or [`OPTIONAL_COLUMNS`].
    pub(super) fn cell(&self, column: &str) -> &str {
        let mut columns = COLUMNS.iter().chain(&OPTIONAL_COLUMNS);
        let at = columns.position(|name| *name == column).expect("a known column");
        self.cells.get(at).map_or("", String::as_str)
    }

    /// Returns all cells.
    pub(super) fn cells(&self) -> &[String] {
        &self.cells
    }

    /// Creates an error for the cell in `column`.
    pub(super) fn error(&self, column: &str, reason: impl Into<String>) -> RowError {
        RowError { line: self.number, column: column.to_owned(), reason: reason.into() }
    }
}

/// Parses and validates the rows of `text`.
pub(super) fn parse(text: &str) -> Result<Vec<Row>, Vec<RowError>> {
    let mut errors = Vec::new();
    let lines = read_lines(text, &mut errors);
    let mut seen = HashSet::new();
    let mut classes: HashMap<String, Row> = HashMap::new();
    let mut rows: Vec<Option<Row>> = Vec::with_capacity(lines.len());
    for line in &lines {
        if !seen.insert((line.cell("kind"), line.cell("name"))) {
            errors.push(line.error("name", format!("duplicate name `{}`", line.cell("name"))));
        }
        let row = match line.cell("kind") {
            "class" => parse_class(line, &mut errors),
            "account" => parse_account(line, &mut errors),
            "adapter" => None,
            kind => {
                let reason = format!("`{kind}` is not `class`, `adapter` or `account`");
                errors.push(line.error("kind", reason));
                None
            }
        };
        if let Some(row) = row.as_ref().filter(|row| row.kind == RowKind::Class) {
            classes.insert(row.name.to_string(), row.clone());
        }
        rows.push(row);
    }
    check_floors(&lines, &classes, &mut errors);
    // Adapters inherit from classes, which may follow them in the text.
    for (line, row) in lines.iter().zip(&mut rows) {
        if line.cell("kind") == "adapter" {
            *row = parse_adapter(line, &classes, &mut errors);
        }
    }
    errors.sort_by_key(|error| error.line);
    match errors.is_empty() {
        true => Ok(rows.into_iter().flatten().collect()),
        false => Err(errors),
    }
}

/// Returns the CSV text of `rows` with a header line, which has the optional columns if a row does.
pub(super) fn write<'a>(rows: impl Iterator<Item = &'a [String]>) -> String {
    let rows: Vec<&[String]> = rows.collect();
    let columns: Vec<&str> = COLUMNS.into_iter().chain(OPTIONAL_COLUMNS).collect();
    let len = rows.iter().map(|row| row.len()).max().unwrap_or(0).max(COLUMNS.len());
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(&columns[..len]).expect("a write to memory succeeds");
    for row in rows {
        let cells = row.iter().map(String::as_str).chain(std::iter::repeat(""));
        writer.write_record(cells.take(len)).expect("rows have as many cells as the header");
    }
    let bytes = writer.into_inner().expect("a flush to memory succeeds");
    String::from_utf8(bytes).expect("cells are UTF-8")
}

/// Splits `text` into lines of cells and checks the header and the number of cells.
fn read_lines(text: &str, errors: &mut Vec<RowError>) -> Vec<Line> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut lines = Vec::new();
    let mut columns = COLUMNS.len();
    let line_error = |line, reason| RowError { line, column: String::new(), reason };
    for (i, record) in reader.records().enumerate() {
        let record = match record {
            Ok(record) => record,
            Err(e) => {
                errors.push(line_error(e.position().map_or(0, csv::Position::line), e.to_string()));
                continue;
            }
        };
        let number = record.position().map_or(0, csv::Position::line);
        match record.len() {
            n if i == 0 && record.iter().eq(COLUMNS.into_iter().chain(OPTIONAL_COLUMNS)) => {
                columns = n;
            }
            _ if i == 0 && !record.iter().eq(COLUMNS) => {
                let reason = format!(
                    "the header must be `{}`, which `,{}` may follow",
                    COLUMNS.join(","),
                    OPTIONAL_COLUMNS.join(",")
                );
                errors.push(line_error(number, reason));
            }
            _ if i == 0 => {}
            n if n == columns => {
                let mut cells: Vec<String> = record.iter().map(str::to_owned).collect();
                if cells[COLUMNS.len()..].iter().all(String::is_empty) {
                    cells.truncate(COLUMNS.len());
                }
                lines.push(Line { number, cells });
            }
            n => errors.push(line_error(number, format!("expected {columns} cells, found {n}"))),
        }
    }
    if lines.is_empty() && errors.is_empty() {
        errors.push(line_error(1, "the table has no rows".to_owned()));
    }
    lines
}

/// Parses a row of kind `class`; `None` if a cell is invalid.
fn parse_class(line: &Line, errors: &mut Vec<RowError>) -> Option<Row> {
    let errors_before = errors.len();
    let name = parse_name(line, "name", errors);
    let service = parse_name(line, "service", errors);
    let request_match = parse_request_match(line, errors);
    require_empty(line, &["class", "version"], errors);
    require_empty(line, &OPTIONAL_COLUMNS[..OPTIONAL_COLUMNS.len() - 1], errors);
    let is_public = parse_flag(line, "public", false, errors);
    let policy = parse_policy(line, &Policy::default(), errors);
    (errors.len() == errors_before).then(|| Row {
        kind: RowKind::Class,
        class: name.clone(),
        name,
        service,
        request_match,
        versions: Vec::new(),
        policy,
        is_public,
        account: None,
        cells: line.cells.clone(),
    })
}

/// Parses a row of kind `adapter`; `None` if a cell or its class is invalid.
fn parse_adapter(
    line: &Line,
    classes: &HashMap<String, Row>,
    errors: &mut Vec<RowError>,
) -> Option<Row> {
    let errors_before = errors.len();
    let name = parse_name(line, "name", errors);
    require_empty(line, &["service", "match", "floor"], errors);
    require_empty(line, &OPTIONAL_COLUMNS, errors);
    let versions: Vec<Name> = line.cell("version").split_whitespace().map(Name::from).collect();
    if versions.is_empty() {
        errors.push(line.error("version", "an adapter needs at least one version"));
    }
    if versions.iter().any(|version| version.as_str().contains('@')) {
        errors.push(line.error("version", "a version must not contain `@`"));
    }
    let class = match classes.get(line.cell("class")) {
        Some(class) if class.request_match.is_none() => class,
        Some(_) => {
            errors.push(
                line.error("class", "the class belongs to a plain service, which has no adapters"),
            );
            return None;
        }
        None => {
            let reason = format!("there is no valid class `{}`", line.cell("class"));
            errors.push(line.error("class", reason));
            return None;
        }
    };
    let policy = parse_policy(line, &class.policy, errors);
    (errors.len() == errors_before).then(|| Row {
        kind: RowKind::Adapter,
        name,
        class: class.name.clone(),
        service: class.service.clone(),
        request_match: None,
        versions,
        policy,
        is_public: false,
        account: None,
        cells: line.cells.clone(),
    })
}

/// Reports the cells in `columns` that are not empty.
pub(super) fn require_empty(line: &Line, columns: &[&str], errors: &mut Vec<RowError>) {
    for column in columns.iter().filter(|column| !line.cell(column).is_empty()) {
        let reason = format!("must be empty in a row of kind `{}`", line.cell("kind"));
        errors.push(line.error(column, reason));
    }
}

/// Parses a name and reports characters that names must not contain.
pub(super) fn parse_name(line: &Line, column: &str, errors: &mut Vec<RowError>) -> Name {
    let text = line.cell(column);
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    match text {
        "" => errors.push(line.error(column, "must not be empty")),
        _ if text.len() > MAX_NAME_BYTES => {
            errors.push(line.error(column, format!("is longer than {MAX_NAME_BYTES} bytes")));
        }
        _ if !text.chars().all(is_name_char) => {
            let reason = "may hold only letters, digits, `-`, `_`, `.` and `/`";
            errors.push(line.error(column, reason));
        }
        _ => {}
    }
    Name::from(text)
}

/// Parses the method and path of the `match` column; `None` if the cell is empty or invalid.
fn parse_request_match(line: &Line, errors: &mut Vec<RowError>) -> Option<RequestMatch> {
    let text = line.cell("match");
    match text.split_once(' ') {
        _ if text.is_empty() => None,
        Some((method, prefix)) if !method.is_empty() && prefix.starts_with('/') => {
            Some(RequestMatch { method: method.to_ascii_uppercase(), prefix: prefix.to_owned() })
        }
        _ => {
            errors.push(line.error("match", "expected a method and a path such as `POST /orders`"));
            None
        }
    }
}

/// Parses the policy cells; empty and invalid cells take their value from `base`.
fn parse_policy(line: &Line, base: &Policy, errors: &mut Vec<RowError>) -> Policy {
    let rank = match line.cell("rank") {
        "" => base.rank,
        text => Rank::from_name(text).unwrap_or_else(|| {
            let reason = format!("`{text}` is not `urgent`, `standard` or `background`");
            errors.push(line.error("rank", reason));
            base.rank
        }),
    };
    let idempotent = parse_flag(line, "idempotent", base.idempotent, errors);
    let mut cells = NumericCells { line, errors };
    Policy {
        rank,
        idempotent,
        weight: cells.number("weight", 0.001, 1e6).unwrap_or(base.weight),
        floor: cells.number("floor", 0.0, 1.0).unwrap_or(base.floor),
        rate: cells.number("rate", 0.001, 1e9).or(base.rate),
        in_flight: cells.number("in_flight", 1, u32::MAX).or(base.in_flight),
        target: cells.duration("target_ms").unwrap_or(base.target),
        deadline: cells.duration("deadline_ms").unwrap_or(base.deadline),
        retry_budget: cells.number("retry_budget", 0.0, 100.0).unwrap_or(base.retry_budget),
    }
}

/// Parses the truth value in `column`; an empty or invalid cell has the value `default`.
fn parse_flag(line: &Line, column: &str, default: bool, errors: &mut Vec<RowError>) -> bool {
    match line.cell(column) {
        "" => default,
        "true" | "TRUE" | "yes" => true,
        "false" | "FALSE" | "no" => false,
        text => {
            errors.push(line.error(column, format!("`{text}` is not `true` or `false`")));
            default
        }
    }
}

/// Parser for the numeric cells of one line.
pub(super) struct NumericCells<'a> {
    pub(super) line: &'a Line,
    pub(super) errors: &'a mut Vec<RowError>,
}

impl NumericCells<'_> {
    /// Parses the number in `column`, which must lie between `min` and `max`; `None` if the cell is
    /// empty or invalid.
    pub(super) fn number<T>(&mut self, column: &str, min: T, max: T) -> Option<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        let text = self.line.cell(column);
        match text.parse::<T>() {
            _ if text.is_empty() => None,
            Ok(number) if number >= min && number <= max => Some(number),
            _ => {
                let reason = format!("`{text}` is not a number from {min} to {max}");
                self.errors.push(self.line.error(column, reason));
                None
            }
        }
    }

    /// Parses the duration in `column`, in milliseconds; `None` if the cell is empty or invalid.
    fn duration(&mut self, column: &str) -> Option<Duration> {
        self.number(column, 1, MAX_DURATION_MS).map(Duration::from_millis)
    }
}

/// Checks that the floors of the classes of one service add up to at most 1.
fn check_floors(lines: &[Line], classes: &HashMap<String, Row>, errors: &mut Vec<RowError>) {
    let mut sums: HashMap<&str, f64> = HashMap::new();
    for line in lines.iter().filter(|line| line.cell("kind") == "class") {
        let Some(row) = classes.get(line.cell("name")) else { continue };
        let sum = sums.entry(row.service.as_str()).or_default();
        *sum += row.policy.floor;
        if *sum > 1.0 + 1e-9 {
            let reason =
                format!("the floors of service `{}` add up to {sum:.3}, above 1", row.service);
            errors.push(line.error("floor", reason));
        }
    }
}
