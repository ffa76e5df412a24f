//! Who a call is from, and which jobs are theirs, without a network.

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
use spokelift_testutils::batch::published::published;

const MISSING: Refusal = Refusal::Credential(CredentialError::Missing);
const MALFORMED: Refusal = Refusal::Credential(CredentialError::Malformed);
const UNKNOWN: Refusal = Refusal::Credential(CredentialError::Unknown);

/// Queue `q` asks for a key, `open` does not, `silent` does not say.
fn config(accounts: Value) -> Config {
    let queues = [("q", Some(false)), ("open", Some(true)), ("silent", None)];
    Config::decode(&published(1, &queues, accounts)).unwrap()
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

fn of(account: &str) -> Caller {
    Caller::Account(account.into())
}

#[test]
fn a_key_names_its_account() {
    let config = config(json!([account("a", &["k1", "k2"]), account("b", &["k3"])]));
    assert_eq!(caller(&config, &[b"Bearer k1"]), Ok(of("a")));
    assert_eq!(caller(&config, &[b"bearer  k2 "]), Ok(of("a")));
    assert_eq!(caller(&config, &[b"BEARER k3"]), Ok(of("b")));
    assert_eq!(caller(&config, &[]), Err(MISSING));
    assert_eq!(caller(&config, &[b"Bearer k4"]), Err(UNKNOWN));
    assert_eq!(caller(&config, &[b"Bearer K1"]), Err(UNKNOWN));
    let long = [b"Bearer ".as_slice(), &[b'k'; 16_384]].concat();
    for odd in [b"Bearer".as_slice(), b"Bearer ", b"Basic k1", b"k1", b"Bearer \xff", &long] {
        assert_eq!(caller(&config, &[odd]), Err(MALFORMED));
    }
    assert_eq!(caller(&config, &[b"Bearer k1", b"Bearer k1"]), Err(MALFORMED));
}

#[test]
fn only_queues_that_say_so_are_open_where_there_are_accounts() {
    let with = config(json!([account("a", &["k1"])]));
    let at = |config: &Config, path: &str| {
        admit(config, &call(path, &[])).map(|admitted| admitted.caller)
    };
    assert_matches!(at(&with, "/open/7"), Ok(Caller::Anyone { queue }) if queue == "open");
    assert_eq!(at(&with, "/silent/7"), Err(MISSING));
    let without = config(Value::Null);
    assert_matches!(at(&without, "/silent/7"), Ok(Caller::Anyone { .. }));
    assert_eq!(at(&without, "/q/7"), Err(MISSING), "it asks for a key and there is none");
    assert_eq!(at(&config(json!([])), "/silent/7"), Err(MISSING));
    assert_eq!(at(&with, "/nowhere/7"), Err(Refusal::NoQueue));
}

#[test]
fn odd_accounts_give_nobody_the_jobs_of_another() {
    let config = config(json!([
        account("a", &["k1", "shared", ""]),
        account("b", &["shared", "k2"]),
        { "name": "a", "apiKeys": ["k3", "k1"], "maximum": { "cpu": 50, "memMb": 7 } },
        { "name": "bare" },
    ]));
    assert_eq!(caller(&config, &[b"Bearer shared"]), Err(UNKNOWN));
    assert_eq!(caller(&config, &[b"Bearer k3"]), Ok(of("a")));
    assert_eq!(caller(&config, &[b"Bearer k1"]), Ok(of("a")));
    let bound = config.accounts()["a"].maximum;
    assert_eq!((bound.cpu, bound.memory_mb, bound.gpu), (50, 7, 0));
    assert_eq!(config.accounts()["a"].keys, 2);
    assert_eq!(config.accounts()["bare"].keys, 0);
    let many: Vec<String> = (0..100_000).map(|number| format!("key-{number}")).collect();
    let config = self::config(json!([{ "name": "many", "apiKeys": many }]));
    assert_eq!(caller(&config, &[b"Bearer key-99999"]), Ok(of("many")));
    for broken in [json!({ "cpu": -1 }), json!({ "cpu": "much" })] {
        let text = published(2, &[], json!([{ "name": "a", "maximum": broken }]));
        assert!(Config::decode(&text).is_err());
    }
}

#[test]
fn keys_stand_nowhere() {
    let config = config(json!([account("a", &["s3cret"])]));
    assert!(!format!("{config:?}").contains("s3cret"));
    let passed_on = postcard::to_stdvec(&config).unwrap();
    assert!(!passed_on.windows(6).any(|text| text == b"s3cret"));
    let received: Config = postcard::from_bytes(&passed_on).unwrap();
    assert_eq!(caller(&received, &[b"Bearer s3cret"]), Ok(of("a")));
}

fn job(account: Option<&str>) -> Accepted {
    let step = Step { count: 1, cpu: 100, ..Step::default() };
    Accepted { account: account.map(Into::into), ..batch::accepted(vec![step]) }
}

#[test]
fn nobody_sees_counts_or_cancels_the_jobs_of_others() {
    let mut cell = Cell::new(7);
    cell.admit(1, job(Some("a")), None);
    cell.admit(2, job(None), None);
    let anyone = Caller::Anyone { queue: "open".to_owned() };
    for stranger in [of("b"), anyone.clone()] {
        assert_eq!(cell.job_state_for(1, &stranger), None);
        assert_eq!(cell.cancel_for(1, &stranger), None);
        assert_eq!(cell.count_pending("q", &stranger), 1);
        assert_eq!(cell.job_state_for(2, &stranger), Some(JobState::Pending), "it is nobody's");
    }
    assert_eq!(cell.job_state_for(1, &of("a")), Some(JobState::Pending));
    assert_eq!(cell.count_pending("q", &of("a")), 2);
    assert_eq!(cell.cancel_for(1, &of("a")), Some(JobState::Canceled));
}

#[test]
fn a_job_under_the_id_of_another_accounts_is_let_go_of() {
    let mut cell = Cell::new(7);
    assert!(cell.admit(1, job(Some("a")), None));
    assert!(!cell.admit(1, job(Some("b")), None));
    assert!(cell.is_job_of(1, Some(&"a".into())));
    assert!(!cell.is_job_of(1, Some(&"b".into())) && !cell.is_job_of(1, None));
    let key = |account: &str| JobKey { id: 1, account: Some(account.into()) };
    cell.record_kept(key("a"), 3);
    cell.record_kept(key("b"), 3);
    assert_eq!(cell.take_id_conflicts(), [(key("b"), 3)].into());
    // Its record took no other's place in the store, and neither does that which drops it.
    let keys = ["a", "b"].map(|account| record::accepted(1, &job(Some(account))).key);
    assert_ne!(keys[0], keys[1]);
    assert_eq!(record::forget_job(&key("b")).key, keys[1]);
}

#[test]
fn records_of_a_job_tell_whose_it_is() {
    let owned = job(Some("a"));
    let read = JobRecord::decode(&record::accepted(9, &owned)).unwrap();
    assert_eq!(read, JobRecord::Accepted(9, Box::new(owned)));
    let wish = record::cancel(9, &of("a"));
    assert_eq!(JobRecord::decode(&wish).unwrap(), JobRecord::Cancel(9, of("a")));
}

#[test]
fn records_of_before_accounts_are_read() {
    #[derive(Serialize)]
    struct Before<'a>(
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
    let now = job(None);
    let Accepted {
        priority, max_attempts, needs_advice, objective_ms, stretch_percent, at, ..
    } = now;
    let before = Before(
        &now.job,
        &now.queue,
        &now.service,
        priority,
        max_attempts,
        needs_advice,
        objective_ms,
        stretch_percent,
        at,
    );
    let kept = Record::set("0000000000000009", postcard::to_stdvec(&before).unwrap());
    let read = JobRecord::decode(&kept).unwrap();
    assert_eq!(read, JobRecord::Accepted(9, Box::new(now)));
    let wish = Record::set("cancel/0000000000000009", postcard::to_stdvec(&true).unwrap());
    assert_eq!(JobRecord::decode(&wish).unwrap(), JobRecord::Cancel(9, Caller::Operator));
}
