use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde_json::{Map, json};

use crate::settings::SettingsError;

/// Maximum number of lines waiting to be written. Further lines are dropped and counted, so that
/// requests never wait for the log.
const MAX_QUEUED_LINES: usize = 2_000;

/// Log appender that writes each record as one line of JSON, from a dedicated thread.
#[derive(Debug)]
struct JsonAppender {
    lines: SyncSender<String>,
    dropped: AtomicU64,
}

/// Installs the process-wide logger.
pub fn init_json_logs() -> Result<(), SettingsError> {
    let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
    thread::spawn(move || write_lines(&queued));
    let appender = JsonAppender { lines, dropped: AtomicU64::new(0) };
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .build(Root::builder().appender("stdout").build(LevelFilter::Info))
        .map_err(SettingsError::LoggingConfig)?;
    log4rs::init_config(config).map_err(SettingsError::Logging)?;
    Ok(())
}

fn write_lines(queued: &Receiver<String>) {
    let stdout = std::io::stdout();
    while let Ok(line) = queued.recv() {
        // Ignore write errors: a closed standard output must not end the process, and there is no
        // other place to report it.
        let _ = stdout.lock().write_all(line.as_bytes());
    }
}

impl Append for JsonAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut fields = JsonFields(Map::new());
        fields.0.insert("time_unix_ms".into(), json!(unix_ms()));
        fields.0.insert("level".into(), json!(record.level().as_str()));
        fields.0.insert("part".into(), json!(record.target()));
        fields.0.insert("message".into(), json!(record.args().to_string()));
        record.key_values().visit(&mut fields)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            fields.0.insert("lines_dropped_before".into(), json!(dropped));
        }
        let line = format!("{}\n", serde_json::Value::Object(fields.0));
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Time of day, in which lines of several instances are put in order.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

struct JsonFields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(is_set) = value.to_bool() {
            json!(is_set)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
