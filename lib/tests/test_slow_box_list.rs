//! The list of boxes while calls about boxes are slow. Guards against rounds that wait for the list
//! and against decisions by one that is too old.

use std::future::pending;
use std::time::Duration;

use spokelift_lib::batch::box_list::BoxList;
use spokelift_lib::transport::clock;
use spokelift_platform::call::CallError;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::Status;
use spokelift_testutils::batch;
use spokelift_transport::dial::ExchangeError;
use tokio::sync::oneshot;

const MAX_AGE: Duration = Duration::from_secs(60);

fn boxes(id: &str) -> Vec<Machine> {
    vec![batch::machine(id, Status::Up, None)]
}

#[tokio::test]
async fn a_round_goes_on_with_the_last_list_while_the_next_does_not_come() {
    let mut list = BoxList::default();
    assert!(!list.is_recent(MAX_AGE, clock::now()), "there is none");
    assert!(list.refresh(async { Ok(boxes("m1")) }).await.unwrap().is_some());
    let (answer, answered) = oneshot::channel();
    let call = async move { answered.await.expect("the test answers") };
    assert!(list.refresh(call).await.unwrap().is_none());
    assert_eq!(list.boxes()[0].id, "m1");
    assert!(list.is_recent(MAX_AGE, clock::now()));
    assert!(!list.is_recent(MAX_AGE, clock::now() + MAX_AGE), "it grows old");
    // The call under way is awaited; no second one is made.
    answer.send(Ok(boxes("m2"))).expect("the call waits");
    while list.refresh(pending()).await.unwrap().is_none() {}
    assert_eq!(list.boxes()[0].id, "m2");
}

#[tokio::test]
async fn a_failed_call_is_reported_once_and_the_next_round_asks_again() {
    let mut list = BoxList::default();
    let failed = list.refresh(async { Err(CallError::Unknown(ExchangeError::Timeout)) }).await;
    assert!(failed.is_err());
    assert!(list.refresh(async { Ok(boxes("m1")) }).await.unwrap().is_some());
}
