//! Call ids in answers, by which a restarted node recognises answers to calls of its earlier process.

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

/// Node `n` in a started view whose chain is node 1, the head, and node 2, the tail.
fn member(n: u8, incarnation: u64) -> Chain {
    let view = View {
        number: 1 << 32,
        chain: vec![node(1), node(2)],
        members: JointConfig::of(vec![node(1), node(2)]),
    };
    let hard_state =
        HardState { members: view.members.clone(), votes: true, promised: 0, accepted: 0, record: record() };
    let mut chain = Chain::new(node(n), ChainSettings::default(), Start::Recovered(hard_state))
        .with_incarnation(incarnation);
    let other = node(3 - n);
    chain.peer_connected(0, other);
    let mut outputs =
        chain.message_received(1, other, Message::Install { view: view.clone(), record: record() });
    outputs.extend(chain.message_received(2, other, Message::StartView { view: view.clone() }));
    for number in outputs.iter().filter_map(|output| match output {
        Output::Persist(number, _) => Some(*number),
        _ => None,
    }) {
        chain.write_completed(3, number);
    }
    chain.message_received(4, other, Message::StartView { view });
    chain
}

fn answered_calls(outputs: &[Output]) -> Vec<u64> {
    let answered_call = |output: &Output| match output {
        Output::Answer(call, Outcome::Document(_)) => Some(*call),
        _ => None,
    };
    outputs.iter().filter_map(answered_call).collect()
}

#[test]
fn an_answer_to_a_call_of_an_earlier_process_is_ignored() {
    // Node 2 sends a call and restarts; its first call after that has the same number.
    let forward_read = |chain: &mut Chain| {
        let forward = chain.call(10, 1, Call::Read).into_iter().find_map(|output| match output {
            Output::Send(to, Message::Forward { id: call, .. }) => Some((to, call)),
            _ => None,
        });
        forward.expect("the call is forwarded to the head")
    };
    let (to, id_before_restart) = forward_read(&mut member(2, 100));
    let mut chain = member(2, 200);
    let (_, id_after_restart) = forward_read(&mut chain);
    assert_eq!((to, id_before_restart), (node(1), CallId { incarnation: 100, number: 1 }));
    assert_eq!(id_after_restart, CallId { incarnation: 200, number: 1 });
    let answer = |id| Message::Answer { id, outcome: Outcome::Document(record()) };
    assert_eq!(answered_calls(&chain.message_received(11, node(1), answer(id_before_restart))), [0; 0]);
    assert_eq!(answered_calls(&chain.message_received(12, node(1), answer(id_after_restart))), [1]);
    assert_eq!(
        answered_calls(&chain.message_received(13, node(1), answer(id_after_restart))),
        [0; 0],
        "a duplicate answer is not ignored"
    );
}

#[test]
fn an_answer_repeats_the_id_of_the_call() {
    let call = CallId { incarnation: 5, number: 9 };
    let id_of = |outputs: Vec<Output>| {
        outputs.into_iter().find_map(|output| match output {
            Output::Send(_, Message::Confirm { id, .. } | Message::Answer { id, .. }) => Some(id),
            _ => None,
        })
    };
    let head_outputs =
        member(1, 1).message_received(20, node(2), Message::Forward { id: call, call: Call::Read });
    let confirm = Message::Confirm {
        view: 1 << 32,
        origin: node(1),
        id: call,
        claim: Claim::Committed { newer_than: None },
    };
    let tail_outputs = member(2, 1).message_received(20, node(1), confirm);
    assert_eq!((id_of(head_outputs), id_of(tail_outputs)), (Some(call), Some(call)));
}
