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
use crate::standin::answer::{Answer, Refusal, json, not_found, read_bytes, read_json, respond};
use crate::standin::network::Network;
use crate::standin::secrets::SecretWatch;

/// What a plain service's stand-in did.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainStats {
    pub secrets: SecretStats,
    /// Calls since the start, with an effect or without.
    pub calls: u64,
    pub lookups: u64,
    pub effects: BTreeMap<String, u64>,
    /// Effects that took place more than once.
    pub repeated: u64,
}

/// Answer of a call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainAnswer {
    pub effect: String,
    /// How often the effect took place so far.
    pub count: u64,
}

/// A plain service: `GET` and `HEAD` look up, all other methods have an effect.
pub struct PlainService {
    settings: PlainSettings,
    effects: Effects,
    network: Network,
    secrets: SecretWatch,
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
            secrets: SecretWatch::new(settings.key_marker.clone()),
            state: RefCell::default(),
            settings,
            effects,
            stop,
        }
    }

    async fn control(&self, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/standin/stats" => json(&self.stats()),
            "/standin/faults" => {
                let faults: PlainFaults = read_json(request).await?;
                log::info!(target: "standin", "plain service faults: {faults:?}");
                if faults.silent {
                    self.network.silence();
                }
                self.network.set_delay(faults.delay_ms);
                self.state.borrow_mut().faults = faults;
                json(&())
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

    async fn call(&self, request: Request<Incoming>) -> Answer {
        self.state.borrow_mut().calls += 1;
        if self.fails() {
            return Err(Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        let is_lookup = matches!(*request.method(), Method::GET | Method::HEAD);
        let header = request.headers().get(&self.settings.effect_header);
        let header = header.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
        let path = request.uri().path().to_string();
        let body = read_bytes(request).await?;
        tokio::time::sleep(Duration::from_millis(self.settings.service_ms)).await;
        let name = effect_of_body(&body, &self.settings.effect_field).or(header).unwrap_or(path);
        if is_lookup {
            self.state.borrow_mut().lookups += 1;
            let count = self.effects.counts().get(&name).copied().unwrap_or_default();
            return self
                .ends(FaultPoint::AfterEffect, false)
                .unwrap_or_else(|| json(&PlainAnswer { effect: name, count }));
        }
        self.bring_about(name)
    }

    fn bring_about(&self, name: String) -> Answer {
        if let Some(end) = self.ends(FaultPoint::BeforeEffect, true) {
            return end;
        }
        let count = self.effects.add(&name).map_err(|error| {
            log::error!(target: "standin", "effect not recorded: {error}");
            Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, "not_recorded")
        })?;
        match self.ends(FaultPoint::AfterEffect, true) {
            Some(end) => end,
            None => json(&PlainAnswer { effect: name, count }),
        }
    }

    fn fails(&self) -> bool {
        let left = &mut self.state.borrow_mut().faults.fail_calls;
        let fails = *left > 0;
        *left = left.saturating_sub(1);
        fails
    }

    /// Ends a call at `side` without an answer if the faults say so.
    fn ends(&self, side: FaultPoint, may_crash: bool) -> Option<Answer> {
        let faults = &self.state.borrow().faults;
        if may_crash && faults.crash == Some(side) {
            log::error!(target: "standin", "plain service crashes: {side:?}");
            self.stop.cancel();
        } else if faults.cut != Some(side) {
            return None;
        }
        let (break_off, body) = mpsc::channel(1);
        let _ = break_off.try_send(Err(BrokenStream));
        Some(Ok(respond(StatusCode::OK, ResponseBody::Stream(body))))
    }
}

fn effect_of_body(body: &[u8], field: &str) -> Option<String> {
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
        self.secrets.note(&request);
        self.network.note(remote);
        self.network.pass(remote).await;
        let answer = self.call(request).await;
        self.network.delay().await;
        self.network.pass(remote).await;
        answer.unwrap_or_else(Refusal::response)
    }
}
