//! Authentication of callers, and access of accounts to jobs, without a network.

use assert_matches::assert_matches;
use hyper::Request;
use hyper::http::request::Parts;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::admit::Refusal;
use spokelift_lib::batch::admit::admit;
use spokelift_lib::batch::caller::Caller;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::record;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::record::JobKey;
use spokelift_lib::batch::record::JobRecord;
use spokelift_lib::state::account::CredentialError;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::Step;
use spokelift_platform::store::Record;
use spokelift_testutils::batch;
use spokelift_testutils::batch::published;
use spokelift_testutils::batch::published::published_config;

const MISSING: Refusal = Refusal::Credential(CredentialError::Missing);
const MALFORMED: Refusal = Refusal::Credential(CredentialError::Malformed);
const UNKNOWN: Refusal = Refusal::Credential(CredentialError::Unknown);

/// Queue `q` requires a key, `open` does not, and `unset` does not say.
fn config(accounts: Value) -> Config {
    let queues = [("q", Some(false)), ("open", Some(true)), ("unset", None)];
    Config::decode(&published_config(1, &queues, accounts)).unwrap()
}

fn account(name: &str, keys: &[&str]) -> Value {
    published::account(name, keys, 100)
}

fn call(path: &str, credentials: &[&[u8]]) -> Parts {
    let mut request = Request::get(path).header("host", "h");
    for credential in credentials {
        request = request.header("authorization", *credential);
    }
    request.body(()).unwrap().into_parts().0
}

fn caller(config: &Config, credentials: &[&[u8]]) -> Result<Caller, Refusal> {
    admit(config, &call("/q/", credentials)).map(|admitted| admitted.caller)
}

fn account_caller(account: &str) -> Caller {
    Caller::Account(account.into())
}

#[test]
fn a_key_identifies_its_account() {
    let config = config(json!([account("a", &["k1", "k2"]), account("b", &["k3"])]));
    assert_eq!(caller(&config, &[b"Bearer k1"]), Ok(account_caller("a")));
    assert_eq!(caller(&config, &[b"bearer  k2 "]), Ok(account_caller("a")));
    assert_eq!(caller(&config, &[b"BEARER k3"]), Ok(account_caller("b")));
    assert_eq!(caller(&config, &[]), Err(MISSING));
    assert_eq!(caller(&config, &[b"Bearer k4"]), Err(UNKNOWN));
    assert_eq!(caller(&config, &[b"Bearer K1"]), Err(UNKNOWN));
    let long = [b"Bearer ".as_slice(), &[b'k'; 16_384]].concat();
    for malformed in [b"Bearer".as_slice(), b"Bearer ", b"Basic k1", b"k1", b"Bearer \xff", &long] {
        assert_eq!(caller(&config, &[malformed]), Err(MALFORMED));
    }
    assert_eq!(caller(&config, &[b"Bearer k1", b"Bearer k1"]), Err(MALFORMED));
}

#[test]
fn with_accounts_only_queues_marked_open_need_no_key() {
    let with = config(json!([account("a", &["k1"])]));
    let admit_at = |config: &Config, path: &str| {
        admit(config, &call(path, &[])).map(|admitted| admitted.caller)
    };
    assert_matches!(admit_at(&with, "/open/7"), Ok(Caller::Anyone { queue }) if queue == "open");
    assert_eq!(admit_at(&with, "/unset/7"), Err(MISSING));
    let without = config(Value::Null);
    assert_matches!(admit_at(&without, "/unset/7"), Ok(Caller::Anyone { .. }));
    assert_eq!(admit_at(&without, "/q/7"), Err(MISSING), "it asks for a key and there is none");
    assert_eq!(admit_at(&config(json!([])), "/unset/7"), Err(MISSING));
    assert_eq!(admit_at(&with, "/nowhere/7"), Err(Refusal::NoQueue));
}

#[test]
fn invalid_accounts_give_no_access_to_jobs_of_another() {
    let config = config(json!([
        account("a", &["k1", "shared", ""]),
        account("b", &["shared", "k2"]),
        { "name": "a", "apiKeys": ["k3", "k1"], "maximum": { "cpu": 50, "memMb": 7 } },
        { "name": "bare" },
    ]));
    assert_eq!(caller(&config, &[b"Bearer shared"]), Err(UNKNOWN));
    assert_eq!(caller(&config, &[b"Bearer k3"]), Ok(account_caller("a")));
    assert_eq!(caller(&config, &[b"Bearer k1"]), Ok(account_caller("a")));
    let quota = config.accounts()["a"].maximum;
    assert_eq!((quota.cpu, quota.memory_mb, quota.gpu), (50, 7, 0));
    assert_eq!(config.accounts()["a"].keys, 2);
    assert_eq!(config.accounts()["bare"].keys, 0);
    let many: Vec<String> = (0..100_000).map(|number| format!("key-{number}")).collect();
    let config = self::config(json!([{ "name": "many", "apiKeys": many }]));
    assert_eq!(caller(&config, &[b"Bearer key-99999"]), Ok(account_caller("many")));
    for broken in [json!({ "cpu": -1 }), json!({ "cpu": "much" })] {
        let text = published_config(2, &[], json!([{ "name": "a", "maximum": broken }]));
        assert!(Config::decode(&text).is_err());
    }
}

#[test]
fn keys_are_neither_printed_nor_sent() {
    let config = config(json!([account("a", &["s3cret"])]));
    assert!(!format!("{config:?}").contains("s3cret"));
    let sent = postcard::to_stdvec(&config).unwrap();
    assert!(!sent.windows(6).any(|text| text == b"s3cret"));
    let received: Config = postcard::from_bytes(&sent).unwrap();
    assert_eq!(caller(&received, &[b"Bearer s3cret"]), Ok(account_caller("a")));
}

fn job(account: Option<&str>) -> Accepted {
    let step = Step { count: 1, cpu: 100, ..Step::default() };
    Accepted { account: account.map(Into::into), ..batch::accepted(vec![step]) }
}

#[test]
fn no_caller_sees_counts_or_cancels_jobs_of_another_account() {
    let mut cell = Cell::new(7);
    cell.admit(1, job(Some("a")), None);
    cell.admit(2, job(None), None);
    let anyone = Caller::Anyone { queue: "open".to_owned() };
    for other in [account_caller("b"), anyone.clone()] {
        assert_eq!(cell.job_state_for(1, &other), None);
        assert_eq!(cell.cancel_for(1, &other), None);
        assert_eq!(cell.count_pending("q", &other), 1);
        assert_eq!(cell.job_state_for(2, &other), Some(JobState::Pending), "no account owns it");
    }
    assert_eq!(cell.job_state_for(1, &account_caller("a")), Some(JobState::Pending));
    assert_eq!(cell.count_pending("q", &account_caller("a")), 2);
    assert_eq!(cell.cancel_for(1, &account_caller("a")), Some(JobState::Canceled));
}

#[test]
fn a_job_whose_id_is_in_use_by_another_account_is_forgotten() {
    let mut cell = Cell::new(7);
    assert!(cell.admit(1, job(Some("a")), None));
    assert!(!cell.admit(1, job(Some("b")), None));
    assert!(cell.is_job_of(1, Some(&"a".into())));
    assert!(!cell.is_job_of(1, Some(&"b".into())) && !cell.is_job_of(1, None));
    let key = |account: &str| JobKey { id: 1, account: Some(account.into()) };
    cell.record_stored_in(key("a"), 3);
    cell.record_stored_in(key("b"), 3);
    assert_eq!(cell.take_id_conflicts(), [(key("b"), 3)].into());
    // Jobs of different accounts have different keys in the store, so neither the record of the
    // rejected job nor the one that forgets it replaces the other account's record.
    let keys = ["a", "b"].map(|account| record::accepted(1, &job(Some(account))).key);
    assert_ne!(keys[0], keys[1]);
    assert_eq!(record::forget_job(&key("b")).key, keys[1]);
}

#[test]
fn records_of_a_job_name_its_account() {
    let owned = job(Some("a"));
    let read = JobRecord::decode(&record::accepted(9, &owned)).unwrap();
    assert_eq!(read, JobRecord::Accepted(9, Box::new(owned)));
    let cancel = record::cancel(9, &account_caller("a"));
    assert_eq!(JobRecord::decode(&cancel).unwrap(), JobRecord::Cancel(9, account_caller("a")));
}

#[test]
fn records_without_an_account_are_decoded() {
    #[derive(Serialize)]
    struct WithoutAccount<'a>(
        &'a spokelift_platform::job::Job,
        &'a str,
        &'a str,
        u32,
        u32,
        bool,
        u64,
        u32,
        std::time::Duration,
    );
    let job = job(None);
    let Accepted {
        priority, max_attempts, needs_advice, objective_ms, stretch_percent, at, ..
    } = job;
    let old = WithoutAccount(
        &job.job,
        &job.queue,
        &job.service,
        priority,
        max_attempts,
        needs_advice,
        objective_ms,
        stretch_percent,
        at,
    );
    let record = Record::set("0000000000000009", postcard::to_stdvec(&old).unwrap());
    let read = JobRecord::decode(&record).unwrap();
    assert_eq!(read, JobRecord::Accepted(9, Box::new(job)));
    let cancel = Record::set("cancel/0000000000000009", postcard::to_stdvec(&true).unwrap());
    assert_eq!(JobRecord::decode(&cancel).unwrap(), JobRecord::Cancel(9, Caller::Operator));
}
