//! Backups of the chain's state.

use glenfall::control::backup::{Backup, BackupError};
use glenfall_control_plane::chain::{JointConfig, Record};
use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable, IdempotencyKey};

fn backup() -> Backup {
    let order = |(rev, byte)| AppliedOrder { rev, key: IdempotencyKey([byte; 32]) };
    let table = DeduplicationTable::from_orders(5, &[(7, 0x1a), (9, 0x2b)].map(order)).unwrap();
    let record = Record {
        seq: 4,
        rev: 9,
        document: b"{\"rev\": 9, \"paths\": [], \"backends\": []}".to_vec(),
        applied_orders: table,
    };
    Backup::of(&[[10, 0, 0, 1].into(), [10, 0, 0, 2].into()], 48, &record)
}

#[test]
fn an_export_is_read_back_and_an_altered_or_truncated_one_is_rejected() {
    let text = serde_json::to_string_pretty(&backup()).unwrap();
    assert_eq!(Backup::read(text.as_bytes()).unwrap(), backup());
    let read = |text: &str| Backup::read(text.as_bytes()).map(|_| ()).map_err(|e| e.to_string());
    for (from, to, expected) in [
        ("\"seq\": 4", "\"seq\": 5", "checksum"),
        ("10.0.0.1", "10.0.0.3", "checksum"),
        ("\\\"paths\\\": []", "\\\"paths\\\": [ ]", "checksum"),
        ("2b2b", "2b2c", "checksum"),
        ("forgottenUpTo\": 5", "forgottenUpTo\": 4", "checksum"),
        ("state-2", "state-3", "format"),
        ("state-2", "state-1", "not a backup"),
        ("\"rev\": 9,", "\"rev\": true,", "not a backup"),
    ] {
        assert!(text.contains(from), "{from}");
        let e = read(&text.replacen(from, to, 1)).expect_err(from);
        assert!(e.contains(expected) && !e.contains('\n'), "{from}: {e}");
    }
    for length in 0..text.len() {
        assert!(read(&text[..length]).is_err(), "truncated to {length} bytes");
    }
}

#[test]
fn a_backup_is_restored_as_the_state_of_a_voter() {
    let state = backup().state(vec![[10, 0, 0, 9].into()], 0).unwrap();
    assert_eq!((state.promised, state.accepted, state.record.rev), (48, 48, 9));
    assert_eq!(state.members, JointConfig::of(vec![[10, 0, 0, 9].into()]));
    assert!(state.votes);
}

#[test]
fn a_restore_raises_the_horizon_to_the_highest_acknowledged_version() {
    for (acknowledged, horizon) in [(0, 5), (5, 5), (12, 12)] {
        let state = backup().state(vec![[10, 0, 0, 9].into()], acknowledged).unwrap();
        assert_eq!((state.record.applied_orders.horizon(), state.record.applied_orders.len()), (horizon, 2));
    }
}

/// A backup as version 0.3.0 wrote it: orders were recognized by hashes of 64 bits.
const WEAK_KEYS_BACKUP: &str = r#"{"format": "glenfall-state-1", "voters": ["10.0.0.1", "10.0.0.2"], "view": 48, "seq": 4,
    "rev": 9, "document": "{\"rev\": 9, \"paths\": [], \"backends\": []}", "taken": [[7, 1], [9, 2]], "crc": CRC}"#;

#[test]
fn the_weak_keys_format_is_read_and_its_keys_neither_confirm_nor_reject_an_order() {
    let numbers = [48u64, 4, 9, 7, 1, 9, 2].map(u64::to_le_bytes).concat();
    let text = [&numbers[..], &[10, 0, 0, 1, 10, 0, 0, 2]].concat();
    let document = b"{\"rev\": 9, \"paths\": [], \"backends\": []}";
    let crc = crc32fast::hash(&[&text[..], document].concat());
    let exported = WEAK_KEYS_BACKUP.replace("CRC", &crc.to_string());
    let state = Backup::read(exported.as_bytes()).unwrap().state(vec![[10, 0, 0, 9].into()], 0).unwrap();
    assert_eq!((state.record.seq, state.record.rev), (4, 9));
    assert_eq!(state.record.applied_orders, DeduplicationTable::with_horizon(9));
    let altered = exported.replace("[9, 2]", "[9, 3]");
    assert!(matches!(Backup::read(altered.as_bytes()), Err(BackupError::Checksum)));
}
