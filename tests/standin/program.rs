//! The program `almondroad-standin`.

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};

use almondroad::engine::{Engine, HttpEngine};
use almondroad::http::HttpClient;
use almondroad::standin::{EffectCount, EngineFaults, FaultPoint, PlainFaults};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::json;

use crate::helpers::*;

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_almondroad-standin"));
    command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Starts a stand-in and returns the process and the address that it printed.
fn start(arguments: &[&str]) -> (Child, String) {
    let mut child = command(arguments).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening on ").expect(&line).to_string();
    (child, address)
}

/// Guards against usage errors with the exit status of a crash, and against settings errors without
/// a line and column.
#[test]
fn usage_errors_exit_with_2() {
    let settings = std::env::temp_dir().join(format!("standin-{}.jsonc", std::process::id()));
    std::fs::write(&settings, "{\n  // Comment.\n  \"pieces\": \"many\"\n}").unwrap();
    let path = settings.to_str().unwrap();
    let cases: [(&[&str], i32, &str); 6] = [
        (&["--help"], 0, ""),
        (&["--version"], 0, ""),
        (&[], 2, "name a command"),
        (&["nothing"], 2, "there is no command nothing"),
        (&["engine", "more"], 2, "unexpected argument more"),
        (&["engine", "--settings", path], 2, "line 3, column"),
    ];
    for (arguments, status, message) in cases {
        let output = command(arguments).output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(status), "{arguments:?}: {error}");
        assert!(error.contains(message), "{arguments:?}: {error}");
    }
    std::fs::remove_file(settings).unwrap();
}

/// Guards against a command that starts the wrong stand-in or none.
#[tokio::test]
async fn each_command_starts_its_standin() {
    run(async {
        let commands = [
            ("engine", "/engine/held"),
            ("platform", "/instances"),
            ("plain", "/any"),
            ("weights", "/weights/m"),
        ];
        for (name, path) in commands {
            let (mut child, address) = start(&[name]);
            let client = HttpClient::new(address);
            let request = client.request(Method::GET, path, Bytes::new()).unwrap();
            let status =
                client.send(request, REQUEST_TIMEOUT).await.map(|response| response.status());
            child.kill().unwrap();
            child.wait().unwrap();
            assert_eq!(status, Ok(StatusCode::OK), "{name}");
        }
    })
    .await;
}

/// Guards against a process that keeps running after an injected crash.
#[tokio::test]
async fn an_engine_process_stops_after_an_injected_crash() {
    run(async {
        let (mut child, address) = start(&["engine", "--listen", "127.0.0.1:0"]);
        let engine = HttpEngine::new(address.as_str());
        assert_eq!(engine.held_attempts().await, Ok(Vec::new()));
        let crash = EngineFaults { crash: true, ..EngineFaults::default() };
        let client = HttpClient::new(address);
        let _ =
            client.call::<_, ()>(Method::POST, "/standin/faults", &crash, REQUEST_TIMEOUT).await;
        assert_eq!(child.wait().unwrap().code(), Some(1));
        let mut error = String::new();
        child.stderr.take().unwrap().read_to_string(&mut error).unwrap();
        assert!(error.contains("stopped by an injected crash"), "{error}");
    })
    .await;
}

/// Guards against effects that are lost in a crash, so that repeats would not be counted.
#[tokio::test]
async fn effects_in_a_file_outlive_the_process() {
    run(async {
        let base = std::env::temp_dir().join(format!("effects-{}", std::process::id()));
        let (settings, effects) = (base.with_extension("jsonc"), base.with_extension("txt"));
        std::fs::write(&settings, json!({ "effects_file": effects }).to_string()).unwrap();
        let arguments = ["plain", "--settings", settings.to_str().unwrap()];
        let order = json!({"order": "o-1"});
        let (mut child, address) = start(&arguments);
        let client = HttpClient::new(address);
        let crash = PlainFaults { crash: Some(FaultPoint::AfterEffect), ..PlainFaults::default() };
        let () =
            client.call(Method::POST, "/standin/faults", &crash, REQUEST_TIMEOUT).await.unwrap();
        assert!(client.call::<_, ()>(Method::POST, "/", &order, REQUEST_TIMEOUT).await.is_err());
        assert_eq!(child.wait().unwrap().code(), Some(1));
        let (mut child, address) = start(&arguments);
        let answer =
            HttpClient::new(address).call(Method::POST, "/", &order, REQUEST_TIMEOUT).await;
        child.kill().unwrap();
        child.wait().unwrap();
        std::fs::remove_file(settings).unwrap();
        std::fs::remove_file(effects).unwrap();
        assert_eq!(answer, Ok(EffectCount { effect: "o-1".into(), count: 2 }));
    })
    .await;
}
