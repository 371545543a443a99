//! Rate-limited logging: the process never blocks on a slow reader, and excess lines are counted.

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use gingerkeel_settings::{LogSettings, start_bounded_logging};

/// Environment variable that makes a process of this program log; its value is the rate limit.
const ROLE: &str = "GINGERKEEL_TEST_LOGS";
/// Number of lines that the process logs; far more than fit into a pipe and the queue.
const LINES: usize = 200_000;

/// The process that the other tests start. Does nothing if run as a test.
#[test]
fn logging_process() {
    let Ok(lines_per_second) = std::env::var(ROLE) else {
        return;
    };
    let lines_per_second = lines_per_second.parse().expect("a number");
    let settings = LogSettings { lines_per_second, burst: 1_000_000, queued_lines: 64 };
    let settings = match lines_per_second {
        1 => LogSettings { burst: 10, ..settings },
        _ => settings,
    };
    let guard = start_bounded_logging(settings);
    for number in 0..LINES {
        tracing::info!(event = "line", number);
    }
    eprintln!("logged all");
    if lines_per_second == 1 {
        std::thread::sleep(Duration::from_millis(1_100));
        tracing::info!(event = "late");
        drop(guard);
    }
    std::process::exit(0);
}

fn logging(lines_per_second: &str) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["--exact", "logging_process", "--nocapture", "--test-threads=1"]);
    command.env(ROLE, lines_per_second).env_remove("GINGERKEEL_LOG");
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

#[test]
fn a_stalled_reader_does_not_block_the_process() {
    let mut child = logging("1000000").spawn().expect("a process");
    // Nobody reads standard output: the pipe fills up after some hundred lines.
    let mut said = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    let began = Instant::now();
    let logged = said.any(|line| line.is_ok_and(|line| line.contains("logged all")));
    assert!(logged, "after {:?}", began.elapsed());
    child.kill().expect("it waits for its reader at most when it ends");
    child.wait().expect("it has ended");
}

#[test]
fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
    let mut child = logging("1").spawn().expect("a process");
    let mut text = String::new();
    child.stdout.take().expect("a pipe").read_to_string(&mut text).expect("text");
    child.wait().expect("it has ended");
    let lines = text.lines().filter(|line| line.contains("event=line ")).count();
    assert!((10..=15).contains(&lines), "{lines} lines of a budget of 10");
    let dropped = text.split("event=log_lines_dropped count=").nth(1);
    let dropped = dropped.and_then(|rest| rest.lines().next()).and_then(|count| count.parse().ok());
    assert_eq!(dropped, Some(LINES - lines));
    assert!(text.contains("event=late"));
}
