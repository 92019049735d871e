//! Voters: who counts a majority of which set.

use glenfall_control_plane::chain::{
    Chain, ChainSettings, HardState, Heartbeat, JointConfig, Message, NodeId, Start,
};

#[test]
fn who_was_replaced_meanwhile_does_not_count_a_majority_of_the_old_set() {
    let node = |n: u8| NodeId::from([10, 0, 0, n]);
    let old = JointConfig::of(vec![node(1), node(2), node(3)]);
    let kept =
        HardState { members: old.clone(), votes: true, promised: 1, accepted: 1, record: Default::default() };
    let terms = ChainSettings { losses: 1, eligible: true, ..ChainSettings::default() };
    let mut back = Chain::new(node(1), terms, Start::Kept(kept));
    back.peer_up(0, node(2));
    let mut says = |members: JointConfig| {
        let beat = Heartbeat { members, heard_peers: vec![node(1)], ..Heartbeat::default() };
        back.message(10, node(2), Message::Heartbeat(beat));
        back.is_quorum(&[node(2)])
    };
    assert!(says(old));
    assert!(!says(JointConfig::of(vec![node(2), node(3), node(4)])));
    // On the way from one set to the other it takes a majority of both.
    let both = |voters: [u8; 3], before: [u8; 3]| {
        let set = |nodes: [u8; 3]| nodes.map(node).to_vec();
        JointConfig { voters: set(voters), outgoing: set(before) }
    };
    assert!(!says(both([2, 3, 4], [1, 2, 3])));
}
