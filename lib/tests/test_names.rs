//! Names of the platform's wire format are used in `platform/` and in the test double of the
//! platform only.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Fields, paths and headers of the platform's wire format.
const NAMES: [&str; 18] = [
    "apiKeys",
    "pathPrefix",
    "fencingToken",
    "run-start",
    "run-stop",
    "machine-move",
    "machine-upkeep",
    "log-append",
    "log-newest",
    "log-read",
    "lastSeen",
    "coldRemainingMs",
    "X-Fencing-Token",
    "x-fencing-token",
    "cloudApi",
    "enforcesCapacity",
    "longRunning",
    "mayMiss",
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn wire_names_of_the_platform_are_used_in_its_crate_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut files = Vec::new();
    for folder in ["lib/src", "cli/src", "transport/src"] {
        collect_sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 50, "only {} files were found", files.len());
    let mut leaks = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let names = NAMES.iter().filter(|name| text.contains(**name));
        leaks.extend(names.map(|name| format!("{name} in {}", file.display())));
    }
    assert_eq!(leaks, Vec::<String>::new());
    // The check finds such names where they belong.
    let decoded = fs::read_to_string(root.join("platform/src/worker/order.rs")).unwrap();
    assert!(decoded.contains("fencingToken"));
}
