//! Forwarding of requests to services that do not generate tokens.

use std::rc::Rc;

use hyper::Response;

use crate::balance::{Load, Placement, SendKind};
use crate::catalog::RowDecoder;
use crate::clock::{Clock, Instant};
use crate::forward::request_context::{LoadGuard, RequestContext};
use crate::forward::{Codec, EndpointError, EndpointRequest, Forwarder, Refusal, Stage};
use crate::http::ResponseBody;
use crate::rollout::AnswerKind;

/// Timeout of an attempt of a retryable request, as a multiple of the expected response time; at
/// least `MIN_ATTEMPT_TIMEOUT_MS`. The request is then sent to another endpoint.
const TIMEOUT_FACTOR: f64 = 8.0;
const MIN_ATTEMPT_TIMEOUT_MS: f64 = 400.0;

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Sends a request to one endpoint after the other until one answers it.
    pub(super) async fn run_plain(
        self: &Rc<Self>,
        mut context: RequestContext<C>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut last_answer = None;
        let failure = loop {
            let now = self.parts.clock.now();
            if now >= context.deadline {
                break self.deadline_refusal(&context);
            }
            self.choose_versions(&mut context);
            let chosen = self.parts.balancer.borrow_mut().choose_plain_version(
                &context.service.id,
                context.version_filter(),
                &context.excluded,
                now,
            );
            let placement = match chosen {
                Ok(placement) => placement,
                Err(_) if self.leave_new_version(&mut context) => continue,
                Err(error) => break self.placement_refusal(&context, error),
            };
            let endpoint = &placement.endpoint;
            let Some(send) = self.begin_send(&mut context, endpoint, SendKind::Run) else {
                break self.capacity_refusal(&context);
            };
            let result = self.send_plain(&mut context, &placement).await;
            self.finish_send(&mut context, endpoint, send, &result);
            match result {
                Ok(answer) => {
                    let is_error = answer.status().is_server_error();
                    context.charge.has_run = true;
                    context.runs += 1;
                    if !is_error || !context.may_run_again() {
                        return Ok(self.record_answered(&mut context, answer));
                    }
                    context.excluded.push(placement.endpoint.id.clone());
                    last_answer = Some(answer);
                }
                Err(error) => {
                    self.record_endpoint_failure(&mut context, &placement.endpoint, &error);
                    if !error.is_not_run() {
                        context.charge.has_run = true;
                        context.runs += 1;
                        if !context.may_run_again() {
                            break match error {
                                EndpointError::Timeout => Refusal::Timeout,
                                _ => Refusal::ResponseLost,
                            };
                        }
                    }
                }
            }
        };
        if let Some(answer) = last_answer {
            return Ok(self.record_answered(&mut context, answer));
        }
        context.log.set_outcome(failure.code());
        Err(failure)
    }

    /// Records the outcome of a request for which an endpoint's response is returned.
    fn record_answered(
        &self,
        context: &mut RequestContext<C>,
        answer: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        context.log.set_outcome(if answer.status().is_success() { "answered" } else { "error" });
        answer
    }

    async fn send_plain(
        &self,
        context: &mut RequestContext<C>,
        placement: &Placement,
    ) -> Result<Response<ResponseBody>, EndpointError> {
        let now = self.parts.clock.now();
        let load = Load { requests: 1, ..Load::default() };
        let load = LoadGuard::begin(&self.parts.balancer, &placement.endpoint.id, load, now);
        let until = self.attempt_deadline(context, placement, now);
        let result = self.exchange_plain(context, placement, load, until).await;
        let now_after = self.parts.clock.now();
        let code = match &result {
            Ok(answer) => answer.status().as_str().to_owned(),
            Err(error) => error.code().to_owned(),
        };
        context.log.record_send("run", placement.endpoint.id.as_str(), &code);
        if let Ok(answer) = &result {
            context.log.record_first_response();
            if answer.status().is_success() {
                self.record_begun(context);
            }
            let kind = match answer.status().is_server_error() {
                true => AnswerKind::Bad,
                false => AnswerKind::Good { latency_ms: Some(now_after.ms_since(now)) },
            };
            self.record_version_answer(context, &placement.endpoint, kind);
            let mut balancer = self.parts.balancer.borrow_mut();
            if let Some(state) = balancer.endpoint_mut(&placement.endpoint.id) {
                state.record_unit_time(now_after.ms_since(now) as f64);
                if answer.status().is_server_error() {
                    state.health.record_error(now_after);
                } else {
                    state.health.record_success(now_after);
                }
            }
        }
        result
    }

    /// Returns when an attempt is abandoned and the request is sent to another endpoint.
    fn attempt_deadline(
        &self,
        context: &RequestContext<C>,
        placement: &Placement,
        now: Instant,
    ) -> Instant {
        if !context.may_run_elsewhere() {
            return context.deadline;
        }
        let attempt_timeout_ms =
            (placement.expected_ms as f64 * TIMEOUT_FACTOR).max(MIN_ATTEMPT_TIMEOUT_MS);
        context.deadline.min(now.plus_ms(attempt_timeout_ms as u64))
    }

    async fn exchange_plain(
        &self,
        context: &RequestContext<C>,
        placement: &Placement,
        load: LoadGuard,
        until: Instant,
    ) -> Result<Response<ResponseBody>, EndpointError> {
        let outgoing = EndpointRequest {
            request: &context.request,
            organisation: context.organisation(),
            rank: None,
            endpoint: &placement.endpoint,
            stage: Stage::Whole,
            last_event: None,
            memory_reservation: None,
            deadline: context.deadline,
        };
        let (connection, response) = self.parts.endpoints.send(&outgoing, until).await?;
        self.read_response(context, &placement.endpoint, connection, response, Some(load)).await
    }
}
