//! Tests of the table: invalid cells, lookup and concurrent edits.

use proptest::prelude::ProptestConfig;
use proptest::proptest;

use crate::table::ApplyError;
use crate::table::COLUMNS;
use crate::table::LookupError;
use crate::table::Table;
use crate::types::Rank;

const ROWS: &str = "\
class,chat,,models,,,standard,2,0.3,,,530,30000,0.2,true
class,batch,,models,,,background,1,0.1,,,5000,600000,0.2,true
class,order,,desk,POST /orders,,urgent,1,0.5,,,530,5000,0.2,false
class,desk,,desk,* /,,standard,1,0,,,530,5000,0.2,true
adapter,a,chat,,,v1 v2,,,,,,,,,
adapter,b,chat,,,v1,background,5,,,,,,,
";

fn table(rows: &str) -> Result<Table, Vec<crate::table::RowError>> {
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

#[test]
fn requests_find_their_policy() {
    let table = good();
    let policy = table.find_adapter("a", None).expect("a is known");
    assert_eq!(policy.adapter.expect("a model request").to_string(), "a@v1");
    let policy = table.find_adapter("a@v2", Some("batch")).expect("version and class are known");
    assert_eq!(policy.terms.rank, Rank::Background);
    assert!((table.find_adapter("b", None).expect("b is known").terms.weight - 5.0).abs() < 1e-9);
    let order = table.find_call("desk", "POST", "/orders/7").expect("covered");
    assert!(!order.terms.idempotent);
    let other = table.find_call("desk", "POST", "/orders-old").expect("covered by the catch-all");
    assert!(other.terms.idempotent);
}

/// Guards against floors of other services or of adapters in the sums.
#[test]
fn floors_are_summed_by_service_and_rank() {
    assert_eq!(good().floors(&"models".into()), [0.0, 0.3, 0.1]);
    assert_eq!(good().floors(&"desk".into()), [0.5, 0.0, 0.0]);
}

#[test]
fn unknown_names_are_told_apart() {
    let table = good();
    let code = |result: Result<_, LookupError>| {
        result.map_or_else(|e| e.code(), |_: crate::table::Policy| "ok")
    };
    assert_eq!(code(table.find_adapter("zz", None)), "unknown_adapter");
    assert_eq!(code(table.find_adapter("a@v9", None)), "unknown_version");
    assert_eq!(code(table.find_adapter("a", Some("order"))), "unknown_class");
    assert_eq!(code(table.find_call("nowhere", "GET", "/")), "unknown_service");
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
    let removal = crate::table::RowChange {
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
