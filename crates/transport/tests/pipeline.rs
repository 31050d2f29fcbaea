//! Tests requests that callers send before the earlier ones are answered.

mod pipeline_support;

use std::time::Duration;

use googletest::prelude::*;
use pipeline_support::*;
use pollenshed_transport::listen::StopPhase;
use proptest::{prelude::ProptestConfig, proptest};
use tokio::time::timeout;

/// Idle timeout that no test reaches.
const LONG_MS: u64 = 60_000;

/// Guards against requests that wait for the first one, and answers out of order.
#[gtest]
fn requests_run_side_by_side_and_are_answered_in_order() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let mut caller = listener.connect().await;
        caller.send(&get("/held/1")).await;
        listener.seen.wait_for_started(1).await;
        caller.send(&[get("/now/2"), post("/held/3", 9), get("/now/4")].concat()).await;
        listener.seen.wait_for_started(4).await;
        listener.seen.release("/held/3");
        listener.seen.release("/held/1");
        let bodies = caller.bodies(4).await;
        expect_that!(bodies, eq(&vec!["/held/1 0", "/now/2 0", "/held/3 9", "/now/4 0"]));
        // The connection goes on, one request at a time as well as with more.
        caller.send(&get("/now/5")).await;
        expect_that!(caller.bodies(1).await, eq(&vec!["/now/5 0"]));
        caller.send(&(get("/held/6") + &get("/now/7"))).await;
        listener.seen.wait_for_started(7).await;
        listener.seen.release("/held/6");
        expect_that!(caller.bodies(2).await, eq(&vec!["/held/6 0", "/now/7 0"]));
    });
}

/// Guards against callers that take memory without limit: more requests than run side by side, and
/// more bytes than are held.
#[gtest]
fn requests_of_a_connection_are_bounded() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let mut caller = listener.connect().await;
        let requests: Vec<_> = (0..20).map(|n| get(&format!("/held/{n}"))).collect();
        caller.send(&requests.concat()).await;
        for answered in 0..20 {
            listener.seen.wait_for_started((answered + 8).min(20)).await;
            expect_that!(listener.seen.started.borrow().len(), le(answered + 8));
            listener.seen.release(&format!("/held/{answered}"));
            expect_that!(caller.bodies(1).await, eq(&vec![format!("/held/{answered} 0")]));
        }
        // 64 KiB of requests run beside the first, and the rest stays with the kernel.
        let caller = listener.connect().await;
        let requests: Vec<_> = (0..4).map(|n| post(&format!("/held/b{n}"), 7_000)).collect();
        let mut sent_bytes = 0;
        while sent_bytes < 64 << 20 {
            let write = async {
                caller.stream.writable().await.unwrap();
                caller.stream.try_write(requests.concat().as_bytes())
            };
            match timeout(Duration::from_millis(500), write).await {
                Ok(Ok(len)) => sent_bytes += len,
                Ok(Err(_)) => {}
                Err(_) => break,
            }
        }
        expect_that!(sent_bytes, lt(64 << 20));
        expect_that!(listener.seen.started.borrow().len(), all!(gt(21), le(28)));
    });
}

/// Guards against requests behind a closing answer that run although the caller sends them again,
/// and against an answer that is lost because of them.
#[gtest]
fn nothing_runs_behind_a_closing_answer() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let mut caller = listener.connect().await;
        let batch = [get("/close/held"), get("/once/2"), get("/now/3")].concat();
        caller.send(&batch).await;
        listener.seen.wait_for_started(1).await;
        caller.send(&get("/once/4").repeat(1_000)).await;
        listener.seen.release("/close/held");
        let answers = caller.read_all().await;
        expect_that!(answers.len(), eq(1));
        expect_that!(answers[0].closes, eq(true));
        expect_that!(*listener.seen.started.borrow(), elements_are![eq("/close/held")]);
    });
}

/// Guards against an answer that closes the connection while requests behind it run: they are
/// answered, the last answer closes, and no further request starts.
#[gtest]
fn a_close_waits_for_requests_that_run() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let mut caller = listener.connect().await;
        let batch = [get("/held/1"), get("/close/2"), get("/held/3")].concat();
        caller.send(&batch).await;
        listener.seen.wait_for_started(3).await;
        listener.seen.release("/held/1");
        expect_that!(caller.bodies(2).await, eq(&vec!["/held/1 0", "/close/2 0"]));
        caller.send(&get("/once/4")).await;
        listener.seen.release("/held/3");
        let answers = caller.read_all().await;
        let got: Vec<_> = answers.iter().map(|a| (a.body.as_str(), a.closes)).collect();
        expect_that!(got, eq(&vec![("/held/3 0", true)]));
        expect_that!(listener.seen.started.borrow().len(), eq(3));
    });
}

/// Guards against answers behind one that was broken off.
#[gtest]
fn requests_behind_a_broken_answer_are_cancelled() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let mut caller = listener.connect().await;
        let batch = [get("/held/1"), get("/held/2"), get("/panic/3"), get("/held/4")].concat();
        caller.send(&batch).await;
        wait_for("the end of the last", || listener.seen.cancelled.borrow().len() == 2).await;
        caller.send(&get("/now/5")).await;
        listener.seen.release("/held/2");
        listener.seen.release("/held/1");
        let bodies: Vec<_> = caller.read_all().await.into_iter().map(|a| a.body).collect();
        expect_that!(bodies, eq(&vec!["/held/1 0", "/held/2 0"]));
        expect_that!(*listener.seen.cancelled.borrow(), eq(&vec!["/panic/3", "/held/4"]));
        expect_that!(listener.seen.started.borrow().len(), eq(4));
        expect_that!(listener.seen.reported_cancelled.get(), eq(1));
    });
}

/// Guards against a request that may run once only and starts beside others.
#[gtest]
fn requests_that_run_at_most_once_run_alone() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let mut caller = listener.connect().await;
        let batch = [get("/held/1"), get("/now/2"), post("/once/3", 5), get("/now/4")].concat();
        caller.send(&batch).await;
        listener.seen.wait_for_started(2).await;
        listener.seen.release("/held/1");
        expect_that!(caller.bodies(2).await, eq(&vec!["/held/1 0", "/now/2 0"]));
        listener.seen.wait_for_started(3).await;
        expect_that!(listener.seen.started.borrow().len(), eq(3));
        listener.seen.release("/once/3");
        expect_that!(caller.bodies(2).await, eq(&vec!["/once/3 5", "/now/4 0"]));
        // A large answer may come first, but does not start behind others.
        caller.send(&[get("/first/held"), get("/held/5"), get("/first/6")].concat()).await;
        listener.seen.wait_for_started(6).await;
        listener.seen.release("/first/held");
        expect_that!(caller.bodies(1).await, eq(&vec!["/first/held 0"]));
        expect_that!(listener.seen.started.borrow().len(), eq(6));
        listener.seen.release("/held/5");
        expect_that!(caller.bodies(2).await, eq(&vec!["/held/5 0", "/first/6 0"]));
    });
}

/// Guards against requests that go on running after their caller has left, whether it leaves while
/// the first or a later one is next.
#[gtest]
fn a_caller_that_leaves_cancels_all() {
    run(|| async {
        for answered in 0..2 {
            let listener = Listener::open(true, limits(LONG_MS));
            let mut caller = listener.connect().await;
            let batch = [get("/held/1"), get("/held/2"), get("/held/3"), get("/once/4")].concat();
            caller.send(&batch).await;
            listener.seen.wait_for_started(3).await;
            if answered == 1 {
                listener.seen.release("/held/1");
                expect_that!(caller.bodies(1).await, eq(&vec!["/held/1 0"]));
            }
            drop(caller);
            wait_for("the end", || listener.seen.cancelled.borrow().len() == 3 - answered).await;
            expect_that!(listener.seen.started.borrow().len(), eq(3));
            expect_that!(listener.seen.reported_cancelled.get(), eq(2));
        }
    });
}

/// Guards against a planned stop that cuts requests that run, starts others, or leaves the
/// connection open.
#[gtest]
fn a_stop_waits_for_requests_that_run() {
    run(|| async {
        for phase in [StopPhase::Leaving, StopPhase::Closing] {
            let listener = Listener::open(true, limits(LONG_MS));
            let mut caller = listener.connect().await;
            caller.send(&[get("/held/1"), get("/held/2"), get("/held/3")].concat()).await;
            listener.seen.wait_for_started(3).await;
            listener.stop.send_replace(phase);
            caller.send(&get("/now/4")).await;
            // Longer than the time for which idle connections stay open in the last phase.
            tokio::time::sleep(Duration::from_millis(400)).await;
            for number in [3, 1, 2] {
                listener.seen.release(&format!("/held/{number}"));
            }
            let answers = caller.read_all().await;
            let got: Vec<_> = answers.iter().map(|a| (a.body.as_str(), a.closes)).collect();
            let expected = vec![("/held/1 0", false), ("/held/2 0", false), ("/held/3 0", true)];
            expect_that!(got, eq(&expected), "{phase:?}");
            expect_that!(listener.seen.started.borrow().len(), eq(3));
        }
    });
}

/// Guards against the idle timeout counting while pipelined requests run.
#[gtest]
fn the_idle_timeout_does_not_cut_requests_that_run() {
    run(|| async {
        let listener = Listener::open(true, limits(200));
        let mut caller = listener.connect().await;
        caller.send(&[get("/now/1"), get("/held/2"), get("/held/3")].concat()).await;
        expect_that!(caller.bodies(1).await, eq(&vec!["/now/1 0"]));
        tokio::time::sleep(Duration::from_millis(500)).await;
        listener.seen.release("/held/2");
        listener.seen.release("/held/3");
        expect_that!(caller.bodies(2).await, eq(&vec!["/held/2 0", "/held/3 0"]));
        caller.send(&get("/now/4")).await;
        expect_that!(caller.bodies(1).await, eq(&vec!["/now/4 0"]));
    });
}

/// Guards against an idle time that counts from the first answer although requests behind it still
/// ran, so that the connection closes as soon as they are answered.
#[gtest]
fn the_idle_timeout_counts_from_the_last_answer() {
    run(|| async {
        let listener = Listener::open(true, limits(400));
        let mut caller = listener.connect().await;
        caller.send(&[get("/held/1"), get("/held/2")].concat()).await;
        listener.seen.wait_for_started(2).await;
        listener.seen.release("/held/1");
        expect_that!(caller.bodies(1).await, eq(&vec!["/held/1 0"]));
        tokio::time::sleep(Duration::from_millis(600)).await;
        listener.seen.release("/held/2");
        expect_that!(caller.bodies(1).await, eq(&vec!["/held/2 0"]));
        tokio::time::sleep(Duration::from_millis(100)).await;
        caller.send(&get("/now/3")).await;
        expect_that!(caller.bodies(1).await, eq(&vec!["/now/3 0"]));
        expect_that!(caller.read_all().await, is_empty());
    });
}

/// Requests of all framings, the last of which closes the connection.
fn batch() -> String {
    let chunked = "POST /now/3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
                   5;a=b\r\nabcde\r\n0c\r\n0\r\n\r\nGET / H\r\n0\r\nX-Sum: 0\r\n\r\n";
    let last = "GET /now/6 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    [&get("/now/1"), &post("/now/2", 12), chunked, "\r\n", &get("/now/4"), &post("/now/5", 0), last]
        .concat()
}

const BATCH_BODIES: [&str; 6] =
    ["/now/1 0", "/now/2 12", "/now/3 17", "/now/4 0", "/now/5 0", "/now/6 0"];

async fn check_pieces(listener: &Listener, pieces: &[&[u8]]) {
    let mut caller = listener.connect().await;
    caller.send_pieces(pieces).await;
    let bodies: Vec<_> = caller.read_all().await.into_iter().map(|a| a.body).collect();
    let lengths: Vec<_> = pieces.iter().map(|piece| piece.len()).collect();
    expect_that!(bodies, eq(&BATCH_BODIES.to_vec()), "pieces of {lengths:?} bytes");
}

/// Guards against ends of requests that are found only if bytes arrive in a certain way: split at
/// each byte, and each byte by itself.
#[gtest]
fn requests_end_at_the_same_byte_however_they_arrive() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let batch = batch().into_bytes();
        for at in 0..batch.len() {
            check_pieces(&listener, &[&batch[..at], &batch[at..]]).await;
        }
        check_pieces(&listener, &batch.chunks(1).collect::<Vec<_>>()).await;
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against the same with any number of pieces.
    #[test]
    fn requests_end_at_the_same_byte_in_any_pieces(
        mut cuts in proptest::collection::vec(0..batch().len(), 0..12),
    ) {
        cuts.extend([0, batch().len()]);
        cuts.sort_unstable();
        run(|| async {
            let listener = Listener::open(true, limits(LONG_MS));
            let batch = batch().into_bytes();
            let pieces: Vec<_> = cuts.windows(2).map(|cut| &batch[cut[0]..cut[1]]).collect();
            let mut caller = listener.connect().await;
            caller.send_pieces(&pieces).await;
            let bodies: Vec<_> = caller.read_all().await.into_iter().map(|a| a.body).collect();
            assert_eq!(bodies, BATCH_BODIES.to_vec());
        });
    }
}

/// Guards against requests that are understood in another way than by `hyper` on its own, as a
/// first request or behind another one: malformed heads, two lengths, folded lines, HTTP/1.0,
/// expectations.
#[gtest]
fn odd_requests_are_answered_as_without_pipelining() {
    let head = |fields: &str| format!("POST /now/x HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    let smuggled = "GET /now/smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    let odd = [
        head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + smuggled,
        head("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n") + "0\r\n\r\n" + smuggled,
        head("Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd" + smuggled,
        head("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc" + smuggled,
        head("Content-Length: +3\r\n") + "abc" + smuggled,
        head("Content-Length: 3, 3\r\n") + "abc" + smuggled,
        head("Content-Length: \r\n") + smuggled,
        head("Content-Length: 99999999999999999999\r\n") + smuggled,
        head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + smuggled,
        head("Transfer-Encoding: chunked, gzip\r\n") + "0\r\n\r\n" + smuggled,
        head("Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n") + "0\r\n\r\n" + smuggled,
        head("Transfer-Encoding: \tchunked \r\n") + "0\r\n\r\n" + smuggled,
        head("Transfer-Encoding : chunked\r\n") + "0\r\n\r\n" + smuggled,
        head("X-Folded: a\r\n b\r\n") + smuggled,
        head("Expect: 100-continue\r\nContent-Length: 2\r\n") + "ab" + smuggled,
        head("Upgrade: h2c\r\nConnection: upgrade\r\n") + smuggled,
        head("Connection: keep-alive, close\r\n") + smuggled,
        head(&"X-Many: a\r\n".repeat(120)) + smuggled,
        head("Transfer-Encoding: chunked\r\n") + "3\nabc\r\n0\r\n\r\n" + smuggled,
        head("Transfer-Encoding: chunked\r\n") + "fffffffffffffffff\r\nabc\r\n" + smuggled,
        head("Transfer-Encoding: chunked\r\n") + "0\r\nX\n\r\n\r\n" + smuggled,
        head("Transfer-Encoding: chunked\r\n") + "0\r\n\nGET\r\n\r\n" + smuggled,
        head("Transfer-Encoding: chunked\r\n") + "3 ;x\r\nabc\r\n0\r\n\r\n" + smuggled,
        "GET /now/x HTTP/1.0\r\nHost: h\r\n\r\n".to_owned() + smuggled,
        "GET /now/x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n".to_owned() + smuggled,
        "GET /now/x HTTP/2.0\r\nHost: h\r\n\r\n".to_owned() + smuggled,
        "GET  /now/x HTTP/1.1\r\nHost: h\r\n\r\n".to_owned() + smuggled,
        "GET /now/x\r\n\r\n".to_owned() + smuggled,
        "GET /no w/x HTTP/1.1\r\n\r\n".to_owned() + smuggled,
        "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n".to_owned() + smuggled,
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned() + smuggled,
        "GET /now/x HTTP/1.1\nHost: h\n\n".to_owned() + smuggled,
    ];
    run(|| async {
        for odd in &odd {
            for first in ["", &get("/now/1"), &post("/now/1", 4)] {
                let mut results = Vec::new();
                for is_pipelined in [false, true] {
                    let listener = Listener::open(is_pipelined, limits(LONG_MS));
                    let mut caller = listener.connect().await;
                    caller.send(&format!("{first}{odd}")).await;
                    let count = first.len().min(1) + 2;
                    let mut answers = Vec::new();
                    while answers.len() < count {
                        let read = timeout(Duration::from_millis(150), caller.read());
                        match read.await {
                            Ok(Some(answer)) => answers.push(answer),
                            Ok(None) | Err(_) => break,
                        }
                    }
                    results.push((answers, listener.seen.started.borrow().clone()));
                }
                expect_that!(results[1], eq(&results[0]), "{first:?} {odd:.200?}");
            }
        }
    });
}

/// Guards against heads over the limit that are taken behind another request. `hyper` on its own
/// takes those that happen to lie in its buffer.
#[gtest]
fn heads_over_the_limit_are_refused_wherever_they_come() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let long = format!("GET /now/x HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "a".repeat(9_000));
        for first in ["", &get("/now/1"), &get("/held/1")] {
            let mut caller = listener.connect().await;
            caller.send(&format!("{first}{long}{}", get("/now/behind"))).await;
            listener.seen.release("/held/1");
            let statuses: Vec<_> = caller.read_all().await.iter().map(|a| a.status).collect();
            let expected = if first.is_empty() { vec![431] } else { vec![200, 431] };
            expect_that!(statuses, eq(&expected));
        }
        expect_that!(*listener.seen.started.borrow(), eq(&vec!["/now/1", "/held/1"]));
    });
}

/// Guards against large bodies that disturb the requests and answers behind them.
#[gtest]
fn large_bodies_keep_their_place() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let mut caller = listener.connect().await;
        let batch = [post("/now/1", 3 << 20), get("/large/2"), get("/large/3"), get("/now/4")];
        let sent = batch.concat();
        let (mut reader, mut writer) = caller.stream.split();
        let send = tokio::io::AsyncWriteExt::write_all(&mut writer, sent.as_bytes());
        let mut read = vec![0; 2 * LARGE_BYTES];
        let receive = tokio::io::AsyncReadExt::read_exact(&mut reader, &mut read);
        let (sent, received) = tokio::join!(send, receive);
        sent.unwrap();
        received.unwrap();
        let text = String::from_utf8(read).unwrap();
        let first = text.find("/now/1 3145728").unwrap();
        let second = text.find("llll").unwrap();
        expect_that!(first, lt(second));
        expect_that!(text.matches("HTTP/1.1 200 OK").count(), eq(3));
        let rest = LARGE_BYTES - text.rfind("\r\n\r\n").map_or(0, |at| text.len() - at - 4);
        let mut read = vec![0; rest];
        tokio::io::AsyncReadExt::read_exact(&mut caller.stream, &mut read).await.unwrap();
        expect_that!(read.iter().all(|byte| *byte == b'l'), eq(true));
        expect_that!(caller.bodies(1).await, eq(&vec!["/now/4 0"]));
    });
}

/// Guards against a streamed answer of unknown length that loses its framing beside others, or that
/// is followed by another answer after it was broken off.
#[gtest]
fn streamed_answers_keep_their_framing() {
    run(|| async {
        let listener = Listener::open(true, limits(LONG_MS));
        let mut caller = listener.connect().await;
        let batch = ["/held/1", "/stream/2", "/now/3", "/stream/4", "/now/5"].map(get).concat();
        caller.send(&batch).await;
        listener.seen.wait_for_started(5).await;
        listener.seen.release("/held/1");
        let bodies = caller.bodies(5).await;
        let long = "l".repeat(LARGE_BYTES);
        let expected = ["/held/1 0", long.as_str(), "/now/3 0", long.as_str(), "/now/5 0"];
        expect_that!(bodies == expected, eq(true), "{:.50?}", bodies);
        for first in [true, false] {
            let mut caller = listener.connect().await;
            let ahead = if first { vec![] } else { vec!["/held/1"] };
            let batch = [ahead, vec!["/stream/cut", "/held/6"]].concat();
            let number = listener.seen.cancelled.borrow().len();
            caller.send(&batch.iter().map(|path| get(path)).collect::<String>()).await;
            listener.seen.release("/held/1");
            let answers = caller.read_all().await;
            expect_that!(answers.len(), eq(usize::from(!first)));
            wait_for("the end", || listener.seen.cancelled.borrow().len() > number).await;
            expect_that!(listener.seen.cancelled.borrow().last(), some(eq("/held/6")));
        }
    });
}
