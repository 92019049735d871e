//! Losses of power at every write, cut, rename, removal and sync that the store really does, as its process is followed.
#![cfg(all(target_os = "linux", target_arch = "x86_64"))]

mod crash_simulation;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crash_simulation::{
    crash_states, read_folder, record_events, report_progress, wait_for_recorder, write_folder, Event, Files,
};
use glenfall::control::store::{create, database_path, RecoveredState, Store};
use glenfall_control_plane::chain::{HardState, JointConfig, Record};
use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable, IdempotencyKey};

/// The test that is run as a process of its own, and followed.
const FOLLOWED: &str = "followed";

fn folder(name: &str) -> PathBuf {
    // Nothing here is to outlive a real loss of power.
    let memory = Path::new("/dev/shm");
    let base = if memory.is_dir() { memory.to_owned() } else { std::env::temp_dir() };
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = base.join(format!("glenfall-store-{name}-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// In place of numbers: state 1 is put where there is none, as from a backup.
const IMPORT: &str = "import";

/// The state that is written as number `n`: of one page or of several.
fn state(n: u64) -> HardState {
    let size = if n.is_multiple_of(2) { 14_000 } else { 90 };
    let document = (0..size).map(|at| (at * (n + 6) % 251) as u8).collect();
    // Some chunks of the table of taken orders with each.
    let order = |rev: u64| AppliedOrder { rev, key: IdempotencyKey([rev as u8; 32]) };
    let taken = DeduplicationTable::from_orders(0, &(1..=n * 90).map(order).collect::<Vec<_>>()).unwrap();
    let record = Record { seq: n, rev: n, document, applied_orders: taken };
    let members = JointConfig::of(vec![[10, 0, 0, 1].into()]);
    HardState { members, votes: true, promised: n, accepted: n, record: Arc::new(record) }
}

#[test]
#[ignore = "run by the others, as a process that is followed"]
fn followed() {
    let folder = PathBuf::from(std::env::var("FOLDER").unwrap());
    let writes = std::env::var("SCENARIO").unwrap();
    wait_for_recorder();
    if writes == IMPORT {
        create(&folder, &state(1)).unwrap();
        report_progress("done 1");
        return report_progress("end");
    }
    let (store, _) = Store::open(&folder).unwrap();
    for n in writes.split_whitespace().map(|n| n.parse().unwrap()) {
        report_progress(&format!("begin {n}"));
        store.save(&state(n)).unwrap();
        report_progress(&format!("done {n}"));
    }
    report_progress("end");
}

/// What is found after a loss of power: a state's number, or what else there is.
fn found(folder: &Path, case: &str) -> String {
    let found = Store::open(folder).unwrap_or_else(|error| panic!("{case}: {error}")).1;
    match found {
        RecoveredState::Missing => "nothing".into(),
        RecoveredState::Damaged(_) => "damaged".into(),
        RecoveredState::Intact(kept) => {
            let n = kept.record.seq;
            assert_eq!(kept, state(n), "{case}: a mixture");
            n.to_string()
        }
    }
}

/// Follows a process that writes these states in a folder, and after each of its steps loses power in every way: found
/// is what was acknowledged last, or what was being written; before that `first`.
fn lose_power(name: &str, before: &Files, first: &str, writes: &str) -> Vec<Files> {
    let folder = folder(name);
    write_folder(&folder, before);
    let steps = record_events(FOLLOWED, writes, &folder);
    let (mut acked, mut begun) = (first.to_owned(), None);
    let (mut seen, mut all, mut syncs) = (HashSet::new(), Vec::new(), 0);
    for after in 0..steps.len() {
        match &steps[after] {
            Event::Progress(said) => match said.split_once(' ') {
                Some(("begin", n)) => begun = Some(n.to_owned()),
                Some((_, n)) => (acked, begun) = (n.to_owned(), None),
                None => {}
            },
            Event::Sync { .. } | Event::SyncFolder => syncs += 1,
            _ => {}
        }
        for left in crash_states(before, &steps[..=after], after as u64) {
            let mut hash = DefaultHasher::new();
            (&left, &acked, &begun).hash(&mut hash);
            if !seen.insert(hash.finish()) {
                continue;
            }
            write_folder(&folder, &left);
            let sizes: Vec<_> = left.iter().map(|(name, bytes)| format!("{name} {}", bytes.len())).collect();
            let case =
                format!("{name}, after step {after}, {:.90}, left {sizes:?}", format!("{:?}", steps[after]));
            let found_first = found(&folder, &case);
            assert!(
                found_first == acked || Some(&found_first) == begun.as_ref(),
                "{case}: {found_first}, not {acked}"
            );
            assert_eq!(found(&folder, &case), found_first, "{case}: another at the next start");
            all.push(left);
        }
    }
    println!("{name}: {} steps, {syncs} syncs, {} losses of power", steps.len(), all.len());
    std::fs::remove_dir_all(&folder).unwrap();
    all
}

/// A folder in which state 1 was written.
fn written() -> Files {
    let folder = folder("written");
    Store::open(&folder).unwrap().0.save(&state(1)).unwrap();
    let files = read_folder(&folder);
    std::fs::remove_dir_all(&folder).unwrap();
    files
}

#[test]
fn a_first_start_forgets_nothing_that_it_has_said() {
    lose_power("first", &Files::new(), "nothing", "1 2 3");
}

#[test]
fn a_later_start_finds_the_last_state_or_the_one_under_way() {
    let all = lose_power("again", &written(), "1", "2 3 4");
    // Power is lost again while the journal of the first loss is played back.
    let hot = |files: &&Files| files.get("state.sqlite-journal").is_some_and(|journal| journal.len() > 8000);
    let hot: Vec<&Files> = all.iter().filter(hot).collect();
    assert!(hot.len() > 10, "{} of {} with a journal", hot.len(), all.len());
    for before in hot.iter().step_by(hot.len() / 4) {
        let folder = folder("hot");
        write_folder(&folder, before);
        let first = found(&folder, "with a journal");
        std::fs::remove_dir_all(&folder).unwrap();
        lose_power("hot", before, &first, "6");
    }
}

#[test]
fn what_was_set_aside_is_never_taken_for_a_first_start() {
    let mut files = written();
    let store = files.get_mut("state.sqlite").unwrap();
    // The row's end, where cells grow from, in the second page.
    store[2 * 4096 - 12] ^= 1;
    lose_power("damaged", &files, "damaged", "2 3");
    // A store of before there was a word that it was made.
    files.remove("state.made");
    lose_power("damaged-before", &files, "damaged", "2 3");
}

#[test]
fn a_store_that_is_gone_is_never_taken_for_a_first_start() {
    let mut files = written();
    files.retain(|name, _| !name.starts_with("state.sqlite"));
    lose_power("gone", &files, "damaged", "2 3");
    files.insert("state.sqlite".into(), Vec::new());
    lose_power("emptied", &files, "damaged", "2 3");
}

#[test]
fn a_restore_that_was_cut_short_leaves_no_voter_that_has_promised_nothing() {
    let folder = folder("import");
    let steps = record_events(FOLLOWED, IMPORT, &folder);
    let (mut done, mut cut_short) = (false, 0);
    for after in 0..steps.len() {
        done |= matches!(&steps[after], Event::Progress(said) if said == "done 1");
        for left in crash_states(&Files::new(), &steps[..=after], after as u64) {
            write_folder(&folder, &left);
            let begun = database_path(&folder).exists();
            let case = format!("after step {after}, left {:?}", left.keys());
            match found(&folder, &case).as_str() {
                "1" => {}
                "damaged" if !done => cut_short += 1,
                "nothing" if !done && !begun => {}
                other => panic!("{case}: {other}"),
            }
        }
    }
    assert!(done && cut_short > 20, "{cut_short}");
    std::fs::remove_dir_all(&folder).unwrap();
}
