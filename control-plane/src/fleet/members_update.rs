//! The members of one control node's sessions, as it sends them to its peers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::list_delta::ListDelta;
use crate::nodes::Member;

/// The members whose sessions are connected to one control node: a snapshot when a peer connects, and the differences from
/// then on. The connection between the two keeps the order, so that these updates have no versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersUpdate {
    /// The receiver drops the members that it has before it applies the difference.
    is_snapshot: bool,
    delta: ListDelta<Member, String>,
}

impl MembersUpdate {
    /// Sorts members by name, and retains the last one of each name.
    pub fn sorted_by_name(members: Vec<Member>) -> Vec<Member> {
        let by_name: BTreeMap<String, Member> =
            members.into_iter().map(|member| (member.node.clone(), member)).collect();
        by_name.into_values().collect()
    }

    /// All members.
    pub fn snapshot(members: &[Member]) -> Self {
        MembersUpdate { is_snapshot: true, delta: ListDelta::from_empty(members) }
    }

    /// The difference of two lists that are sorted by name; `None` where there is none.
    pub fn delta(old: &[Member], new: &[Member]) -> Option<Self> {
        let delta = ListDelta::between(old, new);
        (!delta.is_empty()).then_some(MembersUpdate { is_snapshot: false, delta })
    }

    /// Applies the update at its receiver.
    pub fn apply(&self, members: &mut Vec<Member>) {
        if self.is_snapshot {
            members.clear();
        }
        self.delta.apply(members);
    }
}
