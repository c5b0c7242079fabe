//! Memory of the bodies of requests.

use std::sync::Arc;

use bytes::Bytes;
use fireflyhead_gateway::request_memory::BodyMemory;
use fireflyhead_gateway::request_memory::RequestMemory;
use fireflyhead_gateway::request_memory::RequestMemoryFull;
use fireflyhead_policy::Name;

const KIB: usize = 1024;

/// Guards against large bodies that keep small ones out, one account that keeps out the others, and memory
/// that isn't free when the last copy of a body is dropped.
#[test]
fn large_bodies_and_single_accounts_get_a_part_of_the_memory() {
    let memory = Arc::new(RequestMemory::new(1_000 * KIB));
    let body = |account: Option<&str>| BodyMemory::new(&memory, account.map(Name::from));
    let (mut first, mut second, mut small) = (body(None), body(None), body(None));
    assert_eq!(first.grow(700 * KIB), Ok(()));
    assert_eq!(second.grow(100 * KIB), Err(RequestMemoryFull), "large ones get three quarters");
    assert_eq!(memory.sum(), 700 * KIB, "a refused size takes nothing");
    assert_eq!(small.grow(16 * KIB), Ok(()));
    let bytes = first.attach(Bytes::from_static(b"body"));
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!(memory.sum(), 716 * KIB);
    drop(copy);
    drop(small);
    assert_eq!(memory.sum(), 0);

    let (mut first, mut second, mut other) = (body(Some("a")), body(Some("a")), body(Some("b")));
    assert_eq!(first.grow(400 * KIB), Ok(()));
    assert_eq!(second.grow(200 * KIB), Err(RequestMemoryFull), "an account gets half");
    assert_eq!(other.grow(200 * KIB), Ok(()));
    drop(first);
    assert_eq!(second.grow(200 * KIB), Ok(()));
}
