//! MemoryBudget for answers: held until the last piece of an answer is dropped.

use std::time::Duration;

use bytes::Bytes;
use glenfall::memory_budget::{MemoryBudget, UNIT};
use tokio::time::timeout;

#[tokio::test(start_paused = true)]
async fn room_is_held_until_the_last_piece_of_an_answer_is_dropped() {
    let room = MemoryBudget::new(100 * UNIT);
    let body = room.hold(90 * UNIT).await.expect("room").keeping(Bytes::from(vec![7; 90 * UNIT]));
    assert_eq!((room.held(), room.is_free()), (90 * UNIT, false));
    let piece = body.slice(5..9);
    drop(body);
    assert_eq!((&piece[..], room.held()), (&[7; 4][..], 90 * UNIT));
    // Who comes meanwhile waits, and gets it when the piece goes.
    let wait = timeout(Duration::from_secs(1), room.hold(20 * UNIT));
    assert!(wait.await.is_err());
    let (held, ()) = tokio::join!(room.hold(20 * UNIT), async { drop(piece) });
    assert_eq!(held.expect("room").bytes(), 20 * UNIT);
    assert_eq!((room.held(), room.is_free()), (0, true));
}

#[tokio::test(start_paused = true)]
async fn what_has_no_stated_length_grows_and_more_than_all_is_refused_at_once() {
    let room = MemoryBudget::new(10 * UNIT);
    assert!(room.hold(10 * UNIT + 1).await.is_none());
    let mut held = room.hold(1).await.expect("room");
    held.grow(3 * UNIT + 1).await.expect("room");
    assert_eq!((held.bytes(), room.held()), (4 * UNIT, 4 * UNIT));
    assert!(timeout(Duration::from_secs(1), held.grow(11 * UNIT)).await.is_err());
    drop(held.keeping(Bytes::new()));
    assert_eq!(room.held(), 0);
}
