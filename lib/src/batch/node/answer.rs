//! Answers to other nodes.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::batch::node::Node;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::peer::serve::serve;
use crate::transport::admission::Control;

impl Node {
    /// Answers requests of other nodes until the process ends.
    pub async fn serve_peers(self: Arc<Self>, listener: TcpListener, admission: Control) {
        let answer = move |request| {
            let node = self.clone();
            async move { node.answer_peer(request).await }
        };
        serve(listener, admission, answer).await;
    }

    /// Answers a request of another node.
    pub async fn answer_peer(self: &Arc<Self>, request: Request) -> Reply {
        match request {
            Request::Ping => Reply::Done,
            Request::Dispatch(commands) => {
                match self.remote_dispatch.take_commands(
                    &self.dispatch_context(),
                    &self.peers,
                    *commands,
                ) {
                    true => Reply::Done,
                    false => Reply::NotReady,
                }
            }
            Request::Newer { version, from } => {
                self.on_version(version, from);
                Reply::Done
            }
            Request::Leader { offset, lease } => {
                self.set_leader_lease(offset, &lease);
                Reply::Done
            }
            Request::Outlook(outlook) => {
                self.set_outlook(*outlook);
                Reply::Done
            }
            Request::Config(version) => Reply::Config(self.config_newer_than(version)),
            Request::ConfigPart(request) => Reply::ConfigPart(self.config_part(&request)),
            Request::ClaimPromise { token, incarnation } => {
                Reply::ClaimPromise(self.promise_to(token, incarnation))
            }
            Request::Relay(call) => Reply::Relayed(self.relay_for_peer(call).await),
            request => match self.scheduler() {
                Some(scheduler) => scheduler.answer_peer(request).await,
                None => Reply::NotReady,
            },
        }
    }
}
