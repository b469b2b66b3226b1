//! HTTP interface of the platform stand-in.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::listing::InstanceListing;
use super::rows::Rows;
use super::settings::{PlatformFaults, PlatformSettings};
use super::usage::{RowCounts, Usage};
use crate::http::{BrokenStream, Handler, ResponseBody};
use crate::standin::launch::spawn_until;
use crate::standin::network::Network;
use crate::standin::response::{
    HandlerResult, Refusal, build_response, json_response, not_found, read_body, read_json,
};
use crate::store::{
    CommitOutcome, ReadRequest, ReadResponse, ScanRequest, ScanResponse, Transaction,
};
use crate::units::{ContentHash, InstanceId};

const READ: RowCounts = RowCounts { reads: 1, writes: 0 };
const WRITE: RowCounts = RowCounts { reads: 0, writes: 1 };

/// The platform stand-in: table, object store and instance list.
pub struct PlatformService {
    settings: PlatformSettings,
    network: Network,
    stop: CancellationToken,
    state: RefCell<State>,
}

struct State {
    rows: Rows,
    /// Copy of the rows that stale reads return.
    stale: Option<Rows>,
    objects: HashMap<ContentHash, Bytes>,
    listing: InstanceListing,
    usage: Usage,
    faults: PlatformFaults,
    random: StdRng,
}

impl PlatformService {
    pub fn new(settings: PlatformSettings, stop: CancellationToken) -> PlatformService {
        let state = State {
            rows: Rows::default(),
            stale: None,
            objects: HashMap::new(),
            listing: InstanceListing::default(),
            usage: Usage::new(settings.reads_per_s, settings.writes_per_s),
            faults: PlatformFaults::default(),
            random: StdRng::seed_from_u64(settings.seed),
        };
        PlatformService { settings, network: Network::new(), stop, state: RefCell::new(state) }
    }

    async fn control(&self, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            "/standin/stats" => json_response(&self.state.borrow().usage.stats),
            "/standin/faults" => {
                let faults: PlatformFaults = read_json(request).await?;
                self.set_faults(faults);
                json_response(&())
            }
            _ => Err(not_found()),
        }
    }

    fn set_faults(&self, faults: PlatformFaults) {
        log::info!(target: "standin", "platform faults set: {faults:?}");
        if faults.silent {
            self.network.silence_used_connections();
        }
        self.network.set_delay(faults.delay_ms);
        let mut state = self.state.borrow_mut();
        if !faults.stale_read {
            state.stale = None;
        } else if state.stale.is_none() {
            state.stale = Some(state.rows.clone());
        }
        state.faults = faults;
    }

    async fn route(self: Rc<Self>, request: Request<Incoming>) -> HandlerResult {
        if self.state.borrow().faults.down {
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        self.state.borrow_mut().usage.stats.calls += 1;
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        match (method.clone(), path.as_str()) {
            (Method::POST, "/table/read") => self.read(read_json(request).await?),
            (Method::POST, "/table/scan") => self.scan(read_json(request).await?),
            (Method::POST, "/table/commit") => self.commit(read_json(request).await?).await,
            (Method::GET, "/instances") => self.list(),
            _ => match (path.strip_prefix("/objects/"), path.strip_prefix("/instances/")) {
                (Some(name), _) => self.object(method, name, request).await,
                (_, Some(name)) => self.instance(method, name, request).await,
                _ => Err(not_found()),
            },
        }
    }

    fn read(&self, read_request: ReadRequest) -> HandlerResult {
        let mut state = self.state.borrow_mut();
        check_limits(&mut state, read_request.keys.len() as u64, 0)?;
        state.usage.count(read_request.keys.iter().map(String::as_str), READ);
        let rows = state.stale.as_ref().unwrap_or(&state.rows).read(&read_request.keys);
        json_response(&ReadResponse { rows })
    }

    fn scan(&self, scan_request: ScanRequest) -> HandlerResult {
        let mut state = self.state.borrow_mut();
        let ScanRequest { prefix, after, limit } = scan_request;
        let rows = state.stale.as_ref().unwrap_or(&state.rows).scan(&prefix, &after, limit);
        check_limits(&mut state, rows.len().max(1) as u64, 0)?;
        if rows.is_empty() {
            state.usage.count([prefix.as_str()].into_iter(), READ);
        }
        state.usage.count(rows.iter().map(|(key, _)| key.as_str()), READ);
        json_response(&ScanResponse { rows })
    }

    /// Applies a transaction. A delayed one is applied in a separate task, so that it takes effect
    /// even if the caller gives up first.
    async fn commit(self: Rc<Self>, transaction: Transaction) -> HandlerResult {
        let late_ms = self.state.borrow().faults.apply_late_ms;
        if late_ms == 0 {
            return json_response(&self.apply(&transaction)?);
        }
        let (answer, applied) = oneshot::channel();
        let service = Rc::clone(&self);
        spawn_until(&self.stop, async move {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
            let _ = answer.send(service.apply(&transaction));
        });
        match applied.await {
            Ok(outcome) => json_response(&outcome?),
            Err(_) => Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "stopped")),
        }
    }

    fn apply(&self, transaction: &Transaction) -> Result<CommitOutcome, Refusal> {
        let mut state = self.state.borrow_mut();
        check_limits(&mut state, 0, transaction.writes.len() as u64)?;
        let outcome = state.rows.commit(transaction);
        if let CommitOutcome::Conflict { .. } = outcome {
            state.usage.stats.conflicts += 1;
        }
        // A conflicting transaction costs the table as many writes as an applied one.
        state.usage.count(transaction.writes.iter().map(|w| w.key.as_str()), WRITE);
        Ok(outcome)
    }

    async fn object(
        &self,
        method: Method,
        name: &str,
        request: Request<Incoming>,
    ) -> HandlerResult {
        let hash: ContentHash = name.parse().map_err(|_| not_found())?;
        if method == Method::GET {
            let content = self.state.borrow().objects.get(&hash).cloned();
            return Ok(build_response(
                StatusCode::OK,
                ResponseBody::full(content.ok_or(not_found())?),
            ));
        }
        let content = read_body(request).await?;
        if method != Method::PUT || ContentHash::of_bytes(&content) != hash {
            return Err(Refusal::new(StatusCode::BAD_REQUEST, "wrong_content"));
        }
        let mut state = self.state.borrow_mut();
        state.objects.insert(hash, content);
        state.usage.stats.objects = state.objects.len() as u64;
        json_response(&())
    }

    fn list(&self) -> HandlerResult {
        let state = self.state.borrow();
        let lag_ms = self.settings.list_lag_ms + state.faults.stale_list_ms;
        let ttl_ms = self.settings.list_ttl_ms;
        let ttl = (ttl_ms > 0).then(|| Duration::from_millis(ttl_ms));
        json_response(&state.listing.delayed_list(Duration::from_millis(lag_ms), ttl))
    }

    async fn instance(
        &self,
        method: Method,
        name: &str,
        request: Request<Incoming>,
    ) -> HandlerResult {
        if method == Method::DELETE {
            self.state.borrow_mut().listing.remove(InstanceId::new(name));
            return json_response(&());
        }
        let instance = read_json(request).await?;
        self.state.borrow_mut().listing.register(instance);
        json_response(&())
    }

    /// Replaces a response that is to be lost by a broken body, or never returns.
    async fn inject_response_loss(
        &self,
        response: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        let hangs = {
            let mut state = self.state.borrow_mut();
            let permille = state.faults.lose_answer_permille;
            if permille == 0 || state.random.random_range(0..1000) >= permille {
                return response;
            }
            state.usage.stats.lost_answers += 1;
            state.faults.lost_answers_hang
        };
        if hangs {
            std::future::pending::<()>().await;
        }
        let (sender, body) = mpsc::channel(1);
        let _ = sender.try_send(Err(BrokenStream));
        build_response(StatusCode::OK, ResponseBody::Stream(body))
    }
}

fn check_limits(state: &mut State, reads: u64, writes: u64) -> Result<(), Refusal> {
    match state.usage.allows(RowCounts { reads, writes }) {
        true => Ok(()),
        false => Err(Refusal::new(StatusCode::TOO_MANY_REQUESTS, "throttled")),
    }
}

/// HTTP handler of the platform.
pub struct PlatformHandler(pub Rc<PlatformService>);

impl Handler for PlatformHandler {
    async fn handle(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<ResponseBody> {
        let service = Rc::clone(&self.0);
        if request.uri().path().starts_with("/standin/") {
            return service.control(request).await.unwrap_or_else(Refusal::response);
        }
        service.network.record_connection(remote);
        service.network.wait_until_usable(remote).await;
        let answer = Rc::clone(&service).route(request).await;
        service.network.wait_response_delay().await;
        service.network.wait_until_usable(remote).await;
        match answer {
            Ok(response) => service.inject_response_loss(response).await,
            Err(refusal) => refusal.response(),
        }
    }
}
