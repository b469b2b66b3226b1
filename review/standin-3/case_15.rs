// A crowd that stops half-way through its heads: are ordinary requests with a larger body served?

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::engine::{EngineCounts, EngineLimits, start_engine};
use crate::platform_and_node::{
    Node, NodeOptions, Ports, Store, Wire, client_head, configuration, connect, entry, next_id,
};
use crate::{Outcome, Setting};

const ENGINE: EngineLimits =
    EngineLimits { slots: 128, memory_tokens: 34_221, stride: 13, event_gap_ms: 40 };
const CROWD: usize = 2_500;
const ORDINARY: usize = 60;
/// Sizes of ordinary bodies; the sheet's largest is 72,000.
const BODY_BYTES: [usize; 3] = [10_000, 20_000, 72_000];

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    store.set("op", "config", &configuration(1));
    let counts = Arc::new(EngineCounts::default());
    for index in 0..6 {
        let address = start_engine(ENGINE, Arc::clone(&counts));
        store.set("servers", &format!("i-e{index}"), &entry("fit-assist", address, 128, Some("decode")));
    }
    let options = NodeOptions {
        index: 35,
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
    let mut crowd: Vec<Wire> = Vec::new();
    if setting.has_trouble {
        for index in 0..CROWD {
            if let Some(mut wire) = connect(node.front, Duration::from_secs(5)) {
                wire.write(b"POST /pose/1 HTTP/1.1\r\nHost: desk.example\r\n");
                crowd.push(wire);
            }
            if index % 50 == 49 {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }
    record.line(format!("a crowd of {} has sent half a head each and stays", crowd.len()));
    thread::sleep(Duration::from_millis(300));
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for index in 0..ORDINARY {
        let size = BODY_BYTES[index % BODY_BYTES.len()];
        let id = next_id();
        let head = client_head("POST", "/size/1", &id, 14_000);
        let mut request = format!(
            "{head}Model: m\r\nToken-Counts: 3000,72\r\nPrompt-Prefix: {id}:3000\r\nContent-Length: {size}\r\n\r\n"
        )
        .into_bytes();
        request.extend(vec![b'p'; size]);
        let answer = connect(node.front, Duration::from_secs(14)).and_then(|mut wire| {
            wire.write(&request);
            wire.read_message()
        });
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let body = answer.filter(|_| status != 200).map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        record.line(format!("ordinary request {id}, body of {size} bytes: {status} {}", body.unwrap_or_default()));
        *statuses.entry(status).or_default() += 1;
    }
    drop(crowd);
    let denied: usize = statuses
        .iter()
        .filter(|(status, _)| (300..500).contains(*status) && ![408, 421, 429].contains(*status))
        .map(|(_, count)| count)
        .sum();
    record.line(format!(
        "answers to {ORDINARY} ordinary requests by status (0: none): {statuses:?}; ended with a 3xx or 4xx of the instance's own: {denied}, allowed: {}",
        5 + ORDINARY / 500
    ));
    record.line(format!("peak memory {} KiB", node.peak_memory_kib()));
    Ok(denied > 5 + ORDINARY / 500)
}
