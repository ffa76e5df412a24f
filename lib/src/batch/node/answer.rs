//! Answers to other nodes.

use std::time::Duration;

use spokelift_platform::job::JobId;
use spokelift_platform::store::Guard;

use crate::batch::node::Node;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::record;
use crate::batch::record::Accepted;

/// How long one call to the store for a peer may take.
const PEER_CALL: Duration = Duration::from_millis(500);

impl Node {
    /// Answers another node.
    pub async fn answer_peer(&self, request: Request) -> Reply {
        match request {
            Request::Store(id, accepted) => self.store_for_peer(id, *accepted).await,
            Request::Read(topic, from) => {
                let page = self.store.read(&topic, from, Duration::ZERO, PEER_CALL).await;
                page.map_or(Reply::Refused, Reply::Page)
            }
            request => match self.scheduler() {
                Some(scheduler) => scheduler.answer(request).await,
                None => Reply::NotReady,
            },
        }
    }

    /// Writes a job that another node took and cannot write itself.
    async fn store_for_peer(&self, id: JobId, accepted: Accepted) -> Reply {
        let record = record::accepted(id, &accepted);
        let written = self.store.append(record::JOB_TOPIC, &[record], Guard::None, PEER_CALL).await;
        match written {
            Ok(_) => {
                self.tell_submitted(id, accepted);
                Reply::Done
            }
            Err(error) if error.is_certain() => Reply::Refused,
            // Silence tells the sender that it is not known.
            Err(_) => std::future::pending().await,
        }
    }
}
