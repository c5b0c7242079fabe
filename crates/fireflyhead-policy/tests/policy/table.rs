//! The operators' table: invalid cells, routes, concurrent edits and differences.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::accounts::KeyDigest;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::accounts::QuotaUnit;
use fireflyhead_policy::config::RouteKind;
use proptest::prelude::ProptestConfig;
use proptest::proptest;

use fireflyhead_policy::table::ApplyError;
use fireflyhead_policy::table::COLUMNS;
use fireflyhead_policy::table::KeySource;
use fireflyhead_policy::table::OPTIONAL_COLUMNS;
use fireflyhead_policy::table::Table;

/// Valid rows, which follow the header line.
const ROWS: &str = "\
class,chat,,models,,,standard,2,0.3,,,530,30000,0.2,true
class,batch,,models,,,background,1,0.1,,,5000,600000,0.2,true
class,order,,desk,POST /orders,,urgent,1,0.5,,,530,5000,0.2,false
class,desk,,desk,* /,,standard,1,0,,,530,5000,0.2,true
adapter,a,chat,,,v1 v2,,,,,,,,,
adapter,b,chat,,,v1,background,5,,,,,,,
";

/// Parses `rows` after the header line, as version 1 of the table.
fn parse_rows(rows: &str) -> Result<Table, Vec<fireflyhead_policy::table::RowError>> {
    Table::from_csv(1, &format!("{}\n{rows}", COLUMNS.join(",")))
}

fn valid_table() -> Table {
    parse_rows(ROWS).expect("the rows are valid")
}

/// Guards against rows that are accepted with an invalid cell, and against errors that don't name
/// the line and column of the cell.
#[test]
fn invalid_cells_are_reported_with_line_and_column() {
    let cases = [
        ("class,x,,models,,,standart,1,,,,,,,", "rank"),
        ("class,x,,models,,,standard,0,,,,,,,", "weight"),
        ("class,x,,models,,,standard,1,1.5,,,,,,", "floor"),
        ("class,x,,,,,standard,1,,,,,,,", "service"),
        ("class,x,,models,orders,,standard,1,,,,,,,", "match"),
        ("class,x,,models,,,standard,1,,,0,,,,", "in_flight"),
        ("class,x,,models,,,standard,1,,,,0,,,", "target_ms"),
        ("class,x,,models,,,standard,1,,,,,,,maybe", "idempotent"),
        ("class,chat,,models,,,standard,1,,,,,,,", "name"),
        ("class,x,,models,,,standard,1,0.7,,,,,,", "floor"),
        ("adapter,x,missing,,,v1,,,,,,,,,", "class"),
        ("adapter,x,order,,,v1,,,,,,,,,", "class"),
        ("adapter,x,chat,,,,,,,,,,,,", "version"),
        ("adapter,x y,chat,,,v1,,,,,,,,,", "name"),
        ("weights,x,,,,,,,,,,,,,", "kind"),
        ("class,x", ""),
    ];
    for (row, column) in cases {
        let errors = parse_rows(&format!("{ROWS}{row}\n")).expect_err(row);
        let found: Vec<_> = errors.iter().map(|e| (e.line, e.column.as_str())).collect();
        assert_eq!(found, [(8, column)], "{row}: {errors:?}");
    }
}

/// Guards against a report that ends at the first invalid row, so that operators correct a table
/// one error at a time.
#[test]
fn all_errors_are_reported_at_once() {
    let errors = parse_rows("class,x,,,,,urgent,-1,,,,,,,\nadapter,y,x,,,,,,,,,,,,\n")
        .expect_err("invalid rows");
    assert!(errors.len() >= 3, "{errors:?}");
}

/// Guards against a configuration that differs from the table that it is made from: each class must
/// give one route with the policy of the class, and each adapter its newest version.
#[test]
fn classes_become_routes() {
    let config = valid_table().config(Vec::new());
    let order = config.route("desk", "/orders/7").expect("a route");
    assert_eq!((order.name.as_str(), order.priority), ("order", 0));
    assert_eq!(
        (order.kind, order.method.as_ref().map(Name::as_str)),
        (RouteKind::NonIdempotent, Some("POST"))
    );
    let other = config.route("desk", "/orders-old").expect("the catch-all");
    assert_eq!((other.name.as_str(), other.kind), ("desk", RouteKind::Idempotent));
    let chat = config.route("models", "/chat/x").expect("a route");
    assert_eq!(chat.kind, RouteKind::Streaming { resumable: true });
    assert_eq!((chat.policy.weight, chat.policy.floor), (2.0, 0.3));
    assert_eq!(chat.timeout, Duration::from_secs(30));
    assert!(config.route("nowhere", "/").is_none());
    let versions = valid_table().adapter_versions();
    assert_eq!(versions, vec![(Name::from("a"), 2), (Name::from("b"), 1)]);
}

/// Guards against an edit that is lost when two operators change the same row, and against one that
/// is refused although they change different rows.
#[test]
fn concurrent_edits_conflict_only_in_the_same_row() {
    let base = valid_table();
    let edited = |from: &str, to: &str| {
        let text = base.to_csv().replace(from, to);
        Table::from_csv(2, &text).expect("the edit is valid")
    };
    let first =
        base.diff(&edited("adapter,b,chat,,,v1,background,5", "adapter,b,chat,,,v1,background,7"));
    let same =
        base.diff(&edited("adapter,b,chat,,,v1,background,5", "adapter,b,chat,,,v1,background,9"));
    let other = base.diff(&edited("adapter,a,chat,,,v1 v2", "adapter,a,chat,,,v2"));
    let after_first = base.apply(2, &first).expect("no conflict");
    match after_first.apply(3, &same) {
        Err(ApplyError::Conflicts(list)) => {
            assert_eq!(list.len(), 1);
            assert_eq!(list[0].current.as_ref().expect("the row exists")[7], "7");
            assert_eq!(list[0].after.as_ref().expect("the row is not removed")[7], "9");
        }
        result => panic!("expected a conflict, got {result:?}"),
    }
    let both = after_first.apply(3, &other).expect("another row");
    assert_eq!(both.diff(&after_first).len(), 1);
    let again = both.apply(4, &first).expect("an edit that took effect already is no conflict");
    assert!(again.diff(&both).is_empty());
}

/// Guards against an edit that removes a class that adapters still name.
#[test]
fn an_edit_that_makes_the_table_invalid_is_refused() {
    let base = valid_table();
    let removal = fireflyhead_policy::table::RowChange {
        kind: "class".to_owned(),
        name: "chat".to_owned(),
        before: base.rows().next().map(|row| row.cells().to_vec()),
        after: None,
    };
    assert!(matches!(base.apply(2, &[removal]), Err(ApplyError::Invalid(_))));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a parser that panics on malformed text.
    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = Table::from_csv(1, &text);
        let _ = parse_rows(&text);
    }

    /// Guards against a difference between two tables that omits or adds rows.
    #[test]
    fn applying_the_difference_gives_the_new_table(weights in proptest::collection::vec(1_u32..100, 1..20), drop in 0_usize..20) {
        let row = |(i, w): (usize, &u32)| format!("adapter,n{i},chat,,,v1,,{w},,,,,,,\n");
        let class_row = ROWS.lines().next().expect("a class row");
        let old = parse_rows(&format!("{class_row}\n{}", weights.iter().enumerate().map(row).collect::<String>())).expect("valid");
        let kept = weights.iter().enumerate().filter(|(i, _)| i % 7 != drop % 7);
        let new = parse_rows(&format!("{class_row}\n{}", kept.map(|(i, w)| row((i, &(w + 1)))).collect::<String>())).expect("valid");
        let applied = old.apply(2, &old.diff(&new)).expect("no conflict");
        assert!(applied.diff(&new).is_empty());
    }
}

/// Parses a table with the optional columns: class rows, of which `open` is public, and `rows`.
fn parse_account_rows(rows: &str) -> Result<Table, Vec<fireflyhead_policy::table::RowError>> {
    let header = format!("{},{}", COLUMNS.join(","), OPTIONAL_COLUMNS.join(","));
    let classes = "class,chat,,models,,,standard,2,0.3,,,530,30000,0.2,true,,,,,,
class,open,,desk,GET /open,,standard,1,0,,,530,5000,0.2,true,,,,,,true
";
    Table::from_csv(1, &format!("{header}\n{classes}{rows}"))
}

/// Guards against accounts that are misread from the table, and against tables that lose them, or
/// that differ, when they are written and read again.
#[test]
fn account_rows_are_parsed() {
    let digest = KeyDigest::of("k");
    let rows = format!(
        "account,a,,,,,,,,2.5,,,,,,sha256:{} file:keys/a.txt,10,0,tokens,300,
account,b,,,,,,,,,,,,,,,,,,,
",
        digest.to_hex().to_uppercase()
    );
    let table = parse_account_rows(&rows).expect("the rows are valid");
    let accounts: Vec<_> = table.accounts().collect();
    let (name, spec) = accounts[0];
    assert_eq!((name.as_str(), spec.priority), ("a", Some(0)));
    let keys = [KeySource::Digest(digest), KeySource::File("keys/a.txt".to_owned())];
    assert_eq!(spec.keys, keys);
    let unit = QuotaUnit::Tokens { plain_request: 300 };
    assert_eq!(spec.quota, Some(Quota { unit, rate: 2.5, burst: 10.0 }));
    let (name, spec) = accounts[1];
    assert_eq!((name.as_str(), spec.priority, spec.quota), ("b", None, None));
    assert!(spec.keys.is_empty() && accounts.len() == 2);
    let config = table.config(Vec::new());
    let public: Vec<_> = config.routes().filter(|r| r.is_public).map(|r| r.name.as_str()).collect();
    assert_eq!((public, config.route_count()), (vec!["open"], 2));
    let again = Table::from_csv(1, &table.to_csv()).expect("the written table is valid");
    assert_eq!(table.diff(&again), []);
    // The same rows without the optional columns.
    let plain = parse_rows("class,chat,,models,,,standard,2,0.3,,,530,30000,0.2,true\n");
    let changes = plain.expect("valid").diff(&table);
    assert_eq!(changes.iter().map(|c| c.name.as_str()).collect::<Vec<_>>(), ["open", "a", "b"]);
    let applied = valid_table().apply(2, &changes[1..]).expect("the edit is applied");
    assert_eq!(applied.accounts().count(), 2);
}

/// Guards against account rows that are accepted with an invalid cell, and against an error that
/// repeats a key which was written into the table by mistake.
#[test]
fn invalid_account_cells_are_reported_without_keys() {
    let cases = [
        ("account,a,,,,,,,,,,,,,,a-secret-key,,,,,", "keys"),
        ("account,a,,,,,,,,,,,,,,sha256:a-secret-key,,,,,", "keys"),
        ("account,a,,,,,,,,,,,,,,file:,,,,,", "keys"),
        ("account,a,,,,,,,,-1,,,,,,,,,,,", "rate"),
        ("account,a,,,,,,,,inf,,,,,,,,,,,", "rate"),
        ("account,a,,,,,,,,,,,,,,,NaN,,,,", "burst"),
        ("account,a,,,,,,,,,,,,,,,,256,,,", "priority"),
        ("account,a,,,,,,,,,,,,,,,,,token,,", "unit"),
        ("account,a,,,,,,,,,,,,,,,,,tokens,-1,", "plain_tokens"),
        ("account,a,chat,,,,,,,,,,,,,,,,,,", "class"),
        ("account,a,,,,,urgent,,,,,,,,,,,,,,", "rank"),
        ("account,a,,,,,,,,,,,,,,,,,,,true", "public"),
        ("account,,,,,,,,,,,,,,,,,,,,", "name"),
        ("class,x,,models,,,standard,1,,,,,,,,a-secret-key,,,,,", "keys"),
        ("adapter,x,chat,,,v1,,,,,,,,,,,,,,,true", "public"),
        ("account,a", ""),
    ];
    for (row, column) in cases {
        let errors = parse_account_rows(&format!("{row}\n")).expect_err(row);
        let found: Vec<_> = errors.iter().map(|e| (e.line, e.column.as_str())).collect();
        assert_eq!(found, [(4, column)], "{row}: {errors:?}");
        assert!(!format!("{errors:?}").contains("a-secret-key"), "{errors:?}");
    }
}
