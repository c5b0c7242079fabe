//! Rows of kind `account`.
//!
//! The table holds digests of keys, or the name of a file with the keys in clear, so that it can be
//! shown and compared. Errors never repeat the text of the cell `keys`, which may be a key by
//! mistake.

use std::collections::HashSet;

use crate::accounts::KeyDigest;
use crate::accounts::Quota;
use crate::accounts::QuotaUnit;
use crate::table::AccountSpec;
use crate::table::KeySource;
use crate::table::Policy;
use crate::table::Row;
use crate::table::RowError;
use crate::table::RowKind;
use crate::table::csv_text::Line;
use crate::table::csv_text::NumericCells;
use crate::table::csv_text::parse_name;
use crate::table::csv_text::require_empty;
use crate::types::Name;

/// Prefix of an entry of the cell `keys` that names a file.
const FILE_PREFIX: &str = "file:";
/// Prefix of an entry of the cell `keys` that is a digest.
const DIGEST_PREFIX: &str = "sha256:";
/// Largest rate, burst and number of tokens.
const MAX_NUMBER: f64 = 1e15;
/// Tokens that a request without a token count counts as, if the cell is empty.
const DEFAULT_PLAIN_TOKENS: u32 = 200;

/// Parses a row of kind `account`; `None` if a cell is invalid.
pub(super) fn parse_account(line: &Line, errors: &mut Vec<RowError>) -> Option<Row> {
    const UNUSED: [&str; 13] = [
        "class",
        "service",
        "match",
        "version",
        "rank",
        "weight",
        "floor",
        "in_flight",
        "target_ms",
        "deadline_ms",
        "retry_budget",
        "idempotent",
        "public",
    ];
    let errors_before = errors.len();
    let name = parse_name(line, "name", errors);
    require_empty(line, &UNUSED, errors);
    let keys = parse_keys(line, errors);
    let mut cells = NumericCells { line, errors };
    let rate = cells.number("rate", 0.0, MAX_NUMBER).unwrap_or(0.0);
    let burst = cells.number("burst", 0.0, MAX_NUMBER).unwrap_or(0.0);
    let priority = cells.number("priority", 0, u8::MAX);
    let plain_tokens = cells.number("plain_tokens", 0, u32::MAX);
    let unit = match line.cell("unit") {
        "" | "requests" => QuotaUnit::Requests,
        "tokens" => {
            QuotaUnit::Tokens { plain_request: plain_tokens.unwrap_or(DEFAULT_PLAIN_TOKENS) }
        }
        unit => {
            errors.push(line.error("unit", format!("`{unit}` is not `requests` or `tokens`")));
            QuotaUnit::Requests
        }
    };
    let quota = Quota::new(unit, rate, burst).ok().flatten();
    (errors.len() == errors_before).then(|| Row {
        kind: RowKind::Account,
        class: name.clone(),
        name,
        service: Name::default(),
        request_match: None,
        versions: Vec::new(),
        policy: Policy::default(),
        is_public: false,
        account: Some(AccountSpec { keys, priority, quota }),
        cells: line.cells().to_vec(),
    })
}

/// Parses the entries of the cell `keys`.
fn parse_keys(line: &Line, errors: &mut Vec<RowError>) -> Vec<KeySource> {
    let mut seen = HashSet::new();
    let mut keys = Vec::new();
    for (n, entry) in line.cell("keys").split_whitespace().enumerate() {
        let digest = entry.strip_prefix(DIGEST_PREFIX).and_then(KeyDigest::from_hex);
        let source = match (digest, entry.strip_prefix(FILE_PREFIX)) {
            (Some(digest), _) => KeySource::Digest(digest),
            (None, Some(path)) if !path.is_empty() => KeySource::File(path.to_owned()),
            (None, _) => {
                let reason = format!(
                    "entry {} is neither `{DIGEST_PREFIX}` with 64 digits nor `{FILE_PREFIX}` with a path",
                    n + 1
                );
                errors.push(line.error("keys", reason));
                continue;
            }
        };
        if seen.insert(source.clone()) {
            keys.push(source);
        }
    }
    keys
}
