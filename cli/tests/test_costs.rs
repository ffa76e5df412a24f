//! The costs of a site, as `spokelift batch costs` adds them up.

use std::process::Command;

use serde_json::Value;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::temp_file::TempFile;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const TOOL: &str = env!("CARGO_BIN_EXE_spokelift");

fn costs(arguments: &[&str]) -> Vec<Value> {
    let output = Command::new(TOOL).args(arguments).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).unwrap()
}

fn find<'a>(rows: &'a [Value], kind: &str) -> &'a Value {
    let found = rows.iter().find(|row| row["kind"] == kind);
    found.unwrap_or_else(|| panic!("no {kind} in {rows:?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn the_costs_of_all_nodes_are_added_up() {
    let site = Site::start(PROGRAM, 3, 2, 0).await.unwrap();
    let knows_others = async |site: &Site| {
        let nodes = site.operator_view("nodes").await.unwrap_or_default();
        serde_json::from_str::<Vec<Value>>(&nodes).is_ok_and(|nodes| nodes.len() == 3)
    };
    site.wait_until("a node knows the others", knows_others).await;
    let daemon = site.nodes[0].operator_addr.to_string();
    let rows = costs(&["--json", "--daemon", &daemon, "batch", "costs"]);
    assert_eq!(find(&rows, "store.append.keyed.nodes")["nodes"], 3);
    assert_eq!(find(&rows, "store.append.keyed.nodes")["total"]["count"], 3);
    let polls = find(&rows, "worker.poll");
    assert!(polls["total"]["received_bytes"].as_u64() > Some(0), "{polls}");
}

#[test]
fn the_costs_in_a_log_are_the_last_ones_of_each_node() {
    let line = |node: &str, count: u32| {
        format!(
            "3.1 {node} [x INFO spokelift_lib::batch::costs] costs so far costs={{\"machines.list\":\
             {{\"count\":{count},\"sent_bytes\":0,\"received_bytes\":7}}}}\n"
        )
    };
    let log = [line("a", 1), "another line\n".to_owned(), line("b", 4), line("a", 3)].concat();
    let file = TempFile::new("costs", &log);
    let rows = costs(&["--json", "batch", "costs", "--log", file.path()]);
    let row = find(&rows, "machines.list");
    assert_eq!((&row["total"]["count"], &row["most"]), (&7.into(), &4.into()));
}
