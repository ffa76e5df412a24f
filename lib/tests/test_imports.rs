//! Which files of lib/src/batch import each other in circles. A file in a circle cannot be read, or tried, without all others
//! of it. The circles that there are may only shrink.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Files that stand in circles, circle by circle, the largest first. Only lower numbers are right here.
const KNOWN: [usize; 3] = [42, 5, 3];

type Imports = BTreeMap<String, BTreeSet<String>>;

/// The modules under a directory, by their path within the crate, with the text of each.
fn modules(directory: &Path, path: &str, found: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let file = entry.unwrap().path();
        let name = file.file_stem().unwrap().to_str().unwrap();
        let module = format!("{path}::{name}");
        if file.is_dir() {
            modules(&file, &module, found);
        } else if file.extension().is_some_and(|extension| extension == "rs") {
            found.insert(module, fs::read_to_string(&file).unwrap());
        }
    }
}

/// The module that a path names, or the one that holds what it names.
fn holder(modules: &BTreeMap<String, String>, path: &str) -> Option<String> {
    let mut path = path;
    loop {
        if modules.contains_key(path) {
            return Some(path.to_owned());
        }
        path = path.rsplit_once("::")?.0;
    }
}

fn imports() -> Imports {
    let batch = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/batch");
    let mut found = BTreeMap::new();
    modules(&batch, "batch", &mut found);
    let of = |(module, text): (&String, &String)| {
        let lines = text.lines().filter_map(|line| {
            let line = line.trim_start_matches("pub ");
            line.strip_prefix("use crate::")?.strip_suffix(';')
        });
        let named = lines.filter_map(|path| holder(&found, path));
        (module.clone(), named.filter(|other| other != module).collect())
    };
    found.iter().map(of).collect()
}

/// All modules that a module needs, over others too.
fn needed(imports: &Imports, module: &str) -> BTreeSet<String> {
    let mut needed = BTreeSet::new();
    let mut open = vec![module.to_owned()];
    while let Some(module) = open.pop() {
        for other in &imports[&module] {
            if needed.insert(other.clone()) {
                open.push(other.clone());
            }
        }
    }
    needed
}

/// Sets of modules each of which needs every other one of its set.
fn circles(imports: &Imports) -> Vec<BTreeSet<String>> {
    let needed: BTreeMap<&String, BTreeSet<String>> =
        imports.keys().map(|module| (module, needed(imports, module))).collect();
    let circle = |module: &String| -> BTreeSet<String> {
        let needs_back = |other: &&String| needed[*other].contains(module);
        needed[module].iter().filter(needs_back).cloned().collect()
    };
    let distinct: BTreeSet<BTreeSet<String>> = imports.keys().map(circle).collect();
    let mut circles: Vec<_> = distinct.into_iter().filter(|circle| circle.len() > 1).collect();
    circles.sort_by_key(|circle| std::cmp::Reverse(circle.len()));
    circles
}

#[test]
fn no_more_files_import_each_other_in_circles() {
    let circles = circles(&imports());
    let sizes: Vec<usize> = circles.iter().map(BTreeSet::len).collect();
    assert_eq!(sizes, KNOWN, "{circles:#?}");
}

#[test]
fn a_circle_is_found_and_a_chain_is_none() {
    let imports = |pairs: &[(&str, &[&str])]| -> Imports {
        let set = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        pairs.iter().map(|(name, names)| ((*name).to_owned(), set(names))).collect()
    };
    let chain = imports(&[("a", &["b"]), ("b", &["c"]), ("c", &[])]);
    assert_eq!(circles(&chain), Vec::<BTreeSet<String>>::new());
    let circle = imports(&[("a", &["b"]), ("b", &["c"]), ("c", &["b"])]);
    let sizes: Vec<usize> = circles(&circle).iter().map(BTreeSet::len).collect();
    assert_eq!(sizes, [2]);
}
