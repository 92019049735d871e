//! Reports of a node about the peers that it reaches.

use glenfall_control_plane::chain::{
    Chain, ChainSettings, HardState, JointConfig, Message, NodeId, Output, Start,
};

fn node(number: u8) -> NodeId {
    NodeId::from([10, 0, 0, number])
}

/// One of three voters, restarted with its stored state.
fn restarted_voter() -> Chain {
    let state = HardState {
        members: JointConfig::of(vec![node(1), node(2), node(3)]),
        votes: true,
        promised: 1,
        accepted: 1,
        record: std::sync::Arc::default(),
    };
    let settings = ChainSettings { tolerated_losses: 1, eligible: true, ..ChainSettings::default() };
    Chain::new(node(3), settings, Start::Recovered(state))
}

/// The receiver of `output` if it is a heartbeat that lists `reachable` as reachable from the sender.
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
fn a_new_connection_is_reported_to_all_peers_immediately() {
    let mut chain = restarted_voter();
    chain.tick(0);
    chain.peer_connected(100, node(1));
    let outputs = chain.peer_connected(101, node(2));
    let receivers: Vec<NodeId> = outputs.iter().filter_map(|output| receiver_of(output, node(2))).collect();
    assert_eq!(receivers, [node(1), node(2)]);
}
