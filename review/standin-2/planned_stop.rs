//! Clients send a request before the one ahead of it on the connection is answered; the machine gets
//! SIGTERM meanwhile.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::common::{Node, Record, Wire, field, head, start_site};

/// Clients, each with a connection that has been used before.
const CLIENTS: usize = 10;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(600);
/// Time from the first of two requests to SIGTERM. The second one has been read by then.
const UNTIL_STOP: Duration = Duration::from_millis(300);
const LOSS_SLACK_MS: u128 = 200;

pub fn play(binary: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let ip = IpAddr::from([127, 9, 6, 1]);
    let log = Arc::clone(record);
    let store = start_site(ip, 6, WORK, move |server, attempt| {
        log.add(format!("server {server} runs {attempt}"));
    });
    let node = Node::start(binary, ip, &store, 110);
    record.add("the instance is ready");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = Arc::clone(record);
            let mut wire = node.connect().expect("connect");
            thread::spawn(move || run_client(client, &mut wire, &record))
        })
        .collect();
    thread::sleep(WORK + UNTIL_STOP);
    if has_trouble {
        node.terminate();
        record.add("SIGTERM");
    }
    let results = clients.into_iter().map(|client| client.join().expect("a client"));
    let results: Vec<io::Result<bool>> = results.collect();
    let lost = results.iter().filter(|result| matches!(result, Ok(true))).count();
    let unplayed = results.iter().filter(|result| result.is_err()).count();
    record.add(format!(
        "{lost} of {CLIENTS} connections ended without the answer to a request, {unplayed} before it"
    ));
    match (lost, unplayed) {
        (0, 0) => Outcome::Held,
        (0, _) => Outcome::Unplayed,
        _ => Outcome::Broken,
    }
}

/// Uses a connection in calm, then sends two requests, the second one before the first is answered:
/// two look-ups in one piece, or a look-up 100 ms after a booking whose body comes in chunks. Returns
/// whether the connection ended without the second answer, later than allowed. Fails if it ended before.
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
    let close = field(&headers, "connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
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
