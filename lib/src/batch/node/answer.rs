//! Answers to other nodes.

use crate::batch::node::Node;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;

impl Node {
    /// Answers another node.
    pub async fn answer_peer(&self, request: Request) -> Reply {
        match request {
            Request::Ping => Reply::Done,
            Request::Carry(errand) => {
                match self.carried.take(&self.tools(), &self.peers, *errand) {
                    true => Reply::Done,
                    false => Reply::NotReady,
                }
            }
            Request::Relay(call) => Reply::Relayed(self.relay_for_peer(call).await),
            request => match self.scheduler() {
                Some(scheduler) => scheduler.answer(request).await,
                None => Reply::NotReady,
            },
        }
    }
}
