//! Learned run times: that cut-off runs do not count as short ones, that wrong, missing and absurd
//! estimates are corrected, and that what a leader has learned survives it or is like new.

use std::time::Duration;

use spokelift_lib::batch::record;
use spokelift_lib::batch::record::ProgressRecord;
use spokelift_lib::batch::run_time::Observation;
use spokelift_lib::batch::run_time::RunTimes;
use spokelift_lib::transport::clock;
use spokelift_platform::store::Record;

const SECOND: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(24 * 3_600);

fn record(times: &mut RunTimes, estimate: Duration, lasted: Duration, is_done: bool, count: u32) {
    let run = Observation { queue: "q", step: 0, estimate, lasted, is_done };
    (0..count).for_each(|_| times.record(&run));
}

fn is_near(actual: Duration, expected: Duration) -> bool {
    (0.85..1.15).contains(&(actual.as_secs_f64() / expected.as_secs_f64()))
}

#[test]
fn runs_replace_the_estimate() {
    let mut times = RunTimes::default();
    let before = times.of("q", 0, SECOND);
    assert!(before.quantile(0.1) < SECOND && before.quantile(0.9) > SECOND);
    record(&mut times, SECOND, SECOND * 2, true, 200);
    let after = times.of("q", 0, SECOND);
    assert!(is_near(after.quantile(0.1), SECOND * 2), "{after:?}");
    assert!(is_near(after.quantile(0.9), SECOND * 2), "{after:?}");
    assert!(is_near(after.mean(), SECOND * 2), "{after:?}");
    // Older runs fade.
    record(&mut times, SECOND, SECOND / 2, true, 200);
    assert!(is_near(times.of("q", 0, SECOND).quantile(0.5), SECOND / 2));
    // Another step and another queue are not known.
    assert_eq!(times.of("q", 1, SECOND).weight(), 0.0);
    assert_eq!(times.of("other", 0, SECOND).mean(), SECOND);
}

#[test]
fn a_run_that_was_cut_off_is_not_a_short_one() {
    let mut times = RunTimes::default();
    record(&mut times, SECOND, SECOND, true, 100);
    let before = times.of("q", 0, SECOND).quantile(0.5);
    record(&mut times, SECOND, SECOND / 10, false, 100);
    assert!(is_near(times.of("q", 0, SECOND).quantile(0.5), before));
    // One that lasted longer shows that others do.
    record(&mut times, SECOND, SECOND * 3, false, 100);
    assert!(times.of("q", 0, SECOND).quantile(0.9) > SECOND * 2);
}

#[test]
fn missing_and_absurd_estimates_are_corrected() {
    let mut times = RunTimes::default();
    assert_eq!(times.of("q", 0, Duration::ZERO).mean(), Duration::ZERO);
    assert!(times.of("q", 0, Duration::ZERO).quantile(0.1) < SECOND / 10);
    record(&mut times, Duration::ZERO, SECOND * 3, true, 200);
    assert!(is_near(times.of("q", 0, Duration::ZERO).mean(), SECOND * 3));
    record(&mut times, DAY, SECOND, true, 400);
    assert!(times.of("q", 0, DAY).quantile(0.9) < SECOND * 2);
    assert!(times.of("q", 0, DAY).mean() < SECOND * 2);
    let longest = times.of("q", 0, Duration::from_millis(u64::MAX));
    assert!(longest.remaining(DAY, 0.9) < DAY * 40);
}

#[test]
fn the_rest_of_a_run_depends_on_how_long_it_has_lasted() {
    let mut times = RunTimes::default();
    record(&mut times, SECOND, SECOND * 2, true, 300);
    let time = times.of("q", 0, SECOND);
    assert!(is_near(time.remaining(Duration::ZERO, 0.5), SECOND * 2));
    assert!(time.remaining(SECOND, 0.5) < SECOND * 3 / 2);
    // Longer than all others: up to as long again.
    assert_eq!(time.remaining(SECOND * 10, 1.0), SECOND * 10);
    assert!(time.certainty_of_end(Duration::ZERO, SECOND * 3) > 0.9);
    assert!(time.certainty_of_end(Duration::ZERO, SECOND / 2) < 0.1);
}

#[test]
fn the_number_of_series_is_bounded() {
    let mut times = RunTimes::default();
    for number in 0..600 {
        let queue = format!("q{number}");
        let run =
            Observation { queue: &queue, step: 0, estimate: SECOND, lasted: SECOND, is_done: true };
        (0..20).for_each(|_| times.record(&run));
    }
    assert!(times.summaries("q0").is_empty());
    assert_eq!(times.summaries("q599").len(), 1);
    let stored = times.take_for_store(clock::now()).expect("nothing was stored before");
    let record = record::run_times(&stored);
    let length = record.value.as_ref().map_or(0, Vec::len);
    assert!((1..16_384).contains(&length), "{length} bytes");
    assert!(ProgressRecord::decode(&record).is_ok());
}

#[test]
fn what_was_learned_survives_the_leader() {
    let mut times = RunTimes::default();
    record(&mut times, SECOND, SECOND * 2, true, 100);
    let now = clock::now();
    let stored = times.take_for_store(now).expect("nothing was stored before");
    let record = record::run_times(&stored);
    let Ok(ProgressRecord::RunTimes(read)) = ProgressRecord::decode(&record) else {
        panic!("the record decodes")
    };
    let restored = RunTimes::restore(&read);
    for fraction in [0.1, 0.5, 0.9] {
        let [before, after] =
            [&times, &restored].map(|times| times.of("q", 0, SECOND).quantile(fraction));
        assert!(is_near(after, before), "{fraction}: {before:?} {after:?}");
    }
    // Nothing has changed, and then it is too soon.
    assert_eq!(times.take_for_store(now + DAY), None);
    self::record(&mut times, SECOND, SECOND * 4, true, 100);
    assert_eq!(times.take_for_store(now + SECOND), None);
    assert!(times.take_for_store(now + DAY).is_some());
}

#[test]
fn unreadable_records_are_refused() {
    let mut times = RunTimes::default();
    record(&mut times, SECOND, SECOND * 2, true, 100);
    let stored = times.take_for_store(clock::now()).expect("nothing was stored before");
    let record = record::run_times(&stored);
    let value = record.value.clone().expect("it has a value");
    let decode = |value: &[u8]| {
        ProgressRecord::decode(&Record::set(record.key.clone(), value.to_vec())).is_ok()
    };
    assert!(decode(&value));
    assert!(!decode(&value[..value.len() / 2]));
    let newer = [&[2], &value[1..]].concat();
    assert!(!decode(&newer));
    // Noise is refused, or is at least harmless.
    for seed in 0..2_000u32 {
        let noise = (0..40u32).map(|at| (seed.wrapping_mul(2_654_435_761) >> (at % 24)) as u8);
        let noise: Vec<u8> =
            noise.enumerate().map(|(at, byte)| byte ^ (at as u8).wrapping_mul(37)).collect();
        let noise = [&[1], noise.as_slice()].concat();
        let record = Record::set(record.key.clone(), noise);
        if let Ok(ProgressRecord::RunTimes(read)) = ProgressRecord::decode(&record) {
            assert!(RunTimes::restore(&read).of("q", 0, SECOND).quantile(0.9) < DAY);
        }
    }
}
