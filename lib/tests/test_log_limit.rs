//! Under any load the log says how often each decision was taken: lines that are not written singly
//! are counted in summaries, within a bound, and nobody waits for the log.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use log::Level;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use spokelift_lib::log_limit::Budget;
use spokelift_lib::log_limit::Pipe;
use spokelift_lib::log_limit::RateLimited;
use spokelift_lib::transport::clock;

/// A logger that keeps its lines as text: the message, then each field.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<String>>>);

impl Kept {
    fn lines(&self) -> Vec<String> {
        self.0.lock().unwrap().clone()
    }

    /// The lines that begin with a text.
    fn beginning(&self, text: &str) -> Vec<String> {
        self.lines().into_iter().filter(|line| line.starts_with(text)).collect()
    }

    /// Lines of an event: those written singly, and those in summaries.
    fn lines_of(&self, event: &str) -> (u64, u64) {
        let summaries = self.beginning(&format!("summary|event={event}|"));
        (self.beginning(&format!("{event}|")).len() as u64, sum(&summaries, "lines"))
    }
}

impl Log for Kept {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        struct Fields(String);
        impl<'a> VisitSource<'a> for Fields {
            fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), kv::Error> {
                self.0.push_str(&format!("{key}={value}|"));
                Ok(())
            }
        }
        let mut line = Fields(format!("{}|", record.args()));
        record.key_values().visit(&mut line).unwrap();
        self.0.lock().unwrap().push(line.0);
    }

    fn flush(&self) {}
}

/// The value of a field.
fn field<'a>(line: &'a str, key: &str) -> &'a str {
    let mut fields = line.split('|').filter_map(|field| field.split_once('='));
    fields.find(|(known, _)| *known == key).map_or("", |(_, value)| value)
}

fn sum(lines: &[String], key: &str) -> u64 {
    lines.iter().map(|line| field(line, key).parse::<u64>().unwrap()).sum()
}

/// The sum of a field in a summary.
fn total(shown: &str) -> u64 {
    if let Some((_, sum)) = shown.split_once("sum=") {
        return sum.parse().unwrap();
    }
    let counts = shown.split(", ").map(|count| count.split_once('=').unwrap());
    counts.map(|(value, lines)| value.parse::<u64>().unwrap() * lines.parse::<u64>().unwrap()).sum()
}

/// Logs a start with a task of its own.
fn log_start(logger: &impl Log, number: u64, service: &str, waited_ms: u64) {
    let task = format!("{number:016x}.0.0.0");
    let fields = [
        ("task", Value::from(task.as_str())),
        ("service", Value::from(service)),
        ("waited_ms", Value::from(waited_ms)),
    ];
    let fields = fields.as_slice();
    let mut record = Record::builder();
    record.target("place").file_static(Some("place.rs")).line(Some(7)).key_values(&fields);
    logger.log(&record.args(format_args!("start")).build());
}

fn log_text(logger: &impl Log, level: Level, line: u32, text: fmt::Arguments<'_>) {
    logger.log(&Record::builder().level(level).line(Some(line)).args(text).build());
}

#[test]
fn lines_of_an_event_beyond_its_share_are_not_written_singly() {
    let now = clock::now();
    let mut budget = Budget::new(now);
    let take = |budget: &mut Budget, event, level, now| {
        (0..10_000).filter(|_| budget.try_take_line(event, level, now)).count()
    };
    assert_eq!(take(&mut budget, 1, Level::Info, now), 334);
    // What is left is shared among any number of other events, and the total is bounded.
    let others: usize = (2..200).map(|event| take(&mut budget, event, Level::Info, now)).sum();
    assert_eq!(334 + others, 1_000);
    // Warnings have a reserve of their own, shared in the same way.
    assert_eq!(take(&mut budget, 3_000, Level::Warn, now), 67);
    assert!(budget.try_take_line(3_001, Level::Error, now));
    let later = now + Duration::from_secs(1);
    assert!(budget.try_take_line(1, Level::Info, later));
    let warnings = take(&mut budget, 3_000, Level::Error, later);
    assert!((100..=700).contains(&warnings), "{warnings}");
}

#[test]
fn the_rate_of_single_lines_is_bounded_and_shared() {
    let start = clock::now();
    let mut budget = Budget::new(start);
    let mut passed = [0; 30];
    // Thirty events of 1,000 lines a second each, and one of a line a second.
    for ms in 0..20_000_u64 {
        let now = start + Duration::from_millis(ms);
        for (event, passed) in passed.iter_mut().enumerate() {
            *passed += u32::from(budget.try_take_line(event as u64, Level::Info, now));
        }
        if ms % 1_000 == 999 {
            assert!(budget.try_take_line(99, Level::Info, now), "at {ms} ms");
        }
    }
    assert!(passed.iter().sum::<u32>() <= 1_000 + 300 * 20, "{passed:?}");
    assert!(passed.iter().all(|passed| *passed >= 100), "{passed:?}");
}

#[test]
fn lines_of_a_calm_second_are_untouched() {
    let kept = Kept::default();
    let logger = RateLimited::new(kept.clone());
    for number in 0..200 {
        log_start(&logger, number, "resize", number);
    }
    logger.flush();
    let expected = (0..200)
        .map(|number| format!("start|task={number:016x}.0.0.0|service=resize|waited_ms={number}|"));
    assert_eq!(kept.lines(), expected.collect::<Vec<String>>());
}

#[test]
fn every_decision_beyond_the_bound_is_counted() {
    let kept = Kept::default();
    let logger = Arc::new(RateLimited::new(kept.clone()));
    let services = ["resize", "encode", "thumbnail"];
    let started_at = clock::now();
    // Four threads, so that summaries are written while lines are added.
    let threads = (0..4).map(|thread| {
        let logger = logger.clone();
        thread::spawn(move || {
            for number in 0..10_000_u64 {
                let service = services[number as usize % 3];
                log_start(&*logger, thread * 10_000 + number, service, number);
                if number % 2_500 == 0 {
                    logger.flush();
                }
                if number % 10 == 0 {
                    let why = ["busy", "full"][number as usize % 4 / 2];
                    log_text(&*logger, Level::Info, 8, format_args!("start not accepted: {why}"));
                }
            }
            log_text(&*logger, Level::Info, 9, format_args!("became leader"));
            log_text(&*logger, Level::Error, 10, format_args!("cannot decode"));
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        thread.join().unwrap();
    }
    logger.flush();

    let (single, summed) = kept.lines_of("start");
    assert_eq!(single + summed, 40_000);
    let summaries = kept.beginning("summary|event=start|");
    let mut by_service = [0; 3];
    let mut waited_ms = 0;
    for line in kept.beginning("start|") {
        waited_ms += field(&line, "waited_ms").parse::<u64>().unwrap();
        let service = services.iter().position(|name| *name == field(&line, "service"));
        by_service[service.unwrap()] += 1;
    }
    for line in &summaries {
        if field(line, "lines").parse::<u64>().unwrap() > 16 {
            assert!(field(line, "task").ends_with(".0.0.0, ..."), "{line}");
        }
        waited_ms += total(field(line, "waited_ms"));
        for count in field(line, "service").split(", ") {
            let (name, lines) = count.split_once('=').unwrap();
            let service = services.iter().position(|known| *known == name).unwrap();
            by_service[service] += lines.parse::<u64>().unwrap();
        }
    }
    assert_eq!(by_service, [4 * 3_334, 4 * 3_333, 4 * 3_333]);
    assert_eq!(waited_ms, 4 * (0..10_000).sum::<u64>());

    // Where the text holds the reason, its values are counted in the same way.
    let refused = kept.beginning("start not accepted: ").len() as u64;
    let summaries = kept.beginning("summary|event=start not accepted:");
    assert_eq!(refused + sum(&summaries, "lines"), 4_000);
    assert!(
        summaries.iter().any(|line| line.contains("start not accepted: busy=")),
        "{summaries:?}"
    );

    // Rare events are written singly beside them, nothing is dropped, and the total is bounded.
    assert_eq!(kept.lines_of("became leader"), (4, 0));
    assert_eq!(kept.lines_of("cannot decode"), (4, 0));
    assert!(!kept.lines().iter().any(|line| line.contains("dropped")));
    let seconds = clock::since(started_at).as_secs_f64();
    assert!((kept.lines().len() as f64) < 1_200.0 + 300.0 * seconds + 2.0 * 16.0 + 10.0);
}

#[test]
fn a_summary_is_written_though_nothing_more_is_logged() {
    let kept = Kept::default();
    let logger = RateLimited::new(kept.clone());
    for number in 0..5_000 {
        log_start(&logger, number, "resize", 1);
    }
    let deadline = clock::now() + Duration::from_secs(30);
    while kept.lines_of("start").1 == 0 && clock::now() < deadline {
        thread::sleep(Duration::from_millis(10));
    }
    let (single, summed) = kept.lines_of("start");
    assert_eq!(single + summed, 5_000);
}

#[test]
fn events_without_number_are_bounded_and_counted() {
    let kept = Kept::default();
    let logger = RateLimited::new(kept.clone());
    // Each is another event, as its line differs.
    for line in 0..5_000 {
        log_text(&logger, Level::Info, line, format_args!("event"));
    }
    logger.flush();
    let (single, summed) = kept.lines_of("event");
    let dropped = sum(&kept.beginning("log lines dropped by the rate limit|"), "lines");
    assert_eq!(single + summed + dropped, 5_000);
    assert!(kept.beginning("summary|").len() <= 64);
}

#[test]
fn long_and_many_values_are_bounded() {
    let kept = Kept::default();
    let logger = RateLimited::new(kept.clone());
    let long = "ä".repeat(500);
    let keys: Vec<String> = (0..40).map(|number| format!("field{number}")).collect();
    let fields: Vec<(&str, &str)> = keys.iter().map(|key| (key.as_str(), &*long)).collect();
    let fields = fields.as_slice();
    for _ in 0..1_000 {
        let mut record = Record::builder();
        record.line(Some(1)).key_values(&fields);
        logger.log(&record.args(format_args!("{long}")).build());
    }
    logger.flush();
    let summaries = kept.beginning("summary|");
    assert_eq!(summaries.len(), 1);
    assert!(summaries[0].len() < 4_096, "{}", summaries[0].len());
}

/// A writer that blocks in its first write until it is released.
struct Stalled {
    entered: SyncSender<()>,
    released: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The test waits for the first write only.
        let _ = self.entered.try_send(());
        // Once the test has released it, the sender is dropped and this returns at once.
        let _ = self.released.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_reader_does_not_block_logging() {
    let (release, released) = sync_channel(1);
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let (entered, stalled) = sync_channel(1);
    let (mut pipe, progress) = Pipe::new(Stalled { entered, released, written: written.clone() });
    pipe.write_all(b"line 0\n").unwrap();
    // From here on nothing leaves the queue, so most of the following lines are dropped.
    stalled.recv().unwrap();
    for number in 1..20_000 {
        pipe.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    drop(release);
    let deadline = clock::now() + Duration::from_secs(30);
    let contains = |text: &str| {
        let written = written.lock().unwrap();
        String::from_utf8_lossy(&written).contains(text)
    };
    while !contains("line 4000\n") && clock::now() < deadline {
        progress.wait_written();
    }
    assert!(contains("line 4000\n"));
    // The queue may still be full, and then this line is dropped too.
    while !contains("the end\n") && clock::now() < deadline {
        pipe.write_all(b"the end\n").unwrap();
        progress.wait_written();
    }
    assert!(contains("lines were lost, the reader of the log is slow\nthe end\n"));
}
