//! A process that starts again between a call and its answer.

use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_control_plane::chain::{
    Call, Chain, ChainSettings, Claim, HardState, JointConfig, Message, Outcome, Output, Record, Start, View,
};
use glenfall_control_plane::messages::CallId;

fn node(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn record() -> Arc<Record> {
    Arc::new(Record { seq: 3, rev: 7, document: b"{}".to_vec(), ..Record::default() })
}

/// A member of a chain of two whose head is node 1, in one of its lives.
fn member(n: u8, life: u64) -> Chain {
    let view = View {
        number: 1 << 32,
        chain: vec![node(1), node(2)],
        members: JointConfig::of(vec![node(1), node(2)]),
    };
    let kept =
        HardState { members: view.members.clone(), votes: true, promised: 0, accepted: 0, record: record() };
    let mut chain = Chain::new(node(n), ChainSettings::default(), Start::Kept(kept)).with_incarnation(life);
    let other = node(3 - n);
    chain.peer_up(0, other);
    let mut due = chain.message(1, other, Message::Install { view: view.clone(), record: record() });
    due.extend(chain.message(2, other, Message::StartView { view: view.clone() }));
    for number in due.iter().filter_map(|output| match output {
        Output::Persist(number, _) => Some(*number),
        _ => None,
    }) {
        chain.synced(3, number);
    }
    chain.message(4, other, Message::StartView { view });
    chain
}

fn answers(outputs: &[Output]) -> Vec<u64> {
    let answered = |output: &Output| match output {
        Output::Answer(call, Outcome::Document(_)) => Some(*call),
        _ => None,
    };
    outputs.iter().filter_map(answered).collect()
}

#[test]
fn an_answer_to_the_last_process_is_none_to_this_one() {
    // Node 2 asks, and starts again; its first call then has the same number.
    let asked = |chain: &mut Chain| {
        let sent = chain.call(10, 1, Call::Read).into_iter().find_map(|output| match output {
            Output::Send(to, Message::Forward { call, .. }) => Some((to, call)),
            _ => None,
        });
        sent.expect("the head is asked")
    };
    let (to, before) = asked(&mut member(2, 100));
    let mut chain = member(2, 200);
    let (_, now) = asked(&mut chain);
    assert_eq!((to, before), (node(1), CallId { incarnation: 100, number: 1 }));
    assert_eq!(now, CallId { incarnation: 200, number: 1 });
    let answer = |call| Message::Answer { call, outcome: Outcome::Document(record()) };
    assert_eq!(answers(&chain.message(11, node(1), answer(before))), [0; 0]);
    assert_eq!(answers(&chain.message(12, node(1), answer(now))), [1]);
    assert_eq!(answers(&chain.message(13, node(1), answer(now))), [0; 0], "nor twice");
}

#[test]
fn an_answer_names_the_call_as_it_came() {
    let call = CallId { incarnation: 5, number: 9 };
    let named = |outputs: Vec<Output>| {
        outputs.into_iter().find_map(|output| match output {
            Output::Send(_, Message::Confirm { call, .. } | Message::Answer { call, .. }) => Some(call),
            _ => None,
        })
    };
    let head = member(1, 1).message(20, node(2), Message::Forward { call, what: Call::Read });
    let down =
        Message::Confirm { view: 1 << 32, origin: node(1), call, claim: Claim::Committed { than: None } };
    let tail = member(2, 1).message(20, node(1), down);
    assert_eq!((named(head), named(tail)), (Some(call), Some(call)));
}
