//! The bytes of each message between the system's processes, against a fixture of version 0.3.0: processes of two versions
//! run side by side while a fleet is upgraded, so that a change of these bytes is an incompatible release.
//!
//! After a deliberate change of the format: `UPDATE_FIXTURES=1 cargo test -p glenfall-control-plane --test wire_format`.

use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;

use glenfall_control_plane::chain::{
    Call, Claim, HardState, Heartbeat, JointConfig, Message, Outcome, Record, View,
};
use glenfall_control_plane::config::{ConfigChange, InvalidConfig};
use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable, IdempotencyKey, LogEntry};
use glenfall_control_plane::fleet::{Fleet, FleetUpdate, MembersUpdate, VersionedFleet};
use glenfall_control_plane::messages::{
    AgedPurge, CallId, ConnectionOpening, Counter, Member, PeerMessage, ProcessId, ProxyRole,
    PublisherMessage, Purge, PurgeRecord, Server, SubscriberMessage, Update,
};
use glenfall_control_plane::registry::{EntryStatus, ObservedServer, ServerEntry};
use serde::de::DeserializeOwned;
use serde::Serialize;

const FIXTURE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");

/// Compares samples with the fixture, or writes it.
struct Samples {
    /// The fixture: a line for each sample, with its name and its bytes in hexadecimal digits.
    expected: String,
    actual: String,
}

impl Samples {
    /// Encodes a sample, and decodes the bytes of the fixture under its name.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, sample: &T) {
        let bytes = postcard::to_stdvec(sample).expect("the sample can be encoded");
        self.actual.push_str(&format!("{name} {}\n", to_hex(&bytes)));
        let prefix = format!("{name} ");
        let Some(digits) = self.expected.lines().find_map(|line| line.strip_prefix(&prefix)) else { return };
        let decoded: T = postcard::from_bytes(&from_hex(digits)).expect(name);
        assert_eq!(&decoded, sample, "{name}");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn addr(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(ip(last), port)
}

fn member(node: &str, proxy: ProxyRole) -> Member {
    Member { node: node.into(), zone: "z".into(), proxy, http: addr(4, 7701), ready: true, incarnation: 77 }
}

fn server(id: &str, ready: bool) -> Server {
    Server {
        id: id.into(),
        backend: "s".into(),
        addr: addr(9, 8001),
        zone: "z".into(),
        capacity: 300,
        ready,
        warmup_left_ms: 1500,
    }
}

fn server_entry(status: EntryStatus) -> ServerEntry {
    ServerEntry {
        id: "i-1".into(),
        backend: "s".into(),
        addr: addr(9, 8001),
        zone: "z".into(),
        capacity: 300,
        status,
        warmup_left_ms: 1500,
        call_seq: 4000,
    }
}

fn fleet() -> Fleet {
    Fleet {
        complete: true,
        servers: vec![server("a", true), server("b", false)],
        shields: vec![member("shield-1", ProxyRole::Shield)],
        edges: vec![3, u64::MAX],
        cores: 3,
    }
}

fn voters() -> JointConfig {
    JointConfig { voters: vec![ip(1), ip(2), ip(3)], outgoing: vec![ip(1), ip(2)] }
}

fn view() -> View {
    View { number: 513, chain: vec![ip(3), ip(1)], members: voters() }
}

fn order(rev: u64) -> AppliedOrder {
    AppliedOrder { rev, key: IdempotencyKey([rev as u8; 32]) }
}

fn record() -> Arc<Record> {
    let applied_orders =
        DeduplicationTable::from_orders(5, &[order(7), order(9)]).expect("the table is valid");
    Arc::new(Record { seq: 4, rev: 9, document: br#"{"rev": 9}"#.to_vec(), applied_orders })
}

fn counter(name: &str, value: u64) -> Counter {
    Counter { name: name.into(), value }
}

fn call_id() -> CallId {
    CallId { incarnation: 1_000_000_007, number: 42 }
}

fn check_connection_openings(samples: &mut Samples) {
    samples.check("open.session", &ConnectionOpening::Session);
    samples.check(
        "open.peer",
        &ConnectionOpening::Peer { ip: ip(1), incarnation: 1_000_000_007, known_peers: vec![ip(2), ip(3)] },
    );
}

fn check_session_messages(samples: &mut Samples) {
    for (name, member) in [("edge", Some(member("edge-1", ProxyRole::Edge))), ("none", None)] {
        samples
            .check(&format!("up.hello.{name}"), &SubscriberMessage::Hello { node: "edge-1".into(), member });
    }
    samples.check("up.applied", &SubscriberMessage::Applied(300));
    samples.check(
        "up.report",
        &SubscriberMessage::Counters(vec![counter("hits", 7), counter("misses", u64::MAX)]),
    );
    samples.check("up.renew", &SubscriberMessage::RenewLease { sent_at: 120_000 });
    samples.check("up.released", &SubscriberMessage::LeaseReleased);
    samples.check("up.ping", &SubscriberMessage::Ping);
    samples.check("down.controls", &PublisherMessage::ControlNodes(vec![ip(1), ip(2)]));
    samples.check("down.granted", &PublisherMessage::LeaseGranted { sent_at: 120_000, duration: 1200 });
    samples.check("down.leaving", &PublisherMessage::Draining);
    samples.check("down.ping", &PublisherMessage::Ping);
    let purges = vec![
        AgedPurge { purge: Purge::Object { hostname: "h".into(), path: "/p?q".into() }, age_ms: 5 },
        AgedPurge { purge: Purge::Label("l".into()), age_ms: 300 },
        AgedPurge { purge: Purge::Everything, age_ms: 0 },
    ];
    let mut versioned_fleet = VersionedFleet::default();
    let first = versioned_fleet.replace(fleet()).expect("the fleet has changed");
    let mut next = fleet();
    next.servers.remove(0);
    next.shields.push(member("shield-2", ProxyRole::Shield));
    next.edges = vec![4];
    let delta = versioned_fleet.replace(next).expect("the fleet has changed");
    let updates = [
        ("config", Update::Config { rev: 9, document: Arc::new(br#"{"rev": 9}"#.to_vec()) }),
        ("fleet.whole", Update::Fleet(FleetUpdate::Snapshot { version: 6, fleet: fleet() })),
        ("fleet.first", Update::Fleet(first)),
        ("fleet.change", Update::Fleet(delta)),
        ("purges", Update::Purges(purges)),
        ("in-touch", Update::Connected(true)),
    ];
    for (number, (name, pushed)) in updates.into_iter().enumerate() {
        samples.check(
            &format!("down.push.{name}"),
            &PublisherMessage::Push { number: number as u64 + 1, update: pushed },
        );
    }
}

fn check_peer_messages(samples: &mut Samples) {
    let id = call_id();
    let edges = [member("edge-1", ProxyRole::Edge)];
    samples.check("peer.sessions.whole", &PeerMessage::Members(MembersUpdate::snapshot(&edges)));
    let delta =
        MembersUpdate::delta(&edges, &[member("edge-2", ProxyRole::Edge)]).expect("the members differ");
    samples.check("peer.sessions.change", &PeerMessage::Members(delta));
    let statuses = [EntryStatus::Ready, EntryStatus::Draining, EntryStatus::Deregistered];
    let servers = statuses.map(|status| ObservedServer { entry: server_entry(status), age_ms: 250 }).to_vec();
    samples.check("peer.servers", &PeerMessage::Servers(servers));
    let entry = server_entry(EntryStatus::Draining);
    samples.check("peer.urgent", &PeerMessage::ReplicateServer { id, entry, forward: true });
    let purge = Purge::Label("l".into());
    let purge_record =
        PurgeRecord { origin: ip(1), incarnation: 1_000_000_007, number: 3, age_ms: 12, purge };
    samples.check(
        "peer.purges.history",
        &PeerMessage::Purges { id: None, purges: vec![purge_record.clone()], already_notified: None },
    );
    let notified = Some(vec![ProcessId { ip: ip(2), incarnation: 8 }]);
    samples.check(
        "peer.purges.call",
        &PeerMessage::Purges { id: Some(id), purges: vec![purge_record], already_notified: notified },
    );
    samples.check("peer.purge-written", &PeerMessage::PurgeDurable { incarnation: 1_000_000_007, number: 3 });
    samples.check("peer.done", &PeerMessage::Acknowledged { id, complete: true });
    samples.check("peer.renew", &PeerMessage::RenewLease { id });
    samples.check("peer.granted", &PeerMessage::LeaseGranted { id, duration: 1500 });
    samples.check("peer.released", &PeerMessage::LeaseReleased);
    samples.check("peer.alive", &PeerMessage::KeepAlive);
}

fn check_chain_messages(samples: &mut Samples) {
    let heartbeat = Heartbeat {
        members: voters(),
        promised: 1025,
        view: Some(view()),
        reachable_peers: vec![ip(2)],
        wiped: false,
        eligible: true,
        unfit: false,
        draining: true,
        committed: 4,
    };
    let entry = Arc::new(LogEntry { seq: 5, document: br#"{"rev": 10}"#.to_vec(), order: order(10) });
    let (id, record) = (call_id(), record());
    let promise =
        |accepted| Message::Promise { view: 513, accepted, members: voters(), record: record.clone() };
    let messages = [
        ("heartbeat", Message::Heartbeat(heartbeat)),
        ("heartbeat.empty", Message::Heartbeat(Heartbeat::default())),
        ("prepare", Message::Prepare { view: 513 }),
        ("promise", promise(Some(257))),
        ("promise.without-vote", promise(None)),
        ("nack", Message::Nack { promised: 1025 }),
        ("install", Message::Install { view: view(), record: record.clone() }),
        ("installed", Message::Installed { view: 513 }),
        ("start-view", Message::StartView { view: view() }),
        ("update", Message::Update { view: 513, entry }),
        ("acked", Message::Acked { view: 513, seq: 5 }),
        ("committed", Message::Committed { record: Arc::new(record.without_table()) }),
    ];
    for (name, message) in messages {
        samples.check(&format!("chain.{name}"), &PeerMessage::Chain(message));
    }
    let calls = [
        ("put", Call::Change { builds_on: 9, change: ConfigChange::Put(br#"{"rev": 10}"#.to_vec()) }),
        ("patch", Call::Change { builds_on: 9, change: ConfigChange::Patch(br#"{"rev": 10}"#.to_vec()) }),
        ("read", Call::Read),
        ("read-newer", Call::ReadNewer { known_seq: 4 }),
    ];
    for (name, call) in calls {
        samples.check(&format!("chain.forward.{name}"), &PeerMessage::Chain(Message::Forward { id, call }));
    }
    let outcomes = [
        ("done", Outcome::Done { rev: 10 }),
        ("conflict", Outcome::Conflict { current: 11 }),
        (
            "invalid",
            Outcome::Invalid(InvalidConfig::UnknownBackend { path: "p".into(), backend: "b".into() }),
        ),
        ("forgotten", Outcome::Forgotten { up_to: 5, current: 11 }),
        ("document", Outcome::Document(record)),
        ("unchanged", Outcome::Unchanged),
        ("unavailable", Outcome::Unavailable),
    ];
    for (name, outcome) in outcomes {
        let claim = Claim::Decided(outcome.clone());
        let confirm = Message::Confirm { view: 513, origin: ip(2), id, claim };
        samples.check(&format!("chain.confirm.{name}"), &PeerMessage::Chain(confirm));
        samples.check(&format!("chain.answer.{name}"), &PeerMessage::Chain(Message::Answer { id, outcome }));
    }
    let claim = Claim::Committed { newer_than: Some(4) };
    let confirm = Message::Confirm { view: 513, origin: ip(2), id, claim };
    samples.check("chain.confirm.committed", &PeerMessage::Chain(confirm));
}

/// Each variant with its number on the wire, also those that no sample above contains.
fn check_invalid_documents(samples: &mut Samples) {
    let invalid = [
        InvalidConfig::Unreadable("w".into()),
        InvalidConfig::OldVersion { current: 9, got: 8 },
        InvalidConfig::DuplicateRoute("p".into()),
        InvalidConfig::DuplicateBackend("b".into()),
        InvalidConfig::UnknownBackend { path: "p".into(), backend: "b".into() },
        InvalidConfig::DuplicatePrefix { path: "p".into(), other: "q".into() },
        InvalidConfig::ZeroWeight("p".into()),
        InvalidConfig::ZeroDeadline("p".into()),
        InvalidConfig::InvalidPrefix("p".into()),
        InvalidConfig::BackendOrSplit("p".into()),
        InvalidConfig::TooLarge(4_000_000),
    ];
    for (number, invalid) in invalid.iter().enumerate() {
        samples.check(&format!("invalid.{number}"), invalid);
    }
}

/// The durable state in the form that snapshots have, and that files on disk had before layout 3.
fn check_hard_state(samples: &mut Samples) {
    let state = HardState { members: voters(), votes: true, promised: 1025, accepted: 513, record: record() };
    samples.check("hard-state", &state);
}

#[test]
fn each_message_encodes_to_the_bytes_of_the_fixture_and_decodes_from_them() {
    let expected = std::fs::read_to_string(Path::new(FIXTURE_PATH)).unwrap_or_default();
    let mut samples = Samples { expected, actual: String::new() };
    check_connection_openings(&mut samples);
    check_session_messages(&mut samples);
    check_peer_messages(&mut samples);
    check_chain_messages(&mut samples);
    check_invalid_documents(&mut samples);
    check_hard_state(&mut samples);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(FIXTURE_PATH, &samples.actual).expect("the fixture is written");
        return;
    }
    assert!(samples.actual.lines().count() > 70);
    for (actual, expected) in samples.actual.lines().zip(samples.expected.lines()) {
        assert_eq!(actual, expected);
    }
    assert_eq!(samples.actual, samples.expected);
}
