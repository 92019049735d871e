//! Updates by which a control node tells its peers about the members that are connected to it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::list_delta::ListDelta;
use crate::nodes::Member;

/// An update of the members whose sessions are connected to one control node. A peer that connects gets a snapshot, and
/// deltas from then on. The connection between two nodes preserves the order, so these updates need no versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersUpdate {
    /// Whether the receiver clears its list before it applies the delta.
    is_snapshot: bool,
    delta: ListDelta<Member, String>,
}

impl MembersUpdate {
    /// Sorts members by node name. Of several members with the same name, the last one is retained.
    pub fn sorted_by_name(members: Vec<Member>) -> Vec<Member> {
        let by_name: BTreeMap<String, Member> =
            members.into_iter().map(|member| (member.node.clone(), member)).collect();
        by_name.into_values().collect()
    }

    /// The update for a receiver that has no list yet.
    pub fn snapshot(members: &[Member]) -> Self {
        MembersUpdate { is_snapshot: true, delta: ListDelta::from_empty(members) }
    }

    /// The delta between two lists that are sorted by name; `None` if they are equal.
    pub fn delta(old: &[Member], new: &[Member]) -> Option<Self> {
        let delta = ListDelta::between(old, new);
        (!delta.is_empty()).then_some(MembersUpdate { is_snapshot: false, delta })
    }

    /// Applies the update to the receiver's list, which must be sorted by name.
    pub fn apply(&self, members: &mut Vec<Member>) {
        if self.is_snapshot {
            members.clear();
        }
        self.delta.apply(members);
    }
}
