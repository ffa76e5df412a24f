//! Refusal by outlook between nodes, on sockets of this process: an outlook passes from node to
//! node, and the node that refuses asks the leader first.
//!
//! Guards against refusals that the leader has not confirmed: the job may have been accepted by
//! another node before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use spokelift_lib::batch::caller::Caller;
use spokelift_lib::batch::leader::lease::LeaderLease;
use spokelift_lib::batch::node::Node;
use spokelift_lib::batch::order_window::HeldBoxes;
use spokelift_lib::batch::outlook::Class;
use spokelift_lib::batch::outlook::Outlook;
use spokelift_lib::batch::outlook::Service;
use spokelift_lib::batch::peer::Reply;
use spokelift_lib::batch::peer::Request;
use spokelift_platform::job::Step;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::node;
use spokelift_testutils::batch::unused_addr;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

const LEADER: u64 = 40;
const JOB: u64 = 7;
const LONG: Duration = Duration::from_secs(20);

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// A leader that answers each question about a refusal like this; `None` for silence.
async fn leader(answer: Option<Reply>) -> SocketAddr {
    let listener = listen().await;
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
            let answer = answer.clone();
            tokio::spawn(async move {
                while let Some(Ok(frame)) = frames.next().await {
                    let (number, request) = postcard::from_bytes::<(u64, Request)>(&frame).unwrap();
                    let reply = match request {
                        Request::MayRefuse(JOB, _, 3) => answer.clone(),
                        _ => Some(Reply::Done),
                    };
                    let Some(reply) = reply else { continue };
                    let bytes = postcard::to_stdvec(&(number, reply)).unwrap();
                    frames.send(Bytes::from(bytes)).await.unwrap();
                }
            });
        }
    });
    addr
}

fn outlook() -> Outlook {
    let classes = vec![Class { on_time: 9_000, late: 90_000, ..Class::default() }];
    let service = Service { capacity: 1, classes, ..Service::default() };
    let services = [("work".to_owned(), service)].into();
    Outlook { leader: 4, incarnation: LEADER, number: 3, age_ms: 0, services }
}

/// A node that believes in a leader at this address.
async fn follower(leader: SocketAddr) -> (Arc<Node>, SocketAddr) {
    let listener = listen().await;
    let addr = listener.local_addr().unwrap();
    let follower = node(listener, unused_addr());
    let lease = LeaderLease {
        node: "n-1".to_owned(),
        incarnation: LEADER,
        addr: leader,
        released: false,
        renewals: 2,
        held_boxes: HeldBoxes::All,
    };
    follower.set_leader_lease(1, &lease);
    (follower, addr)
}

async fn hand_in(node: &Node, long_running: bool) -> Option<Duration> {
    let step = Step { count: 1, cpu: 500, estimate_ms: 1_000, long_running, ..Step::default() };
    let caller = Caller::Anyone { queue: "q".to_owned() };
    node.refuse_by_outlook(JOB, &caller, &accepted(vec![step])).await
}

#[tokio::test]
async fn an_outlook_passes_from_node_to_node_and_refuses_what_the_leader_confirms() {
    let leader = leader(Some(Reply::Refusable { is_over_rate: false })).await;
    let (first, _) = follower(leader).await;
    let (second, addr) = follower(leader).await;
    first.directory.set_nodes([(addr, 1)]);
    assert_eq!(hand_in(&second, false).await, None, "without an outlook nobody is refused");
    first.set_outlook(outlook());
    let refused = async {
        loop {
            match hand_in(&second, false).await {
                Some(delay) => return delay,
                // The outlook is on its way.
                None => sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let delay = timeout(LONG, refused).await.expect("the outlook reaches the other node");
    assert!(delay >= Duration::from_secs(1), "{delay:?}");
    assert_eq!(hand_in(&second, true).await, None, "a job that lasts is never refused");
}

#[tokio::test]
async fn without_the_leaders_confirmation_a_job_is_accepted() {
    let silent = leader(None).await;
    let not_certain = leader(Some(Reply::NotReady)).await;
    for leader in [silent, not_certain, unused_addr()] {
        let (node, _) = follower(leader).await;
        node.set_outlook(outlook());
        assert_eq!(hand_in(&node, false).await, None);
    }
}

/// The leader says that the account keeps to its rate, so the work above the rates does not count.
#[tokio::test]
async fn an_account_within_its_rate_is_not_refused_for_work_above_the_rates() {
    let class = Class { is_over_rate: true, on_time: 9_000, late: 90_000, ..Class::default() };
    let service = Service { capacity: 1, classes: vec![class], ..Service::default() };
    let only_above = Outlook { services: [("work".to_owned(), service)].into(), ..outlook() };
    let step = Step { count: 1, cpu: 500, estimate_ms: 1_000, ..Step::default() };
    let mut job = accepted(vec![step]);
    job.account = Some("a".into());
    let caller = Caller::Account("a".into());
    for is_over_rate in [true, false] {
        let (node, _) = follower(leader(Some(Reply::Refusable { is_over_rate })).await).await;
        node.set_outlook(only_above.clone());
        let refused = node.refuse_by_outlook(JOB, &caller, &job).await;
        assert_eq!(refused.is_some(), is_over_rate);
    }
}
