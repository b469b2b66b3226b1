//! Engine stand-in without faults: prefill, transfer, decode, memory, orders and caches.

use std::time::Duration;

use almondroad::engine::{
    DecodeEvent, Engine, EngineError, Order, OrderRequest, PrefillRequest, TokenStream,
};
use almondroad::http::HttpClient;
use almondroad::standin::{EngineFaults, EngineSettings, EngineStats, expected_length};
use almondroad::units::{FencingToken, Tokens};
use bytes::Bytes;
use hyper::Method;
use tokio::time::{sleep, timeout};

use crate::helpers::*;

/// Guards against lost, changed or repeated tokens when prefill and decode run at two engines.
#[tokio::test]
async fn prefill_transfer_and_decode_give_the_expected_answer() {
    run(async {
        let (first, prefiller) = engine(fast()).await;
        let (second, decoder) = engine(fast()).await;
        let source = prefill(&first, 1, "one two three").await;
        assert_eq!(prefiller.held_attempts().await.unwrap().len(), 1);
        let mut stream =
            decoder.decode(&decode_of(1, "one two three", Some(source))).await.unwrap();
        assert_eq!(
            stream.next().await.unwrap(),
            Some(DecodeEvent::Imported { attempt: attempt(1) })
        );
        assert!(prefiller.held_attempts().await.unwrap().is_empty());
        assert_eq!(decoder.held_attempts().await.unwrap()[0].attempt, attempt(1));
        let length = expected_length("one two three", 40);
        assert_eq!(read_tokens(&mut stream, "one two three", 0, 1000).await, Ok(length));
        assert!(decoder.held_attempts().await.unwrap().is_empty());
        let done: EngineStats = stats(&second).await;
        assert_eq!((done.output_tokens, done.completed, done.used_pieces), (length, 1, 0));
    })
    .await;
}

/// Guards against memory that stays reserved after a cancel, and against an error when an attempt
/// is cancelled twice.
#[tokio::test]
async fn cancel_frees_memory_and_a_disconnect_does_not() {
    run(async {
        let (standin, client) = engine(EngineSettings { token_base_ms: 50.0, ..fast() }).await;
        let source = prefill(&standin, 1, "a b").await;
        let stream = client.decode(&decode_of(1, "a b", Some(source))).await.unwrap();
        drop(stream);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(client.held_attempts().await.unwrap().len(), 1);
        client.cancel(&attempt(1)).await.unwrap();
        client.cancel(&attempt(1)).await.unwrap();
        assert!(client.held_attempts().await.unwrap().is_empty());
    })
    .await;
}

/// Guards against a decode with an expired KV cache, and against memory that stays reserved after
/// the expiry.
#[tokio::test]
async fn a_prefill_result_expires() {
    run(async {
        let (standin, client) = engine(fast()).await;
        let source = prefill(&standin, 1, "late").await;
        sleep(Duration::from_millis(900)).await;
        let expired = client.decode(&decode_of(1, "late", Some(source))).await.err();
        assert_eq!(expired, Some(EngineError::PrefillExpired));
        assert!(client.held_attempts().await.unwrap().is_empty());
    })
    .await;
}

/// Guards against an engine that accepts more work than its memory and slots allow.
#[tokio::test]
async fn a_full_engine_rejects_work() {
    run(async {
        let settings = EngineSettings { slots: 1, token_base_ms: 50.0, ..fast() };
        let (standin, client) = engine(settings).await;
        let source = prefill(&standin, 1, "a").await;
        let _stream = client.decode(&decode_of(1, "a", Some(source))).await.unwrap();
        let source = prefill(&standin, 2, "b").await;
        let second = client.decode(&decode_of(2, "b", Some(source))).await.err();
        assert_eq!(second, Some(EngineError::Full));
        let long = "w ".repeat(16_001);
        assert_eq!(client.prefill(&prefill_of(3, &long)).await.err(), Some(EngineError::Full));
    })
    .await;
}

/// Guards against orders of a previous owner that take effect after those of its successor.
#[tokio::test]
async fn an_order_with_an_older_fencing_number_is_fenced() {
    run(async {
        let order = |fencing, role: &str| OrderRequest {
            fencing: FencingToken(fencing),
            order: Order::SetRole { role: role.into() },
        };
        for checks_fencing in [true, false] {
            let (_standin, client) = engine(EngineSettings { checks_fencing, ..fast() }).await;
            client.order(&order(5, "decode")).await.unwrap();
            let older = client.order(&order(4, "prefill")).await;
            let fenced = Err(EngineError::Fenced { newest: FencingToken(5) });
            assert_eq!(older, if checks_fencing { fenced } else { Ok(()) });
            let refused = client.prefill(&prefill_of(1, "a")).await.is_err();
            assert_eq!(refused, checks_fencing);
        }
    })
    .await;
}

/// Guards against prefix cache hits across scopes, and against load and cache events that are
/// reported without the configured delay.
#[tokio::test]
async fn prefixes_are_cached_for_each_scope_and_reported_late() {
    run(async {
        let settings = EngineSettings { event_delay_ms: 300, event_gap_every: 3, ..fast() };
        let settings = EngineSettings { load_lag_ms: 300, ..settings };
        let (_standin, client) = engine(settings).await;
        let prompt = "word ".repeat(40);
        assert_eq!(client.prefill(&prefill_of(1, &prompt)).await.unwrap().cached_tokens, Tokens(0));
        assert!(client.cache_events(0).await.unwrap().events.is_empty());
        let again = client.prefill(&prefill_of(2, &prompt)).await.unwrap();
        assert_eq!(again.cached_tokens, Tokens(32));
        let other = PrefillRequest { cache_scope: "other".into(), ..prefill_of(3, &prompt) };
        assert_eq!(client.prefill(&other).await.unwrap().cached_tokens, Tokens(0));
        sleep(Duration::from_millis(400)).await;
        let events = client.cache_events(1).await.unwrap();
        let sequences: Vec<u64> = events.events.iter().map(|event| event.sequence).collect();
        assert_eq!((sequences, events.last_sequence), (vec![2, 4], 4));
        let load = client.load().await.unwrap();
        assert!(load.age_ms >= 300, "{load:?}");
    })
    .await;
}

/// Guards against a queue that ignores priorities, and against prefills that run concurrently.
#[tokio::test]
async fn prefills_run_one_at_a_time_by_priority() {
    run(async {
        let (_standin, client) = engine(EngineSettings { prefill_base_ms: 100.0, ..fast() }).await;
        let order = std::cell::RefCell::new(Vec::new());
        let start = tokio::time::Instant::now();
        let run_prefill = async |sequence: u64, priority| {
            sleep(Duration::from_millis(sequence * 20)).await;
            let request = PrefillRequest { priority, ..prefill_of(sequence, "a") };
            client.prefill(&request).await.unwrap();
            order.borrow_mut().push(sequence);
        };
        tokio::join!(run_prefill(0, 1), run_prefill(1, 1), run_prefill(2, 9));
        assert_eq!(*order.borrow(), [0, 2, 1]);
        assert!(start.elapsed() >= Duration::from_millis(300));
    })
    .await;
}

/// Guards against an attempt that keeps running after its caller disconnected during the transfer
/// or the decode, although the engine is configured to cancel it.
#[tokio::test]
async fn an_engine_can_cancel_on_disconnect() {
    run(async {
        for stall_transfers in [true, false] {
            let settings = EngineSettings { transfer_timeout_ms: 5000, ..slow() };
            let settings = EngineSettings { cancel_on_disconnect: true, ..settings };
            let (standin, client) = engine(settings).await;
            let (first, _) = engine(fast()).await;
            set_faults(&first, &EngineFaults { stall_transfers, ..EngineFaults::default() }).await;
            let source = prefill(&first, 1, "a b").await;
            let decode = decode_of(1, "a b", Some(source));
            let answer = timeout(Duration::from_millis(200), client.decode(&decode)).await;
            assert_eq!(answer.is_err(), stall_transfers);
            assert_eq!(stats::<EngineStats>(&standin).await.attempts[&attempt(1)].decodes, 1);
            drop(answer);
            sleep(Duration::from_millis(200)).await;
            assert!(client.held_attempts().await.unwrap().is_empty());
        }
    })
    .await;
}

fn slow() -> EngineSettings {
    EngineSettings { token_base_ms: 50.0, ..fast() }
}

/// Guards against a long prompt that evicts the first blocks of its own prefix.
#[tokio::test]
async fn a_full_cache_keeps_the_start_of_a_prefix() {
    run(async {
        let settings = EngineSettings { cache_blocks_per_scope: 2, ..fast() };
        let (_standin, client) = engine(settings).await;
        let prompt = "word ".repeat(100);
        client.prefill(&prefill_of(1, &prompt)).await.unwrap();
        let again = client.prefill(&prefill_of(2, &prompt)).await.unwrap();
        assert_eq!(again.cached_tokens, Tokens(32));
    })
    .await;
}

/// Guards against a caller's key that reaches an engine without being counted.
#[tokio::test]
async fn keys_in_headers_cookies_and_queries_are_recorded() {
    run(async {
        let settings = EngineSettings { key_marker: Some("ark-".into()), ..fast() };
        let (standin, _client) = engine(settings).await;
        let client = HttpClient::new(standin.address());
        let headers = [
            ("authorization", "Bearer x"),
            ("cookie", "a=b"),
            ("x-api-key", "1"),
            ("x-any", "ark-1"),
        ];
        for (name, value) in headers {
            let mut request = client.request(Method::GET, "/engine/held", Bytes::new()).unwrap();
            request.headers_mut().insert(name, value.parse().unwrap());
            client.send(request, REQUEST_TIMEOUT).await.unwrap();
        }
        for path in ["/engine/held?api_key=1", "/engine/held", "/engine/events?after=0"] {
            let request = client.request(Method::GET, path, Bytes::new()).unwrap();
            client.send(request, REQUEST_TIMEOUT).await.unwrap();
        }
        let seen: EngineStats = stats(&standin).await;
        assert_eq!((seen.secrets.requests, seen.secrets.with_secret), (7, 5));
        let names: Vec<&str> = seen.secrets.names.keys().map(String::as_str).collect();
        assert_eq!(names, ["?api_key", "authorization", "cookie", "x-any", "x-api-key"]);
    })
    .await;
}
