//! Calls to the chain, and quorum reads for whoever has to know the newest configuration.

use std::rc::Rc;

use glenfall_control_plane::chain::{Call, Outcome};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Control, READ_AGAIN};

impl Control {
    /// Has the chain decide a call.
    pub(super) async fn call(&self, what: Call) -> Outcome {
        let call = self.next_call.replace(self.next_call.get() + 1);
        let (tell, told) = oneshot::channel();
        self.calls.borrow_mut().insert(call, tell);
        let outputs = {
            let now = self.now();
            self.chain.borrow_mut().call(now, call, what)
        };
        self.carry_out(outputs);
        told.await.unwrap_or(Outcome::Unavailable)
    }

    /// Ends once this node knows the newest configuration as of now.
    pub(super) async fn knows_newest(&self) -> bool {
        let turn = self.asked_newest.get() + 1;
        self.asked_newest.set(turn);
        self.newest_wanted.notify_one();
        self.newest_known.subscribe().wait_for(|known| *known >= turn).await.is_ok()
    }

    /// Quorum reads for whoever waits in [`Control::knows_newest`]: one for all who asked before it began, and another
    /// where it does not come back soon.
    pub(super) async fn follow_newest(self: Rc<Self>) {
        let mut known = self.newest_known.subscribe();
        loop {
            self.newest_wanted.notified().await;
            let turn = self.asked_newest.get();
            while *known.borrow() < turn {
                spawn_local(Rc::clone(&self).read_newest(turn));
                // Silent while no view stands, and where the read came to a head that did not know yet that its view does.
                let _ = timeout(READ_AGAIN, known.wait_for(|known| *known >= turn)).await;
            }
        }
    }

    pub(super) async fn read_newest(self: Rc<Self>, turn: u64) {
        let than = self.chain.borrow().committed().seq;
        if let Outcome::Document(_) | Outcome::Unchanged = self.call(Call::ReadNewer { than }).await {
            self.newest_known.send_if_modified(|known| std::mem::replace(known, turn.max(*known)) < turn);
        }
    }
}
