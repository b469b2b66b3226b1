//! Tests of error messages for settings files and documents, through the built binaries.

use std::process::{Command, Output};

const GATEWAY: &str = include_str!("../examples/association/gateway-a.jsonc");
const DOCUMENT: &str = include_str!("../examples/association.jsonc");

/// Returns the command's output and exit code.
fn printed(output: Output) -> String {
    let text = |bytes| String::from_utf8(bytes).unwrap();
    let code = output.status.code().unwrap();
    format!("{}{}exit {code}", text(output.stdout), text(output.stderr))
        .replace(env!("CARGO_TARGET_TMPDIR"), "DIR")
}

fn file(name: &str, text: &str) -> String {
    let path = format!("{}/settings-{name}.jsonc", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).unwrap();
    path
}

fn check_settings(path: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_almondroad-gateway"));
    printed(command.args(["--check", "--settings", path]).output().unwrap())
}

/// Checks the gateway's example settings with `from` replaced by `to`.
fn settings_with(name: &str, from: &str, to: &str) -> String {
    assert!(GATEWAY.contains(from), "{from}");
    check_settings(&file(name, &GATEWAY.replacen(from, to, 1)))
}

/// Checks the example document with `from` replaced by `to`.
fn document_with(name: &str, from: &str, to: &str) -> String {
    assert!(DOCUMENT.contains(from), "{from}");
    let path = file(name, &DOCUMENT.replacen(from, to, 1));
    let mut command = Command::new(env!("CARGO_BIN_EXE_almondroad"));
    printed(command.args(["check", &path]).output().unwrap())
}

/// Guards against example settings that the gateway rejects.
#[test]
fn the_examples_pass() {
    for deployment in ["association", "loomworks"] {
        for zone in ["a", "b", "c"] {
            let root = env!("CARGO_MANIFEST_DIR");
            let path = format!("{root}/examples/{deployment}/gateway-{zone}.jsonc");
            assert_eq!(check_settings(&path), format!("{path}: ok\nexit 0"));
        }
    }
}

/// Guards against an instance that starts with unknown arguments or without a settings file.
#[test]
fn a_wrong_usage_starts_nothing() {
    for (arguments, expected) in [
        (&["--check"][..], "the '--settings' option must be set"),
        (&["--settings", "x", "--chekc"][..], "unexpected argument --chekc"),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_almondroad-gateway"));
        let output = printed(command.args(arguments).output().unwrap());
        assert!(output.starts_with(&format!("almondroad-gateway: {expected}")), "{output}");
        assert!(output.contains("Usage:") && output.ends_with("exit 2"), "{output}");
    }
}

/// Guards against silently ignored unknown settings and unclear errors for missing settings, syntax
/// errors and missing files.
#[test]
fn an_unknown_or_missing_setting_is_named() {
    insta::assert_snapshot!(settings_with("unit", "// Used", "\"request_timeout_s\": 60, // Used"), @"
    almondroad-gateway: DIR/settings-unit.jsonc: line 9, column 3: request_timeout_s: unknown field `request_timeout_s`, expected one of `instance`, `region`, `zone`, `http_listen`, `peer_listen`, `peer_advertise`, `tls`, `platform_address`, `first_document_file`, `max_body_bytes`, `request_timeout_ms`, `interactive_queue_ms`, `waiting_queue_ms`, `addresses_ttl_ms`, `max_requests`, `log`
    exit 2
    ");
    insta::assert_snapshot!(settings_with("missing", "\"zone\": \"khomas-a\",", ""), @"
    almondroad-gateway: DIR/settings-missing.jsonc: line 1, column 1: missing field `zone`
    exit 2
    ");
    insta::assert_snapshot!(settings_with("syntax", "\"zone\": \"khomas-a\",", "\"zone\": \"khomas-a\""), @"
    almondroad-gateway: DIR/settings-syntax.jsonc: line 5, column 21: Expected comma
    exit 2
    ");
    insta::assert_snapshot!(check_settings("DIR/none.jsonc"), @"
    almondroad-gateway: DIR/none.jsonc: No such file or directory (os error 2)
    exit 2
    ");
}

/// Guards against accepting a setting of a wrong type or out of range.
#[test]
fn a_wrong_unit_or_a_value_out_of_range_is_named() {
    let value = |name, to| settings_with(name, "// Used", &format!("{to}, // Used"));
    insta::assert_snapshot!(value("text", r#""request_timeout_ms": "60 s""#), @r#"
    almondroad-gateway: DIR/settings-text.jsonc: line 9, column 3: request_timeout_ms: invalid type: string "60 s", expected a whole number of milliseconds, 1 to 600000
    exit 2
    "#);
    insta::assert_snapshot!(value("timeout", r#""request_timeout_ms": 600001"#), @"
    almondroad-gateway: DIR/settings-timeout.jsonc: line 9, column 3: request_timeout_ms: invalid value: integer `600001`, expected a whole number of milliseconds, 1 to 600000
    exit 2
    ");
    insta::assert_snapshot!(value("negative", r#""waiting_queue_ms": -1"#), @"
    almondroad-gateway: DIR/settings-negative.jsonc: line 9, column 3: waiting_queue_ms: invalid type: integer `-1`, expected a whole number of milliseconds, 1 to 600000
    exit 2
    ");
    insta::assert_snapshot!(value("queue", r#""interactive_queue_ms": 0"#), @"
    almondroad-gateway: DIR/settings-queue.jsonc: line 9, column 3: interactive_queue_ms: invalid value: integer `0`, expected a whole number of milliseconds, 1 to 600000
    exit 2
    ");
    insta::assert_snapshot!(value("ttl", r#""addresses_ttl_ms": 2"#), @"
    almondroad-gateway: DIR/settings-ttl.jsonc: line 9, column 3: addresses_ttl_ms: invalid value: integer `2`, expected a whole number of milliseconds, 100 to 60000
    exit 2
    ");
    insta::assert_snapshot!(value("requests", r#""max_requests": 0"#), @"
    almondroad-gateway: DIR/settings-requests.jsonc: line 9, column 3: max_requests: invalid value: integer `0`, expected a whole number of requests, 1 to 100000
    exit 2
    ");
    insta::assert_snapshot!(value("bytes", r#""max_body_bytes": 0"#), @"
    almondroad-gateway: DIR/settings-bytes.jsonc: line 9, column 3: max_body_bytes: invalid value: integer `0`, expected a whole number of bytes, 1 to 67108864
    exit 2
    ");
    insta::assert_snapshot!(value("level", r#""log": { "level": "loud" }"#), @"
    almondroad-gateway: DIR/settings-level.jsonc: line 9, column 12: log.level: unknown variant `loud`, expected one of `error`, `warn`, `info`, `debug`
    exit 2
    ");
    let address = |name, from, to| settings_with(name, from, to);
    insta::assert_snapshot!(address("listen", "127.0.0.1:9131", "localhost"), @r#"
    almondroad-gateway: DIR/settings-listen.jsonc: line 6, column 3: http_listen: expected IP address:PORT, found "localhost"
    exit 2
    "#);
    insta::assert_snapshot!(address("platform", "127.0.0.1:9190", "http://127.0.0.1:9190/"), @r#"
    almondroad-gateway: DIR/settings-platform.jsonc: line 8, column 3: platform_address: expected HOST:PORT, found "http://127.0.0.1:9190/"
    exit 2
    "#);
}

/// Guards against accepting a document with an unknown field, a wrong type or a value out of range.
#[test]
fn a_wrong_value_of_the_document_is_named() {
    let unit =
        document_with("d-unit", "\"rate_tokens_per_s\": 4000", "\"rate_tokens_per_min\": 4000");
    insta::assert_snapshot!(unit, @"
    DIR/settings-d-unit.jsonc:53:24: error: rates.acacia-lodges.rate_tokens_per_min: unknown field `rate_tokens_per_min`, expected `rate_tokens_per_s` or `burst_tokens`
    almondroad: DIR/settings-d-unit.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    let text = document_with("d-text", "\"burst_tokens\": 40000", "\"burst_tokens\": \"40k\"");
    insta::assert_snapshot!(text, @r#"
    DIR/settings-d-text.jsonc:53:51: error: rates.acacia-lodges.burst_tokens: invalid type: string "40k", expected a whole number, 0 or more
    almondroad: DIR/settings-d-text.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    "#);
    let range = document_with("d-range", "\"slots\": 22", "\"slots\": 0");
    insta::assert_snapshot!(range, @"
    DIR/settings-d-range.jsonc:91:63: error: slots: expected a number above 0
    almondroad: DIR/settings-d-range.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    let state = document_with(
        "d-state",
        "\"region\": \"khomas\" }",
        "\"region\": \"khomas\", \"state\": \"off\" }",
    );
    insta::assert_snapshot!(state, @"
    DIR/settings-d-state.jsonc:61:39: error: zones.khomas-a.state: unknown variant `off`, expected `in` or `out`
    almondroad: DIR/settings-d-state.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
}
