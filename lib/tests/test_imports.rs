//! Import cycles between the files of lib/src/batch. A file in a cycle can be neither understood
//! nor tested without all others of the cycle, so the cycles may only shrink.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Numbers of files in each import cycle, the largest first. A change may only lower them.
const CYCLE_SIZES: [usize; 3] = [41, 5, 3];

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

/// The module that a path names, or the module that contains the named item.
fn module_of(modules: &BTreeMap<String, String>, path: &str) -> Option<String> {
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
        let named = lines.filter_map(|path| module_of(&found, path));
        (module.clone(), named.filter(|other| other != module).collect())
    };
    found.iter().map(of).collect()
}

/// All modules that a module imports, directly or indirectly.
fn reachable(imports: &Imports, module: &str) -> BTreeSet<String> {
    let mut reachable = BTreeSet::new();
    let mut pending = vec![module.to_owned()];
    while let Some(module) = pending.pop() {
        for other in &imports[&module] {
            if reachable.insert(other.clone()) {
                pending.push(other.clone());
            }
        }
    }
    reachable
}

/// Sets of modules in which each imports every other one, directly or indirectly.
fn cycles(imports: &Imports) -> Vec<BTreeSet<String>> {
    let reachable: BTreeMap<&String, BTreeSet<String>> =
        imports.keys().map(|module| (module, reachable(imports, module))).collect();
    let cycle = |module: &String| -> BTreeSet<String> {
        let reaches_back = |other: &&String| reachable[*other].contains(module);
        reachable[module].iter().filter(reaches_back).cloned().collect()
    };
    let distinct: BTreeSet<BTreeSet<String>> = imports.keys().map(cycle).collect();
    let mut cycles: Vec<_> = distinct.into_iter().filter(|cycle| cycle.len() > 1).collect();
    cycles.sort_by_key(|cycle| std::cmp::Reverse(cycle.len()));
    cycles
}

#[test]
fn import_cycles_do_not_grow() {
    let cycles = cycles(&imports());
    let sizes: Vec<usize> = cycles.iter().map(BTreeSet::len).collect();
    assert_eq!(sizes, CYCLE_SIZES, "{cycles:#?}");
}

#[test]
fn a_cycle_is_found_and_a_chain_is_not() {
    let imports = |pairs: &[(&str, &[&str])]| -> Imports {
        let set = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        pairs.iter().map(|(name, names)| ((*name).to_owned(), set(names))).collect()
    };
    let chain = imports(&[("a", &["b"]), ("b", &["c"]), ("c", &[])]);
    assert_eq!(cycles(&chain), Vec::<BTreeSet<String>>::new());
    let cycle = imports(&[("a", &["b"]), ("b", &["c"]), ("c", &["b"])]);
    let sizes: Vec<usize> = cycles(&cycle).iter().map(BTreeSet::len).collect();
    assert_eq!(sizes, [2]);
}
