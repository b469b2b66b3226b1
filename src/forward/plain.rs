use std::rc::Rc;

use hyper::Response;

use crate::balance::{Load, Placement};
use crate::catalog::RowDecoder;
use crate::clock::{Clock, Instant};
use crate::forward::request_scope::{LoadGuard, RequestScope};
use crate::forward::{Codec, EndpointRequest, EndpointRequestError, Forwarder, Refusal, Stage};
use crate::http::ResponseBody;

/// Time after which a request that may be repeated is sent to another endpoint: this many times
/// the usual answer, and at least `MIN_PATIENCE_MS`.
const PATIENCE_ANSWERS: f64 = 8.0;
const MIN_PATIENCE_MS: f64 = 400.0;

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Sends a request of a plain service until an endpoint answers it.
    pub(super) async fn run_plain(
        self: &Rc<Self>,
        mut scope: RequestScope<C>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut last_answer = None;
        let failure = loop {
            let now = self.parts.clock.now();
            if now >= scope.deadline {
                break self.expired(&scope);
            }
            let chosen = self.parts.balancer.borrow_mut().choose_plain(
                &scope.service.id,
                &scope.excluded,
                now,
            );
            let Ok(placement) = chosen else { break self.unplaced(&scope) };
            if !self.take_send(&mut scope) {
                break self.unplaced(&scope);
            }
            match self.send_plain(&mut scope, &placement).await {
                Ok(answer) => {
                    let is_error = answer.status().is_server_error();
                    scope.charge.has_run = true;
                    scope.runs += 1;
                    if !is_error || !scope.may_run_again() {
                        return Ok(self.answered(&mut scope, answer));
                    }
                    scope.excluded.push(placement.endpoint.id.clone());
                    last_answer = Some(answer);
                }
                Err(error) => {
                    self.note_leg_failure(&mut scope, &placement.endpoint, &error);
                    if !error.is_not_run() {
                        scope.charge.has_run = true;
                        scope.runs += 1;
                        if !scope.may_run_again() {
                            break match error {
                                EndpointRequestError::Timeout => Refusal::Timeout,
                                _ => Refusal::ResponseLost,
                            };
                        }
                    }
                }
            }
        };
        if let Some(answer) = last_answer {
            return Ok(self.answered(&mut scope, answer));
        }
        scope.log.set_outcome(failure.code());
        Err(failure)
    }

    fn answered(
        &self,
        scope: &mut RequestScope<C>,
        answer: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        scope.log.set_outcome(if answer.status().is_success() { "answered" } else { "error" });
        answer
    }

    /// The refusal of a request whose time has passed.
    pub(super) fn expired(&self, scope: &RequestScope<C>) -> Refusal {
        if scope.runs > 0 { Refusal::Timeout } else { Refusal::ExpiredBeforeRun }
    }

    /// The refusal of a request that no endpoint can take.
    pub(super) fn unplaced(&self, scope: &RequestScope<C>) -> Refusal {
        if scope.runs > 0 { Refusal::ResponseLost } else { self.no_capacity(scope.route.kind) }
    }

    async fn send_plain(
        &self,
        scope: &mut RequestScope<C>,
        placement: &Placement,
    ) -> Result<Response<ResponseBody>, EndpointRequestError> {
        let now = self.parts.clock.now();
        let load = Load { requests: 1, ..Load::default() };
        let _guard = LoadGuard::begin(&self.parts.balancer, &placement.endpoint.id, load, now);
        let until = self.plain_patience(scope, placement, now);
        let result = self.exchange_plain(scope, placement, until).await;
        let now_after = self.parts.clock.now();
        let code = match &result {
            Ok(answer) => answer.status().as_str().to_owned(),
            Err(error) => error.code().to_owned(),
        };
        scope.log.note_send("run", placement.endpoint.id.as_str(), &code);
        if let Ok(answer) = &result {
            scope.log.note_first_answer();
            let mut balancer = self.parts.balancer.borrow_mut();
            if let Some(state) = balancer.endpoint_mut(&placement.endpoint.id) {
                state.note_answer_time(now_after.ms_since(now) as f64);
                if answer.status().is_server_error() {
                    state.health.note_error(now_after);
                } else {
                    state.health.note_success(now_after);
                }
            }
        }
        result
    }

    /// When a send is given up in favour of another one.
    fn plain_patience(
        &self,
        scope: &RequestScope<C>,
        placement: &Placement,
        now: Instant,
    ) -> Instant {
        if !scope.may_run_elsewhere() {
            return scope.deadline;
        }
        let patience_ms = (placement.expected_ms as f64 * PATIENCE_ANSWERS).max(MIN_PATIENCE_MS);
        scope.deadline.min(now.plus_ms(patience_ms as u64))
    }

    async fn exchange_plain(
        &self,
        scope: &RequestScope<C>,
        placement: &Placement,
        until: Instant,
    ) -> Result<Response<ResponseBody>, EndpointRequestError> {
        let endpoint_request = EndpointRequest {
            request: &scope.request,
            organisation: scope.organisation(),
            endpoint: &placement.endpoint,
            stage: Stage::Whole,
            last_event: None,
            memory_reservation: None,
            deadline: scope.deadline,
        };
        let (connection, response) = self.send_leg(&endpoint_request, until).await?;
        self.read_answer(connection, response, scope.deadline).await
    }
}
