// A request that ends the engines that run it, whose prompt has very many short parts, comes again: are
// ordinary callers still answered?

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::plain::{PlainCounts, PlainOptions, start_plain};
use crate::platform_and_node::{
    Node, NodeOptions, Ports, Record, Store, Wire, answer, client_head, configuration, connect, entry,
    exchange, next_id, spawn,
};
use crate::{Outcome, Setting};

/// Engines. One that begins to run the request ends and is back after `BACK_AFTER`.
const ENGINES: usize = 6;
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Times that the request ends an engine, and times that it comes again afterwards: two callers who
/// repeat it three more times at once (`retry_abuse`).
const ENDS: usize = 3;
const REPEATS: usize = 8;
/// Parts of its prompt: one part often, then as many different ones.
const SAME_PARTS: usize = 2_300;
const DIFFERENT_PARTS: usize = 1_000;
const ORDINARY: usize = 30;
/// `timeout_ms` of the route, and the time after it within which an answer has to come.
const TIMEOUT: Duration = Duration::from_millis(4_000);
const ANSWER_LIMIT: Duration = Duration::from_millis(4_500);

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    store.set("op", "config", &configuration(1));
    let counts = Arc::new(PlainCounts::default());
    let sound = PlainOptions { work_ms: 60, spoils_one_in: 0, closes_one_in: 0 };
    for index in 0..3 {
        let address = start_plain(sound, Arc::clone(&counts));
        store.set("servers", &format!("i-p{index}"), &entry("hire-desk", address, 12, None));
    }
    for index in 0..ENGINES {
        let (store, record) = (Arc::clone(&store), Arc::clone(record));
        spawn(move || run_engine(&store, &record, index));
    }
    let options = NodeOptions {
        index: 36,
        memory_mb: 110,
        max_fds: 4100,
        first_start: true,
        seeds: Vec::new(),
    };
    let node = Node::start(&setting.folder, &Ports::find(), &store, &options);
    if !node.wait_ready(Duration::from_secs(15)) {
        return Err("the instance is not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    // Ordinary callers keep connections open, on which one request each is answered in calm.
    let mut callers: Vec<Wire> = (0..ORDINARY).filter_map(|_| connect(node.front, ANSWER_LIMIT)).collect();
    for (index, wire) in callers.iter_mut().enumerate() {
        let status = book(wire).map_or(0, |status| status);
        if status != 200 {
            return Err(format!("caller {index} got {status} in calm"));
        }
    }
    record.line(format!("{ORDINARY} ordinary bookings were answered with 200 in calm"));
    let ready = node.ready;
    let watch = Arc::clone(record);
    spawn(move || watch_ready(ready, &watch));
    let parts = if setting.has_trouble { many_parts() } else { "0:200,1:1800,ffff:1000".to_owned() };
    let mut size = 0;
    let mut send = || {
        let id = next_id();
        let head = client_head("POST", "/size/1", &id, 14_000);
        let request = format!(
            "{head}Model: m\r\nToken-Counts: 3000,72\r\nPrompt-Prefix: {parts}\r\nContent-Length: 4\r\n\r\nlook"
        );
        size = request.len();
        let mut wire = connect(node.front, Duration::from_secs(60))?;
        wire.write(request.as_bytes()).then_some(wire)
    };
    for index in 0..ENDS {
        let sent = Instant::now();
        let answer = send().and_then(|mut wire| wire.read_message());
        record.line(format!(
            "the request comes, time {}: {:?} after {:.3} s",
            index + 1,
            answer.map(|answer| answer.status()),
            sent.elapsed().as_secs_f64()
        ));
        thread::sleep(Duration::from_millis(700));
    }
    let begun = Instant::now();
    let mut crowd: Vec<Wire> = (0..REPEATS).filter_map(|_| send()).collect();
    record.line(format!("the request ({size} bytes) comes {} more times at once", crowd.len()));
    thread::sleep(Duration::from_millis(100));
    let ordinary: Vec<_> = callers
        .into_iter()
        .map(|mut wire| {
            spawn_with_result(move || {
                let sent = Instant::now();
                (book(&mut wire), sent.elapsed())
            })
        })
        .collect();
    let answers: Vec<(Option<u16>, Duration)> =
        ordinary.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let late = answers.iter().filter(|(status, after)| status.is_none() || *after > TIMEOUT).count();
    let unanswered =
        answers.iter().filter(|(status, after)| status.is_none() || *after > ANSWER_LIMIT).count();
    for (index, (status, after)) in answers.iter().enumerate() {
        record.line(format!("ordinary booking {index}: answer {status:?} after {:.3} s", after.as_secs_f64()));
    }
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for wire in &mut crowd {
        *statuses.entry(wire.read_message().map_or(0, |answer| answer.status())).or_default() += 1;
    }
    record.line(format!(
        "these have their answers {:.3} s after they came, by status (0: none): {statuses:?}",
        begun.elapsed().as_secs_f64()
    ));
    let recovered = exchange(node.ready, b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n", Duration::from_secs(60));
    record.line(format!("readiness afterwards: {:?}", recovered.map(|answer| answer.status())));
    record.line(format!(
        "ordinary bookings: {late} of {} without an answer at the route's timeout, {unanswered} of these half a second later",
        answers.len()
    ));
    Ok(late > 0 && 2 * unanswered > late)
}

fn spawn_with_result<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> thread::JoinHandle<T> {
    thread::Builder::new().stack_size(128 << 10).spawn(run).expect("thread")
}

fn book(wire: &mut Wire) -> Option<u16> {
    let id = next_id();
    let head = client_head("POST", "/book/1", &id, 4_000);
    if !wire.write(format!("{head}Content-Length: 4\r\n\r\nbook").as_bytes()) {
        return None;
    }
    let answer = wire.read_message()?;
    (answer.header("attempt-id") == Some(id.as_str()) || answer.status() != 200).then_some(answer.status())
}

/// Asks whether the instance is ready, as the platform does.
fn watch_ready(ready: SocketAddr, record: &Record) {
    loop {
        let asked = Instant::now();
        let answer = exchange(ready, b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n", Duration::from_secs(60));
        let after = asked.elapsed();
        if after > Duration::from_secs(1) {
            record.line(format!(
                "platform: readiness question answered with {:?} after {:.3} s",
                answer.map(|answer| answer.status()),
                after.as_secs_f64()
            ));
        }
        thread::sleep(Duration::from_secs(1).saturating_sub(after));
    }
}

fn many_parts() -> String {
    let different: String = (0..DIFFERENT_PARTS).map(|part| format!("{part:x}:1,")).collect();
    format!("{}{different}ffff:1", "0:1,".repeat(SAME_PARTS))
}

/// An engine that ends when it begins to run a request, and comes back under another id.
fn run_engine(store: &Store, record: &Record, index: usize) {
    for start in 0.. {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        listener.set_nonblocking(true).expect("listener");
        let id = format!("i-e{index}-{start}");
        let address = listener.local_addr().unwrap();
        store.set("servers", &id, &entry("fit-assist", address, 128, Some("decode")));
        let has_ended = Arc::new(AtomicBool::new(false));
        while !has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let has_ended = Arc::clone(&has_ended);
            spawn(move || serve_engine(Wire::new(stream), &has_ended));
        }
        drop(listener);
        record.line(format!("engine {id} ends under a request"));
        thread::sleep(BACK_AFTER);
        store.remove("servers", &id);
    }
}

fn serve_engine(mut wire: Wire, has_ended: &AtomicBool) {
    while let Some(request) = wire.read_message() {
        let bytes = match request.path() {
            "/v1/hold-take" => {
                let body = format!("{{\"retain\":\"h{}\"}}", next_id());
                answer("200 OK", &[], body.as_bytes())
            }
            path if path.starts_with("/v1/") => answer("200 OK", &[], b"{}"),
            _ => {
                has_ended.store(true, Ordering::SeqCst);
                // The listener is closed before the connection.
                thread::sleep(Duration::from_millis(10));
                return;
            }
        };
        if !wire.write(&bytes) {
            return;
        }
    }
}
