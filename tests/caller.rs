//! The callers' interface of the real gateway, with real stand-ins.

use std::io::{Read, Write};
use std::path::PathBuf;
use std::time::Duration;

use almondroad::bench::check::expected_answer;
use almondroad::bench::{Caller, Deployment, Fleet, FleetBuilder, Programs, Prompt, key_of};
use almondroad::http::HttpClient;
use almondroad::standin::{EngineStats, PlainStats};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};

const DEPLOYMENT: Deployment = Deployment::Association;
const LIMIT: Duration = Duration::from_secs(20);
const COMPLETIONS: &str = "/v1/completions";
/// Time within which a request that crashes its engine reaches it: longer than the queue and the
/// retries of a request together, shorter than the limit of a test.
const CRASH_WAIT: Duration = Duration::from_secs(30);

/// A platform, engines, a plain service and one gateway.
struct TestFleet {
    fleet: Fleet,
    client: HttpClient,
}

struct ReceivedResponse {
    status: u16,
    headers: HeaderMap,
    text: String,
}

impl ReceivedResponse {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    fn outcome(&self) -> &str {
        self.headers.get("x-almondroad-outcome").map_or("", |value| value.to_str().unwrap())
    }
}

impl TestFleet {
    async fn start(prefill: usize) -> TestFleet {
        let programs = Programs {
            gateway: vec![PathBuf::from(env!("CARGO_BIN_EXE_almondroad-gateway"))],
            standin: vec![PathBuf::from(env!("CARGO_BIN_EXE_almondroad-standin"))],
        };
        let mut rates = vec![(100_000, 400_000); 5];
        rates[4] = (100, 600);
        let fleet = FleetBuilder::new(programs, DEPLOYMENT)
            .gateways(1)
            .engines(prefill, 1)
            .plain_services(1)
            .slices(1)
            .rates(rates)
            .log_level("debug")
            .start()
            .await
            .unwrap();
        let client = HttpClient::new(fleet.addresses()[0].clone());
        TestFleet { fleet, client }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: impl Into<Bytes>,
    ) -> ReceivedResponse {
        let mut request = self.client.request(method, path, body.into()).unwrap();
        for (name, value) in headers {
            request.headers_mut().insert(*name, value.parse().unwrap());
        }
        let response = self.client.send(request, LIMIT).await.unwrap();
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let body = self.client.read_any_body(response).await.unwrap();
        ReceivedResponse { status, headers, text: String::from_utf8(body.to_vec()).unwrap() }
    }

    /// Numbers of prompts and calls that the endpoints received.
    async fn endpoint_work(&self) -> (usize, u64) {
        let mut prompts = 0;
        for engine in self.fleet.engines() {
            prompts += self.fleet.stats::<EngineStats>(engine).await.unwrap().prompts.len();
        }
        (prompts, self.fleet.stats::<PlainStats>(&self.fleet.plain[0]).await.unwrap().calls)
    }
}

async fn run(test: impl AsyncFnOnce(TestFleet)) {
    run_with_prefill_engines(1, test).await;
}

async fn run_with_prefill_engines(prefill: usize, test: impl AsyncFnOnce(TestFleet)) {
    let test = async { test(TestFleet::start(prefill).await).await };
    let limit = Duration::from_secs(60);
    let local = tokio::task::LocalSet::new();
    local.run_until(tokio::time::timeout(limit, test)).await.expect("test hangs");
}

fn key() -> String {
    key_of(DEPLOYMENT.organisations()[0])
}

fn bearer() -> String {
    format!("Bearer {}", key())
}

fn completion(prompt: &str) -> Value {
    json!({ "model": "notes-8b", "prompt": prompt, "max_tokens": 20 })
}

/// Guards against bad requests that cause work on an endpoint or get an unclear response.
#[tokio::test]
async fn bad_requests_are_refused_and_reach_no_endpoint() {
    run(async |test_fleet| {
        let bearer = bearer();
        let auth = [("authorization", bearer.as_str())];
        let with = |name, value| vec![auth[0], (name, value)];
        let ok = completion("hem").to_string();
        let changed = |member: &str, value: Value| {
            let mut body = completion("hem");
            body[member] = value;
            body.to_string()
        };
        let long_id = "i".repeat(129);
        let post = Method::POST;
        let cases = [
            (&post, COMPLETIONS, auth.to_vec(), "{".into(), 400, "bad_body"),
            (&post, COMPLETIONS, auth.to_vec(), "\u{0}".into(), 400, "bad_body"),
            (&post, COMPLETIONS, auth.to_vec(), changed("prompt", json!(null)), 400, "bad_body"),
            (&post, COMPLETIONS, auth.to_vec(), changed("prompt", json!(7)), 400, "bad_body"),
            (&post, COMPLETIONS, auth.to_vec(), changed("max_tokens", json!(-1)), 400, "bad_body"),
            (
                &post,
                COMPLETIONS,
                auth.to_vec(),
                changed("max_tokens", json!(0)),
                400,
                "bad_max_tokens",
            ),
            (
                &post,
                COMPLETIONS,
                auth.to_vec(),
                changed("max_tokens", json!(4096)),
                400,
                "bad_max_tokens",
            ),
            (
                &post,
                COMPLETIONS,
                auth.to_vec(),
                changed("prompt", json!("a ".repeat(70_000))),
                400,
                "prompt_too_long",
            ),
            (
                &post,
                COMPLETIONS,
                auth.to_vec(),
                changed("model", json!("other")),
                404,
                "unknown_model",
            ),
            (&post, "/v1/chat/completions", auth.to_vec(), ok.clone(), 400, "bad_body"),
            (&post, COMPLETIONS, vec![], ok.clone(), 401, "missing_key"),
            (
                &post,
                COMPLETIONS,
                vec![("authorization", "Basic a2V5")],
                ok.clone(),
                401,
                "missing_key",
            ),
            (
                &post,
                COMPLETIONS,
                vec![("authorization", "Bearer other")],
                ok.clone(),
                401,
                "unknown_key",
            ),
            (&Method::GET, COMPLETIONS, auth.to_vec(), String::new(), 405, "wrong_method"),
            (&Method::PUT, "/v1/addresses", auth.to_vec(), String::new(), 405, "wrong_method"),
            (&post, "/v1/other", auth.to_vec(), ok.clone(), 404, "unknown_route"),
            (&post, COMPLETIONS, with("x-request-id", &long_id), ok.clone(), 400, "bad_header"),
            (&post, COMPLETIONS, with("x-request-id", ""), ok.clone(), 400, "bad_header"),
            (
                &post,
                COMPLETIONS,
                with("x-request-timeout-ms", "soon"),
                ok.clone(),
                400,
                "bad_header",
            ),
            (&post, "/orders", auth.to_vec(), "{}".into(), 400, "missing_idempotency_key"),
            (&post, "/orders", with("idempotency-key", ""), "{}".into(), 400, "bad_header"),
            (&post, "/orders", vec![("idempotency-key", "k")], "{}".into(), 401, "missing_key"),
        ];
        for (method, path, headers, body, status, code) in cases {
            let received = test_fleet.send(method.clone(), path, &headers, body).await;
            let answer = received.json();
            assert_eq!((received.status, answer["error"]["code"].as_str()), (status, Some(code)));
            assert_eq!(
                (received.outcome(), &answer["error"]["outcome"]),
                ("not_run", &json!("not_run"))
            );
        }
        assert_eq!(test_fleet.endpoint_work().await, (0, 0));
    })
    .await;
}

/// Sends bytes on a connection of their own, ends the sending side and returns the answer.
fn exchange_bytes(address: &str, bytes: &[u8]) -> String {
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    // The gateway may answer and close before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against oversized or malformed messages that reach an endpoint or end without an
/// answer.
#[tokio::test]
async fn malformed_messages_are_refused() {
    run(async |test_fleet| {
        let head = |more: &str| {
            format!(
                "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: {}\r\n{more}\r\n",
                bearer()
            )
        };
        let large = " ".repeat(9 << 20);
        let large = head(&format!("content-length: {}\r\n", large.len())) + &large;
        let cases = [
            (head("content-length: many\r\n"), "400"),
            (head("content-length: 5\r\ncontent-length: 6\r\n") + "hello!", "400"),
            (head("content-length: 500\r\n") + "{\"model\":", "400"),
            (head(&format!("x-long: {}\r\n", "l".repeat(40 << 10))), "431"),
            (large, "413"),
        ];
        for (bytes, status) in cases {
            let address = test_fleet.client.address().to_string();
            let start: String = bytes.chars().skip(90).take(60).collect();
            let answer =
                tokio::task::spawn_blocking(move || exchange_bytes(&address, bytes.as_bytes()));
            let answer = answer.await.unwrap();
            assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{start}: {answer}");
        }
        let received = test_fleet.send(Method::GET, "/healthz", &[], "").await;
        assert_eq!((received.status, test_fleet.endpoint_work().await), (200, (0, 0)));
    })
    .await;
}

/// Guards against a caller's key that is passed on or logged, wherever the caller put it.
#[tokio::test]
async fn keys_reach_no_endpoint_and_no_log() {
    run(async |test_fleet| {
        let (bearer, key) = (bearer(), key());
        let cookie = format!("colour=red; access_token={key}");
        let in_query = format!("?colour=red&api_key={key}");
        let elsewhere = format!("?note={key}");
        let places: [(&[(&str, &str)], &str); 5] = [
            (&[("authorization", &bearer)], ""),
            (&[("x-api-key", &key)], ""),
            (&[("cookie", &cookie)], ""),
            (&[], &in_query),
            (&[("authorization", &bearer), ("traceparent", &key), ("cookie", &cookie)], &elsewhere),
        ];
        for (i, (headers, query)) in places.into_iter().enumerate() {
            let body = completion(&format!("hem {i}")).to_string();
            let received = test_fleet
                .send(Method::POST, &format!("{COMPLETIONS}{query}"), headers, body)
                .await;
            assert_eq!(received.status, 200, "{}", received.text);
            let received =
                test_fleet.send(Method::GET, &format!("/stock{query}"), headers, "").await;
            assert_eq!(received.status, 200, "{}", received.text);
            let id = format!("order-{i}");
            let mut headers = headers.to_vec();
            headers.push(("idempotency-key", &id));
            let path = format!("/orders{query}");
            let received =
                test_fleet.send(Method::POST, &path, &headers, "{\"order\":\"o\"}").await;
            assert_eq!(received.status, 200, "{}", received.text);
        }
        let fleet = &test_fleet.fleet;
        for engine in fleet.engines() {
            let secrets = fleet.stats::<EngineStats>(engine).await.unwrap().secrets;
            assert_eq!(secrets.with_secret, 0, "{secrets:?}");
        }
        let secrets = fleet.stats::<PlainStats>(&fleet.plain[0]).await.unwrap().secrets;
        assert_eq!((secrets.requests, secrets.with_secret), (10, 0), "{secrets:?}");
        let log = std::fs::read_to_string(fleet.directory().join("gateway-0.log")).unwrap();
        assert!(log.contains("INFO") && !log.contains(&key), "{log}");
    })
    .await;
}

/// Guards against answers that differ between the interfaces, or with the way they are sent.
#[tokio::test]
async fn answers_are_whole_on_every_interface() {
    run(async |test_fleet| {
        let bearer = bearer();
        let auth = [("authorization", bearer.as_str())];
        let (length, text) = expected_answer("whole hem", 20);
        let body = completion("whole hem").to_string();
        let received = test_fleet.send(Method::POST, COMPLETIONS, &auth, body).await;
        let answer = received.json();
        assert_eq!((received.outcome(), &answer["choices"][0]["text"]), ("run", &json!(text)));
        assert_eq!(answer["usage"]["completion_tokens"], json!(length));
        let body = json!({ "model": "notes-8b", "max_completion_tokens": 20,
            "messages": [{ "role": "user", "content": "chat hem" }] });
        let path = "/v1/chat/completions";
        let received = test_fleet.send(Method::POST, path, &auth, body.to_string()).await;
        let (_, text) = expected_answer("user: chat hem\n", 20);
        assert_eq!(received.json()["choices"][0]["message"]["content"], json!(text));
        let prompt = Prompt::new(DEPLOYMENT.organisations()[0], "streamed hem", 20);
        let record = Caller::default().complete(test_fleet.client.address(), &prompt).await;
        let (_, text) = expected_answer("streamed hem", 20);
        assert!(record.is_complete() && record.text == text, "{record:?}");
        let (status, body) = send_by_http2(test_fleet.client.address(), &bearer).await;
        let (_, text) = expected_answer("multiplexed hem", 20);
        let answer: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!((status, &answer["choices"][0]["text"]), (200, &json!(text)));
    })
    .await;
}

async fn send_by_http2(address: &str, bearer: &str) -> (u16, Bytes) {
    let stream = TokioIo::new(tokio::net::TcpStream::connect(address).await.unwrap());
    let connect = hyper::client::conn::http2::handshake(TokioExecutor::new(), stream);
    let (mut sender, connection) = connect.await.unwrap();
    tokio::task::spawn_local(connection);
    let request = Request::post(format!("http://{address}{COMPLETIONS}"))
        .header("authorization", bearer)
        .body(Full::<Bytes>::new(completion("multiplexed hem").to_string().into()))
        .unwrap();
    let response = sender.send_request(request).await.unwrap();
    let status = response.status().as_u16();
    (status, response.into_body().collect().await.unwrap().to_bytes())
}

/// Guards against a repeated request that is answered twice, and against a request id that stays
/// claimed after its caller has left.
#[tokio::test]
async fn a_request_id_is_answered_once() {
    run(async |test_fleet| {
        let bearer = bearer();
        let headers = [("authorization", bearer.as_str()), ("x-request-id", "id-1")];
        let body = completion("hem once").to_string();
        let first = test_fleet.send(Method::POST, COMPLETIONS, &headers, body.clone());
        let second = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            test_fleet.send(Method::POST, COMPLETIONS, &headers, body.clone()).await
        };
        let (first, second) = tokio::join!(first, second);
        let third = test_fleet.send(Method::POST, COMPLETIONS, &headers, body.clone()).await;
        assert_eq!(first.status, 200);
        for (received, outcome) in [(second, "unknown"), (third, "run")] {
            let code = &received.json()["error"]["code"];
            assert_eq!((received.status, code), (409, &json!("duplicate_request")));
            assert_eq!(received.outcome(), outcome);
        }
        // This organisation has tokens for one request at a time, so the second one waits.
        let bearer = format!("Bearer {}", key_of(DEPLOYMENT.organisations()[4]));
        let mut body = completion("hem left");
        body["max_tokens"] = json!(550);
        let headers = [("authorization", bearer.as_str()), ("x-request-id", "id-2")];
        let running = test_fleet.send(Method::POST, COMPLETIONS, &headers[..1], body.to_string());
        let leaving = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let waiting = test_fleet.send(Method::POST, COMPLETIONS, &headers, body.to_string());
            let left = tokio::time::timeout(Duration::from_millis(200), waiting).await;
            assert!(left.is_err(), "the request did not wait for tokens");
            tokio::time::sleep(Duration::from_millis(300)).await;
            test_fleet.send(Method::POST, COMPLETIONS, &headers, body.to_string()).await
        };
        let (_, again) = tokio::join!(running, leaving);
        assert_ne!(again.status, 409, "{}", again.text);
    })
    .await;
}

/// Guards against operators' and open interfaces that need a key, and against metrics whose
/// labels callers can multiply.
#[tokio::test]
async fn open_interfaces_answer_and_metrics_are_bounded() {
    run(async |test_fleet| {
        let received = test_fleet.send(Method::GET, "/public/opening-hours", &[], "").await;
        assert_eq!(received.status, 200, "{}", received.text);
        let received = test_fleet.send(Method::GET, "/v1/addresses?zone=khomas-a", &[], "").await;
        let own = json!(test_fleet.client.address());
        assert_eq!(received.json()["addresses"][0]["address"], own, "{}", received.text);
        assert_eq!(received.json()["keep_ms"], json!(2000));
        assert_eq!(test_fleet.send(Method::GET, "/healthz", &[], "").await.status, 200);
        for organisation in &DEPLOYMENT.organisations()[..2] {
            let bearer = format!("Bearer {}", key_of(organisation));
            let headers = [("authorization", bearer.as_str()), ("x-request-id", "strange-id")];
            let body = completion("hem").to_string();
            assert_eq!(
                test_fleet.send(Method::POST, COMPLETIONS, &headers, body).await.status,
                200
            );
            let body = json!({ "model": "strange-model", "prompt": "hem" }).to_string();
            test_fleet.send(Method::POST, COMPLETIONS, &headers[..1], body).await;
            test_fleet.send(Method::POST, "/strange-path", &headers[..1], "").await;
        }
        let metrics = test_fleet.send(Method::GET, "/metrics", &[], "").await.text;
        for organisation in &DEPLOYMENT.organisations()[..2] {
            for name in ["first_token_seconds", "between_tokens_seconds", "request_tokens"] {
                let label = format!("organisation=\"{organisation}\",class=\"interactive\"");
                let bucket = format!("almondroad_{name}_bucket{{{label}");
                assert!(metrics.contains(&bucket), "{bucket} is missing: {metrics}");
            }
        }
        assert!(!metrics.contains("strange"), "{metrics}");
    })
    .await;
}

/// Guards against a refusal that says `not_run` because the last endpoint was not reached, although
/// an earlier one ran the request, and against one that attributes the crash of an endpoint to a
/// request that never reached it.
#[tokio::test]
async fn a_request_that_ran_is_not_refused_as_not_run() {
    run_with_prefill_engines(2, async |test_fleet| {
        // The request crashes the other engine only, whether or not the owner knows yet that this
        // one died.
        test_fleet.fleet.prefill[1].kill();
        let bearer = bearer();
        let auth = [("authorization", bearer.as_str())];
        let body = completion("hem !crash-prefill").to_string();
        let received = test_fleet.send(Method::POST, COMPLETIONS, &auth, body).await;
        let code = &received.json()["error"]["code"];
        assert_eq!((received.status, code), (503, &json!("no_endpoint")));
        assert_eq!(received.outcome(), "run", "{}", received.text);
    })
    .await;
}

/// Guards against a request that stops asking while the pool has no engine, and against a request
/// that runs again after it has crashed two.
#[tokio::test]
async fn a_request_that_crashed_two_engines_is_refused_as_run() {
    run_with_prefill_engines(2, async |mut test_fleet| {
        test_fleet.fleet.prefill[1].kill();
        let bearer = bearer();
        let auth = [("authorization", bearer.as_str())];
        let body = completion("hem !crash-prefill").to_string();
        let mut first = test_fleet.fleet.prefill.remove(0);
        let received = test_fleet.send(Method::POST, COMPLETIONS, &auth, body.clone());
        let restart = async {
            tokio::time::timeout(CRASH_WAIT, first.wait()).await.ok()?;
            Some(
                test_fleet
                    .fleet
                    .restart_standin(&test_fleet.fleet.prefill[0], "engine")
                    .await
                    .unwrap(),
            )
        };
        let (received, second) = tokio::join!(received, restart);
        let Some(mut second) = second else {
            panic!(
                "the first engine did not end, the answer was {} {}",
                received.status, received.text
            )
        };
        let code = &received.json()["error"]["code"];
        assert_eq!((received.status, code), (422, &json!("request_crashes_endpoints")));
        assert_eq!(received.outcome(), "run", "{}", received.text);
        assert_eq!(second.wait().await, Some(1), "the second engine did not crash");
        let received = test_fleet.send(Method::POST, COMPLETIONS, &auth, body).await;
        let code = &received.json()["error"]["code"];
        assert_eq!((received.status, code), (422, &json!("request_crashes_endpoints")));
        assert_eq!(received.outcome(), "not_run", "{}", received.text);
    })
    .await;
}
