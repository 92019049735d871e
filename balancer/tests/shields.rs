//! The edge's choice of a shield: random jump consistent hashing (RJ-CH) over the ready shields, and its exceptions.

use glenfall_balancer::{splitmix64, Key, ServerId, Shields};

fn id(n: u64) -> ServerId {
    ServerId(format!("10.0.0.{n}:7721").as_str().into())
}

fn shields(ids: impl IntoIterator<Item = u64>) -> Shields {
    let mut shields = Shields::default();
    shields.update(&ids.into_iter().map(id).collect::<Vec<_>>());
    shields
}

fn key(n: u64) -> Key {
    Key(splitmix64(n))
}

fn homes(shields: &mut Shields) -> Vec<ServerId> {
    (0..3000).map(|n| shields.choose(0.0, key(n), &[]).expect("a shield").clone()).collect()
}

#[test]
fn edges_with_the_same_membership_agree_on_every_home_in_any_order_of_updates() {
    let mut updated = shields([5, 1]);
    updated.update(&[id(4), id(2), id(1), id(3)]);
    assert_eq!(homes(&mut shields([1, 2, 3, 4])), homes(&mut updated));
}

#[test]
fn a_removed_or_added_shield_moves_its_own_keys_only() {
    let (all, without) = (homes(&mut shields([1, 2, 3, 4])), homes(&mut shields([1, 2, 3])));
    let moved = all.iter().zip(&without).filter(|(a, w)| a != w).count();
    assert!((300..1400).contains(&moved), "{moved} of 3000 moved");
    assert!(all.iter().zip(&without).all(|(a, w)| a == w || *a == id(4)));
}

#[test]
fn a_key_stays_at_its_home_below_the_cap_and_continues_along_its_walk_at_the_cap() {
    let mut shields = shields([1, 2, 3]);
    let home = shields.choose(0.0, key(1), &[]).unwrap().clone();
    let mut in_flight = 0;
    while shields.choose(0.0, key(1), &[]) == Some(&home) {
        shields.begin_request(&home);
        in_flight += 1;
        assert!(in_flight < 100, "no cap is reached");
    }
    // The minimum cap, because (1 + ε) · n / k is less for these n requests in flight at k shields.
    assert_eq!(in_flight, 16);
    // The keys of one full shield overflow to both others.
    let next: std::collections::BTreeSet<_> = (0..200)
        .map(key)
        .map(|k| shields.choose(0.0, k, &[]).unwrap().clone())
        .filter(|shield| *shield != home)
        .collect();
    assert_eq!(next.len(), 2);
    shields.end_request(&home);
    shields.record_outcome(0.0, &home, 0.0, false);
    assert_eq!(shields.choose(0.0, key(1), &[]), Some(&home));
}

#[test]
fn the_cap_grows_with_the_requests_in_flight() {
    let mut shields = shields([1, 2, 3]);
    let others: Vec<_> = [1, 2, 3].map(id).into_iter().collect();
    for _ in 0..40 {
        others.iter().for_each(|s| shields.begin_request(s));
    }
    // 120 in flight: ⌈1.7 · 121 / 3⌉ = 69 at each.
    let home = shields.choose(0.0, key(1), &[]).unwrap().clone();
    let mut in_flight = 40;
    while shields.choose(0.0, key(1), &[]) == Some(&home) {
        shields.begin_request(&home);
        in_flight += 1;
    }
    assert!((69..=120).contains(&in_flight), "{in_flight}");
}

#[test]
fn a_failed_shield_is_ejected_and_while_all_are_ejected_one_request_tests_them() {
    let mut shields = shields([1, 2, 3]);
    let home = shields.choose(0.0, key(1), &[]).unwrap().clone();
    shields.begin_request(&home);
    shields.end_request(&home);
    shields.record_outcome(1.0, &home, 0.5, true);
    assert_ne!(shields.choose(2.0, key(1), &[]), Some(&home));
    assert_eq!(shields.choose(3.1, key(1), &[]), Some(&home));
    for n in 1..=3 {
        shields.begin_request(&id(n));
        shields.end_request(&id(n));
        shields.record_outcome(4.0, &id(n), 3.5, true);
    }
    assert_eq!(shields.choose(4.1, key(1), &[]), Some(&home), "one trial request is sent");
    assert_eq!(shields.choose(4.2, key(1), &[]), None);
    assert_eq!(shields.choose(4.7, key(1), &[id(9)]), None, "a retried request is no trial");
    assert_eq!(shields.choose(4.7, key(1), &[]), Some(&home));
    shields.begin_request(&home);
    shields.end_request(&home);
    assert!(shields.all_ejected(4.7));
    shields.record_outcome(4.8, &home, 4.7, false);
    assert!(!shields.all_ejected(4.8), "one answers again");
    assert_eq!(shields.choose(4.8, key(1), &[]), Some(&home));
}

#[test]
fn a_request_never_goes_to_a_shield_twice_and_is_not_sent_without_shields() {
    let mut shields = shields([1, 2]);
    let first = shields.choose(0.0, key(1), &[]).unwrap().clone();
    let second = shields.choose(0.0, key(1), std::slice::from_ref(&first)).unwrap().clone();
    assert_ne!(first, second);
    assert_eq!(shields.choose(0.0, key(1), &[first, second]), None);
    assert_eq!(Shields::default().choose(0.0, key(1), &[]), None);
}

#[test]
fn a_shield_that_answers_others_is_not_ejected_for_one_request_that_waits() {
    let mut shields = shields([1, 2, 3]);
    let home = shields.choose(0.0, key(1), &[]).unwrap().clone();
    shields.begin_request(&home);
    shields.begin_request(&home);
    shields.end_request(&home);
    shields.record_outcome(1.2, &home, 1.1, false);
    shields.end_request(&home);
    shields.record_outcome(1.3, &home, 1.0, true);
    assert_eq!(shields.choose(1.4, key(1), &[]), Some(&home));
    // The shield has answered nothing since this request was sent.
    shields.begin_request(&home);
    shields.end_request(&home);
    shields.record_outcome(1.8, &home, 1.5, true);
    assert_ne!(shields.choose(1.9, key(1), &[]), Some(&home));
}
