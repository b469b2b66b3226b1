use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::effects::Effects;
use super::settings::{FaultPoint, PlainFaults, PlainSettings};
use crate::http::{BrokenStream, Handler, ResponseBody};
use crate::standin::SecretStats;
use crate::standin::network::Network;
use crate::standin::response::{
    HandlerResult, Refusal, build_response, json_response, not_found, read_body, read_json,
};
use crate::standin::secrets::SecretDetector;

/// Statistics of a plain service stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainStats {
    pub secrets: SecretStats,
    /// Calls since the start, with or without an effect.
    pub calls: u64,
    pub lookups: u64,
    pub effects: BTreeMap<String, u64>,
    /// Number of effects that occurred more than once.
    pub repeated: u64,
}

/// Response to a call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EffectCount {
    pub effect: String,
    /// How often the effect has occurred.
    pub count: u64,
}

/// A plain service. `GET` and `HEAD` requests are lookups, all other methods have a side effect.
pub struct PlainService {
    settings: PlainSettings,
    effects: Effects,
    network: Network,
    secrets: SecretDetector,
    stop: CancellationToken,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    faults: PlainFaults,
    calls: u64,
    lookups: u64,
}

impl PlainService {
    pub fn new(settings: PlainSettings, effects: Effects, stop: CancellationToken) -> PlainService {
        PlainService {
            network: Network::new(),
            secrets: SecretDetector::new(settings.key_marker.clone()),
            state: RefCell::default(),
            settings,
            effects,
            stop,
        }
    }

    async fn control(&self, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            "/standin/stats" => json_response(&self.stats()),
            "/standin/faults" => {
                let faults: PlainFaults = read_json(request).await?;
                log::info!(target: "standin", "plain service faults set: {faults:?}");
                if faults.silent {
                    self.network.silence_used_connections();
                }
                self.network.set_delay(faults.delay_ms);
                self.state.borrow_mut().faults = faults;
                json_response(&())
            }
            _ => Err(not_found()),
        }
    }

    fn stats(&self) -> PlainStats {
        let effects = self.effects.counts();
        let state = self.state.borrow();
        PlainStats {
            secrets: self.secrets.stats(),
            calls: state.calls,
            lookups: state.lookups,
            repeated: effects.values().filter(|count| **count > 1).count() as u64,
            effects,
        }
    }

    async fn call(&self, request: Request<Incoming>) -> HandlerResult {
        self.state.borrow_mut().calls += 1;
        if self.take_failure() {
            return Err(Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        let is_lookup = matches!(*request.method(), Method::GET | Method::HEAD);
        let header = request.headers().get(&self.settings.effect_header);
        let header = header.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
        let path = request.uri().path().to_string();
        let body = read_body(request).await?;
        tokio::time::sleep(Duration::from_millis(self.settings.service_ms)).await;
        let name = effect_from_body(&body, &self.settings.effect_field).or(header).unwrap_or(path);
        if is_lookup {
            self.state.borrow_mut().lookups += 1;
            let count = self.effects.counts().get(&name).copied().unwrap_or_default();
            return self
                .fail_at(FaultPoint::AfterEffect, false)
                .unwrap_or_else(|| json_response(&EffectCount { effect: name, count }));
        }
        self.apply_effect(name)
    }

    fn apply_effect(&self, name: String) -> HandlerResult {
        if let Some(failed) = self.fail_at(FaultPoint::BeforeEffect, true) {
            return failed;
        }
        let count = self.effects.record(&name).map_err(|error| {
            log::error!(target: "standin", "failed to record effect: {error}");
            Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, "not_recorded")
        })?;
        match self.fail_at(FaultPoint::AfterEffect, true) {
            Some(failed) => failed,
            None => json_response(&EffectCount { effect: name, count }),
        }
    }

    /// Whether this call fails. Counts it against the remaining calls to fail.
    fn take_failure(&self) -> bool {
        let left = &mut self.state.borrow_mut().faults.fail_calls;
        let fails = *left > 0;
        *left = left.saturating_sub(1);
        fails
    }

    /// Returns a broken response if a fault is set for this point of a call. Also stops the service
    /// if the fault is a crash and `may_crash` is set.
    fn fail_at(&self, fault_point: FaultPoint, may_crash: bool) -> Option<HandlerResult> {
        let faults = &self.state.borrow().faults;
        if may_crash && faults.crash == Some(fault_point) {
            log::error!(target: "standin", "crash injected in plain service: {fault_point:?}");
            self.stop.cancel();
        } else if faults.cut != Some(fault_point) {
            return None;
        }
        let (sender, body) = mpsc::channel(1);
        let _ = sender.try_send(Err(BrokenStream));
        Some(Ok(build_response(StatusCode::OK, ResponseBody::Stream(body))))
    }
}

fn effect_from_body(body: &[u8], field: &str) -> Option<String> {
    let body: serde_json::Value = serde_json::from_slice(body).ok()?;
    match body.get(field)? {
        serde_json::Value::String(name) => Some(name.clone()),
        other => Some(other.to_string()),
    }
}

impl Handler for PlainService {
    async fn handle(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<ResponseBody> {
        if request.uri().path().starts_with("/standin/") {
            return self.control(request).await.unwrap_or_else(Refusal::response);
        }
        self.secrets.inspect(&request);
        self.network.record_connection(remote);
        self.network.wait_until_usable(remote).await;
        let answer = self.call(request).await;
        self.network.wait_response_delay().await;
        self.network.wait_until_usable(remote).await;
        answer.unwrap_or_else(Refusal::response)
    }
}
