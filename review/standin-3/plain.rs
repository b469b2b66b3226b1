// A server of the booking service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::platform_and_node::{Wire, answer, listen};

#[derive(Default)]
pub struct PlainCounts {
    pub runs: AtomicU64,
    pub spoiled: AtomicU64,
}

#[derive(Clone, Copy)]
pub struct PlainOptions {
    pub work_ms: u64,
    /// One answer in so many is bytes that are no response of this server; 0 for a sound server.
    pub spoils_one_in: u64,
    /// One answer in so many ends its connection; 0 for none.
    pub closes_one_in: u64,
}

/// A page that a program in front of a server might send. It has neither the server's stamp nor the
/// id of the request.
pub const WRONG_PAGE: &str = "<html><body><h1>It works!</h1></body></html>";

pub fn start_plain(options: PlainOptions, counts: Arc<PlainCounts>) -> SocketAddr {
    listen("127.0.0.1:0".parse().unwrap(), move |wire| serve(wire, options, &counts))
}

fn serve(mut wire: Wire, options: PlainOptions, counts: &PlainCounts) {
    while let Some(request) = wire.read_message() {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let run = counts.runs.fetch_add(1, Ordering::Relaxed) + 1;
        thread::sleep(Duration::from_millis(options.work_ms));
        if options.spoils_one_in > 0 && run % options.spoils_one_in == 0 {
            counts.spoiled.fetch_add(1, Ordering::Relaxed);
            let headers = [("Content-Type", "text/html"), ("Connection", "close")];
            wire.write(&answer("200 OK", &headers, WRONG_PAGE.as_bytes()));
            return;
        }
        let closes = options.closes_one_in > 0 && run % options.closes_one_in == 0;
        let stamp = format!("stamp.{attempt}");
        let mut headers = vec![
            ("Attempt-Id", attempt.as_str()),
            ("Response-Stamp", stamp.as_str()),
            ("Keep-Alive", "timeout=1"),
        ];
        if closes {
            headers.push(("Connection", "close"));
        }
        if !wire.write(&answer("200 OK", &headers, &[b'r'; 800])) || closes {
            return;
        }
    }
}
