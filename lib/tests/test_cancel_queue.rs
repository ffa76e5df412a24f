//! Cancels that wait to be written: they share appends, and each learns whether the store has it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use spokelift_lib::batch::caller::Caller;
use spokelift_lib::batch::cancel_queue::Queue;
use spokelift_lib::batch::record;
use tokio::task::yield_now;

const CANCELS: u64 = 40;
const LIMIT: Duration = Duration::from_secs(60);

/// Starts to write [`CANCELS`] cancels.
async fn start_writes(queue: &Arc<Queue>) -> Vec<tokio::task::JoinHandle<bool>> {
    let write = |id| {
        let (queue, record) = (queue.clone(), record::cancel(id, &Caller::Operator));
        tokio::spawn(async move { queue.write(record, LIMIT).await })
    };
    let writes = (0..CANCELS).map(write).collect();
    yield_now().await;
    writes
}

/// Guards against one append for each cancel: clients that cancel jobs which do not exist would use
/// up the appends that all nodes share.
#[tokio::test]
async fn cancels_that_wait_share_an_append() {
    let queue = Arc::new(Queue::default());
    let writes = start_writes(&queue).await;
    let batch = queue.batches().next().await.unwrap();
    assert_eq!(batch.records().len() as u64, CANCELS);
    batch.confirm();
    assert!(join_all(writes).await.into_iter().all(Result::unwrap));
}

#[tokio::test]
async fn a_cancel_whose_append_failed_is_not_acknowledged() {
    let queue = Arc::new(Queue::default());
    let writes = start_writes(&queue).await;
    drop(queue.batches().next().await.unwrap());
    assert!(!join_all(writes).await.into_iter().any(Result::unwrap));
}

#[tokio::test]
async fn a_cancel_that_is_not_written_in_time_is_not_acknowledged() {
    let queue = Queue::default();
    let limit = Duration::from_millis(1);
    assert!(!queue.write(record::cancel(1, &Caller::Operator), limit).await);
}
