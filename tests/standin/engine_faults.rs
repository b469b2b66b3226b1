//! Faults that the engine stand-in injects.

use std::time::Duration;

use almondroad::engine::{
    DecodeEvent, DecodeRequest, Engine, EngineError, PrefillRequest, PrefillSource, TokenStream,
};
use almondroad::standin::{EngineFaults, EngineSettings, EngineStats, expected_token};
use almondroad::units::Tokens;
use tokio::time::{sleep, timeout};

use crate::helpers::*;

/// Guards against a stream that repeats or omits tokens when it is resumed after a cut.
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
        let after_end = client.decode(&resume).await.err();
        assert_eq!(after_end, Some(EngineError::UnknownAttempt));
    })
    .await;
}

/// Guards against an engine that continues at the wrong token after the first engine crashed.
#[tokio::test]
async fn another_engine_goes_on_after_a_crash() {
    run(async {
        let (standin, client) = engine(fast()).await;
        let prompt = "p !crash-decode";
        let source = prefill(&standin, 1, prompt).await;
        let mut stream = client.decode(&decode_of(1, prompt, Some(source))).await.unwrap();
        assert!(read_tokens(&mut stream, prompt, 0, 1000).await.is_err());
        timeout(REQUEST_TIMEOUT, standin.stopped()).await.unwrap();
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

/// Guards against memory of the decode engine that stays reserved after a stalled transfer.
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
        assert!(decoder.held_attempts().await.unwrap().is_empty());
    })
    .await;
}

/// Guards against a silent connection that also affects new connections or ends the attempt.
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
        assert_eq!(client.held_attempts().await.unwrap().len(), 1);
        let resume = DecodeRequest { first_index: 5, ..decode_of(1, "q r", None) };
        let mut stream = client.decode(&resume).await.unwrap();
        assert_eq!(read_tokens(&mut stream, "q r", 5, 1000).await, Ok(length("q r")));
    })
    .await;
}

/// Guards against events of other attempts and repeated events that cannot be told from the
/// attempt's next token.
#[tokio::test]
async fn crossed_and_repeated_events_are_recognisable() {
    run(async {
        let (standin, client) = engine(fast()).await;
        let faults = EngineFaults { cross_every: 4, duplicate_every: 3, ..EngineFaults::default() };
        set_faults(&standin, &faults).await;
        let other = prefill(&standin, 2, "other").await;
        let other = decode_of(2, "other", Some(other));
        let long = DecodeRequest { max_output_tokens: Tokens(1000), ..other };
        let _other = client.decode(&long).await.unwrap();
        let source = prefill(&standin, 1, "c").await;
        let mut stream = client.decode(&decode_of(1, "c", Some(source))).await.unwrap();
        let (mut crossed, mut repeated, mut next) = (0, 0, 0);
        while let Some(event) = stream.next().await.unwrap() {
            match event {
                event if *event.attempt() == attempt(2) => crossed += 1,
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

/// Guards against a cold engine that is as fast as a warm one, after its start and as a fault.
#[tokio::test]
async fn a_cold_engine_is_slow() {
    run(async {
        let settings = EngineSettings { cold_ms: 400, token_base_ms: 10.0, ..fast() };
        let (standin, client) = engine(settings).await;
        let time = async |sequence| {
            let source = prefill(&standin, sequence, "c").await;
            let decode = decode_of(sequence, "c", Some(source));
            let mut stream = client.decode(&decode).await.unwrap();
            let start = tokio::time::Instant::now();
            read_tokens(&mut stream, "c", 0, 6).await.unwrap();
            let time = start.elapsed();
            client.cancel(&attempt(sequence)).await.unwrap();
            time
        };
        // Six tokens take 61 ms on a warm engine and 242 ms on a cold one.
        assert!(time(1).await >= Duration::from_millis(190));
        sleep(Duration::from_millis(400)).await;
        assert!(time(2).await < Duration::from_millis(190));
        set_faults(&standin, &EngineFaults { cold_ms: 400, ..EngineFaults::default() }).await;
        assert!(time(3).await >= Duration::from_millis(190));
    })
    .await;
}

/// Guards against a frozen engine that responds, and against one that stays frozen.
#[tokio::test]
async fn a_frozen_engine_answers_after_it_thaws() {
    run(async {
        let (standin, client) = engine(fast()).await;
        set_faults(&standin, &EngineFaults { freeze_ms: 300, ..EngineFaults::default() }).await;
        assert!(timeout(Duration::from_millis(150), client.held_attempts()).await.is_err());
        assert_eq!(client.held_attempts().await, Ok(Vec::new()));
    })
    .await;
}
