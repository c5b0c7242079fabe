//! Tests of the split into pages.

use proptest::prelude::ProptestConfig;
use proptest::proptest;

use fireflyhead_core::table::COLUMNS;

use crate::tables::pages;

fn csv(rows: impl Iterator<Item = String>) -> String {
    std::iter::once(format!("{}\n", COLUMNS.join(","))).chain(rows).collect()
}

fn row(index: usize, weight: u32) -> String {
    format!("adapter,adapter-{index:05},drafts,,,v1 v2,,{weight},,,,,,,\n")
}

/// Guards against an edit of one row that rewrites most pages of a large table.
#[test]
fn an_edit_of_one_row_changes_few_pages() {
    let before = pages::split(&csv((0..23_000).map(|i| row(i, 1))));
    let after = pages::split(&csv((0..23_000).map(|i| row(i, 1 + u32::from(i == 9_000) * 1_000))));
    let changed = after.iter().filter(|page| !before.contains(page)).count();
    assert!((1..=2).contains(&changed), "{changed} of {} pages", after.len());
    assert!(after.len() > 3, "{}", after.len());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against rows lost at page boundaries and pages above the value limit.
    #[test]
    fn pages_joined_give_the_text(lengths in proptest::collection::vec(1_usize..40_000, 0..60), quoted in 0_usize..60) {
        let rows = lengths.iter().enumerate().map(|(i, len)| {
            let mark = if i == quoted { "\"a\nb\"" } else { "" };
            format!("{i},{}{mark}\n", "x".repeat(*len))
        });
        let text = csv(rows);
        let split = pages::split(&text);
        assert_eq!(pages::join(&split), text);
        assert!(split.iter().all(|page| page.text.len() < pages::MAX_PAGE_BYTES));
        assert!(split.iter().all(|page| page.hash == pages::hash(&page.text)));
    }
}
