//! A server that has left stays in use at an instance whose peer was restarted meanwhile.

use super::*;

/// Limit of the rule.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from the kill until the removal of the server's entry, and until the restart.
const REMOVED_AFTER: Duration = Duration::from_millis(300);
const RESTARTED_AFTER: Duration = Duration::from_millis(500);
/// Time for which the server goes on serving after the removal of its entry.
const STAYS: Duration = Duration::from_secs(10);

pub fn run(record: &Record) -> Result<bool, String> {
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let mut servers = Vec::new();
    for number in 1..=4 {
        let name = format!("i-{number}");
        let (arrivals, log, own) = (arrivals.clone(), record.clone(), name.clone());
        let slots = Slots::default();
        let address = serve(move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Ok(Some(head)) = read_head(&mut reader) {
                if read_body(&mut reader, &head).is_err() {
                    return;
                }
                let id = head.get("x-request-id").unwrap_or("").to_owned();
                if number == 1 {
                    arrivals.lock().unwrap().push((Instant::now(), id.clone()));
                }
                if !slots.take() {
                    let _ = writer.write_all(shed_text(&id, &slots.load()).as_bytes());
                    continue;
                }
                log.line(format!("{own}: {id} runs"));
                thread::sleep(Duration::from_millis(60));
                slots.release();
                let headers = format!(
                    "X-Request-Id: {id}\r\nX-Response-Stamp: s.{id}\r\nX-Server-Load: {}\r\n",
                    slots.load()
                );
                if writer.write_all(answer_text(200, &headers, "filed").as_bytes()).is_err() {
                    return;
                }
            }
        });
        servers.push((name, address));
    }
    let store = Store::default();
    store.put("op", "config", &desired_state(1_200, 800));
    store.heartbeats(servers);
    let store_address = store.listen();
    // Two machines of a region, with addresses of their own and the same port for peers.
    let block = std::process::id() % 60_000;
    let ip = |host| format!("127.{}.{}.{host}", 1 + block / 250, 1 + block % 250);
    let peer_port = free_port();
    let place = |host| Place { ip: ip(host), peer_port, seed: Some(ip(1)) };
    let start = |name: &str, zone: &str, host| {
        Instance::start_at(name, zone, store_address, &place(host), record)
            .map_err(|e| format!("pollenshed can't be started: {e}"))
    };
    let mut first = start("front-palermo-a-1", "palermo-a", 1)?;
    let second = start("front-palermo-b-1", "palermo-b", 2)?;
    if !first.wait_until_ready() || !second.wait_until_ready() {
        return Err("the instances didn't become ready".to_owned());
    }
    record.line("both instances are ready; all clients use front-palermo-b-1");
    let mut clients = Vec::new();
    let served = Arc::new(AtomicU64::new(0));
    let (log, address, counts) = (record.clone(), second.callers, served.clone());
    let load = thread::spawn(move || {
        for number in 0..600_u64 {
            let id = format!("r-{number}");
            let text = request_text("POST", "/file/x", &id, number % 40, 6_000, "feast=1");
            let (log, counts) = (log.clone(), counts.clone());
            clients.push(thread::spawn(move || {
                let got = call(address, &text, Duration::from_secs(7));
                counts.fetch_add(u64::from(matches!(got, Ok((200, _)))), Ordering::SeqCst);
                log.line(match &got {
                    Ok((status, _)) => format!("client: {id} got {status}"),
                    Err(e) => format!("client: {id} got {e}"),
                });
            }));
            thread::sleep(Duration::from_millis(25));
        }
        for client in clients {
            let _ = client.join();
        }
    });
    thread::sleep(Duration::from_secs(4));
    if trouble() {
        let _ = first.child.kill();
        let _ = first.child.wait();
        record.line("front-palermo-a-1 killed");
    }
    thread::sleep(REMOVED_AFTER);
    store.remove("servers", "i-1");
    let removed_at = Instant::now();
    record.line("store: the entry of i-1 is removed; i-1 serves on for some seconds");
    thread::sleep(RESTARTED_AFTER - REMOVED_AFTER);
    if trouble() {
        first = start("front-palermo-a-1", "palermo-a", 1)?;
        if !first.wait_until_ready() {
            return Err("the restarted instance didn't become ready".to_owned());
        }
    }
    let _ = load.join();
    let arrivals = arrivals.lock().unwrap();
    let before = arrivals.iter().filter(|(at, _)| *at < removed_at).count();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|(at, _)| *at > removed_at + DRAIN && *at < removed_at + STAYS)
        .collect();
    for (at, id) in &late {
        let ms = (*at - removed_at).as_millis();
        record.line(format!("DRAIN broken: {id} reached i-1 {ms} ms after its entry was removed"));
    }
    let served = served.load(Ordering::SeqCst);
    record.line(format!("{served} served; i-1 got {before} before, {} too late", late.len()));
    if served == 0 || before == 0 {
        return Err("i-1 got no request".to_owned());
    }
    Ok(late.is_empty())
}
