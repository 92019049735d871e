//! The memory budget: memory is reserved until the last slice of a response is dropped.

use std::time::Duration;

use bytes::Bytes;
use glenfall::memory_budget::{MemoryBudget, UNIT_BYTES};
use tokio::time::timeout;

#[tokio::test(start_paused = true)]
async fn memory_is_reserved_until_the_last_slice_of_a_body_is_dropped() {
    let budget = MemoryBudget::new(100 * UNIT_BYTES);
    let body = budget
        .reserve(90 * UNIT_BYTES)
        .await
        .expect("memory")
        .attach_to(Bytes::from(vec![7; 90 * UNIT_BYTES]));
    assert_eq!((budget.reserved_bytes(), budget.has_capacity()), (90 * UNIT_BYTES, false));
    let slice = body.slice(5..9);
    drop(body);
    assert_eq!((&slice[..], budget.reserved_bytes()), (&[7; 4][..], 90 * UNIT_BYTES));
    // A reservation made meanwhile waits until the slice is dropped.
    let waiting = timeout(Duration::from_secs(1), budget.reserve(20 * UNIT_BYTES));
    assert!(waiting.await.is_err());
    let (reservation, ()) = tokio::join!(budget.reserve(20 * UNIT_BYTES), async { drop(slice) });
    assert_eq!(reservation.expect("memory").bytes(), 20 * UNIT_BYTES);
    assert_eq!((budget.reserved_bytes(), budget.has_capacity()), (0, true));
}

#[tokio::test(start_paused = true)]
async fn a_reservation_grows_and_more_than_the_budget_is_rejected_at_once() {
    let budget = MemoryBudget::new(10 * UNIT_BYTES);
    assert!(budget.reserve(10 * UNIT_BYTES + 1).await.is_none());
    let mut reservation = budget.reserve(1).await.expect("memory");
    reservation.grow_to(3 * UNIT_BYTES + 1).await.expect("memory");
    assert_eq!((reservation.bytes(), budget.reserved_bytes()), (4 * UNIT_BYTES, 4 * UNIT_BYTES));
    assert!(timeout(Duration::from_secs(1), reservation.grow_to(11 * UNIT_BYTES)).await.is_err());
    drop(reservation.attach_to(Bytes::new()));
    assert_eq!(budget.reserved_bytes(), 0);
}
