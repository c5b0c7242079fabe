//! CSV text of the table: parsing with all errors at once, and writing.

use std::collections::HashMap;
use std::collections::HashSet;
use std::str::FromStr;
use std::time::Duration;

use crate::table::Policy;
use crate::table::RequestMatch;
use crate::table::Row;
use crate::table::RowKind;
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

/// Longest name of a class, adapter, service or version, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Longest deadline or target: one day, in milliseconds.
const MAX_SPAN_MS: u64 = 24 * 60 * 60 * 1_000;

/// Invalid cell or line of the text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowError {
    /// Line of the text, the header being line 1.
    pub line: u64,
    /// Name of the column; empty if the whole line is meant.
    pub column: String,
    /// What is wrong.
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

/// Cells of one line.
struct Line {
    number: u64,
    cells: Vec<String>,
}

impl Line {
    fn cell(&self, column: &str) -> &str {
        let at = COLUMNS.iter().position(|name| *name == column).expect("a known column");
        &self.cells[at]
    }

    fn error(&self, column: &str, reason: impl Into<String>) -> RowError {
        RowError { line: self.number, column: column.to_owned(), reason: reason.into() }
    }
}

/// Parses the rows of `text`.
pub(super) fn parse(text: &str) -> Result<Vec<Row>, Vec<RowError>> {
    let mut errors = Vec::new();
    let lines = read_lines(text, &mut errors);
    let mut seen = HashSet::new();
    let mut classes: HashMap<String, Row> = HashMap::new();
    let mut rows: Vec<Option<Row>> = Vec::with_capacity(lines.len());
    for line in &lines {
        if !seen.insert((line.cell("kind"), line.cell("name"))) {
            errors.push(line.error("name", format!("`{}` stands twice", line.cell("name"))));
        }
        let row = match line.cell("kind") {
            "class" => parse_class(line, &mut errors),
            "adapter" => None,
            kind => {
                errors
                    .push(line.error("kind", format!("`{kind}` is neither `class` nor `adapter`")));
                None
            }
        };
        if let Some(row) = &row {
            classes.insert(row.name.to_string(), row.clone());
        }
        rows.push(row);
    }
    check_floors(&lines, &classes, &mut errors);
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

/// Writes `rows` below a header line.
pub(super) fn write<'a>(rows: impl Iterator<Item = &'a [String]>) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(COLUMNS).expect("a write to memory succeeds");
    for cells in rows {
        writer.write_record(cells).expect("rows have as many cells as the header");
    }
    let bytes = writer.into_inner().expect("a flush to memory succeeds");
    String::from_utf8(bytes).expect("cells are UTF-8")
}

fn read_lines(text: &str, errors: &mut Vec<RowError>) -> Vec<Line> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut lines = Vec::new();
    let whole = |line, reason| RowError { line, column: String::new(), reason };
    for (i, record) in reader.records().enumerate() {
        let record = match record {
            Ok(record) => record,
            Err(e) => {
                errors.push(whole(e.position().map_or(0, csv::Position::line), e.to_string()));
                continue;
            }
        };
        let number = record.position().map_or(0, csv::Position::line);
        match record.len() {
            _ if i == 0 && !record.iter().eq(COLUMNS) => {
                errors.push(whole(number, format!("the header must be `{}`", COLUMNS.join(","))));
            }
            _ if i == 0 => {}
            n if n == COLUMNS.len() => {
                lines.push(Line { number, cells: record.iter().map(str::to_owned).collect() });
            }
            n => errors.push(whole(number, format!("expected {} cells, found {n}", COLUMNS.len()))),
        }
    }
    if lines.is_empty() && errors.is_empty() {
        errors.push(whole(1, "the table has no rows".to_owned()));
    }
    lines
}

fn parse_class(line: &Line, errors: &mut Vec<RowError>) -> Option<Row> {
    let before = errors.len();
    let name = parse_name(line, "name", errors);
    let service = parse_name(line, "service", errors);
    let request_match = parse_request_match(line, errors);
    must_be_empty(line, &["class", "version"], errors);
    let policy = parse_policy(line, &Policy::default(), errors);
    (errors.len() == before).then(|| Row {
        kind: RowKind::Class,
        class: name.clone(),
        name,
        service,
        request_match,
        versions: Vec::new(),
        policy,
        cells: line.cells.clone(),
    })
}

fn parse_adapter(
    line: &Line,
    classes: &HashMap<String, Row>,
    errors: &mut Vec<RowError>,
) -> Option<Row> {
    let before = errors.len();
    let name = parse_name(line, "name", errors);
    must_be_empty(line, &["service", "match", "floor"], errors);
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
            errors.push(line.error("class", "the class belongs to a plain service"));
            return None;
        }
        None => {
            let reason = format!("there is no valid class `{}`", line.cell("class"));
            errors.push(line.error("class", reason));
            return None;
        }
    };
    let policy = parse_policy(line, &class.policy, errors);
    (errors.len() == before).then(|| Row {
        kind: RowKind::Adapter,
        name,
        class: class.name.clone(),
        service: class.service.clone(),
        request_match: None,
        versions,
        policy,
        cells: line.cells.clone(),
    })
}

fn must_be_empty(line: &Line, columns: &[&str], errors: &mut Vec<RowError>) {
    for column in columns.iter().filter(|column| !line.cell(column).is_empty()) {
        let reason = format!("must be empty in a row of kind `{}`", line.cell("kind"));
        errors.push(line.error(column, reason));
    }
}

fn parse_name(line: &Line, column: &str, errors: &mut Vec<RowError>) -> Name {
    let text = line.cell(column);
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    match text {
        "" => errors.push(line.error(column, "must not be empty")),
        _ if text.len() > MAX_NAME_BYTES => {
            errors.push(line.error(column, format!("is longer than {MAX_NAME_BYTES} bytes")));
        }
        _ if !text.chars().all(valid) => {
            let reason = "may hold only letters, digits, `-`, `_`, `.` and `/`";
            errors.push(line.error(column, reason));
        }
        _ => {}
    }
    Name::from(text)
}

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

fn parse_policy(line: &Line, base: &Policy, errors: &mut Vec<RowError>) -> Policy {
    let rank = match line.cell("rank") {
        "" => base.rank,
        text => Rank::from_name(text).unwrap_or_else(|| {
            let reason = format!("`{text}` is not `urgent`, `standard` or `background`");
            errors.push(line.error("rank", reason));
            base.rank
        }),
    };
    let idempotent = match line.cell("idempotent") {
        "" => base.idempotent,
        "true" | "TRUE" | "yes" => true,
        "false" | "FALSE" | "no" => false,
        text => {
            errors.push(line.error("idempotent", format!("`{text}` is not `true` or `false`")));
            base.idempotent
        }
    };
    let mut cells = Cells { line, errors };
    Policy {
        rank,
        idempotent,
        weight: cells.number("weight", 0.001, 1e6).unwrap_or(base.weight),
        floor: cells.number("floor", 0.0, 1.0).unwrap_or(base.floor),
        rate: cells.number("rate", 0.001, 1e9).or(base.rate),
        in_flight: cells.number("in_flight", 1, u32::MAX).or(base.in_flight),
        target: cells.span("target_ms").unwrap_or(base.target),
        deadline: cells.span("deadline_ms").unwrap_or(base.deadline),
        retry_budget: cells.number("retry_budget", 0.0, 100.0).unwrap_or(base.retry_budget),
    }
}

/// Cells of one line whose numbers are parsed and checked.
struct Cells<'a> {
    line: &'a Line,
    errors: &'a mut Vec<RowError>,
}

impl Cells<'_> {
    /// Number in `column`, between `min` and `max`; `None` if empty or invalid.
    fn number<T>(&mut self, column: &str, min: T, max: T) -> Option<T>
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

    fn span(&mut self, column: &str) -> Option<Duration> {
        self.number(column, 1, MAX_SPAN_MS).map(Duration::from_millis)
    }
}

/// The floors of one service must not promise more than the whole.
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
