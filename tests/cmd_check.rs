//! `almondroad check` and argument errors through the real binary.

use std::process::{Command, Output};

const ASSOCIATION: &str = include_str!("../examples/association.jsonc");

fn almondroad(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_almondroad"));
    command.args(arguments).env_remove("ALMONDROAD_CREDENTIAL").output().unwrap()
}

/// Everything that the command printed, and its exit code.
fn printed(output: Output) -> String {
    let text = |bytes| String::from_utf8(bytes).unwrap();
    format!("{}{}exit {}", text(output.stdout), text(output.stderr), output.status.code().unwrap())
}

/// Checks the association's document with one text replaced by another.
fn check_with(name: &str, from: &str, to: &str) -> String {
    assert!(ASSOCIATION.contains(from), "{from}");
    let path = format!("{}/{name}.jsonc", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, ASSOCIATION.replacen(from, to, 1)).unwrap();
    printed(almondroad(&["check", &path])).replace(env!("CARGO_TARGET_TMPDIR"), "DIR")
}

/// Guards against examples that the gateway would refuse.
#[test]
fn the_examples_pass() {
    for name in ["association", "loomworks"] {
        let path = format!("{}/examples/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
        assert_eq!(printed(almondroad(&["check", &path])), "exit 0", "{name}");
    }
}

/// Guards against an error without its position or without what was expected.
#[test]
fn references_between_sections_are_checked() {
    insta::assert_snapshot!(check_with("zone", r#""zone": "khomas-a""#, r#""zone": "khomas-x""#), @"
    DIR/zone.jsonc:80:54: error: zone khomas-x: expected one of zones: khomas-a, khomas-b, khomas-c
    almondroad: DIR/zone.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("model", r#""model": "assistant""#, r#""model": "poet""#), @"
    DIR/model.jsonc:79:5: error: pool khomas/poet/0: expected endpoints of both roles, none has role decode
    DIR/model.jsonc:81:26: error: model poet: expected one of models: assistant
    almondroad: DIR/model.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("rate", r#"    "dune-guides": { "rate"#, r#"    "dunes": { "rate"#), @"
    DIR/rate.jsonc:41:5: error: organisation dune-guides: expected a member dune-guides in rates
    DIR/rate.jsonc:56:5: warning: rate of dunes: expected a member dunes in organisations
    almondroad: DIR/rate.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("service", r#""service": "booking", "repeat""#, r#""service": "hotels", "repeat""#), @"
    DIR/service.jsonc:186:56: error: service hotels: expected a service of endpoints: booking
    almondroad: DIR/service.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("path", "/v1/batch", "/v1/completions"), @"
    DIR/path.jsonc:185:7: error: path /v1/completions: expected one route; route 0 has it too
    almondroad: DIR/path.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("slice", r#""model": "assistant","#, r#""model": "assistant", "slice": 7,"#), @"
    DIR/slice.jsonc:79:5: error: pool khomas/assistant/7: expected endpoints of both roles, none has role decode
    almondroad: DIR/slice.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
}

/// Guards against a section with two teams or none, and against a key that fits two
/// organisations.
#[test]
fn owners_and_keys_are_checked() {
    insta::assert_snapshot!(check_with("two", r#"["routes"]"#, r#"["routes", "rates"]"#), @"
    DIR/two.jsonc:24:30: error: section rates: expected one team, customers owns it
    almondroad: DIR/two.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("none", r#"["routes"]"#, "[]"), @"
    DIR/none.jsonc:13:3: error: section routes: expected a team that owns it
    almondroad: DIR/none.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    let hash = |organisation: &str| {
        let key = format!("example-association-{organisation}-key");
        almondroad::units::KeyHash::of_key(&key).to_string()
    };
    let same = check_with("key", &hash("baobab-travel"), &hash("acacia-lodges"));
    insta::assert_snapshot!(same, @"
    DIR/key.jsonc:35:17: error: key baobab-travel/first: expected another hash than acacia-lodges/first's
    almondroad: DIR/key.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
}

/// Guards against sizes of zero, and against a warning that blocks the document.
#[test]
fn sizes_are_checked() {
    insta::assert_snapshot!(check_with("zero", r#""pieces": 1000, "slots": 4"#, r#""pieces": 0, "slots": 0"#), @"
    DIR/zero.jsonc:81:48: error: pieces: expected a number above 0
    DIR/zero.jsonc:81:61: error: slots: expected a number above 0
    almondroad: DIR/zero.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("burst", r#""burst_tokens": 40000"#, r#""burst_tokens": 400"#), @"
    DIR/burst.jsonc:53:51: warning: burst of acacia-lodges: 400 is less than the 10240 tokens of the largest request of model assistant; such requests are always refused
    exit 0
    ");
}

/// Guards against loads that no rate limits, or that the weight store's budget can never grant.
#[test]
fn loads_are_checked() {
    let costs = r#""min_bytes_per_token": 1,"#;
    let load = format!("{costs} \"revision\": \"r2\", \"weights_bytes\": 2000000000,");
    insta::assert_snapshot!(check_with("unlimited", costs, &load), @"
    DIR/unlimited.jsonc:73:51: error: model assistant: expected a member weight-store in rates
    almondroad: DIR/unlimited.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    let path = format!("{}/unlimited.jsonc", env!("CARGO_TARGET_TMPDIR"));
    let text = std::fs::read_to_string(&path).unwrap();
    let with_rate = |burst: u64| {
        let rate = format!(
            r#""rates": {{ "weight-store": {{ "rate_tokens_per_s": 200, "burst_tokens": {burst} }},"#
        );
        std::fs::write(&path, text.replacen(r#""rates": {"#, &rate, 1)).unwrap();
        printed(almondroad(&["check", &path])).replace(env!("CARGO_TARGET_TMPDIR"), "DIR")
    };
    insta::assert_snapshot!(with_rate(1000), @"
    DIR/unlimited.jsonc:73:51: error: model assistant: expected at most the burst of weight-store, 1000 MiB; a load reads 1908 MiB
    almondroad: DIR/unlimited.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    assert_eq!(with_rate(2000), "exit 0");
    let free = format!(
        "{costs} \"revision\": \"r2\", \"adapters\": {{ \"a\": {{ \"revision\": \"\" }} }},"
    );
    insta::assert_snapshot!(check_with("free", costs, &free), @"
    DIR/free.jsonc:67:5: warning: model assistant: its loads are not limited without a member weights_bytes
    DIR/free.jsonc:73:72: error: adapter a: expected a revision
    almondroad: DIR/free.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
}

/// Guards against a misspelt, repeated or mistyped member that is silently ignored.
#[test]
fn contents_are_checked() {
    insta::assert_snapshot!(check_with("spelling", r#""burst_tokens""#, r#""burst_token""#), @"
    DIR/spelling.jsonc:53:51: error: rates.acacia-lodges.burst_token: unknown field `burst_token`, expected `rate_tokens_per_s` or `burst_tokens`
    almondroad: DIR/spelling.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("type", r#""weight": 4"#, r#""weight": "four""#), @r#"
    DIR/type.jsonc:30:7: error: organisations.acacia-lodges.weight: invalid type: string "four", expected a whole number, 0 or more
    almondroad: DIR/type.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    "#);
    insta::assert_snapshot!(check_with("twice", r#"    "dune-guides": { "rate"#, r#"    "camelthorn": { "rate"#), @"
    DIR/twice.jsonc:41:5: error: organisation dune-guides: expected a member dune-guides in rates
    DIR/twice.jsonc:56:5: error: camelthorn: the name is already used on line 55
    almondroad: DIR/twice.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
    insta::assert_snapshot!(check_with("brace", r#"  "zones": {"#, r#"  "zones": "#), @"
    DIR/brace.jsonc:61:15: error: Unexpected token in object
    almondroad: DIR/brace.jsonc does not pass its checks. Correct the errors and run the check again.
    exit 1
    ");
}

/// Guards against usage errors that do not say what to do, and against changed exit codes.
#[test]
fn argument_errors_say_what_to_do() {
    let run = |arguments: &[&str]| printed(almondroad(arguments));
    insta::assert_snapshot!(run(&[]), @"
    almondroad: name a command
    Run `almondroad --help` for the commands and their arguments.
    exit 2
    ");
    insta::assert_snapshot!(run(&["chekc"]), @"
    almondroad: there is no command chekc
    Run `almondroad --help` for the commands and their arguments.
    exit 2
    ");
    insta::assert_snapshot!(run(&["check"]), @"
    almondroad: FILE is missing
    Run `almondroad --help` for the commands and their arguments.
    exit 2
    ");
    insta::assert_snapshot!(run(&["check", "--strict", "x"]), @"
    almondroad: there is no option --strict
    Run `almondroad --help` for the commands and their arguments.
    exit 2
    ");
    insta::assert_snapshot!(run(&["check", "/no/such/file"]), @"
    almondroad: cannot use /no/such/file: No such file or directory (os error 2)
    Check the name of the file.
    exit 2
    ");
    insta::assert_snapshot!(run(&["get"]), @"
    almondroad: name an instance with --gateway ADDRESS, such as --gateway 127.0.0.1:9131
    Run `almondroad --help` for the commands and their arguments.
    exit 2
    ");
    insta::assert_snapshot!(run(&["get", "--gateway", "127.0.0.1:1"]), @"
    almondroad: set ALMONDROAD_CREDENTIAL or give --credential-file FILE
    Run `almondroad --help` for the commands and their arguments.
    exit 2
    ");
    insta::assert_snapshot!(run(&["zone", "up", "a"]), @"
    almondroad: expected in or out, not up
    Run `almondroad --help` for the commands and their arguments.
    exit 2
    ");
    insta::assert_snapshot!(run(&["--json", "chekc"]), @r#"
    {"error":{"code":"usage","message":"there is no command chekc\nRun `almondroad --help` for the commands and their arguments."}}
    exit 2
    "#);
    insta::assert_snapshot!(run(&["--version"]), @"
    almondroad 0.1.0
    exit 0
    ");
    for command in ["check", "get", "edit", "put", "diff", "history", "key", "zone", "endpoint"]
        .into_iter()
        .chain(["wait", "status"])
    {
        let help = run(&[command, "--help"]);
        assert!(help.starts_with(&format!("usage: almondroad {command}")), "{help}");
        assert!(help.ends_with("exit 0"), "{help}");
    }
}
