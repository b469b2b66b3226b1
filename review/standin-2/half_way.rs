//! A crowd of clients begins requests and stops half-way. Sound clients send a booking, and a prompt
//! ahead of its answer.

use std::collections::HashSet;
use std::io;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::common::{Node, Record, Wire, gather_crowd, head, start_site};

/// Clients of the crowd, below the descriptors of the machine.
const CROWD: usize = 2_600;
const HALF_HEAD: &[u8] = b"POST /pose/1 HTTP/1.1\r\nHost:";
const CLIENTS: usize = 20;
/// Time that a server works on a booking.
const WORK: Duration = Duration::from_millis(600);
/// Size of the prompt. The site's largest have 72,000 bytes.
const PROMPT_BYTES: usize = 12_000;
/// Connections that the rule allows to close so.
const ALLOWED: usize = 3;

pub fn play(binary: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let ip = IpAddr::from([127, 9, 9, 1]);
    let received: Arc<Mutex<HashSet<String>>> = Arc::default();
    let (log, runs) = (Arc::clone(record), Arc::clone(&received));
    let store = start_site(ip, 6, WORK, move |server, attempt| {
        log.add(format!("server {server} runs {attempt}"));
        runs.lock().unwrap().insert(attempt.to_owned());
    });
    let node = Node::start(binary, ip, &store, 110);
    record.add("the instance is ready");
    let crowd = if has_trouble { gather_crowd(&node, CROWD, HALF_HEAD) } else { Vec::new() };
    record.add(format!("{} clients have sent half of a head and stay", crowd.len()));
    let connections = (0..CLIENTS).map(|_| node.connect().expect("connect"));
    let connections: Vec<Wire> = connections.collect();
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(client, mut wire)| {
            let (record, received) = (Arc::clone(record), Arc::clone(&received));
            thread::spawn(move || {
                let booking = format!("c{client}-booking");
                let error = run_client(&booking, client, &mut wire, &record).err();
                if let Some(error) = &error {
                    record.add(format!("client {client}: no answer to {booking}: {error}"));
                }
                error.is_some() && received.lock().unwrap().contains(&booking)
            })
        })
        .collect();
    let lost = clients.into_iter().filter_map(|client| client.join().ok());
    let lost = lost.filter(|is_lost| *is_lost).count();
    record.add(format!(
        "{lost} of {CLIENTS} bookings were passed on and their connections closed without an \
         answer, allowed {ALLOWED}; the crowd had {} connections",
        crowd.len()
    ));
    if lost > ALLOWED { Outcome::Broken } else { Outcome::Held }
}

/// Uses a connection in calm, then sends a booking, and 200 ms later a prompt. Fails if the booking is
/// not answered.
fn run_client(booking: &str, client: usize, wire: &mut Wire, record: &Record) -> io::Result<()> {
    wire.send(head("GET", "/look/1", &format!("c{client}-look"), 4_000) + "\r\n")?;
    let (status, ..) = wire.read_response()?;
    record.add(format!("client {client}: c{client}-look answered {status}"));
    let body = [b'x'; 600];
    let mut request = head("POST", "/book/1", booking, 4_000).into_bytes();
    request.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    request.extend(body);
    wire.send(request)?;
    thread::sleep(Duration::from_millis(200));
    let fields =
        "Model: m\r\nToken-Counts: 3000,72\r\nPrompt-Prefix: 5c1e07a2:200,91bd3f06:2800\r\n";
    let mut prompt = head("POST", "/pose/7", &format!("c{client}-prompt"), 14_000).into_bytes();
    prompt.extend(format!("{fields}Content-Length: {PROMPT_BYTES}\r\n\r\n").into_bytes());
    prompt.extend([b'x'; PROMPT_BYTES]);
    wire.send(prompt)?;
    record.add(format!("client {client}: {booking} sent, and a prompt 200 ms after it"));
    let (status, ..) = wire.read_response()?;
    record.add(format!("client {client}: {booking} answered {status}"));
    Ok(())
}
