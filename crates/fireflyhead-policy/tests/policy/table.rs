//! Tests of the table: invalid cells, lookup and concurrent edits.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::config::RouteKind;
use proptest::prelude::ProptestConfig;
use proptest::proptest;

use fireflyhead_policy::table::ApplyError;
use fireflyhead_policy::table::COLUMNS;
use fireflyhead_policy::table::Table;

const ROWS: &str = "\
class,chat,,models,,,standard,2,0.3,,,530,30000,0.2,true
class,batch,,models,,,background,1,0.1,,,5000,600000,0.2,true
class,order,,desk,POST /orders,,urgent,1,0.5,,,530,5000,0.2,false
class,desk,,desk,* /,,standard,1,0,,,530,5000,0.2,true
adapter,a,chat,,,v1 v2,,,,,,,,,
adapter,b,chat,,,v1,background,5,,,,,,,
";

fn table(rows: &str) -> Result<Table, Vec<fireflyhead_policy::table::RowError>> {
    Table::from_csv(1, &format!("{}\n{rows}", COLUMNS.join(",")))
}

fn good() -> Table {
    table(ROWS).expect("the rows are valid")
}

/// Guards against rows that are accepted with a bad cell, or reported without naming the cell.
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
        let errors = table(&format!("{ROWS}{row}\n")).expect_err(row);
        let found: Vec<_> = errors.iter().map(|e| (e.line, e.column.as_str())).collect();
        assert_eq!(found, [(8, column)], "{row}: {errors:?}");
    }
}

/// Guards against a report that stops at the first bad row.
#[test]
fn all_errors_are_reported_at_once() {
    let errors =
        table("class,x,,,,,urgent,-1,,,,,,,\nadapter,y,x,,,,,,,,,,,,\n").expect_err("bad rows");
    assert!(errors.len() >= 3, "{errors:?}");
}

/// Guards against a table whose rows mean something else in force: one route for each class,
/// with its policy, and the newest version of each adapter.
#[test]
fn classes_become_routes() {
    let config = good().config(Vec::new());
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
    let versions = good().adapter_versions();
    assert_eq!(versions, vec![(Name::from("a"), 2), (Name::from("b"), 1)]);
}

/// Guards against a lost edit when two operators change the same row, and
/// against a refused edit when they change different rows.
#[test]
fn concurrent_edits_conflict_by_row() {
    let base = good();
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
            assert_eq!(list[0].after.as_ref().expect("the row is wanted")[7], "9");
        }
        result => panic!("expected a conflict, got {result:?}"),
    }
    let both = after_first.apply(3, &other).expect("another row");
    assert_eq!(both.diff(&after_first).len(), 1);
    let again = both.apply(4, &first).expect("an edit that took effect already is no conflict");
    assert!(again.diff(&both).is_empty());
}

/// Guards against an edit that leaves adapters without their class.
#[test]
fn an_edit_that_makes_the_table_invalid_is_refused() {
    let base = good();
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

    /// Guards against a panic of the parser on arbitrary text.
    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}") {
        let _ = Table::from_csv(1, &text);
        let _ = table(&text);
    }

    /// Guards against edits that lose or invent rows.
    #[test]
    fn a_difference_applied_gives_the_new_table(weights in proptest::collection::vec(1_u32..100, 1..20), drop in 0_usize..20) {
        let row = |(i, w): (usize, &u32)| format!("adapter,n{i},chat,,,v1,,{w},,,,,,,\n");
        let head = ROWS.lines().next().expect("a class row");
        let old = table(&format!("{head}\n{}", weights.iter().enumerate().map(row).collect::<String>())).expect("valid");
        let kept = weights.iter().enumerate().filter(|(i, _)| i % 7 != drop % 7);
        let new = table(&format!("{head}\n{}", kept.map(|(i, w)| row((i, &(w + 1)))).collect::<String>())).expect("valid");
        let applied = old.apply(2, &old.diff(&new)).expect("no conflict");
        assert!(applied.diff(&new).is_empty());
    }
}
