//! Stand-ins of a plain service and of the weight store.

use std::time::Duration;

use almondroad::http::{HttpClient, HttpError};
use almondroad::standin::{
    EffectCount, Effects, FaultPoint, PlainFaults, PlainSettings, PlainStats, Standin,
    WeightSettings, start_plain, start_weights,
};
use bytes::Bytes;
use hyper::Method;
use serde_json::json;

use crate::helpers::*;

async fn call(standin: &Standin, method: Method) -> Result<EffectCount, HttpError> {
    let client = HttpClient::new(standin.address());
    client.call(method, "/orders", &json!({"order": "o-1"}), REQUEST_TIMEOUT).await
}

async fn plain(effects: &Effects) -> Standin {
    start_plain(any_port(), PlainSettings::default(), effects.clone()).await.unwrap()
}

/// Guards against a repeated effect that is not counted, and against a lookup that counts as one.
#[tokio::test]
async fn repeats_of_an_effect_are_counted() {
    run(async {
        let standin = plain(&Effects::default()).await;
        assert_eq!(call(&standin, Method::POST).await.unwrap().count, 1);
        assert_eq!(call(&standin, Method::GET).await.unwrap().count, 1);
        let seen: PlainStats = stats(&standin).await;
        assert_eq!((seen.calls, seen.lookups, seen.repeated), (2, 1, 0));
        assert_eq!(call(&standin, Method::POST).await.unwrap().count, 2);
        let seen: PlainStats = stats(&standin).await;
        assert_eq!((seen.effects["o-1"], seen.repeated), (2, 1));
    })
    .await;
}

/// Guards against a crash or a cut that takes effect before instead of after the side effect, or
/// the other way round.
#[tokio::test]
async fn a_call_ends_before_or_after_its_effect() {
    run(async {
        for (fault_point, count) in [(FaultPoint::BeforeEffect, 0), (FaultPoint::AfterEffect, 1)] {
            let effects = Effects::default();
            let standin = plain(&effects).await;
            let cut = PlainFaults { cut: Some(fault_point), ..PlainFaults::default() };
            set_faults(&standin, &cut).await;
            let broken = call(&standin, Method::POST).await;
            assert!(matches!(broken, Err(HttpError::Broken { .. })), "{broken:?}");
            assert_eq!(effects.counts().get("o-1").copied().unwrap_or(0), count);
            let crash = PlainFaults { crash: Some(fault_point), ..PlainFaults::default() };
            set_faults(&standin, &crash).await;
            assert!(call(&standin, Method::POST).await.is_err());
            tokio::time::timeout(REQUEST_TIMEOUT, standin.stopped()).await.unwrap();
            let restarted = plain(&effects).await;
            assert_eq!(call(&restarted, Method::POST).await.unwrap().count, 2 * count + 1);
        }
    })
    .await;
}

/// Guards against a call that fails with status 500 and still has an effect.
#[tokio::test]
async fn a_failed_call_has_no_effect() {
    run(async {
        let standin = plain(&Effects::default()).await;
        set_faults(&standin, &PlainFaults { fail_calls: 1, ..PlainFaults::default() }).await;
        let failed = call(&standin, Method::POST).await;
        assert!(matches!(failed, Err(HttpError::Status { status: 500, .. })), "{failed:?}");
        assert_eq!(call(&standin, Method::POST).await.unwrap().count, 1);
    })
    .await;
}

/// Guards against concurrent readers of the weight store that together exceed its bandwidth.
#[tokio::test]
async fn readers_of_the_weight_store_share_its_rate() {
    run(async {
        let settings = WeightSettings { model_bytes: 200_000, bytes_per_s: 1_000_000 };
        let standin = start_weights(any_port(), settings).await.unwrap();
        let read = async || {
            let client = HttpClient::new(standin.address());
            let request = client.request(Method::GET, "/weights/m", Bytes::new()).unwrap();
            let response = client.send(request, REQUEST_TIMEOUT).await.unwrap();
            client.read_body(response).await.unwrap().len()
        };
        let start = tokio::time::Instant::now();
        assert_eq!(tokio::join!(read(), read()), (200_000, 200_000));
        assert!(start.elapsed() >= Duration::from_millis(390), "{:?}", start.elapsed());
    })
    .await;
}
