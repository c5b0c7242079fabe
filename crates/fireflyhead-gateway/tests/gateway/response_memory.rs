//! Memory of the responses that a node holds back.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_gateway::response_memory::HeldResponse;
use fireflyhead_gateway::response_memory::MemoryError;
use fireflyhead_gateway::response_memory::ResponseMemory;
use tokio::time::timeout;

const KIB: usize = 1024;

/// Guards against a response that is given up although a larger one holds the memory, against one
/// that isn't told of it, and against memory that isn't free after the end of a response.
#[tokio::test]
async fn the_largest_response_is_given_up() {
    let memory = Arc::new(ResponseMemory::new(1_000 * KIB));
    let [mut small, mut large, mut small_again] = [0, 1, 2].map(|_| HeldResponse::new(&memory));
    assert_eq!(small.set(16 * KIB), Ok(()));
    assert_eq!(memory.sum(), 0, "small responses don't count");
    assert_eq!(large.set(900 * KIB), Ok(()));
    assert_eq!(small.set(90 * KIB), Ok(()));
    assert_eq!(small_again.set(50 * KIB), Ok(()), "the large one makes room");
    assert_eq!(memory.sum(), 140 * KIB);
    let told = timeout(Duration::from_secs(1), large.given_up()).await;
    assert!(told.is_ok(), "a response that waits for data is told");
    assert_eq!(large.set(10 * KIB), Err(MemoryError::Exceeded));
    assert_eq!(small.set(1_200 * KIB), Err(MemoryError::Exceeded), "it is the largest itself");
    drop(small_again);
    assert_eq!(memory.sum(), 0);
}

/// Guards against a whole response that is taken away while it is being sent.
#[tokio::test]
async fn a_whole_response_is_not_given_up() {
    let memory = Arc::new(ResponseMemory::new(1_000 * KIB));
    let [mut whole, mut other] = [0, 1].map(|_| HeldResponse::new(&memory));
    assert_eq!(whole.set(900 * KIB), Ok(()));
    assert_eq!(whole.complete(), Ok(()));
    assert_eq!(other.set(200 * KIB), Err(MemoryError::Exceeded));
    assert!(timeout(Duration::from_millis(20), whole.given_up()).await.is_err());
    drop(whole);
    let mut next = HeldResponse::new(&memory);
    assert_eq!(next.set(200 * KIB), Ok(()));
}
