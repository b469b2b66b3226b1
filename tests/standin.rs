//! The stand-ins through the real clients.

use std::net::SocketAddr;
use std::time::Duration;

use almondroad::engine::{
    DecodeEvent, DecodeRequest, Engine, EngineError, HttpEngine, HttpTokenStream, Order,
    OrderRequest, PrefillRequest, PrefillSource, TokenStream,
};
use almondroad::http::HttpClient;
use almondroad::platform::{
    CommitOutcome, HttpPlatform, InstanceList, ListedInstance, ListedState, Objects, PlatformError,
    Table, Transaction,
};
use almondroad::standin::{
    EngineFaults, EngineSettings, EngineStats, PlatformFaults, PlatformSettings, PlatformStats,
    Standin, expected_length, expected_token, start_engine, start_platform,
};
use almondroad::units::{
    AttemptId, Fencing, Incarnation, InstanceId, ModelId, RegionId, Tokens, ZoneId,
};
use hyper::Method;
use tokio::time::{sleep, timeout};

const LIMIT: Duration = Duration::from_secs(2);

async fn run(test: impl Future<Output = ()>) {
    let limit = Duration::from_secs(20);
    tokio::task::LocalSet::new().run_until(timeout(limit, test)).await.expect("test hangs");
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn fast() -> EngineSettings {
    EngineSettings { token_base_ms: 2.0, token_per_running_ms: 0.1, ..EngineSettings::default() }
}

async fn engine(settings: EngineSettings) -> (Standin, HttpEngine) {
    let standin = start_engine(any_port(), settings).await.unwrap();
    let client = HttpEngine::new(standin.address());
    (standin, client)
}

async fn platform(settings: PlatformSettings) -> (Standin, HttpPlatform) {
    let standin = start_platform(any_port(), settings).await.unwrap();
    let client = HttpPlatform::new(standin.address());
    (standin, client)
}

async fn set_faults(standin: &Standin, faults: &impl serde::Serialize) {
    let client = HttpClient::new(standin.address());
    let () = client.call(Method::POST, "/standin/faults", faults, LIMIT).await.unwrap();
}

async fn stats<A: serde::de::DeserializeOwned>(standin: &Standin) -> A {
    let client = HttpClient::new(standin.address());
    client.call(Method::GET, "/standin/stats", &(), LIMIT).await.unwrap()
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId { instance: InstanceId::new("gw-1"), incarnation: Incarnation(7), sequence }
}

fn prefill_of(sequence: u64, prompt: &str) -> PrefillRequest {
    PrefillRequest {
        attempt: attempt(sequence),
        model: ModelId::new("m"),
        prompt: prompt.into(),
        generated: Vec::new(),
        cache_scope: "org".into(),
        priority: 1,
    }
}

fn decode_of(sequence: u64, prompt: &str, source: Option<PrefillSource>) -> DecodeRequest {
    DecodeRequest {
        attempt: attempt(sequence),
        model: ModelId::new("m"),
        prompt: prompt.into(),
        source,
        first_index: 0,
        max_output_tokens: Tokens(40),
        priority: 1,
    }
}

async fn prefill(standin: &Standin, sequence: u64, prompt: &str) -> PrefillSource {
    let client = HttpEngine::new(standin.address());
    let result = client.prefill(&prefill_of(sequence, prompt)).await.unwrap();
    PrefillSource { address: standin.address().into(), handle: result.handle }
}

/// Reads tokens from `from` on until the end, or until `count` were read.
async fn read_tokens(
    stream: &mut HttpTokenStream,
    prompt: &str,
    from: u64,
    count: u64,
) -> Result<u64, EngineError> {
    let mut next = from;
    while next < from + count {
        match stream.next().await? {
            Some(DecodeEvent::Token { index, text, .. }) => {
                assert_eq!(index, next);
                assert_eq!(text, expected_token(prompt, index));
                next += 1;
            }
            Some(DecodeEvent::Done { output_tokens, .. }) => {
                assert_eq!(output_tokens, Tokens(expected_length(prompt, 40)));
                return Ok(next);
            }
            Some(DecodeEvent::Imported { .. }) => {}
            None => return Err(EngineError::StreamCut),
        }
    }
    Ok(next)
}

/// Guards against lost, changed or repeated tokens on the whole path over two engines.
#[tokio::test]
async fn prefill_transfer_and_decode_give_the_expected_answer() {
    run(async {
        let (first, prefiller) = engine(fast()).await;
        let (second, decoder) = engine(fast()).await;
        let source = prefill(&first, 1, "one two three").await;
        assert_eq!(prefiller.held().await.unwrap().len(), 1);
        let mut stream =
            decoder.decode(&decode_of(1, "one two three", Some(source))).await.unwrap();
        assert_eq!(
            stream.next().await.unwrap(),
            Some(DecodeEvent::Imported { attempt: attempt(1) })
        );
        assert!(prefiller.held().await.unwrap().is_empty());
        assert_eq!(decoder.held().await.unwrap()[0].attempt, attempt(1));
        let length = expected_length("one two three", 40);
        assert_eq!(read_tokens(&mut stream, "one two three", 0, 1000).await, Ok(length));
        assert!(decoder.held().await.unwrap().is_empty());
        let done: EngineStats = stats(&second).await;
        assert_eq!((done.output_tokens, done.completed, done.used_pieces), (length, 1, 0));
    })
    .await;
}

/// Guards against memory that stays held after a cancel; cancelling twice is harmless.
#[tokio::test]
async fn cancel_frees_memory_and_a_disconnect_does_not() {
    run(async {
        let (standin, client) = engine(EngineSettings { token_base_ms: 50.0, ..fast() }).await;
        let source = prefill(&standin, 1, "a b").await;
        let stream = client.decode(&decode_of(1, "a b", Some(source))).await.unwrap();
        drop(stream);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(client.held().await.unwrap().len(), 1);
        client.cancel(&attempt(1)).await.unwrap();
        client.cancel(&attempt(1)).await.unwrap();
        assert!(client.held().await.unwrap().is_empty());
    })
    .await;
}

/// Guards against an answer that is lost after the write took effect and passes for a refusal.
#[tokio::test]
async fn lost_answer_leaves_the_write_in_effect() {
    run(async {
        let (standin, client) = platform(PlatformSettings::default()).await;
        for hang in [false, true] {
            let faults = PlatformFaults {
                lose_answer_permille: 1000,
                lost_answers_hang: hang,
                ..PlatformFaults::default()
            };
            set_faults(&standin, &faults).await;
            let key = format!("k/{hang}");
            let lost = client.commit(&Transaction::default().put(&key, "v")).await;
            assert!(matches!(lost, Err(PlatformError::Unanswered { .. })), "{lost:?}");
            set_faults(&standin, &PlatformFaults::default()).await;
            let rows = client.read(&[key]).await.unwrap();
            assert_eq!(rows[0].as_ref().unwrap().value, "v");
        }
    })
    .await;
}

/// Guards against two writers that both win, and against a partly applied transaction.
#[tokio::test]
async fn a_broken_condition_is_a_conflict() {
    run(async {
        let (standin, client) = platform(PlatformSettings::default()).await;
        let create = Transaction::default().require("a", None).put("a", "1").put("b", "1");
        let applied = client.commit(&create).await.unwrap();
        let CommitOutcome::Applied { revision } = applied else { panic!("{applied:?}") };
        assert_eq!(client.commit(&create).await, Ok(CommitOutcome::Conflict { key: "a".into() }));
        let stale = Transaction::default().require("a", Some(revision + 1)).put("b", "2");
        assert!(matches!(client.commit(&stale).await, Ok(CommitOutcome::Conflict { .. })));
        let next = Transaction::default().require("a", Some(revision)).delete("a").put("c", "1");
        assert!(matches!(client.commit(&next).await, Ok(CommitOutcome::Applied { .. })));
        let rows = client.scan("", "", 10).await.unwrap();
        let found: Vec<_> = rows.iter().map(|(k, row)| (k.as_str(), row.value.as_str())).collect();
        assert_eq!(found, [("b", "1"), ("c", "1")]);
        let seen: PlatformStats = stats(&standin).await;
        assert_eq!(seen.conflicts, 2);
    })
    .await;
}

/// Guards against a resumed stream that repeats or leaves out tokens after a cut.
#[tokio::test]
async fn a_cut_stream_resumes_at_an_offset() {
    run(async {
        let (standin, client) = engine(fast()).await;
        let faults = EngineFaults { cut_after_tokens: Some(10), ..EngineFaults::default() };
        set_faults(&standin, &faults).await;
        let source = prefill(&standin, 1, "x y").await;
        let mut stream = client.decode(&decode_of(1, "x y", Some(source))).await.unwrap();
        assert_eq!(read_tokens(&mut stream, "x y", 0, 10).await, Ok(10));
        assert_eq!(stream.next().await, Err(EngineError::StreamCut));
        set_faults(&standin, &EngineFaults::default()).await;
        let resume = DecodeRequest { first_index: 10, ..decode_of(1, "x y", None) };
        let mut stream = client.decode(&resume).await.unwrap();
        assert_eq!(read_tokens(&mut stream, "x y", 10, 1000).await, Ok(40.min(length("x y"))));
        let gone = client.decode(&resume).await.err();
        assert_eq!(gone, Some(EngineError::UnknownAttempt));
    })
    .await;
}

fn length(prompt: &str) -> u64 {
    expected_length(prompt, 40)
}

/// Guards against an engine that goes on from the wrong offset after its predecessor died.
#[tokio::test]
async fn another_engine_goes_on_after_a_crash() {
    run(async {
        let (standin, client) = engine(fast()).await;
        let prompt = "p !crash-decode";
        let source = prefill(&standin, 1, prompt).await;
        let mut stream = client.decode(&decode_of(1, prompt, Some(source))).await.unwrap();
        assert!(read_tokens(&mut stream, prompt, 0, 1000).await.is_err());
        timeout(LIMIT, standin.ended()).await.unwrap();
        sleep(Duration::from_millis(20)).await;
        assert!(matches!(client.load().await, Err(EngineError::Http(e)) if e.is_unsent()));

        let settings = EngineSettings { crash_decode_word: String::new(), ..fast() };
        let (standin, client) = engine(settings).await;
        let generated = (0..3).map(|i| expected_token(prompt, i).into()).collect();
        let again = PrefillRequest { generated, ..prefill_of(2, prompt) };
        let result = client.prefill(&again).await.unwrap();
        assert_eq!(result.prompt_tokens, Tokens(5));
        let source = PrefillSource { address: standin.address().into(), handle: result.handle };
        let decode = DecodeRequest { first_index: 3, ..decode_of(2, prompt, Some(source)) };
        let mut stream = client.decode(&decode).await.unwrap();
        assert_eq!(read_tokens(&mut stream, prompt, 3, 1000).await, Ok(length(prompt)));
        let seen: EngineStats = stats(&standin).await;
        assert_eq!((seen.wrong_generated, seen.wrong_kv), (0, 0));
    })
    .await;
}

/// Guards against the use of a KV cache after the engine dropped it, and against memory that an
/// expired result keeps.
#[tokio::test]
async fn a_prefill_result_expires() {
    run(async {
        let (standin, client) = engine(fast()).await;
        let source = prefill(&standin, 1, "late").await;
        sleep(Duration::from_millis(900)).await;
        let late = client.decode(&decode_of(1, "late", Some(source))).await.err();
        assert_eq!(late, Some(EngineError::PrefillExpired));
        assert!(client.held().await.unwrap().is_empty());
    })
    .await;
}

/// Guards against a stalled transfer that holds the decode engine's memory.
#[tokio::test]
async fn a_stalled_transfer_is_given_up() {
    run(async {
        let (first, _) = engine(fast()).await;
        let settings = EngineSettings { transfer_timeout_ms: 100, ..fast() };
        let (_second, decoder) = engine(settings).await;
        let faults = EngineFaults { stall_transfers: true, ..EngineFaults::default() };
        set_faults(&first, &faults).await;
        let source = prefill(&first, 1, "s").await;
        let stalled = decoder.decode(&decode_of(1, "s", Some(source))).await.err();
        assert_eq!(stalled, Some(EngineError::TransferStalled));
        assert!(decoder.held().await.unwrap().is_empty());
    })
    .await;
}

/// Guards against work beyond the engine's memory and slots.
#[tokio::test]
async fn an_engine_without_room_refuses() {
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

/// Guards against orders of an earlier owner that take effect after those of a later one.
#[tokio::test]
async fn an_order_with_an_older_fencing_number_is_fenced() {
    run(async {
        let order = |fencing, role: &str| OrderRequest {
            fencing: Fencing(fencing),
            order: Order::SetRole { role: role.into() },
        };
        for checks_fencing in [true, false] {
            let (_standin, client) = engine(EngineSettings { checks_fencing, ..fast() }).await;
            client.order(&order(5, "decode")).await.unwrap();
            let older = client.order(&order(4, "prefill")).await;
            let fenced = Err(EngineError::Fenced { newest: Fencing(5) });
            assert_eq!(older, if checks_fencing { fenced } else { Ok(()) });
            let refused = client.prefill(&prefill_of(1, "a")).await.is_err();
            assert_eq!(refused, checks_fencing);
        }
    })
    .await;
}

/// Guards against a silence that also hits new connections or loses the attempt.
#[tokio::test]
async fn an_attempt_resumes_after_its_connection_went_silent() {
    run(async {
        let (standin, client) = engine(EngineSettings { token_base_ms: 20.0, ..fast() }).await;
        let source = prefill(&standin, 1, "q r").await;
        let mut stream = client.decode(&decode_of(1, "q r", Some(source))).await.unwrap();
        assert_eq!(read_tokens(&mut stream, "q r", 0, 5).await, Ok(5));
        set_faults(&standin, &EngineFaults { silent: true, ..EngineFaults::default() }).await;
        let after_silence = read_tokens(&mut stream, "q r", 5, 3);
        assert!(timeout(Duration::from_millis(200), after_silence).await.is_err());
        client.reset_connections();
        assert_eq!(client.held().await.unwrap().len(), 1);
        let resume = DecodeRequest { first_index: 5, ..decode_of(1, "q r", None) };
        let mut stream = client.decode(&resume).await.unwrap();
        assert_eq!(read_tokens(&mut stream, "q r", 5, 1000).await, Ok(length("q r")));
    })
    .await;
}

/// Guards against crossed and repeated events that look like the attempt's own next token.
#[tokio::test]
async fn crossed_and_repeated_events_are_recognisable() {
    run(async {
        let (standin, client) = engine(fast()).await;
        let faults = EngineFaults { cross_every: 4, duplicate_every: 3, ..EngineFaults::default() };
        set_faults(&standin, &faults).await;
        let source = prefill(&standin, 1, "c").await;
        let mut stream = client.decode(&decode_of(1, "c", Some(source))).await.unwrap();
        let (mut crossed, mut repeated, mut next) = (0, 0, 0);
        while let Some(event) = stream.next().await.unwrap() {
            match event {
                event if *event.attempt() != attempt(1) => crossed += 1,
                DecodeEvent::Token { index, .. } if index < next => repeated += 1,
                DecodeEvent::Token { index, text, .. } => {
                    assert_eq!(text, expected_token("c", index));
                    next = index + 1;
                }
                _ => {}
            }
        }
        assert_eq!(next, length("c"));
        assert_eq!((crossed, repeated), (next.div_ceil(4), next.div_ceil(3)));
    })
    .await;
}

/// Guards against prefix hits across scopes, and against load and events without their lag.
#[tokio::test]
async fn prefixes_are_cached_for_each_scope_and_reported_late() {
    run(async {
        let settings = EngineSettings { event_delay_ms: 300, load_lag_ms: 300, ..fast() };
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
        assert_eq!((events.events.len(), events.last_sequence), (3, 4));
        let load = client.load().await.unwrap();
        assert!(load.age_ms >= 300, "{load:?}");
    })
    .await;
}

/// Guards against a late write that the caller's timeout prevents, and stale reads that do not
/// end.
#[tokio::test]
async fn late_writes_and_stale_reads() {
    run(async {
        let (standin, client) = platform(PlatformSettings::default()).await;
        client.commit(&Transaction::default().put("k", "old")).await.unwrap();
        let faults =
            PlatformFaults { apply_late_ms: 1200, stale_read: true, ..PlatformFaults::default() };
        set_faults(&standin, &faults).await;
        let late = client.commit(&Transaction::default().put("k", "new")).await;
        assert!(matches!(late, Err(PlatformError::Unanswered { .. })), "{late:?}");
        sleep(Duration::from_millis(500)).await;
        let value = async || client.read(&["k".into()]).await.unwrap()[0].clone().unwrap().value;
        assert_eq!(value().await, "old");
        set_faults(&standin, &PlatformFaults::default()).await;
        assert_eq!(value().await, "new");
    })
    .await;
}

/// Guards against a refusal that passes for an unknown outcome, and limits that do not hold.
#[tokio::test]
async fn a_platform_that_is_down_or_over_its_limit_refuses() {
    run(async {
        let settings = PlatformSettings { writes_per_s: 5, ..PlatformSettings::default() };
        let (standin, client) = platform(settings).await;
        let put = Transaction::default().put("lease/a", "1");
        set_faults(&standin, &PlatformFaults { down: true, ..PlatformFaults::default() }).await;
        assert!(matches!(client.commit(&put).await, Err(PlatformError::Unavailable { .. })));
        set_faults(&standin, &PlatformFaults::default()).await;
        let mut applied = 0;
        for _ in 0..20 {
            applied += u64::from(client.commit(&put).await.is_ok());
        }
        let seen: PlatformStats = stats(&standin).await;
        assert_eq!(seen.by_prefix["lease"].writes, applied);
        assert_eq!(seen.throttled, 20 - applied);
        assert!(seen.per_second.iter().all(|(_, rows)| rows.writes <= 5), "{seen:?}");
    })
    .await;
}

/// Guards against objects under a wrong name and a list of instances without its lag.
#[tokio::test]
async fn objects_and_the_lagging_list() {
    run(async {
        let settings = PlatformSettings { list_lag_ms: 200, ..PlatformSettings::default() };
        let (_standin, client) = platform(settings).await;
        let hash = client.put("content".into()).await.unwrap();
        assert_eq!(client.get(hash).await.unwrap().unwrap(), "content");
        let missing = almondroad::units::ContentHash::of_bytes(b"other");
        assert_eq!(client.get(missing).await.unwrap(), None);
        let listed = ListedInstance {
            instance: InstanceId::new("gw-1"),
            incarnation: Incarnation(7),
            peer_address: "127.0.0.1:1".into(),
            http_address: "127.0.0.1:2".into(),
            zone: ZoneId::new("z1"),
            region: RegionId::new("khomas"),
            state: ListedState::Live,
        };
        client.register(&listed).await.unwrap();
        assert!(client.instances().await.unwrap().is_empty());
        sleep(Duration::from_millis(250)).await;
        assert_eq!(client.instances().await.unwrap(), [listed]);
    })
    .await;
}
