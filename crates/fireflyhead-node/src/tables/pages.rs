//! Split of the table's CSV text into pages for the key-value service.
//!
//! Pages end at rows that a hash of the row selects, so that an edit of one row
//! changes one page or two and leaves the others as they are.

use bytes::Bytes;
use fireflyhead_core::table::COLUMNS;
use sha2::Digest;
use sha2::Sha256;

/// Largest page, in bytes; the service takes values up to 1 MB.
pub(super) const MAX_PAGE_BYTES: usize = 512 << 10;
/// Size below which a page does not end at a selected row, in bytes.
const MIN_PAGE_BYTES: usize = 32 << 10;
/// One row in this many is selected as the end of a page.
const ROWS_PER_CUT: u8 = 128;
/// Bytes of a page hash.
const HASH_BYTES: usize = 16;

/// Part of the table's text, named by its hash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Page {
    pub(super) hash: String,
    pub(super) text: Bytes,
}

/// Hash of a page in hexadecimal digits.
pub(super) fn hash(text: &[u8]) -> String {
    use std::fmt::Write;
    Sha256::digest(text).iter().take(HASH_BYTES).fold(String::new(), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Rows of CSV text; a row may contain line ends within quotes.
fn rows(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let mut quoted = false;
        let end = rest.bytes().position(|byte| {
            quoted ^= byte == b'"';
            byte == b'\n' && !quoted
        });
        let (row, left) = rest.split_at(end.map_or(rest.len(), |end| end + 1));
        rest = left;
        (!row.is_empty()).then_some(row)
    })
}

/// Splits the text of a table, header included, into pages without the header.
pub(super) fn split(csv: &str) -> Vec<Page> {
    let mut pages = Vec::new();
    let mut page = String::new();
    let finish = |page: &mut String, pages: &mut Vec<Page>| {
        let text = Bytes::from(std::mem::take(page));
        pages.push(Page { hash: hash(&text), text });
    };
    for row in rows(csv).skip(1) {
        if !page.is_empty() && page.len() + row.len() >= MAX_PAGE_BYTES {
            finish(&mut page, &mut pages);
        }
        page.push_str(row);
        let selected = Sha256::digest(row.as_bytes())[0].is_multiple_of(ROWS_PER_CUT);
        if page.len() >= MIN_PAGE_BYTES && selected {
            finish(&mut page, &mut pages);
        }
    }
    if !page.is_empty() {
        finish(&mut page, &mut pages);
    }
    pages
}

/// Text of the table whose pages are `pages`.
pub(super) fn join(pages: &[Page]) -> String {
    let mut csv = COLUMNS.join(",");
    csv.push('\n');
    for page in pages {
        csv.push_str(&String::from_utf8_lossy(&page.text));
    }
    csv
}
