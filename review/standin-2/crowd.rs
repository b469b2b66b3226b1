//! A crowd of clients sends requests that are legal in size but made of very many short fields, stops
//! just short of their end and stays.

use std::net::IpAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::common::{Node, Record, gather_crowd, head, start_site};

/// Memory of a machine of the small deployment, and what a client may send there.
const MEMORY_MB: u64 = 110;
const MAX_HEADER_BYTES: usize = 16_384;
/// Size of the bodies, of which one byte is missing.
const BODY_BYTES: usize = 600;
/// Clients of the crowd, well below the descriptors of the machine.
const CLIENTS: usize = 2_000;
/// Short fields and short parts of the prompt in each request.
const FIELDS: usize = 80;
const PARTS: usize = 1_500;
/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(8);

pub fn play(binary: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let ip = IpAddr::from([127, 9, 7, 1]);
    let store = start_site(ip, 6, Duration::from_millis(60), |_, _| {});
    let mut node = Node::start(binary, ip, &store, MEMORY_MB);
    let memory = node.memory_kib("VmRSS").unwrap_or(0);
    record.add(format!("the instance is ready and uses {memory} KiB"));
    record.add(format!("an ordinary request is answered {:?}", ask(&node, "before")));
    let crowd = if has_trouble {
        let request = unfinished_request();
        record.add(format!(
            "{CLIENTS} clients send a head of {} bytes (allowed {MAX_HEADER_BYTES}) and all but 1 of \
             the {BODY_BYTES} bytes of its body, and stop there",
            request.len() - (BODY_BYTES - 1)
        ));
        gather_crowd(&node, CLIENTS, &request)
    } else {
        Vec::new()
    };
    record.add(format!("{} clients have sent it", crowd.len()));
    let until = Instant::now() + STAY;
    while Instant::now() < until {
        let memory = node.memory_kib("VmRSS").unwrap_or(0);
        record.add(format!("the instance uses {memory} KiB"));
        thread::sleep(Duration::from_secs(1));
    }
    record.add(format!("an ordinary request is answered {:?}", ask(&node, "during")));
    let ended = node.child.try_wait().ok().flatten();
    let peak = node.memory_kib("VmHWM");
    record.add(format!(
        "peak {peak:?} KiB, the machine has {} KiB; process ended: {ended:?}",
        MEMORY_MB << 10
    ));
    let Some(peak) = peak else { return Outcome::Unplayed };
    if peak > MEMORY_MB << 10 { Outcome::Broken } else { Outcome::Held }
}

/// A request with many short fields, without the end of its body.
fn unfinished_request() -> Vec<u8> {
    let fields: String = (0..FIELDS).map(|field| format!("a{field}: b\r\n")).collect();
    let parts = "1:1,".repeat(PARTS);
    let mut request = head("POST", "/pose/1", "crowd", 14_000);
    request += &format!(
        "Model: m\r\nToken-Counts: {},9\r\nPrompt-Prefix: {parts}2:1\r\n{fields}\
         Content-Length: {BODY_BYTES}\r\n\r\n",
        PARTS + 1
    );
    let mut request = request.into_bytes();
    request.extend([b'x'; BODY_BYTES - 1]);
    request
}

/// Sends a look-up on a connection of its own. Returns the status of the answer.
fn ask(node: &Node, attempt: &str) -> Option<u16> {
    let mut wire = node.connect().ok()?;
    wire.send(head("GET", "/look/7", attempt, 4_000) + "Connection: close\r\n\r\n").ok()?;
    wire.read_response().ok().map(|(status, ..)| status)
}
