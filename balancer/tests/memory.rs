//! A node's memory use must not grow with the number of requests, keys and servers that it has seen.

#![allow(unsafe_code, reason = "a global allocator that counts")]

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{entry, read, settings, Node};
use glenfall_balancer::*;

struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: forwards all calls to the system allocator and only counts bytes.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Simulates one minute with new keys in every second request, various outcomes, and a server replaced each second.
fn simulate_minute(node: &mut Node, last_id: &mut u64) {
    for second in 0..60 {
        let first = *last_id / 100;
        let fleet = (first..first + 8).map(|n| RosterEntry { started: Some(n as f64), ..entry(n) }).collect();
        node.event(Event::Roster(RosterUpdate::Complete(fleet)));
        for n in 0..100 {
            *last_id += 1;
            let key = if n % 2 == 0 { *last_id } else { n };
            let write = n % 20 == 0;
            node.request(NewRequest { write, ..read(*last_id, key) });
            let status = match (n + second) % 8 {
                0 => Status::TimedOut,
                1 => Status::Error,
                2 => Status::Unreachable,
                _ => Status::Success,
            };
            node.advance(0.01);
            if node.sends.contains_key(&RequestId(*last_id)) {
                node.outcome(*last_id, status, Some(CacheStatus::Miss));
            }
            node.event(Event::RequestCancelled(RequestId(*last_id)));
            // Attempts that are still in flight after the client has gone end too.
            if let Some(attempts) = node.sends.remove(&RequestId(*last_id)) {
                for attempt in 0..attempts.len() as u32 {
                    node.event(Event::Outcome(Outcome {
                        request: RequestId(*last_id),
                        attempt: AttemptId(attempt),
                        status: Status::Cancelled,
                        elapsed: 0.01,
                        finished: true,
                        cache_status: None,
                        load: None,
                    }));
                }
            }
        }
    }
}

#[test]
fn a_long_run_uses_no_more_memory_than_a_short_one() {
    let mut node = Node::with(settings(), 1, vec![]);
    let mut last_id = 0;
    simulate_minute(&mut node, &mut last_id);
    let after_one_minute = ALLOCATED_BYTES.load(Ordering::Relaxed);
    for _ in 0..20 {
        simulate_minute(&mut node, &mut last_id);
    }
    let after_21_minutes = ALLOCATED_BYTES.load(Ordering::Relaxed);
    assert!(
        after_21_minutes < after_one_minute + after_one_minute / 4,
        "{after_one_minute} bytes after a minute, {after_21_minutes} after twenty more"
    );
}
