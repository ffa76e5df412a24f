//! A daemon that starts on a long log does not serve before it has read the log to its end.

use std::time::Duration;

use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::record::Record;
use spokelift_testutils::fixture::Fixture;
use spokelift_testutils::log::Faults;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// Several times as many as a daemon reads at a time.
const BATCHES: u64 = 6000;

#[tokio::test]
async fn a_daemon_does_not_serve_before_it_has_read_to_the_end() {
    let mut fixture = Fixture::start(PROGRAM, 2, &[]).await.unwrap();
    fixture.set_up().await;
    for sequence in 1..=BATCHES {
        let body = Body::Down(vec!["no-such-box".into()]);
        let records = vec![Record { id: sequence.into(), body }];
        let batch = Batch { writer: 9, incarnation: 1, sequence, records };
        fixture.log.put(batch.encode().unwrap().into());
    }
    fixture.kill_daemon(0);
    fixture.kill_daemon(1);
    let end = fixture.log.next_offset();
    fixture.log.set_faults(Faults { delay: Duration::from_millis(150), ..Faults::default() });
    fixture.start_daemon(0).unwrap();
    fixture.start_daemon(1).unwrap();
    let mut partial_reads = 0;
    let served = async || {
        for id in [0, 1] {
            let (_, status) = fixture.call_operator_api(id, "GET", "/v1/status", "").await;
            let next = status["next"].as_u64().unwrap_or(0);
            partial_reads += u64::from(next > 0 && next < end);
            let is_early = status["serving"] == true && next < end;
            assert!(!is_early, "daemon {id} serves at {next} of {end}");
        }
        let (_, status) = fixture.call_operator_api(0, "GET", "/v1/status", "").await;
        status["serving"] == true
    };
    fixture.wait_until("daemon 0 serves", served).await;
    assert!(partial_reads > 0, "no daemon was observed with part of the log");
}
