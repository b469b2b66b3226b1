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

use super::listing::Listing;
use super::rows::Rows;
use super::settings::{PlatformFaults, PlatformSettings};
use super::usage::{RowCounts, Usage};
use crate::http::{BrokenStream, Handler, ResponseBody};
use crate::standin::answer::{Answer, Refusal, json, not_found, read_bytes, read_json, respond};
use crate::standin::launch::spawn_until;
use crate::standin::network::Network;
use crate::store::{
    CommitOutcome, ReadRequest, ReadResponse, ScanRequest, ScanResponse, Transaction,
};
use crate::units::{ContentHash, InstanceId};

const READ: RowCounts = RowCounts { reads: 1, writes: 0 };
const WRITE: RowCounts = RowCounts { reads: 0, writes: 1 };

/// The platform's table, object store and list of instances.
pub struct PlatformService {
    settings: PlatformSettings,
    network: Network,
    stop: CancellationToken,
    state: RefCell<State>,
}

struct State {
    rows: Rows,
    /// State that stale reads see.
    stale: Option<Rows>,
    objects: HashMap<ContentHash, Bytes>,
    listing: Listing,
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
            listing: Listing::default(),
            usage: Usage::new(settings.reads_per_s, settings.writes_per_s),
            faults: PlatformFaults::default(),
            random: StdRng::seed_from_u64(settings.seed),
        };
        PlatformService { settings, network: Network::new(), stop, state: RefCell::new(state) }
    }

    async fn control(&self, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/standin/stats" => json(&self.state.borrow().usage.stats),
            "/standin/faults" => {
                let faults: PlatformFaults = read_json(request).await?;
                self.set_faults(faults);
                json(&())
            }
            _ => Err(not_found()),
        }
    }

    fn set_faults(&self, faults: PlatformFaults) {
        log::info!(target: "standin", "platform faults: {faults:?}");
        if faults.silent {
            self.network.silence();
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

    async fn route(self: Rc<Self>, request: Request<Incoming>) -> Answer {
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

    fn read(&self, question: ReadRequest) -> Answer {
        let mut state = self.state.borrow_mut();
        allow(&mut state, question.keys.len() as u64, 0)?;
        state.usage.count(question.keys.iter().map(String::as_str), READ);
        let rows = state.stale.as_ref().unwrap_or(&state.rows).read(&question.keys);
        json(&ReadResponse { rows })
    }

    fn scan(&self, question: ScanRequest) -> Answer {
        let mut state = self.state.borrow_mut();
        let ScanRequest { prefix, after, limit } = question;
        let rows = state.stale.as_ref().unwrap_or(&state.rows).scan(&prefix, &after, limit);
        allow(&mut state, rows.len().max(1) as u64, 0)?;
        if rows.is_empty() {
            state.usage.count([prefix.as_str()].into_iter(), READ);
        }
        state.usage.count(rows.iter().map(|(key, _)| key.as_str()), READ);
        json(&ScanResponse { rows })
    }

    /// Applies a transaction in a task of its own, so that it takes effect even if the caller
    /// gives up first.
    async fn commit(self: Rc<Self>, transaction: Transaction) -> Answer {
        let late_ms = self.state.borrow().faults.apply_late_ms;
        if late_ms == 0 {
            return json(&self.apply(&transaction)?);
        }
        let (answer, applied) = oneshot::channel();
        let service = Rc::clone(&self);
        spawn_until(&self.stop, async move {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
            let _ = answer.send(service.apply(&transaction));
        });
        match applied.await {
            Ok(outcome) => json(&outcome?),
            Err(_) => Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "stopped")),
        }
    }

    fn apply(&self, transaction: &Transaction) -> Result<CommitOutcome, Refusal> {
        let mut state = self.state.borrow_mut();
        allow(&mut state, 0, transaction.writes.len() as u64)?;
        let outcome = state.rows.commit(transaction);
        if let CommitOutcome::Conflict { .. } = outcome {
            state.usage.stats.conflicts += 1;
        }
        // A refused transaction costs the table as much as an applied one.
        state.usage.count(transaction.writes.iter().map(|w| w.key.as_str()), WRITE);
        Ok(outcome)
    }

    async fn object(&self, method: Method, name: &str, request: Request<Incoming>) -> Answer {
        let hash: ContentHash = name.parse().map_err(|_| not_found())?;
        if method == Method::GET {
            let content = self.state.borrow().objects.get(&hash).cloned();
            return Ok(respond(StatusCode::OK, ResponseBody::full(content.ok_or(not_found())?)));
        }
        let content = read_bytes(request).await?;
        if method != Method::PUT || ContentHash::of_bytes(&content) != hash {
            return Err(Refusal::new(StatusCode::BAD_REQUEST, "wrong_content"));
        }
        let mut state = self.state.borrow_mut();
        state.objects.insert(hash, content);
        state.usage.stats.objects = state.objects.len() as u64;
        json(&())
    }

    fn list(&self) -> Answer {
        let state = self.state.borrow();
        let lag_ms = self.settings.list_lag_ms + state.faults.stale_list_ms;
        let ttl_ms = self.settings.list_ttl_ms;
        let ttl = (ttl_ms > 0).then(|| Duration::from_millis(ttl_ms));
        json(&state.listing.shown(Duration::from_millis(lag_ms), ttl))
    }

    async fn instance(&self, method: Method, name: &str, request: Request<Incoming>) -> Answer {
        if method == Method::DELETE {
            self.state.borrow_mut().listing.remove(InstanceId::new(name));
            return json(&());
        }
        let instance = read_json(request).await?;
        self.state.borrow_mut().listing.register(instance);
        json(&())
    }

    /// Replaces an answer that is to be lost by a body that breaks.
    async fn send(&self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        let lost_by_hanging = {
            let mut state = self.state.borrow_mut();
            let permille = state.faults.lose_answer_permille;
            if permille == 0 || state.random.random_range(0..1000) >= permille {
                return response;
            }
            state.usage.stats.lost_answers += 1;
            state.faults.lost_answers_hang
        };
        if lost_by_hanging {
            std::future::pending::<()>().await;
        }
        let (break_off, body) = mpsc::channel(1);
        let _ = break_off.try_send(Err(BrokenStream));
        respond(StatusCode::OK, ResponseBody::Stream(body))
    }
}

fn allow(state: &mut State, reads: u64, writes: u64) -> Result<(), Refusal> {
    match state.usage.allows(RowCounts { reads, writes }) {
        true => Ok(()),
        false => Err(Refusal::new(StatusCode::TOO_MANY_REQUESTS, "throttled")),
    }
}

/// Handler of the platform's connections.
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
        service.network.note(remote);
        service.network.pass(remote).await;
        let answer = Rc::clone(&service).route(request).await;
        service.network.delay().await;
        service.network.pass(remote).await;
        match answer {
            Ok(response) => service.send(response).await,
            Err(refusal) => refusal.response(),
        }
    }
}
