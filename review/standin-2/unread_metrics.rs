//! Clients send ordinary look-ups. Nobody fetches the metrics of the instance, as on all days on which
//! no incident is examined.

use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::common::{Node, Record, Wire, head, start_site};

/// Memory of the smallest machines of nmha-router-grown.
const MEMORY_MB: u64 = 88;
const CLIENTS: usize = 24;
/// Longest time for which the clients send.
const LENGTH: Duration = Duration::from_secs(110);
/// Requests after which the memory is held to be bounded, if it is below the limit. Fewer in the time
/// of the script tell nothing.
const REQUESTS: u64 = 2_500_000;
const INTERVAL: Duration = Duration::from_secs(5);

pub fn play(binary: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let ip = IpAddr::from([127, 9, 9, 1]);
    let store = start_site(ip, 64, Duration::ZERO, |_, _| {});
    let node = Node::start(binary, ip, &store, MEMORY_MB);
    record.add(format!("the instance is ready and uses {:?} KiB", node.memory_kib("VmRSS")));
    let answered = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    for client in 0..CLIENTS {
        let (answered, is_over) = (Arc::clone(&answered), Arc::clone(&is_over));
        let mut wire = node.connect().expect("connect");
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let path = format!("/look/{client}");
                let request = head("GET", &path, &format!("c{client}-{number}"), 4_000) + "\r\n";
                match wire.send(request).and_then(|()| wire.read_response()) {
                    Ok((200, ..)) => answered.fetch_add(1, Ordering::Relaxed),
                    Ok(_) => 0,
                    Err(_) => return,
                };
            }
        });
    }
    let until = Instant::now() + LENGTH;
    let limit_kib = MEMORY_MB << 10;
    let mut peak_kib = 0;
    while Instant::now() < until && answered.load(Ordering::Relaxed) < REQUESTS {
        thread::sleep(INTERVAL);
        let fetched = if has_trouble { None } else { fetch_metrics(&node) };
        let used_kib = node.memory_kib("VmRSS").unwrap_or(0);
        peak_kib = peak_kib.max(used_kib);
        record.add(format!(
            "{} look-ups answered 200, the instance uses {used_kib} KiB; metrics fetched: {fetched:?}",
            answered.load(Ordering::Relaxed)
        ));
        if used_kib > limit_kib {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    record.add(format!("largest use {peak_kib} KiB, the machine has {limit_kib} KiB"));
    if peak_kib > limit_kib {
        Outcome::Broken
    } else if answered.load(Ordering::Relaxed) < REQUESTS {
        record.add("too few requests in the time of the script to tell");
        Outcome::Unplayed
    } else {
        Outcome::Held
    }
}

/// Fetches the metrics. Returns the status of the answer.
fn fetch_metrics(node: &Node) -> Option<u16> {
    let mut wire = Wire::new(TcpStream::connect(node.metrics).ok()?);
    wire.stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    wire.send(format!("GET /metrics HTTP/1.1\r\nHost: {}\r\n\r\n", node.metrics)).ok()?;
    wire.read_response().ok().map(|(status, ..)| status)
}
