//! Fetches from the origin: coalescing and the fetch limit.

use crate::*;

/// Guards against counting only errors as fetches if caches do not report hits: a few errors in a thousand requests
/// then reduced the fetch limit to its minimum.
#[test]
fn rare_errors_do_not_block_fetches_where_caches_do_not_report_hits() {
    let mut node = Node::with(settings(), 1, fleet(8));
    let mut queued = 0;
    for n in 0..3000 {
        queued += usize::from(sent(&node.request(read(n, n))).is_empty());
        node.advance(0.05);
        if node.sends.contains_key(&RequestId(n)) {
            node.outcome(n, if n % 100 == 0 { Status::Error } else { Status::Success }, None);
        }
    }
    assert!(queued < 30, "{queued} of 3000 queued");
}

/// Guards against the last attempt being wasted on a second cache that does not have the key, after the first
/// cache accepted no connection.
#[test]
fn in_aside_mode_the_last_attempt_of_a_read_goes_to_the_origin() {
    let mut settings = cache_aside_settings();
    settings.limits.max_attempts = 2;
    let entries = fleet_and_origin(4);
    let mut node = Node::with(settings.clone(), 1, entries.clone());
    node.request(read(1, 3));
    assert_eq!(sent(&node.outcome(1, Status::Unreachable, None)), [origin().server]);
    settings.limits.max_attempts = 3;
    let mut node = Node::with(settings, 1, entries);
    node.request(read(1, 3));
    assert_ne!(sent(&node.outcome(1, Status::Unreachable, None)), [origin().server]);
}

/// Guards against a minimum cap of one, as it was with tens of nodes: two concurrent reads with the same home
/// server then caused a jump and a miss.
#[test]
fn in_aside_mode_concurrent_reads_stay_at_their_home() {
    let sent_to_home = |cache| {
        let mut node = Node::with(Settings { nodes: 8, cache, ..settings() }, 1, fleet(6));
        let keys = keys_of_server_one(&mut node, 400, 2);
        (0..2)
            .flat_map(|n| sent(&node.request(read(900 + n, keys[n as usize]))))
            .filter(|s| *s == id(1))
            .count()
    };
    assert_eq!(sent_to_home(cache_aside_mode()), 2);
    assert_eq!(sent_to_home(CacheMode::ReadThrough), 1);
}

/// Guards against jumps in a slow fleet: when a fifth of the servers failed and the others became slow, two
/// thirds of all reads jumped and caused misses, each of which used capacity until the origin had answered.
#[test]
fn while_a_read_through_fleet_is_slow_requests_wait_for_a_server_at_its_limit() {
    let sent_of_four = |cache| {
        let mut node = Node::with(Settings { cache, ..settings() }, 1, fleet(6));
        let keys = keys_of_server_one(&mut node, 400, usize::MAX);
        for n in 1000..1072 {
            let key = if n < 1060 { n } else { keys[n as usize % 4] };
            node.request(read(n, key));
            node.now += if n < 1060 { 0.2 } else { 0.3 };
            node.serve(n);
        }
        (0..4).filter(|&n| !sent(&node.request(read(2000 + n, keys[n as usize]))).is_empty()).count()
    };
    assert_eq!(sent_of_four(CacheMode::ReadThrough), 2);
    assert_eq!(sent_of_four(cache_aside_mode()), 4);
}

#[test]
fn reads_of_one_key_share_a_fetch() {
    let mut node = Node::with(settings(), 1, fleet(4));
    assert_eq!(sent(&node.request(read(1, 3))).len(), 1);
    assert!(sent(&node.request(read(2, 3))).is_empty());
    let released = node.outcome(1, Status::Success, Some(CacheStatus::Miss));
    assert_eq!(sent(&released).len(), 1);
    // The key is known to be cached now, so reads are no longer coalesced.
    assert_eq!(sent(&node.request(read(3, 3))).len(), 1);
}

#[test]
fn failed_fetches_lower_the_fetch_limit_but_known_keys_are_still_sent() {
    let mut node = Node::with(settings(), 1, fleet(8));
    for n in 0..50 {
        node.home(n, n);
    }
    for n in 1000..1400 {
        if !sent(&node.request(read(n, n))).is_empty() {
            node.now += 0.002;
            node.outcome(n, Status::Error, Some(CacheStatus::Miss));
        }
        node.now += 0.02;
    }
    let unknown = unknown_keys_sent(&mut node);
    assert!(unknown < 10, "{unknown} sent");
    assert_eq!(sent(&node.request(read(3000, 1))).len(), 1);
}

#[test]
fn in_aside_mode_a_miss_and_a_write_go_to_the_origin_and_reads_share_the_fetch() {
    let settings = cache_aside_settings();
    let entries = fleet_and_origin(4);
    let mut node = Node::with(settings, 1, entries);
    let home = sent(&node.request(read(1, 3)))[0].clone();
    assert_ne!(home, origin().server);
    assert_eq!(sent(&node.request(NewRequest { write: true, ..read(9, 4) })), [origin().server]);
    assert_eq!(sent(&node.request(read(2, 3))).len(), 1);
    assert_eq!(sent(&node.outcome(1, Status::NotCached, Some(CacheStatus::Miss))), [origin().server]);
    assert!(sent(&node.outcome(2, Status::NotCached, Some(CacheStatus::Miss))).is_empty());
    // When the fetch has ended, the second read is sent to its cache server again.
    assert_eq!(sent(&node.serve(1)), [home]);
}

/// Writes and hedged requests reach the origin too, and must not keep it overloaded while it fails.
#[test]
fn while_the_origin_fails_writes_are_limited_too() {
    let mut node = Node::with(settings(), 1, fleet(8));
    for n in 0..400 {
        if !sent(&node.request(read(n, n))).is_empty() {
            node.now += 0.002;
            node.outcome(n, Status::Error, Some(CacheStatus::Miss));
        }
        node.now += 0.02;
    }
    let write = |n| NewRequest { class: Some(UNSAFE_CLASS), write: true, ..read(n, n) };
    let writes = (2000..2060).filter(|&n| !sent(&node.request(write(n))).is_empty()).count();
    assert!((1..10).contains(&writes), "{writes} sent");
}

/// With many nodes, each uses only a small part of its fetch limit. When the origin is slow, the limit must be
/// reduced from the number of fetches in flight; otherwise it takes tens of decreases to have an effect.
#[test]
fn a_fetch_limit_far_above_what_is_in_use_falls_fast() {
    let mut node = Node::with(settings(), 1, fleet(8));
    for n in 0..25 {
        for m in 0..4 {
            node.request(read(n * 4 + m, n * 4 + m));
        }
        node.now += 0.9;
        for m in 0..4 {
            if node.sends.contains_key(&RequestId(n * 4 + m)) {
                node.outcome(n * 4 + m, Status::Success, Some(CacheStatus::Miss));
            }
        }
    }
    let unknown = unknown_keys_sent(&mut node);
    assert!(unknown <= 4, "{unknown} sent");
}

/// Fetch times vary widely. Guards against a limit that follows their mean: with half of the fetches in time and
/// half much too slow, it fell to its minimum and most reads were rejected for 20 seconds.
#[test]
fn fetches_of_which_half_are_in_time_do_not_lower_the_fetch_limit() {
    let mut node = Node::with(settings(), 1, fleet(16));
    for n in 0..300 {
        node.request(read(n, n));
        node.now += if n % 2 == 0 { 0.9 } else { 0.3 };
        node.outcome(n, Status::Success, Some(CacheStatus::Miss));
    }
    let unknown = unknown_keys_sent(&mut node);
    assert!(unknown > 25, "{unknown} sent");
}

/// Guards against timeouts of unresponsive servers (8 of 75) counting as a slow origin: two thirds of all reads
/// were then refused.
#[test]
fn time_outs_of_an_unresponsive_server_do_not_lower_the_fetch_limit() {
    let mut node = Node::with(Settings { nodes: 10, ..settings() }, 1, fleet(8));
    let mut unanswered = 0;
    for n in 0..60 {
        let server = sent(&node.request(read(n, n)));
        node.advance(0.05);
        if server == [id(1)] {
            unanswered += 1;
            node.advance(0.9);
            node.outcome(n, Status::TimedOut, None);
        } else if !server.is_empty() {
            node.outcome(n, Status::Success, Some(CacheStatus::Hit));
        }
    }
    assert!(unanswered > 0);
    node.advance(5.0);
    let mut other = Node::with(settings(), 1, fleet(8));
    let sent_at_once = (100..160)
        .filter(|&n| other.home(n, n) != id(1))
        .take(10)
        .filter(|&n| {
            let at_once = !sent(&node.request(read(n, n))).is_empty();
            if at_once {
                node.serve(n);
            }
            node.advance(0.5);
            at_once
        })
        .count();
    assert!(sent_at_once >= 9, "{sent_at_once} of 10");
}
