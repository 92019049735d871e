//! Purges of late, and what whoever was away has missed.

use std::net::Ipv4Addr;

use glenfall_plane::messages::{Aged, Purge, Stamped};
use glenfall_plane::purges::{Purges, MOST, REMEMBERED};

fn purge(number: u64, age_ms: u64) -> Stamped {
    let purge = Purge::Label(number.to_string());
    Stamped { origin: Ipv4Addr::LOCALHOST, life: 1, number, age_ms, purge }
}

#[test]
fn a_purge_is_new_once_and_forgotten_in_time() {
    let mut purges = Purges::default();
    assert_eq!(purges.take(1000, vec![purge(1, 0), purge(2, 500), purge(1, 0)]).len(), 2);
    assert!(purges.take(1000, vec![purge(2, 0)]).is_empty());
    assert_eq!(purges.all(1500).iter().map(|p| p.age_ms).collect::<Vec<_>>(), [500, 1000]);
    purges.take(REMEMBERED + 1000, vec![]);
    assert!(purges.missed(REMEMBERED + 1000).is_empty());
}

#[test]
fn past_the_bound_whoever_comes_back_drops_everything() {
    let mut purges = Purges::default();
    purges.take(0, (0..=MOST as u64).map(|n| purge(n, 0)).collect());
    assert_eq!(purges.missed(0), [Aged { purge: Purge::Everything, age_ms: 0 }]);
    assert_eq!(purges.all(0).len(), MOST);
}
