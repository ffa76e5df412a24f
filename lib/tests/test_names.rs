//! The platform's names on the wire stand in `platform/` and in its stand-in, and nowhere else.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Names of fields, calls and headers of the platform.
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

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn names_of_the_platform_stand_in_its_folder_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut files = Vec::new();
    for folder in ["lib/src", "cli/src", "transport/src"] {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 50, "only {} files were found", files.len());
    let mut leaks = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let names = NAMES.iter().filter(|name| text.contains(**name));
        leaks.extend(names.map(|name| format!("{name} in {}", file.display())));
    }
    assert_eq!(leaks, Vec::<String>::new());
    // The check itself finds such names where they belong.
    let decoded = fs::read_to_string(root.join("platform/src/worker.rs")).unwrap();
    assert!(decoded.contains("fencingToken"));
}
