//! The command line tool against a real daemon: output and exit codes.

use std::process::Output;

use spokelift_testutils::fixture::Fixture;
use spokelift_testutils::fixture::SITE_KEY;
use spokelift_testutils::temp_file::TempFile;
use tokio::process::Command;

const DAEMON: &str = env!("CARGO_BIN_EXE_spokeliftd");
const TOOL: &str = env!("CARGO_BIN_EXE_spokelift");

async fn run_as(fixture: &Fixture, key: &str, words: &[&str]) -> Output {
    let mut command = Command::new(TOOL);
    command.env("NO_COLOR", "1").env_remove("RUST_LOG");
    command.env("SPOKELIFT_DAEMON", fixture.addrs(0).operate.to_string());
    command.env("SPOKELIFT_KEY", key);
    command.args(words).output().await.unwrap()
}

async fn run(fixture: &Fixture, words: &[&str]) -> Output {
    run_as(fixture, SITE_KEY, words).await
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// Masks ids and paths, which differ between runs.
fn mask_ids(text: &str, path: &str) -> String {
    let text = text.replace(path, "FILE");
    let words = text.split_inclusive([' ', '\n', ':', ';']);
    let masked = words.map(|word| {
        let bare = word.trim_end_matches([' ', '\n', ':', ';']);
        let is_id = bare.len() >= 16 && bare.bytes().all(|byte| byte.is_ascii_hexdigit());
        if is_id { word.replace(bare, "ID") } else { word.to_owned() }
    });
    masked.collect()
}

#[tokio::test]
async fn a_site_is_published_and_maintained() {
    let fixture = Fixture::start(DAEMON, 1, &[]).await.unwrap();
    let file = TempFile::new("tour.toml", &fixture.site.config());
    let published = run(&fixture, &["publish", file.path()]).await;
    assert_eq!(code(&published), 0, "{}", stderr(&published));
    insta::assert_snapshot!("publish", mask_ids(&stdout(&published), file.path()));
    let again = run(&fixture, &["publish", file.path()]).await;
    assert!(stdout(&again).starts_with("nothing to change"), "{}", stdout(&again));

    let words = "intent place --account clinics --service booking --replicas 8";
    let words: Vec<&str> = words.split(' ').collect();
    let plan = run(&fixture, &words).await;
    assert_eq!(code(&plan), 0, "{}", stderr(&plan));
    insta::assert_snapshot!("place", mask_ids(&stdout(&plan), file.path()));
    let id = stdout(&plan)[5..21].to_owned();
    let (_, jobs) = fixture.call_operator_api(0, "GET", "/v1/jobs", "").await;
    assert_eq!(jobs[0]["placed"], 0, "nothing changes before the plan is confirmed");
    assert_eq!(code(&run(&fixture, &["plan", "confirm", &id]).await), 0);
    let watched = run(&fixture, &["plan", "watch", &id]).await;
    assert!(stdout(&watched).ends_with("done, 8/8 ended, 0 under way, 0 not done\n"));
    insta::assert_snapshot!("jobs", stdout(&run(&fixture, &["jobs"]).await));

    let plan = run(&fixture, &["intent", "maintain", "--pool", "front"]).await;
    insta::assert_snapshot!("maintain", mask_ids(&stdout(&plan), file.path()));
    let id = stdout(&plan)[5..21].to_owned();
    assert_eq!(code(&run(&fixture, &["plan", "confirm", &id]).await), 0);
    assert_eq!(code(&run(&fixture, &["wave", "pause", &id]).await), 0);
    assert_eq!(code(&run(&fixture, &["wave", "pause", &id]).await), 4, "it is paused already");
    assert_eq!(code(&run(&fixture, &["wave", "resume", &id]).await), 0);
    let watched = run(&fixture, &["plan", "watch", &id]).await;
    assert!(stdout(&watched).ends_with("done, 8/8 ended, 0 under way, 0 not done\n"));
    insta::assert_snapshot!("pools", stdout(&run(&fixture, &["pools"]).await));
    insta::assert_snapshot!("boxes", stdout(&run(&fixture, &["boxes"]).await));
    let json = run(&fixture, &["--json", "pools"]).await;
    let json: serde_json::Value = serde_json::from_str(&stdout(&json)).unwrap();
    assert_eq!(json[0]["max_out"], 2);
    assert!(fixture.ledger.counts().violations().is_empty());
}

#[tokio::test]
async fn a_stale_plan_is_rejected_as_a_whole() {
    let fixture = Fixture::start(DAEMON, 1, &[]).await.unwrap();
    fixture.set_up().await;
    let intent = r#"{"move":{"from":"front","to":"outreach","boxes":1}}"#;
    let first = fixture.propose(0, intent).await;
    let second = fixture.propose(0, intent).await;
    assert_eq!(code(&run(&fixture, &["plan", "confirm", &first]).await), 0);
    let refused = run(&fixture, &["plan", "confirm", &second]).await;
    assert_eq!(code(&refused), 4);
    assert!(stderr(&refused).contains("pool front changed at"), "{}", stderr(&refused));
    fixture.wait_until_plan_ended(0, &first).await;
    let (_, pools) = fixture.call_operator_api(0, "GET", "/v1/pools", "").await;
    assert_eq!((&pools[0]["boxes"], &pools[1]["boxes"]), (&7.into(), &5.into()));
    assert_eq!(fixture.plan(0, &second).await["phase"], "proposed");
    assert_eq!(code(&run(&fixture, &["plan", "cancel", &second]).await), 0);
}

#[tokio::test]
async fn faults_of_a_file_are_shown_at_their_location() {
    let fixture = Fixture::start(DAEMON, 1, &[]).await.unwrap();
    let text = "[[account]]\nname = \"clinics\"\n\n[[pool]]\nname = \"front\"\n\
                account = \"clinics\"\nmax_out = 5\nboxes = [\"box-000\", \"box-100\"]\n\n\
                [[service]]\nname = \"booking\"\naccount = \"clinics\"\npool = \"back\"\n\
                slots = 0\n";
    let file = TempFile::new("faults.toml", text);
    let refused = run(&fixture, &["publish", file.path()]).await;
    assert_eq!(code(&refused), 3);
    insta::assert_snapshot!("faults", mask_ids(&stderr(&refused), file.path()));
    let file = TempFile::new("syntax.toml", "[[pool]]\nname = \"front\ncolour = 1\n");
    let refused = run(&fixture, &["publish", file.path()]).await;
    assert_eq!(code(&refused), 3);
    insta::assert_snapshot!("syntax", mask_ids(&stderr(&refused), file.path()));
}

#[tokio::test]
async fn each_kind_of_failure_has_its_exit_code() {
    let fixture = Fixture::start(DAEMON, 1, &[]).await.unwrap();
    assert_eq!(code(&run(&fixture, &["publish", "no-such-file"]).await), 1);
    assert_eq!(code(&run(&fixture, &["no-such-command"]).await), 2);
    assert_eq!(code(&run(&fixture, &["--daemon", "nowhere", "pools"]).await), 2);
    assert_eq!(code(&run_as(&fixture, "site:wrong", &["pools"]).await), 3);
    assert_eq!(code(&run(&fixture, &["plan", "show", "ff"]).await), 3);
    assert_eq!(code(&run(&fixture, &["record", "ff"]).await), 5);
    assert_eq!(code(&run(&fixture, &["--daemon", "127.0.0.1:9", "pools"]).await), 1);
    assert_eq!(code(&run(&fixture, &["trial", "--site", "elsewhere"]).await), 2);
}
