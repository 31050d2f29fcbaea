//! The log writer when the reader of its output stalls.

use std::{
    io::{BufRead, BufReader, Write},
    os::unix::net::UnixStream,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use log::{Level, Log, Record};
use pollenshed_transport::logs::{LineQueue, logger};

const PATIENCE: Duration = Duration::from_secs(10);

/// Guards against serving that stops with the reader of the logs, and against lines that are lost
/// without a trace.
#[gtest]
fn stalled_reader_costs_lines_and_not_time() {
    let (sink, reader) = UnixStream::pair().unwrap();
    let mut queue = LineQueue::spawn(sink, 16).unwrap();
    let line = [b"x".repeat(1_000), b"\n".to_vec()].concat();
    let start = Instant::now();
    let mut sent: u64 = 0;
    while queue.dropped_lines() < 1_000 {
        assert!(start.elapsed() < PATIENCE, "no line is dropped although nobody reads");
        queue.write_all(&line).unwrap();
        sent += 1;
    }
    let dropped = queue.dropped_lines();
    drop(queue);
    reader.set_read_timeout(Some(PATIENCE)).unwrap();
    let (mut whole, mut reported) = (0, 0);
    for line in BufReader::new(reader).lines() {
        let line = line.unwrap();
        match line.strip_prefix("log: ") {
            Some(report) => reported += report.split(' ').next().unwrap().parse::<u64>().unwrap(),
            None => whole += u64::from(line.len() == 1_000),
        }
    }
    expect_that!(whole, eq(sent - dropped));
    expect_that!(reported, eq(dropped));
}

/// Guards against fields of a record that are left out of its line, and against values that look
/// like other fields.
#[gtest]
fn key_value_fields_are_written() {
    let (sink, reader) = UnixStream::pair().unwrap();
    reader.set_read_timeout(Some(PATIENCE)).unwrap();
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

/// Guards against a single line that takes the memory of the whole queue.
#[gtest]
fn long_line_is_cut() {
    let (sink, reader) = UnixStream::pair().unwrap();
    reader.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut queue = LineQueue::spawn(sink, 16).unwrap();
    queue.write_all(&b"y".repeat(100_000)).unwrap();
    let mut line = String::new();
    BufReader::new(reader).read_line(&mut line).unwrap();
    expect_that!(line.len(), eq(4_100));
    expect_that!(line, ends_with("y...\n"));
}
