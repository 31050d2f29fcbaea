//! Tests the log writer: a stalled reader, the format of fields, and long lines.

use std::{
    io::{BufRead, BufReader, Write},
    os::unix::net::UnixStream,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use log::{Level, Log, Record};
use pollenshed_transport::logs::{LineQueue, logger};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against threads that block in logging because nobody reads the logs, and against dropped
/// lines that are not counted.
#[gtest]
fn stalled_reader_drops_lines_and_blocks_nobody() {
    let (sink, reader) = UnixStream::pair().unwrap();
    let mut queue = LineQueue::spawn(sink, 16).unwrap();
    let line = [b"x".repeat(1_000), b"\n".to_vec()].concat();
    let start = Instant::now();
    let mut sent: u64 = 0;
    while queue.dropped_lines() < 1_000 {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "no line is dropped although nobody reads the output"
        );
        queue.write_all(&line).unwrap();
        sent += 1;
    }
    let dropped = queue.dropped_lines();
    drop(queue);
    reader.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let (mut complete, mut reported) = (0, 0);
    for line in BufReader::new(reader).lines() {
        let line = line.unwrap();
        match line.strip_prefix("log: ") {
            Some(report) => reported += report.split(' ').next().unwrap().parse::<u64>().unwrap(),
            None => complete += u64::from(line.len() == 1_000),
        }
    }
    expect_that!(complete, eq(sent - dropped));
    expect_that!(reported, eq(dropped));
}

/// Guards against fields of a record that are missing in its line, and against values that can be
/// mistaken for other fields.
#[gtest]
fn key_value_fields_are_written() {
    let (sink, reader) = UnixStream::pair().unwrap();
    reader.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let queue = LineQueue::spawn(sink, 16).unwrap();
    let fields =
        [("service", "tavole"), ("rank", "urgent"), ("error", "no \"rank=x\""), ("peer", "")];
    let record = Record::builder()
        .args(format_args!("route: chosen"))
        .level(Level::Error)
        .target("pollenshed")
        .key_values(&fields)
        .build();
    logger(&queue).log(&record);
    let mut line = String::new();
    BufReader::new(reader).read_line(&mut line).unwrap();
    expect_that!(line, contains_substring("route: chosen"));
    expect_that!(line, contains_substring("service=tavole"));
    expect_that!(line, contains_substring(" rank=urgent "));
    expect_that!(line, contains_substring(r#" error="no \"rank=x\"" peer="""#));
    expect_that!(line, ends_with("\n"));
}

/// Guards against a single line that exceeds the memory limit of the queue.
#[gtest]
fn long_line_is_cut() {
    let (sink, reader) = UnixStream::pair().unwrap();
    reader.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut queue = LineQueue::spawn(sink, 16).unwrap();
    queue.write_all(&b"y".repeat(100_000)).unwrap();
    let mut line = String::new();
    BufReader::new(reader).read_line(&mut line).unwrap();
    expect_that!(line.len(), eq(4_100));
    expect_that!(line, ends_with("y...\n"));
}
