// A crowd of requests of legal size whose path has very many short segments: are ordinary callers
// still answered?

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::plain::{PlainCounts, PlainOptions, start_plain};
use crate::platform_and_node::{
    Node, NodeOptions, Ports, Store, Wire, client_head, configuration, connect, entry, exchange,
    next_id, spawn,
};
use crate::{Outcome, Setting};

const CROWD: usize = 700;
/// The limit of the configuration on a head is 16,384 bytes.
const PATH_BYTES: usize = 16_000;
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
    let options = NodeOptions {
        index: 33,
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
    let path = if setting.has_trouble {
        "/".repeat(PATH_BYTES)
    } else {
        format!("/{}", "a".repeat(PATH_BYTES - 1))
    };
    let begun = Instant::now();
    let mut crowd: Vec<Wire> = Vec::new();
    for index in 0..CROWD {
        crowd.extend(connect(node.front, Duration::from_secs(60)));
        if index % 50 == 49 {
            thread::sleep(Duration::from_millis(5));
        }
    }
    for wire in &mut crowd {
        wire.write(format!("GET {path} HTTP/1.1\r\nHost: desk.example\r\n\r\n").as_bytes());
    }
    record.line(format!(
        "a crowd of {} has sent one request each, of {} bytes, without a key, {:.3} s after it came",
        crowd.len(),
        path.len() + 44,
        begun.elapsed().as_secs_f64()
    ));
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
        "the crowd has its answers {:.3} s after it came, by status (0: none): {statuses:?}",
        begun.elapsed().as_secs_f64()
    ));
    let recovered = exchange(node.ready, b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n", Duration::from_secs(60));
    record.line(format!("readiness after the crowd: {:?}", recovered.map(|answer| answer.status())));
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
fn watch_ready(ready: SocketAddr, record: &crate::platform_and_node::Record) {
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
