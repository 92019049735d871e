//! Records the file system calls of a process that uses the store, and checks that it recovers from a power loss after
//! each write, truncation, rename, removal and sync.
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

/// The test that runs as a child process under the recorder.
const RECORDED_TEST: &str = "write_states";

fn folder(name: &str) -> PathBuf {
    // Power losses are simulated: the files need no real disk.
    let ram_disk = Path::new("/dev/shm");
    let base = if ram_disk.is_dir() { ram_disk.to_owned() } else { std::env::temp_dir() };
    static NEXT_FOLDER_NUMBER: AtomicU64 = AtomicU64::new(0);
    let folder_number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = base.join(format!("glenfall-store-{name}-{}-{folder_number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The scenario that lists no state numbers: it creates the store with state 1, as a restore from a backup does.
const RESTORE_SCENARIO: &str = "import";

/// The state with number `n`: its document takes several pages if `n` is even.
fn state(number: u64) -> HardState {
    let size = if number.is_multiple_of(2) { 14_000 } else { 90 };
    let document = (0..size).map(|index| (index * (number + 6) % 251) as u8).collect();
    // Enough applied orders for several chunks of the deduplication table.
    let order = |rev: u64| AppliedOrder { rev, key: IdempotencyKey([rev as u8; 32]) };
    let deduplication_table =
        DeduplicationTable::from_orders(0, &(1..=number * 90).map(order).collect::<Vec<_>>()).unwrap();
    let record = Record { seq: number, rev: number, document, applied_orders: deduplication_table };
    let members = JointConfig::of(vec![[10, 0, 0, 1].into()]);
    HardState { members, votes: true, promised: number, accepted: number, record: Arc::new(record) }
}

#[test]
#[ignore = "run by the other tests as a child process under the recorder"]
fn write_states() {
    let folder = PathBuf::from(std::env::var("FOLDER").unwrap());
    let scenario = std::env::var("SCENARIO").unwrap();
    wait_for_recorder();
    if scenario == RESTORE_SCENARIO {
        create(&folder, &state(1)).unwrap();
        report_progress("done 1");
        return report_progress("end");
    }
    let (store, _) = Store::open(&folder).unwrap();
    for number in scenario.split_whitespace().map(|number| number.parse().unwrap()) {
        report_progress(&format!("begin {number}"));
        store.save(&state(number)).unwrap();
        report_progress(&format!("done {number}"));
    }
    report_progress("end");
}

/// Opens the store after a power loss: the number of the recovered state, "nothing" or "damaged".
fn recover(folder: &Path, case: &str) -> String {
    let recovered = Store::open(folder).unwrap_or_else(|error| panic!("{case}: {error}")).1;
    match recovered {
        RecoveredState::Missing => "nothing".into(),
        RecoveredState::Damaged(_) => "damaged".into(),
        RecoveredState::Intact(intact) => {
            let number = intact.record.seq;
            assert_eq!(intact, state(number), "{case}: parts of different states");
            number.to_string()
        }
    }
}

/// Records a process that writes these states to a folder, and simulates the possible outcomes of a power loss after
/// each recorded event. The store must recover the last acknowledged state or the one being written. `initial` is what it
/// recovers from `before`: a state number, "nothing" or "damaged". Returns the folder's files after each power loss.
fn check_power_losses(name: &str, before: &Files, initial: &str, scenario: &str) -> Vec<Files> {
    let folder = folder(name);
    write_folder(&folder, before);
    let events = record_events(RECORDED_TEST, scenario, &folder);
    let (mut acknowledged, mut in_progress) = (initial.to_owned(), None);
    let (mut checked, mut crashes, mut syncs) = (HashSet::new(), Vec::new(), 0);
    for last_event in 0..events.len() {
        match &events[last_event] {
            Event::Progress(message) => match message.split_once(' ') {
                Some(("begin", number)) => in_progress = Some(number.to_owned()),
                Some((_, number)) => (acknowledged, in_progress) = (number.to_owned(), None),
                None => {}
            },
            Event::Sync { .. } | Event::SyncFolder => syncs += 1,
            _ => {}
        }
        for files in crash_states(before, &events[..=last_event], last_event as u64) {
            let mut hash = DefaultHasher::new();
            (&files, &acknowledged, &in_progress).hash(&mut hash);
            if !checked.insert(hash.finish()) {
                continue;
            }
            write_folder(&folder, &files);
            let sizes: Vec<_> = files.iter().map(|(name, bytes)| format!("{name} {}", bytes.len())).collect();
            let case = format!(
                "{name}, after event {last_event}, {:.90}, files {sizes:?}",
                format!("{:?}", events[last_event])
            );
            let first_recovery = recover(&folder, &case);
            assert!(
                first_recovery == acknowledged || Some(&first_recovery) == in_progress.as_ref(),
                "{case}: recovered {first_recovery}, expected {acknowledged}"
            );
            assert_eq!(
                recover(&folder, &case),
                first_recovery,
                "{case}: the next start recovers another state"
            );
            crashes.push(files);
        }
    }
    println!("{name}: {} events, {syncs} syncs, {} power losses", events.len(), crashes.len());
    std::fs::remove_dir_all(&folder).unwrap();
    crashes
}

/// The files of a store with state 1.
fn files_with_state_1() -> Files {
    let folder = folder("written");
    Store::open(&folder).unwrap().0.save(&state(1)).unwrap();
    let files = read_folder(&folder);
    std::fs::remove_dir_all(&folder).unwrap();
    files
}

#[test]
fn acknowledged_states_survive_a_power_loss_after_the_first_start() {
    check_power_losses("first", &Files::new(), "nothing", "1 2 3");
}

#[test]
fn a_later_start_recovers_the_last_acknowledged_state_or_the_one_being_written() {
    let crashes = check_power_losses("again", &files_with_state_1(), "1", "2 3 4");
    // Power is lost again during the rollback of the journal that the first power loss left.
    let has_hot_journal =
        |files: &&Files| files.get("state.sqlite-journal").is_some_and(|journal| journal.len() > 8000);
    let with_hot_journal: Vec<&Files> = crashes.iter().filter(has_hot_journal).collect();
    assert!(
        with_hot_journal.len() > 10,
        "only {} of {} power losses left a journal",
        with_hot_journal.len(),
        crashes.len()
    );
    for before in with_hot_journal.iter().step_by(with_hot_journal.len() / 4) {
        let folder = folder("hot");
        write_folder(&folder, before);
        let first_recovery = recover(&folder, "with a journal");
        std::fs::remove_dir_all(&folder).unwrap();
        check_power_losses("hot", before, &first_recovery, "6");
    }
}

#[test]
fn a_damaged_store_is_never_mistaken_for_a_first_start() {
    let mut files = files_with_state_1();
    let store = files.get_mut("state.sqlite").unwrap();
    // `SQLite` stores rows from the end of a page: this byte belongs to the row in the second page.
    store[2 * 4096 - 12] ^= 1;
    check_power_losses("damaged", &files, "damaged", "2 3");
    // A store of a version that did not write `state.made`.
    files.remove("state.made");
    check_power_losses("damaged-before", &files, "damaged", "2 3");
}

#[test]
fn a_missing_store_is_never_mistaken_for_a_first_start() {
    let mut files = files_with_state_1();
    files.retain(|name, _| !name.starts_with("state.sqlite"));
    check_power_losses("missing", &files, "damaged", "2 3");
    files.insert("state.sqlite".into(), Vec::new());
    check_power_losses("emptied", &files, "damaged", "2 3");
}

#[test]
fn an_interrupted_restore_is_recovered_as_damaged_and_not_as_empty() {
    let folder = folder("import");
    let events = record_events(RECORDED_TEST, RESTORE_SCENARIO, &folder);
    let (mut restore_completed, mut damaged_count) = (false, 0);
    for last_event in 0..events.len() {
        restore_completed |= matches!(&events[last_event], Event::Progress(message) if message == "done 1");
        for files in crash_states(&Files::new(), &events[..=last_event], last_event as u64) {
            write_folder(&folder, &files);
            let database_exists = database_path(&folder).exists();
            let case = format!("after event {last_event}, files {:?}", files.keys());
            match recover(&folder, &case).as_str() {
                "1" => {}
                "damaged" if !restore_completed => damaged_count += 1,
                "nothing" if !restore_completed && !database_exists => {}
                other => panic!("{case}: recovered {other}"),
            }
        }
    }
    assert!(
        restore_completed && damaged_count > 20,
        "the restore completed: {restore_completed}, {damaged_count} power losses left a damaged store"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
