//! Runs the scenario files; [`spokelift_testutils::scenario`] documents their commands.

use spokelift_testutils::scenario;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");

macro_rules! scenarios {
    ($($test:ident = $file:literal;)*) => {
        $(#[test]
        fn $test() {
            scenario::run(PROGRAM, &format!("{DIRECTORY}/{}", $file));
        })*

        #[test]
        fn every_file_is_run() {
            let named = [$($file),*];
            let files = std::fs::read_dir(DIRECTORY).unwrap();
            for file in files {
                let name = file.unwrap().file_name();
                assert!(named.iter().any(|own| **own == *name), "{name:?} is not run");
            }
        }
    };
}

scenarios! {
    operators_race = "operators-race";
    lost_answers = "lost-answers";
    driver_paused = "driver-paused";
    driver_killed = "driver-killed";
    box_list_away = "box-list-away";
    cut_off = "cut-off";
    late_heartbeats = "late-heartbeats";
    half_open = "half-open";
    lapsed_log = "lapsed-log";
    log_outage = "log-outage";
    all_restart = "all-restart";
    retention = "retention";
    plan_not_read_yet = "plan-not-read-yet";
}
