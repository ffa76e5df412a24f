//! Accounts on the platform, with real daemons: authentication of calls, visibility of jobs,
//! quotas, and the propagation of configuration changes to all nodes.
//!
//! The tests guard against daemons that ignore the configured accounts: calls without a key, or
//! with a key that no configuration holds, are answered with 200, jobs are shown to and cancelled
//! by other accounts, and an account runs as much as there are resources for. They also guard
//! against a node that learns of no later configuration while the store does not answer it.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::view::account::Accounts;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::site::config::Account;
use spokelift_testutils::platform::store::Fault;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// Interval of polling the number of running tasks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn path(number: u64) -> String {
    format!("/q/{}", id(number))
}

fn job(tasks: u32, millis: u32) -> Value {
    let step = json!({ "count": tasks, "cpu": 1000, "memMb": 100, "estimateMs": millis });
    json!({ "spec": format!("ms={millis} cpu=1000 mem=100"), "steps": [step] })
}

/// Two accounts, one of them with two keys.
fn accounts() -> Vec<Account> {
    let mut first = Account::new("first", "key-of-first");
    first.keys.push("second-key-of-first".to_owned());
    vec![first, Account::new("other", "key-of-other")]
}

/// Waits until each node rejects calls without a key.
async fn wait_until_keys_required(site: &Site) {
    for node in 0..site.nodes.len() {
        site.wait_until("a call without a key is refused", async |site| {
            site.call_with(&[], node, Method::GET, &path(99), Value::Null).await.0 == 401
        })
        .await;
    }
}

#[tokio::test]
async fn a_call_needs_a_key_of_an_account() {
    let site = Site::start(PROGRAM, 2, 4, 0).await.unwrap();
    site.publish_config(2, &accounts());
    wait_until_keys_required(&site).await;
    let post = |headers: Vec<(&'static str, &'static [u8])>| {
        let site = &site;
        async move { site.call_with(&headers, 0, Method::POST, &path(1), job(1, 10)).await.0 }
    };
    assert_eq!(post(vec![]).await, 401);
    assert_eq!(post(vec![("authorization", b"Bearer no-such-key")]).await, 401);
    assert_eq!(post(vec![("authorization", b"Bearer ")]).await, 401);
    assert_eq!(post(vec![("authorization", b"Basic key-of-first")]).await, 401);
    assert_eq!(post(vec![("authorization", b"Bearer \xff\xfe")]).await, 401);
    let good: (&str, &[u8]) = ("authorization", b"Bearer key-of-first");
    assert_eq!(post(vec![good, good]).await, 401, "two keys identify no account");
    assert_eq!(site.ledger.start_count(), 0);
    assert_eq!(post(vec![("authorization", b"bearer key-of-first")]).await, 200);
    assert_eq!(post(vec![good]).await, 200);
    site.wait_until("the job has run", async |site| site.ledger.done_count() == 1).await;
    site.assert_no_violations();
}

#[tokio::test]
async fn a_job_belongs_to_its_account() {
    let site = Site::start(PROGRAM, 2, 4, 0).await.unwrap();
    site.publish_config(2, &accounts());
    wait_until_keys_required(&site).await;
    let call = async |key: &str, method: Method, body: Value| {
        site.call_as(key, 1, method, &path(1), body).await.0
    };
    let long_running = json!({
        "spec": "cpu=500 mem=100",
        "steps": [{ "count": 1, "cpu": 500, "memMb": 100, "estimateMs": 100, "longRunning": true }],
    });
    assert_eq!(call("key-of-first", Method::POST, long_running.clone()).await, 200);
    site.wait_until("it runs", async |site| site.ledger.running_tasks(&id(1)) == 1).await;
    assert_eq!(call("key-of-first", Method::GET, Value::Null).await, 200);
    assert_eq!(call("second-key-of-first", Method::GET, Value::Null).await, 200);
    assert_eq!(call("key-of-other", Method::GET, Value::Null).await, 410);
    assert_eq!(call("key-of-other", Method::DELETE, Value::Null).await, 410);
    // A public queue does not show the job of another account either.
    let (status, _) =
        site.call_with(&[], 0, Method::GET, &format!("/open/{}", id(1)), Value::Null).await;
    assert_eq!(status, 410);
    // The same holds after another node has become leader.
    site.nodes[site.leader().unwrap()].kill();
    let is_known = async |site: &Site| {
        let node = usize::from(site.nodes[1].is_running());
        site.call_as("second-key-of-first", node, Method::GET, &path(1), Value::Null).await.0 == 200
    };
    site.wait_until("the next leader knows it", is_known).await;
    let node = usize::from(site.nodes[1].is_running());
    let (status, _) =
        site.call_as("key-of-other", node, Method::DELETE, &path(1), Value::Null).await;
    assert_eq!(status, 410);
    let (status, _) =
        site.call_as("second-key-of-first", node, Method::DELETE, &path(1), Value::Null).await;
    assert_eq!(status, 200);
    site.wait_until("it has ended", async |site| site.ledger.running_tasks(&id(1)) == 0).await;
    site.assert_no_violations();
}

#[tokio::test]
async fn an_account_runs_no_more_than_its_quota() {
    let site = Site::start(PROGRAM, 2, 4, 0).await.unwrap();
    let mut accounts = accounts();
    accounts[0].maximum = (2_000, 0);
    site.publish_config(2, &accounts);
    wait_until_keys_required(&site).await;
    let (status, _) = site.call_as("key-of-first", 0, Method::POST, &path(1), job(8, 150)).await;
    assert_eq!(status, 200);
    let mut max_running = 0;
    while site.ledger.done_count() < 8 {
        max_running = max_running.max(site.ledger.running_tasks(&id(1)));
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(max_running, 2, "concurrent tasks");
    site.assert_no_violations();
}

#[tokio::test]
async fn a_node_that_the_store_does_not_answer_learns_of_a_new_key() {
    let site = Site::start(PROGRAM, 3, 4, 0).await.unwrap();
    site.publish_config(2, &accounts());
    wait_until_keys_required(&site).await;
    let cut_off = (0..3).find(|node| site.leader() != Some(*node)).unwrap();
    site.nodes[cut_off].store_endpoint.set_fault(Fault::Unresponsive);
    let mut later = accounts();
    later[1].keys = vec!["new-key-of-other".to_owned()];
    site.publish_config(3, &later);
    site.wait_until("the node accepts the new key", async |site| {
        let path = path(9);
        site.call_as("new-key-of-other", cut_off, Method::GET, &path, Value::Null).await.0 == 410
    })
    .await;
    let (status, _) =
        site.call_as("key-of-other", cut_off, Method::GET, &path(9), Value::Null).await;
    assert_eq!(status, 401);
    site.assert_no_violations();
}

#[tokio::test]
async fn a_gang_over_the_quota_is_refused_and_operators_see_what_waits() {
    let site = Site::start(PROGRAM, 2, 4, 0).await.unwrap();
    let mut accounts = accounts();
    accounts[0].maximum = (2_000, 0);
    site.publish_config(2, &accounts);
    wait_until_keys_required(&site).await;
    let gang = json!({ "count": 3, "cpu": 1000, "memMb": 100, "estimateMs": 10, "gang": true });
    let gang = json!({ "spec": "ms=10 cpu=1000 mem=100", "steps": [gang] });
    let submit = async |key: &str, number: u64, job: Value| {
        site.call_as(key, 0, Method::POST, &path(number), job).await.0
    };
    assert_eq!(submit("key-of-first", 1, gang.clone()).await, 429);
    assert_eq!(submit("key-of-other", 2, gang).await, 200);
    assert_eq!(submit("key-of-first", 3, job(5, 60_000)).await, 200);
    site.wait_until("two of five run", async |site| site.ledger.running_tasks(&id(3)) == 2).await;
    let json = site.operator_view("accounts").await.unwrap();
    let view: Accounts = serde_json::from_str(&json).unwrap();
    let first = &view.accounts[0];
    assert_eq!((view.version, first.name.as_str(), first.keys), (2, "first", 2));
    assert_eq!((first.cores, first.most_cores, first.held), (2.0, 2.0, 3));
    let explained = site.operator_view(&format!("jobs/{}", id(3))).await.unwrap();
    assert!(explained.contains("its account is at its bound"), "{explained}");
    assert!(!explained.contains("key-of-first") && !format!("{view:?}").contains("key-of-first"));
    site.assert_no_violations();
}

/// Guards against accepting the jobs of two accounts under one id while no leader says whose the id
/// is: one of the two jobs would be deleted.
#[tokio::test]
async fn a_job_accepted_without_a_leader_is_not_deleted_for_another_accounts_job() {
    let site = Site::start(PROGRAM, 3, 2, 0).await.unwrap();
    site.publish_config(2, &accounts());
    wait_until_keys_required(&site).await;
    let leader = site.leader().expect("a node leads");
    let callers = [("key-of-first", (leader + 1) % 3), ("key-of-other", (leader + 2) % 3)];
    site.nodes[leader].kill();
    for number in 1..=4 {
        let path = path(number);
        let submit = |(key, node)| site.call_as(key, node, Method::POST, &path, job(1, 10));
        let (first, other) = tokio::join!(submit(callers[0]), submit(callers[1]));
        let accepted = [first, other].map(|(status, _)| status == 200);
        for ((key, node), _) in callers.into_iter().zip(accepted).filter(|(_, is)| *is) {
            let status = async |site: &Site| {
                site.call_as(key, node, Method::GET, &path, Value::Null).await.0
            };
            let is_known = async |site: &Site| [200, 410].contains(&status(site).await);
            site.wait_until("a leader says whether the job exists", is_known).await;
            assert_eq!(status(&site).await, 200, "{path} of {key} was accepted");
        }
    }
    // Whoever was told nothing certain hands the job in again, and one of the two has it.
    for (number, path) in (1..=4).map(|number| (number, path(number))) {
        let mut owners = 0;
        for (key, node) in callers {
            let submit = async || site.call_as(key, node, Method::POST, &path, job(1, 10)).await.0;
            site.wait_until("the answer is certain", async |_| submit().await != 504).await;
            owners += u32::from(submit().await == 200);
        }
        assert_eq!(owners, 1, "job {number}");
    }
    site.assert_no_violations();
}
