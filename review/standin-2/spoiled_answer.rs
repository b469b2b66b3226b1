//! One of three servers spoils 2 in 100 of its answers: it sends bytes that are no answer of its own.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::common::{
    Machine, Node, Record, Store, configuration, head, listen, response, server_entry,
};

/// Look-ups that are sent at the same moment, and the moments.
const CLIENTS: usize = 24;
const ROUNDS: usize = 80;
/// Time between two moments, longer than the servers keep idle connections.
const PAUSE: Duration = Duration::from_millis(700);
/// The faulty server spoils each of its answers whose number is a multiple of this.
const SPOILED_EACH: usize = 50;
/// Bytes that are no answer: they bear neither the id of a request nor a signature.
const SPOILED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nnot the answer";

pub fn play(binary: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let ip = IpAddr::from([127, 9, 10, 1]);
    let store = Arc::new(Store::default());
    store.set("op", "config", &configuration());
    let spoiled = Arc::new(AtomicUsize::new(0));
    for index in 0..3 {
        let (log, spoiled) = (Arc::clone(record), Arc::clone(&spoiled));
        let answers = AtomicUsize::new(0);
        let address = listen(ip, move |mut wire| {
            let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(1)));
            while let Ok(request) = wire.read_request() {
                let attempt = request.attempt().to_owned();
                thread::sleep(Duration::from_millis(60));
                let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
                if has_trouble && index == 0 && number % SPOILED_EACH == 0 {
                    log.add(format!(
                        "server 0 sends other bytes instead of its answer to {attempt}"
                    ));
                    spoiled.fetch_add(1, Ordering::Relaxed);
                    let _ = wire.send(SPOILED);
                    return;
                }
                let headers = format!(
                    "Attempt-Id: {attempt}\r\nResponse-Stamp: 3e1b.{index}.600.0\r\n\
                     Keep-Alive: timeout=1\r\n"
                );
                if wire.send(response("200 OK", &headers, &format!("done {attempt}"))).is_err() {
                    return;
                }
            }
        });
        store.set("servers", &format!("i-{index}"), &server_entry("hire-desk", address, 24, None));
    }
    let store_address = store.start(ip, Instant::now());
    let machine = Machine { memory_mb: 110, max_fds: 4100, grace_s: 8 };
    let node = Node::start(binary, ip, store_address, &machine);
    record.add("the instance is ready");
    let unsigned = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, unsigned) = (Arc::clone(record), Arc::clone(&unsigned));
            let answered = Arc::clone(&answered);
            let mut wire = node.connect().expect("connect");
            thread::spawn(move || {
                for round in 0..ROUNDS {
                    let attempt = format!("c{client}-{round}");
                    let request = head("GET", &format!("/look/{client}"), &attempt, 4_000);
                    let answer = wire.send(request + "\r\n").and_then(|()| wire.read_response());
                    let Ok((status, headers, body)) = answer else { return };
                    answered.fetch_add(1, Ordering::Relaxed);
                    let is_signed =
                        headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("response-stamp"));
                    if status == 200 && !is_signed {
                        let body = String::from_utf8_lossy(&body);
                        record.add(format!(
                            "client {client}: {attempt} answered 200 without a signature: {body:?}"
                        ));
                        unsigned.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let unsigned = unsigned.load(Ordering::Relaxed);
    record.add(format!(
        "{} look-ups answered, {} answers spoiled, {unsigned} successes without a signature",
        answered.load(Ordering::Relaxed),
        spoiled.load(Ordering::Relaxed)
    ));
    if unsigned > 0 { Outcome::Broken } else { Outcome::Held }
}
