//! The voter set that determines a quorum.

use glenfall_control_plane::chain::{
    Chain, ChainSettings, HardState, Heartbeat, JointConfig, Message, NodeId, Start,
};

#[test]
fn a_voter_that_was_replaced_does_not_count_a_quorum_of_the_old_set() {
    let node = |n: u8| NodeId::from([10, 0, 0, n]);
    let old = JointConfig::of(vec![node(1), node(2), node(3)]);
    let state = HardState {
        members: old.clone(),
        votes: true,
        promised: 1,
        accepted: 1,
        record: std::sync::Arc::default(),
    };
    let settings = ChainSettings { tolerated_losses: 1, eligible: true, ..ChainSettings::default() };
    let mut chain = Chain::new(node(1), settings, Start::Recovered(state));
    chain.peer_connected(0, node(2));
    let mut is_quorum_after_heartbeat = |members: JointConfig| {
        let heartbeat = Heartbeat { members, reachable_peers: vec![node(1)], ..Heartbeat::default() };
        chain.message_received(10, node(2), Message::Heartbeat(heartbeat));
        chain.is_quorum(&[node(2)])
    };
    assert!(is_quorum_after_heartbeat(old));
    assert!(!is_quorum_after_heartbeat(JointConfig::of(vec![node(2), node(3), node(4)])));
    // During a reconfiguration a quorum is a majority of both sets.
    let joint = |voters: [u8; 3], outgoing: [u8; 3]| {
        let set = |nodes: [u8; 3]| nodes.map(node).to_vec();
        JointConfig { voters: set(voters), outgoing: set(outgoing) }
    };
    assert!(!is_quorum_after_heartbeat(joint([2, 3, 4], [1, 2, 3])));
}
