//! A daemon whose state diverges from the others' detects that and adopts their state.

use bytes::Bytes;
use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::record::Edit;
use spokelift_testutils::fixture::Fixture;
use spokelift_testutils::log::Log;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");

/// The batch with another drain limit for each pool, as a daemon that applies records incorrectly
/// might have it.
fn altered(bytes: &Bytes) -> Bytes {
    let Ok(mut batch) = Batch::decode(bytes) else {
        return bytes.clone();
    };
    for record in &mut batch.records {
        if let Body::Publish(change) = &mut record.body {
            for edit in &mut change.edits {
                if let Edit::Pool(_, _, pool) = edit {
                    pool.drain_limit_s += 1;
                }
            }
        }
    }
    batch.encode().unwrap().into()
}

#[tokio::test]
async fn a_diverged_daemon_rebuilds_its_state_from_the_majority() {
    let mut fixture = Fixture::start(PROGRAM, 3, &[("snapshot-every", "16")]).await.unwrap();
    fixture.set_up().await;
    // Daemon 2 restarts with a log that differs in one value from that of the others.
    let altered_log = Log::start().await.unwrap();
    let records = fixture.log.records();
    for (_, bytes) in &records {
        altered_log.put(altered(bytes));
    }
    fixture.kill_daemon(2);
    fixture.log_links[2].set_upstream(altered_log.addr);
    fixture.start_daemon(2).unwrap();
    let basis = async || {
        let (_, status) = fixture.call_operator_api(2, "GET", "/v1/status", "").await;
        status["basis"] == "log"
    };
    fixture.wait_until("daemon 2 has read the other log", basis).await;
    // From here on it reads the original log, which may only have grown since.
    fixture.log_links[2].set_upstream(fixture.log.addr);
    altered_log.stop();
    fixture.log_links[2]
        .set_fault(spokelift_testutils::proxy::Fault { refuse: true, ..Default::default() });
    fixture.log_links[2].set_fault(spokelift_testutils::proxy::Fault::default());
    // Enough changes to trigger another snapshot mark.
    for round in 0..20 {
        let text =
            fixture.site.config().replace("max_out = 2", &format!("max_out = {}", 1 + round % 2));
        let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/publish", &text).await;
        assert_eq!(status, 200, "{answer}");
    }
    let rebuilt = async || fixture.counter(2, "snapshot.rebuilt").await == 1;
    fixture.wait_until("daemon 2 has rebuilt itself", rebuilt).await;
    assert_eq!(fixture.counter(0, "snapshot.deviant").await, 0);
    assert_eq!(fixture.counter(1, "snapshot.deviant").await, 0);
    fixture.wait_until_serving().await;
}
