//! Clients send a request before the one ahead of it on the connection is answered; the machine gets
//! SIGTERM meanwhile.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::common::{
    Machine, Node, Record, Store, Wire, configuration, head, listen, response, server_entry,
};

/// Clients, each with a connection that has been used before.
const CLIENTS: usize = 10;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(600);
/// Time from the first of two requests to SIGTERM. The second one has been read by then.
const UNTIL_STOP: Duration = Duration::from_millis(300);
const LOSS_SLACK_MS: u128 = 200;

pub fn play(binary: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let ip = IpAddr::from([127, 9, 6, 1]);
    let store = Arc::new(Store::default());
    store.set("op", "config", &configuration());
    for index in 0..3 {
        let log = Arc::clone(record);
        let address = listen(ip, move |mut wire| {
            while let Ok(request) = wire.read_request() {
                let attempt = request.attempt().to_owned();
                log.add(format!("server {index} runs {attempt}"));
                thread::sleep(WORK);
                let headers =
                    format!("Attempt-Id: {attempt}\r\nResponse-Stamp: 3e1b.{index}.600.0\r\n");
                if wire.send(response("200 OK", &headers, &format!("done {attempt}"))).is_err() {
                    return;
                }
            }
        });
        store.set("servers", &format!("i-{index}"), &server_entry("hire-desk", address, 6, None));
    }
    let store_address = store.start(ip, Instant::now());
    let machine = Machine { memory_mb: 110, max_fds: 4100, grace_s: 8 };
    let node = Node::start(binary, ip, store_address, &machine);
    record.add("the instance is ready");
    let lost = Arc::new(AtomicU32::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, lost) = (Arc::clone(record), Arc::clone(&lost));
            let mut wire = node.connect().expect("connect");
            thread::spawn(move || {
                let is_lost = run_client(client, &mut wire, &record).unwrap_or_else(|error| {
                    record.add(format!("client {client}: not played: {error}"));
                    false
                });
                lost.fetch_add(u32::from(is_lost), Ordering::Relaxed);
            })
        })
        .collect();
    thread::sleep(WORK + UNTIL_STOP);
    if has_trouble {
        node.terminate();
        record.add("SIGTERM");
    }
    for client in clients {
        let _ = client.join();
    }
    let lost = lost.load(Ordering::Relaxed);
    record.add(format!("{lost} of {CLIENTS} connections ended without the answer to a request"));
    if lost > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Uses a connection in calm, then sends two requests, the second one before the first is answered:
/// two look-ups in one piece, or a look-up 100 ms after a booking whose body comes in chunks. Returns
/// whether the connection ended without the second answer, later than allowed.
fn run_client(client: usize, wire: &mut Wire, record: &Record) -> io::Result<bool> {
    let id = |number: u32| format!("c{client}-{number}");
    let look = |number: u32| head("GET", "/look/1", &id(number), 4_000) + "\r\n";
    wire.send(look(0))?;
    let (status, ..) = wire.read_response()?;
    record.add(format!("client {client}: {} answered {status}", id(0)));
    if client % 2 == 0 {
        wire.send(look(1) + &look(2))?;
        record.add(format!("client {client}: {} and {} sent in one piece", id(1), id(2)));
    } else {
        let booking = head("POST", "/book/1", &id(1), 4_000);
        wire.send(booking + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")?;
        thread::sleep(Duration::from_millis(100));
        wire.send(look(2))?;
        record.add(format!("client {client}: {} sent in chunks, then {}", id(1), id(2)));
    }
    let sent_at_ms = record.ms();
    let (status, headers, _) = wire.read_response()?;
    let close = headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close")
    });
    record.add(format!("client {client}: {} answered {status}, close: {close}", id(1)));
    match wire.read_response() {
        Ok((status, ..)) => {
            record.add(format!("client {client}: {} answered {status}", id(2)));
            Ok(false)
        }
        Err(error) => {
            let after_ms = record.ms() - sent_at_ms;
            record.add(format!(
                "client {client}: the connection ended {after_ms} ms after the last byte of {}, \
                 without its answer: {error}",
                id(2)
            ));
            Ok(after_ms > LOSS_SLACK_MS)
        }
    }
}
