//! HTTP interface of the engine stand-in.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::faults::EngineFaults;
use super::settings::{EngineRole, EngineSettings};
use super::state::State;
use crate::engine::{CancelRequest, LoadReport};
use crate::http::{Handler, ResponseBody};
use crate::standin::network::Network;
use crate::standin::response::{HandlerResult, Refusal, json_response, not_found, read_json};
use crate::standin::secrets::SecretDetector;

const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// State of an engine stand-in, and notifications for its background tasks.
pub struct EngineService {
    pub settings: EngineSettings,
    pub network: Network,
    pub stop: CancellationToken,
    pub state: RefCell<State>,
    /// Notified when a prefill is queued.
    pub prefill_queued: Notify,
    /// Notified when a decode has imported its KV cache.
    pub decode_ready: Notify,
    /// Random part of KV cache handles, so that a restarted engine does not reuse them.
    pub nonce: String,
    secrets: SecretDetector,
}

impl EngineService {
    pub fn new(settings: EngineSettings, stop: CancellationToken) -> EngineService {
        EngineService {
            network: Network::new(),
            stop,
            state: RefCell::new(State::new(&settings)),
            prefill_queued: Notify::new(),
            decode_ready: Notify::new(),
            nonce: format!("{:x}", rand::random::<u64>()),
            secrets: SecretDetector::new(settings.key_marker.clone()),
            settings,
        }
    }

    pub fn crash(&self) {
        log::error!(target: "standin", "crash injected in engine");
        self.stop.cancel();
    }

    /// Rejects work that the engine's role or models exclude, and all work during a load.
    /// `rejecting_role` is the role that excludes it.
    pub(super) fn check_accepts_work(
        &self,
        state: &mut State,
        rejecting_role: EngineRole,
        model: &str,
    ) -> Result<(), Refusal> {
        let code = if state.role() == rejecting_role {
            "wrong_role"
        } else if !self.settings.serves(&state.stats.models, model) {
            "wrong_model"
        } else if state.stats.loading.is_some() {
            "loading"
        } else {
            return Ok(());
        };
        state.stats.work_refused += 1;
        Err(Refusal::new(StatusCode::CONFLICT, code))
    }

    async fn control(&self, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            "/standin/stats" => {
                let mut stats = self.state.borrow().stats();
                stats.secrets = self.secrets.stats();
                json_response(&stats)
            }
            "/standin/faults" => {
                let faults: EngineFaults = read_json(request).await?;
                self.set_faults(faults);
                json_response(&())
            }
            _ => Err(not_found()),
        }
    }

    fn set_faults(&self, faults: EngineFaults) {
        log::info!(target: "standin", "engine faults set: {faults:?}");
        if faults.silent {
            self.network.silence_used_connections();
        }
        if faults.freeze_ms > 0 {
            self.network.freeze(faults.freeze_ms);
        }
        if faults.crash {
            self.crash();
        }
        self.network.set_delay(faults.delay_ms);
        let mut state = self.state.borrow_mut();
        state.add_cold_period(faults.cold_ms);
        state.faults = faults;
    }

    async fn route(
        self: Rc<Self>,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> HandlerResult {
        let path = request.uri().path().to_string();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/engine/prefill") => self.prefill(read_json(request).await?).await,
            (Method::POST, "/engine/decode") => {
                self.decode(read_json(request).await?, remote).await
            }
            (Method::POST, "/engine/cancel") => self.cancel(read_json(request).await?),
            (Method::POST, "/engine/order") => self.order(read_json(request).await?),
            (Method::GET, "/engine/held") => json_response(&self.state.borrow().memory.list()),
            (Method::GET, "/engine/state") => json_response(&self.engine_state()),
            (Method::GET, "/engine/load") => json_response(&self.delayed_load()),
            (Method::GET, "/engine/events") => self.events(request.uri().query()),
            (Method::GET, path) => match path.strip_prefix("/engine/kv/") {
                Some(handle) => self.send_kv(handle).await,
                None => Err(not_found()),
            },
            _ => Err(not_found()),
        }
    }

    fn cancel(&self, request: CancelRequest) -> HandlerResult {
        let mut state = self.state.borrow_mut();
        state.cancel(&request.attempt);
        state.stats.attempt(&request.attempt).cancels += 1;
        json_response(&())
    }

    fn events(&self, query: Option<&str>) -> HandlerResult {
        let after = query.and_then(|q| q.strip_prefix("after=")).and_then(|n| n.parse().ok());
        let after = after.ok_or(Refusal::new(StatusCode::BAD_REQUEST, "malformed_query"))?;
        json_response(&self.state.borrow().cache.events_after(after))
    }

    /// Load as it was `load_lag_ms` ago.
    fn delayed_load(&self) -> LoadReport {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let now = Instant::now();
        let state = self.state.borrow();
        let old_enough = state.load_history.iter().rev().find(|(at, _)| *at + lag <= now);
        match old_enough.or(state.load_history.front()) {
            Some((at, load)) => {
                LoadReport { age_ms: (now - *at).as_millis() as u64, ..load.clone() }
            }
            None => LoadReport::default(),
        }
    }

    /// Records the load at regular intervals.
    pub async fn run_load_sampling(self: Rc<Self>) {
        let lag = Duration::from_millis(self.settings.load_lag_ms) + LOAD_SAMPLE_INTERVAL * 2;
        loop {
            self.network.wait_while_frozen().await;
            let now = Instant::now();
            {
                let mut state = self.state.borrow_mut();
                let load = state.load();
                state.load_history.push_back((now, load));
                while state.load_history.front().is_some_and(|(at, _)| *at + lag < now) {
                    state.load_history.pop_front();
                }
            }
            tokio::time::sleep(LOAD_SAMPLE_INTERVAL).await;
        }
    }
}

/// HTTP handler of the engine.
pub struct EngineHandler(pub Rc<EngineService>);

impl Handler for EngineHandler {
    async fn handle(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<ResponseBody> {
        let service = Rc::clone(&self.0);
        if request.uri().path().starts_with("/standin/") {
            return service.control(request).await.unwrap_or_else(Refusal::response);
        }
        service.secrets.inspect(&request);
        service.network.record_connection(remote);
        service.network.wait_until_usable(remote).await;
        let answer = Rc::clone(&service).route(request, remote).await;
        service.network.wait_response_delay().await;
        service.network.wait_until_usable(remote).await;
        answer.unwrap_or_else(Refusal::response)
    }
}
