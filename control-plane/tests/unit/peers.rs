//! What a node reports of its links.

use glenfall_control_plane::chain::{
    Chain, ChainSettings, HardState, JointConfig, Message, NodeId, Output, Start,
};

fn node(number: u8) -> NodeId {
    NodeId::from([10, 0, 0, number])
}

/// A voter of three that starts from its disk.
fn restarted_voter() -> Chain {
    let state = HardState {
        members: JointConfig::of(vec![node(1), node(2), node(3)]),
        votes: true,
        promised: 1,
        accepted: 1,
        record: std::sync::Arc::default(),
    };
    let settings = ChainSettings { losses: 1, eligible: true, ..ChainSettings::default() };
    Chain::new(node(3), settings, Start::Recovered(state))
}

/// The receiver of a heartbeat that reports that its sender reaches `reachable`.
fn receiver_of(output: &Output, reachable: NodeId) -> Option<NodeId> {
    match output {
        Output::Send(receiver, Message::Heartbeat(heartbeat))
            if heartbeat.reachable_peers.contains(&reachable) =>
        {
            Some(*receiver)
        }
        _ => None,
    }
}

#[test]
fn a_new_link_is_announced_to_all_peers_at_once() {
    let mut chain = restarted_voter();
    chain.tick(0);
    chain.peer_connected(100, node(1));
    let outputs = chain.peer_connected(101, node(2));
    let receivers: Vec<NodeId> = outputs.iter().filter_map(|output| receiver_of(output, node(2))).collect();
    assert_eq!(receivers, [node(1), node(2)]);
}
