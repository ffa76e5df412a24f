//! The list of boxes while calls about boxes are slow. Guards against rounds that wait for the list
//! and against decisions by one that is too old.

use std::future::pending;
use std::time::Duration;

use spokelift_lib::batch::box_list::BoxList;
use spokelift_lib::transport::clock;
use spokelift_platform::call::CallError;
use spokelift_platform::machine::List;
use spokelift_platform::machine::Status;
use spokelift_testutils::batch;
use spokelift_transport::dial::ExchangeError;
use tokio::sync::oneshot;

const MAX_AGE: Duration = Duration::from_secs(60);

fn boxes(id: &str) -> List {
    List { machines: vec![batch::machine(id, Status::Up, None)], unnamed_rows: 0 }
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

/// Guards against taking a box for removed while its row may be one of those that cannot be read.
#[tokio::test]
async fn a_row_that_names_no_box_may_be_that_of_any_box_left_out() {
    let mut list = BoxList::default();
    let known = || ["m1", "m2"].map(str::to_owned).into();
    assert!(list.refresh(async { Ok(boxes("m1")) }).await.unwrap().is_some());
    list.keep_known(known());
    assert_eq!((list.boxes().len(), list.unreadable_rows()), (1, 0), "m2 is removed");
    let odd = List { unnamed_rows: 1, ..boxes("m1") };
    assert!(list.refresh(async { Ok(odd) }).await.unwrap().is_some());
    list.keep_known(known());
    let statuses = list.boxes().iter().map(|listed| (listed.id.as_str(), listed.status));
    let statuses: Vec<(&str, Status)> = statuses.collect();
    assert_eq!(statuses, [("m1", Status::Up), ("m2", Status::Unreadable)]);
}
