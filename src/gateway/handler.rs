use std::net::SocketAddr;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response};

use crate::clock::BootClock;
use crate::config::{Admin, Repeat, Route, Target};
use crate::gateway::addresses::Addresses;
use crate::gateway::status::Status;
use crate::gateway::{GatewayMetrics, Node, NodePeers};
use crate::http::{Handler, ResponseBody};
use crate::once::{IDEMPOTENCY_HEADER, PlainRequest, call_at_most_once, call_idempotent};
use crate::serve::{ApiKey, ServeError, complete, error_response, json_response, read_body};
use crate::store::HttpStore;
use crate::units::OrganisationId;

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// HTTP handler for callers and operators.
pub struct GatewayHandler {
    node: Rc<Node>,
    admin: Admin<HttpStore, HttpStore, BootClock, NodePeers>,
}

impl GatewayHandler {
    pub fn new(node: Rc<Node>) -> GatewayHandler {
        let admin = Admin::new(Rc::clone(&node.configuration));
        GatewayHandler { node, admin }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ServeError> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/healthz" => Ok(json_response(&"ok")),
            "/metrics" => Ok(self.metrics()),
            "/v1/addresses" => {
                require_method(&Method::GET, &request)?;
                let zone = request.uri().query().and_then(zone_parameter);
                Ok(json_response(&Addresses::of_fleet(&self.node, zone.as_deref())))
            }
            "/admin/v1/status" => {
                require_method(&Method::GET, &request)?;
                let refusal = self.admin.refusal(request.headers());
                Ok(refusal.unwrap_or_else(|| json_response(&Status::of(&self.node))))
            }
            _ if path.starts_with("/admin/") => Ok(self.admin.handle(request).await),
            _ => self.route(request).await,
        }
    }

    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ServeError> {
        let path = request.uri().path().to_owned();
        let current = self.node.configuration.current();
        let Some(route) = find_route(&current.document.routes, &path) else {
            // An instance that has just started knows no routes yet.
            if !self.node.configuration.is_confirmed() {
                return Err(ServeError::StaleConfiguration);
            }
            return Err(ServeError::UnknownRoute { path: path.into() });
        };
        let key = ApiKey::find(request.headers(), request.uri());
        let organisation = self.authenticate(route, key.as_ref())?;
        match (&route.target, organisation) {
            (Target::Models, Some(organisation)) => {
                require_method(&Method::POST, &request)?;
                complete(&self.node, route, organisation, request).await
            }
            (Target::Models, None) => Err(ServeError::MissingKey),
            (Target::Service { service, repeat }, organisation) => {
                let idempotency_key = idempotency_key(&request)?;
                let (head, body) = request.into_parts();
                let max_body_bytes = self.node.settings.max_body_bytes;
                let request = Request::from_parts(head.clone(), body);
                let body = read_body(request, max_body_bytes).await?;
                let plain =
                    PlainRequest::new(head.method, &head.uri, &head.headers, body, key.as_ref());
                let answer = match (repeat, organisation, idempotency_key) {
                    (Repeat::Idempotent, ..) => {
                        call_idempotent(&self.node, service, &plain).await?
                    }
                    (Repeat::AtMostOnce, None, _) => return Err(ServeError::MissingKey),
                    (Repeat::AtMostOnce, _, None) => return Err(ServeError::MissingIdempotencyKey),
                    (Repeat::AtMostOnce, Some(organisation), Some(idempotency_key)) => {
                        let in_flight = self.node.in_flight.enter();
                        // The call continues if its caller disconnects, so that its response is
                        // stored.
                        let (node, service) = (Rc::clone(&self.node), service.clone());
                        let call = tokio::task::spawn_local(async move {
                            let _in_flight = in_flight;
                            call_at_most_once(
                                &node,
                                &organisation,
                                &service,
                                &idempotency_key,
                                &plain,
                            )
                            .await
                        });
                        call.await.unwrap_or(Err(ServeError::CallUnresolved))?
                    }
                };
                Ok(answer.into_response())
            }
        }
    }

    /// The organisation of the API key; `None` on an open route without a known key.
    fn authenticate(
        &self,
        route: &Route,
        key: Option<&ApiKey>,
    ) -> Result<Option<OrganisationId>, ServeError> {
        if !self.node.configuration.is_confirmed() && !route.open {
            return Err(ServeError::StaleConfiguration);
        }
        let current = self.node.configuration.current();
        let organisation = key.and_then(|key| current.organisation_of(&key.hash()).cloned());
        match (organisation, key) {
            (Some(organisation), _) => Ok(Some(organisation)),
            (None, _) if route.open => Ok(None),
            (None, Some(_)) => Err(ServeError::UnknownKey),
            (None, None) => Err(ServeError::MissingKey),
        }
    }

    fn metrics(&self) -> Response<ResponseBody> {
        GatewayMetrics::record_state(&self.node);
        let mut response = Response::new(ResponseBody::full(self.node.metrics.render()));
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, text);
        response
    }
}

impl Handler for GatewayHandler {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<ResponseBody> {
        match self.answer(request).await {
            Ok(response) => response,
            Err(error) => {
                self.node.metrics.record_refusal(&error);
                error_response(&error)
            }
        }
    }
}

/// The route with the longest path that is the request's path or a parent of it.
fn find_route<'a>(routes: &'a [Route], path: &str) -> Option<&'a Route> {
    let matches = |route: &&Route| {
        let parent = route.path.trim_end_matches('/');
        path.strip_prefix(parent).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    routes.iter().filter(matches).max_by_key(|route| route.path.len())
}

fn require_method(method: &Method, request: &Request<Incoming>) -> Result<(), ServeError> {
    if request.method() == method {
        return Ok(());
    }
    Err(ServeError::WrongMethod { method: request.method().as_str().into() })
}

fn idempotency_key(request: &Request<Incoming>) -> Result<Option<String>, ServeError> {
    let Some(value) = request.headers().get(IDEMPOTENCY_HEADER) else { return Ok(None) };
    let bad_header = || ServeError::BadHeader { header: IDEMPOTENCY_HEADER };
    let text = value.to_str().map_err(|_| bad_header())?;
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(bad_header());
    }
    Ok(Some(text.to_owned()))
}

fn zone_parameter(query: &str) -> Option<String> {
    form_urlencoded::parse(query.as_bytes())
        .find(|(name, _)| name == "zone")
        .map(|(_, value)| value.into_owned())
}
