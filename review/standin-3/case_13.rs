// A server that spoils a small share of its answers: does a caller get one of them as a success?

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::plain::{PlainCounts, PlainOptions, start_plain};
use crate::platform_and_node::{
    Node, NodeOptions, Ports, Store, client_head, configuration, connect, entry, next_id, spawn,
};
use crate::{Outcome, Setting};

const CALLERS: usize = 30;
const REQUESTS_PER_CALLER: usize = 50;
/// Pause of a caller between two requests. Callers come in clumps.
const PAUSE: Duration = Duration::from_millis(800);
const SERVERS: usize = 4;
/// The dose that `kinds` gives for `garble`: half of the servers spoil 2 in 100 of their answers.
const FAULTY: usize = SERVERS / 2;
const SPOILS_ONE_IN: u64 = 50;

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    store.set("op", "config", &configuration(1));
    let counts: Vec<Arc<PlainCounts>> = (0..SERVERS).map(|_| Arc::default()).collect();
    for (index, counts) in counts.iter().enumerate() {
        let is_faulty = setting.has_trouble && index < FAULTY;
        let spoils_one_in = if is_faulty { SPOILS_ONE_IN } else { 0 };
        let options = PlainOptions { work_ms: 12, spoils_one_in, closes_one_in: 10 };
        let address = start_plain(options, Arc::clone(counts));
        store.set("servers", &format!("i-p{index}"), &entry("hire-desk", address, 6, None));
    }
    let options = NodeOptions {
        index: 34,
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
    let statuses: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let false_successes = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (record, front) = (Arc::clone(record), node.front);
            let (statuses, false_successes) = (Arc::clone(&statuses), Arc::clone(&false_successes));
            spawn(move || {
                let mut kept = None;
                for _ in 0..REQUESTS_PER_CALLER {
                    thread::sleep(PAUSE);
                    let id = next_id();
                    let wire = kept.take().or_else(|| connect(front, Duration::from_secs(5)));
                    let Some(mut wire) = wire else { continue };
                    let head = client_head("POST", "/book/1", &id, 4_000);
                    wire.write(format!("{head}Content-Length: 4\r\n\r\nbook").as_bytes());
                    let Some(answer) = wire.read_message() else { continue };
                    let stamp = answer.header("response-stamp").map(str::to_owned);
                    let is_success = (200..300).contains(&answer.status());
                    let is_stamped = stamp == Some(format!("stamp.{id}"));
                    let kind = format!("{} stamped {is_stamped}", answer.status());
                    *statuses.lock().unwrap().entry(kind).or_default() += 1;
                    if is_success && !is_stamped {
                        false_successes.fetch_add(1, Ordering::Relaxed);
                        record.line(format!(
                            "request {id} (unsafe): the client got {}, Response-Stamp {stamp:?}, body {:?}",
                            answer.status(),
                            String::from_utf8_lossy(&answer.body)
                        ));
                    }
                    if answer.header("connection").is_none_or(|value| value != "close") {
                        kept = Some(wire);
                    }
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().unwrap_or(()));
    for (index, counts) in counts.iter().enumerate() {
        record.line(format!(
            "server {index} ran {} requests and spoiled {} of its answers",
            counts.runs.load(Ordering::Relaxed),
            counts.spoiled.load(Ordering::Relaxed)
        ));
    }
    record.line(format!("answers that clients got: {:?}", statuses.lock().unwrap()));
    let false_successes = false_successes.load(Ordering::Relaxed);
    record.line(format!("successes without the server's stamp: {false_successes}"));
    if statuses.lock().unwrap().get("200 stamped true").copied().unwrap_or(0) < 800 {
        return Err("too few requests were served".to_owned());
    }
    Ok(false_successes > 0)
}
