//! A refusal that arrives twice is taken for the answer to the second try of the same request.

use super::*;

/// Share of its requests that a server sheds although it has free slots.
const SHED_SHARE: f64 = 0.45;
/// Share of its answers that a faulty server sends twice, the second copy late.
const EXTRA_SHARE: f64 = 0.03;
/// Time between an answer and its late copy.
const EXTRA_LATE: Duration = Duration::from_millis(25);
/// Time that a request runs.
const RUN: Duration = Duration::from_millis(120);

#[derive(Default)]
struct ShedServer {
    answers: u64,
    extras: u64,
    sheds: f64,
}

pub fn run(record: &Record) -> Result<bool, String> {
    let runs: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    let faulty = Arc::new(Mutex::new(false));
    let sheds_only = std::env::var("TROUBLE").is_ok_and(|v| v == "shed");
    let mut servers = Vec::new();
    for number in 1..=5 {
        let name = format!("i-{number}");
        let (state, slots) = (Arc::new(Mutex::new(ShedServer::default())), Slots::default());
        // Late copies come from three servers of five.
        let sends_extras = number <= 3 && !sheds_only;
        let (runs, faulty, record, own) =
            (runs.clone(), faulty.clone(), record.clone(), name.clone());
        let address = serve(move |stream| {
            let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
            let mut reader = BufReader::new(stream);
            while let Ok(Some(head)) = read_head(&mut reader) {
                if read_body(&mut reader, &head).is_err() {
                    return;
                }
                let id = head.get("x-request-id").unwrap_or("").to_owned();
                if head.get("x-expect-instance").is_some_and(|expected| expected != own) {
                    let headers = format!("X-Instance-Id: {own}\r\nX-Request-Id: {id}\r\n");
                    let _ =
                        writer.lock().unwrap().write_all(answer_text(421, &headers, "").as_bytes());
                    continue;
                }
                let is_faulty = *faulty.lock().unwrap();
                let (sheds, extra) = {
                    let mut s = state.lock().unwrap();
                    s.answers += u64::from(is_faulty);
                    s.sheds += if is_faulty { SHED_SHARE } else { 0.0 };
                    let sheds = s.sheds >= 1.0 && slots.are_free();
                    s.sheds -= f64::from(u8::from(sheds));
                    let extra = sheds
                        && sends_extras
                        && (s.extras + 1) as f64 <= EXTRA_SHARE * s.answers as f64;
                    s.extras += u64::from(extra);
                    (sheds, extra)
                };
                if sheds {
                    let text = shed_text(&id, &slots.load());
                    if writer.lock().unwrap().write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    record.line(format!("{own}: {id} answered 503, not run (shed)"));
                    if extra {
                        let (writer, record, own) = (writer.clone(), record.clone(), own.clone());
                        thread::spawn(move || {
                            thread::sleep(EXTRA_LATE);
                            let _ = writer.lock().unwrap().write_all(text.as_bytes());
                            record.line(format!("{own}: {id} second copy of that 503 sent"));
                        });
                    }
                    continue;
                }
                if !slots.take() {
                    let text = shed_text(&id, &slots.load());
                    let _ = writer.lock().unwrap().write_all(text.as_bytes());
                    continue;
                }
                record.line(format!("{own}: {id} runs"));
                runs.lock().unwrap().entry(id.clone()).or_default().push(own.clone());
                thread::sleep(RUN);
                slots.release();
                let headers = format!(
                    "X-Request-Id: {id}\r\nX-Response-Stamp: s.{id}\r\nX-Server-Load: {}\r\n",
                    slots.load()
                );
                let text = answer_text(200, &headers, "filed");
                if writer.lock().unwrap().write_all(text.as_bytes()).is_err() {
                    record.line(format!("{own}: {id} ran, the connection was closed"));
                    return;
                }
                record.line(format!("{own}: {id} answered 200"));
            }
        });
        servers.push((name, address));
    }
    let instance = start_instance(record, servers, &desired_state(1_200, 800))?;
    let answers: Arc<Mutex<BTreeMap<String, Got>>> = Arc::default();
    let mut clients = Vec::new();
    let send_for = |seconds: u64, phase: &str, clients: &mut Vec<thread::JoinHandle<()>>| {
        for number in 0..seconds * 50 {
            let id = format!("{phase}-{number}");
            let text = request_text("POST", "/file/x", &id, number % 40, 6_000, "feast=1");
            let (answers, record, address) = (answers.clone(), record.clone(), instance.callers);
            clients.push(thread::spawn(move || {
                let got = call(address, &text, Duration::from_secs(7));
                record.line(match &got {
                    Ok((status, _)) => format!("client: {id} got {status}"),
                    Err(e) => format!("client: {id} got {e}"),
                });
                answers.lock().unwrap().insert(id, got);
            }));
            thread::sleep(Duration::from_millis(20));
        }
    };
    send_for(5, "calm", &mut clients);
    *faulty.lock().unwrap() = trouble();
    record.line(format!("trouble begins: {}", trouble()));
    send_for(5, "trouble", &mut clients);
    *faulty.lock().unwrap() = false;
    record.line("trouble ends");
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let mut broken = 0;
    for (id, got) in answers.iter() {
        let ran = runs.get(id).map_or(&[][..], |servers| &servers[..]);
        let is_refused = matches!(got, Ok((429 | 503 | 408 | 421, _)));
        if is_refused && !ran.is_empty() {
            record
                .line(format!("REFUSED broken: {id} was answered as not run, and ran on {ran:?}"));
            broken += 1;
        }
        if ran.len() > 1 {
            record.line(format!("TWICE broken: {id} ran on {ran:?}"));
            broken += 1;
        }
    }
    let served = answers.values().filter(|got| matches!(got, Ok((200, _)))).count();
    record.line(format!("{served} of {} served, {broken} breaks", answers.len()));
    if served == 0 {
        return Err("nothing was served".to_owned());
    }
    Ok(broken == 0)
}
