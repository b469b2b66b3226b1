//! Edits through the real client and the gateway's operators' interface.

#[path = "config/fakes.rs"]
#[allow(dead_code)]
mod fakes;

use std::cell::Cell;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;

use almondroad::clock::TokioClock;
use almondroad::config::Admin;
use almondroad::http::{Handler, ResponseBody, serve};
use almondroad::units::KeyHash;
use fakes::{CommitFault, Config, FakeNetwork, FakePeers, FakeStore};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_blocking, spawn_local};

const LOOMWORKS: &str = include_str!("../examples/loomworks.jsonc");

struct AdminHandler {
    admin: Admin<FakeStore, FakeStore, TokioClock, FakePeers>,
    config: Rc<Config>,
    /// Versions by which instance i10 is behind.
    version_lag: Rc<Cell<u64>>,
}

impl Handler for AdminHandler {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<ResponseBody> {
        if request.uri().path() == "/admin/v1/status" {
            let version = self.config.current().version.get();
            let status = serde_json::json!({
                "instance": "i0", "version": version, "is_confirmed": true, "has_store": true,
                "instances": [
                    { "instance": "i0", "zone": "jm-south-a", "version": version },
                    { "instance": "i10", "version": version - self.version_lag.get() },
                ],
                "holders": [
                    { "shard": "budget/0", "holder": "i0" },
                    { "shard": "pool/jm-south/report/0", "holder": "i0" },
                ],
                "endpoints": [
                    { "endpoint": "decode-jm-south-a-1", "is_up": true, "slot_limit": 2 },
                    { "endpoint": "decode-jm-south-a-2", "is_up": true, "slot_limit": 22 },
                    { "endpoint": "decode-jm-south-b-1", "is_up": false, "slot_limit": 2 },
                ],
            });
            let status = status.to_string();
            return self
                .admin
                .refusal(request.headers())
                .unwrap_or_else(|| Response::new(ResponseBody::full(status)));
        }
        self.admin.handle(request).await
    }
}

struct Service {
    address: String,
    network: Rc<FakeNetwork>,
    version_lag: Rc<Cell<u64>>,
    editor: &'static str,
    _stop: watch::Sender<bool>,
}

struct Printed {
    code: i32,
    out: String,
    err: String,
}

impl Service {
    async fn start() -> Service {
        let network = Rc::new(FakeNetwork::default());
        let config = network.start("i0", FakeStore::default()).await;
        config.bootstrap(LOOMWORKS).await.unwrap();
        network.run("i0");
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (stop, stopped) = watch::channel(false);
        let version_lag = Rc::new(Cell::new(0));
        let admin = Admin::new(Rc::clone(&config));
        let handler = Rc::new(AdminHandler { admin, config, version_lag: Rc::clone(&version_lag) });
        spawn_local(serve(listener, handler, stopped));
        Service { address, network, version_lag, editor: "false", _stop: stop }
    }

    fn config(&self) -> Rc<Config> {
        self.network.config("i0")
    }

    fn text(&self) -> String {
        self.config().current().text.as_str().to_owned()
    }

    /// Runs the client with the example credential of a team.
    async fn run(&self, team: &str, arguments: &[&str]) -> Printed {
        let mut command = Command::new(env!("CARGO_BIN_EXE_almondroad"));
        command.args(["--gateway", &self.address]).args(arguments);
        command.env("ALMONDROAD_CREDENTIAL", format!("example-loomworks-{team}"));
        command.env("EDITOR", self.editor).env("TMPDIR", env!("CARGO_TARGET_TMPDIR"));
        let output = spawn_blocking(move || command.output().unwrap()).await.unwrap();
        Printed {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

fn file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).unwrap();
    path
}

/// The text without its layout. Comments stay.
fn strip_whitespace(text: &str) -> String {
    text.chars().filter(|c| !c.is_whitespace()).collect()
}

/// Guards against small edits that lose comments or touch other entries.
#[tokio::test]
async fn small_edits_change_one_entry() {
    let test = async {
        let zone = r#""jm-south-b":{"region":"jm-south"#;
        let endpoint = r#""link_bytes_per_s":1250000000,"checks_fencing":true"#;
        for (arguments, entry, state) in [
            (["zone", "out", "jm-south-b"], zone, "out"),
            (["zone", "in", "jm-south-b"], zone, "in"),
            // The document's first endpoint, so `replacen` below finds its entry.
            (["endpoint", "drain", "prefill-jm-south-a-1"], endpoint, "out"),
            (["endpoint", "return", "prefill-jm-south-a-1"], endpoint, "in"),
        ] {
            let service = Service::start().await;
            let printed = service.run("platform", &arguments).await;
            assert_eq!(printed.code, 0, "{}", printed.err);
            let quote = if entry == zone { "\"" } else { "" };
            let with_state = format!(r#"{entry}{quote},"state":"{state}"}}"#);
            let expected =
                strip_whitespace(LOOMWORKS).replacen(&format!("{entry}{quote}}}"), &with_state, 1);
            assert_eq!(strip_whitespace(&service.text()), expected);
        }
        let service = Service::start().await;
        let refused = service.run("platform", &["zone", "out", "jm-north"]).await;
        assert_eq!((refused.code, refused.err.lines().count()), (1, 2), "{}", refused.err);
        assert!(refused.err.contains("zone jm-north is not in the document"), "{}", refused.err);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a key that is stored or printed again, and against a withdrawn key that works.
#[tokio::test]
async fn a_key_is_printed_once_and_stored_as_its_hash() {
    let test = async {
        let service = Service::start().await;
        let created = service.run("customers", &["key", "create", "sea-island", "second"]).await;
        assert_eq!(created.code, 0, "{}", created.err);
        let key = created.out.lines().last().unwrap().to_owned();
        assert_eq!(key.len(), 64);
        assert!(!created.err.contains(&key) && !service.text().contains(&key));
        let organisation = |service: &Service| {
            let in_force = service.config().current();
            in_force.organisation_of(&KeyHash::of_key(&key)).map(ToString::to_string)
        };
        assert_eq!(organisation(&service).as_deref(), Some("sea-island"));
        let again = service.run("customers", &["key", "create", "sea-island", "second"]).await;
        assert_eq!(again.code, 1);
        assert!(again.err.contains("already has a key second"), "{}", again.err);
        let withdrawn =
            service.run("customers", &["key", "withdraw", "sea-island", "second"]).await;
        assert_eq!(withdrawn.code, 0, "{}", withdrawn.err);
        assert_eq!(organisation(&service), None);
        assert_eq!(strip_whitespace(&service.text()), strip_whitespace(LOOMWORKS));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a put that overwrites another operator's edit, against changed exit codes, and
/// against a wait that ends while an instance lags.
#[tokio::test]
async fn a_put_from_an_old_version_conflicts() {
    let test = async {
        let service = Service::start().await;
        let read = service.run("customers", &["get", "rates"]).await;
        assert_eq!((read.code, read.err.as_str()), (0, "version 1\n"));
        let one = file("rates-1", &read.out.replace("20000 }", "30000 }"));
        let two = file("rates-2", &read.out.replace("20000 }", "40000 }"));
        let diff = service.run("customers", &["diff", "rates", &one]).await;
        assert!(diff.code == 1 && diff.out.contains("+    \"sea-island\""), "{}", diff.out);
        let first = service.run("customers", &["put", "--base", "1", "rates", &one]).await;
        assert_eq!((first.code, first.out.as_str()), (0, "version 2 is accepted\n"));
        let second = service.run("customers", &["put", "--base", "1", "rates", &two]).await;
        assert_eq!(second.code, 4, "{}", second.err);
        insta::assert_snapshot!(second.err, @"
        almondroad: another edit came first; version 2 is in force
        Get the section again, repeat your change in it and put it.
        ");
        assert_eq!(
            service.config().current().text.section("rates").unwrap().trim(),
            std::fs::read_to_string(one).unwrap().trim()
        );
        assert_eq!(service.run("customers", &["wait", "2"]).await.code, 0);
        service.version_lag.set(1);
        let waited = service.run("customers", &["wait", "--timeout", "0", "2"]).await;
        assert!(waited.code == 1 && waited.err.contains("i10 at 1"), "{}", waited.err);
        service.version_lag.set(0);
        assert_eq!(service.run("customers", &["wait", "--timeout", "0", "3"]).await.code, 1);
        let history = service.run("customers", &["history"]).await;
        assert!(history.out.lines().nth(1).unwrap().contains("customers"), "{}", history.out);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against checks under which no order of edits adds or removes an organisation.
#[tokio::test]
async fn an_organisation_is_added_and_removed_by_two_edits() {
    let test = async {
        let service = Service::start().await;
        let old = |section: &str| service.config().current().text.section(section).unwrap().into();
        let (old_rates, old_organisations): (String, String) = (old("rates"), old("organisations"));
        let rate = r#"{ "weavers": { "rate_tokens_per_s": 9, "burst_tokens": 20000 },"#;
        let rates = file("more-rates", &old_rates.replacen('{', rate, 1));
        let organisations = old_organisations.replacen('{', r#"{ "weavers": {},"#, 1);
        let organisations = file("more-organisations", &organisations);
        let early = service.run("customers", &["put", "organisations", &organisations]).await;
        assert!(early.err.contains("expected a member weavers in rates"), "{}", early.err);
        for (section, text) in [("rates", &rates), ("organisations", &organisations)] {
            let put = service.run("customers", &["put", section, text]).await;
            assert_eq!(put.code, 0, "{}", put.err);
        }
        let created = service.run("customers", &["key", "create", "weavers", "first"]).await;
        assert_eq!(created.code, 0, "{}", created.err);
        let (rates, organisations) =
            (file("old-rates", &old_rates), file("old-organisations", &old_organisations));
        for (section, text) in [("organisations", &organisations), ("rates", &rates)] {
            let put = service.run("customers", &["put", section, text]).await;
            assert_eq!(put.code, 0, "{}", put.err);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against refusals that show the credential, have no next step or take effect anyway, and
/// against an editor with arguments that is not found.
#[tokio::test]
async fn refusals_name_the_next_step_and_no_credential() {
    let test = async {
        let mut service = Service::start().await;
        let bad = file("bad-rates", "{ \"sea-island\": {} }");
        let stranger = service.run("strangers", &["get"]).await;
        insta::assert_snapshot!(stranger.err, @"
        almondroad: the credential belongs to no team
        Set ALMONDROAD_CREDENTIAL or --credential-file to your team's credential.
        ");
        let other_team = service.run("routing", &["put", "rates", &bad]).await;
        insta::assert_snapshot!(other_team.err, @"
        almondroad: the credential's team does not own section rates
        Ask the team that owns the section; `almondroad get teams` names it.
        ");
        let invalid = service.run("customers", &["put", "rates", &bad]).await;
        insta::assert_snapshot!(invalid.err, @"
        almondroad: the document does not pass its checks
        line 52, column 14: error: rates.sea-island: missing field `rate_tokens_per_s`
        Nothing was changed. Lines count from the start of the document with your text in place. Correct the text and put it again.
        ");
        let editor = service.run("customers", &["edit", "rates"]).await;
        service.editor = "true --wait";
        let unchanged = service.run("customers", &["edit", "rates"]).await;
        assert_eq!((unchanged.code, unchanged.out.as_str()), (0, "nothing was changed\n"));
        assert!(editor.err.contains("Set EDITOR"), "{}", editor.err);
        service.network.stores()[0].faults.down.set(true);
        let down = service.run("platform", &["zone", "out", "jm-south-a"]).await;
        insta::assert_snapshot!(down.err, @"
        almondroad: the platform is not available: platform at fake refused the call: down
        Nothing was changed; try again in a few seconds.
        ");
        for printed in [stranger, other_team, invalid, editor, down] {
            assert_eq!(printed.code, 1, "{}", printed.err);
            assert!(!printed.err.contains("example-loomworks"), "{}", printed.err);
        }
        assert_eq!(service.text(), LOOMWORKS);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an edit reported as failed because the store's answer was lost.
#[tokio::test]
async fn a_lost_answer_of_the_store_does_not_reach_the_operator() {
    let test = async {
        let service = Service::start().await;
        service.network.stores()[0].faults.next_commit.set(CommitFault::LoseAnswer);
        let printed = service.run("platform", &["zone", "out", "jm-south-a"]).await;
        assert_eq!((printed.code, printed.out.as_str()), (0, "version 2 is accepted\n"));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a status that hides a lagging instance or the state of an endpoint, and against
/// a table whose columns shift where a row lacks a member.
#[tokio::test]
async fn status_names_lagging_instances_and_endpoints() {
    let test = async {
        let service = Service::start().await;
        service.version_lag.set(1);
        service.run("platform", &["zone", "out", "jm-south-c"]).await;
        let printed = service.run("platform", &["status"]).await;
        insta::assert_snapshot!(printed.out, @"
        i0 answers: version 2 confirmed, store reachable, 0 requests in flight

        instances:
        instance  zone        address  version  load  state
        i0        jm-south-a           2        0%    live
        i10                            1        0%    lagging

        owners:
        instance  pools              budget shards
        i0        jm-south/report/0  0

        endpoints:
        endpoint                 role or service  zone        state     running  slots allowed
        decode-jm-south-a-1      decode report    jm-south-a  cold      0        2 of 22
        decode-jm-south-a-2      decode report    jm-south-a  warm      0        22 of 22
        decode-jm-south-b-1      decode report    jm-south-b  down      0        2 of 22
        decode-jm-south-b-2      decode report    jm-south-b  no owner  -        -
        decode-jm-south-c-1      decode report    jm-south-c  zone out  -        -
        decode-jm-south-c-2      decode report    jm-south-c  zone out  -        -
        order-desk-jm-south-a-1  order-desk       jm-south-a  in
        order-desk-jm-south-b-1  order-desk       jm-south-b  in
        order-desk-jm-south-c-1  order-desk       jm-south-c  zone out
        prefill-jm-south-a-1     prefill report   jm-south-a  no owner  -        -
        prefill-jm-south-b-1     prefill report   jm-south-b  no owner  -        -
        prefill-jm-south-c-1     prefill report   jm-south-c  zone out  -        -
        ");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a hanging client, and against another exit code, when nothing listens.
#[tokio::test]
async fn an_unreachable_gateway_has_its_own_exit_code() {
    let test = async {
        let mut service = Service::start().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        service.address = listener.local_addr().unwrap().to_string();
        drop(listener);
        let printed = service.run("platform", &["zone", "out", "jm-south-a"]).await;
        assert_eq!(printed.code, 3, "{}", printed.err);
        assert!(printed.err.contains("Check the address given with --gateway"), "{}", printed.err);
    };
    LocalSet::new().run_until(test).await;
}
