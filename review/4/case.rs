//! Interim heads without end from one server make the whole instance late.

use super::*;

/// Answers, of about 200, for which the faulty server sends interim heads without end.
const FLOODS: u64 = 4;
/// Bytes per second of each of them: 240 Mbit/s, together below the link of a machine.
const FLOOD_BYTES_PER_S: f64 = 30e6;
/// Timeout of the routes.
const FLOOD_TIMEOUT_MS: u64 = 1_200;

pub fn run(record: &Record) -> Result<bool, String> {
    let headers: String = (0..90).map(|i| format!("a{i}:\r\n")).collect();
    let piece = format!("HTTP/1.1 100 Continue\r\n{headers}\r\n").repeat(20);
    let floods = Arc::new(AtomicU64::new(u64::MAX / 2));
    let mut servers = Vec::new();
    for number in 1..=4 {
        let name = format!("i-{number}");
        let (log, own, piece, floods) =
            (record.clone(), name.clone(), piece.clone(), floods.clone());
        let slots = Slots::default();
        let address = serve(move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Ok(Some(head)) = read_head(&mut reader) {
                if read_body(&mut reader, &head).is_err() {
                    return;
                }
                let id = head.get("x-request-id").unwrap_or("").to_owned();
                if !slots.take() {
                    let _ = writer.write_all(shed_text(&id, &slots.load()).as_bytes());
                    continue;
                }
                log.line(format!("{own}: {id} runs"));
                thread::sleep(Duration::from_millis(50));
                if number == 1 && floods.fetch_add(1, Ordering::SeqCst) < FLOODS {
                    log.line(format!("{own}: {id} interim heads without end begin"));
                    let (start, mut bytes) = (Instant::now(), 0);
                    while writer.write_all(piece.as_bytes()).is_ok() {
                        bytes += piece.len();
                        let due = Duration::from_secs_f64(bytes as f64 / FLOOD_BYTES_PER_S);
                        thread::sleep(due.saturating_sub(start.elapsed()));
                    }
                    log.line(format!("{own}: {id} connection closed after {bytes} bytes"));
                    slots.release();
                    return;
                }
                slots.release();
                let headers = format!(
                    "X-Request-Id: {id}\r\nX-Response-Stamp: s.{id}\r\nX-Server-Load: {}\r\n",
                    slots.load()
                );
                if writer.write_all(answer_text(200, &headers, "ok").as_bytes()).is_err() {
                    return;
                }
            }
        });
        servers.push((name, address));
    }
    let instance = start_instance(record, servers, &desired_state(FLOOD_TIMEOUT_MS, 800))?;
    let times: Arc<Mutex<Vec<u128>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..200_u64 {
        if number == 40 && trouble() {
            floods.store(0, Ordering::SeqCst);
            record.line(format!("trouble begins: the next {FLOODS} answers of i-1 don't end"));
        }
        let id = format!("r-{number}");
        let text = request_text("POST", "/file/x", &id, number % 40, 6_000, "x");
        let (log, address, times) = (record.clone(), instance.callers, times.clone());
        let served = served.clone();
        clients.push(thread::spawn(move || {
            let start = Instant::now();
            let got = call(address, &text, Duration::from_millis(6_000));
            let took = start.elapsed().as_millis();
            times.lock().unwrap().push(took);
            log.line(match got {
                Ok((status, _)) => {
                    served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    format!("client: {id} got {status} after {took} ms")
                }
                Err(e) => format!("client: {id} got {e} after {took} ms"),
            });
        }));
        thread::sleep(Duration::from_millis(50));
    }
    record.line(format!(
        "the instance answers its status check: {}",
        instance.is_ready(Duration::from_secs(1))
    ));
    for client in clients {
        let _ = client.join();
    }
    let times = times.lock().unwrap();
    let over = |ms: u64| times.iter().filter(|took| **took > u128::from(ms)).count();
    let (unanswered, late) = (over(FLOOD_TIMEOUT_MS), over(FLOOD_TIMEOUT_MS + 500));
    let served = served.load(Ordering::SeqCst);
    record.line(format!(
        "{served} of {} served; {unanswered} unanswered at the route's timeout, {late} of them half a \
         second later",
        times.len()
    ));
    if served == 0 {
        return Err("nothing was served".to_owned());
    }
    // Eight at least, as in the second sentence of the rule, so that a single one proves nothing.
    Ok(late < 8 || 2 * late <= unanswered)
}
