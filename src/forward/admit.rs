//! Admission of callers' requests: route, key, body and rate.

use std::rc::Rc;

use hyper::body::Incoming;
use rand::Rng;

use crate::admission::Rank;
use crate::balance::SendCount;
use crate::catalog::{Customer, Route, RowDecoder, Service, ServiceConfiguration};
use crate::clock::Clock;
use crate::forward::refuse::MIN_RETRY_AFTER_MS;
use crate::forward::request_body::read_body;
use crate::forward::request_context::{QuotaCharge, RequestContext};
use crate::forward::request_log::RequestLog;
use crate::forward::{CallerRequest, Codec, Forwarder, Refusal};
use crate::http::RequestMemory;
use crate::units::Tokens;

/// Result of admitting a request.
pub(super) struct Admitted {
    route: Rc<Route>,
    service: Rc<Service>,
    customer: Option<Rc<Customer>>,
    rank: Option<Rank>,
    charge: QuotaCharge,
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Finds the route, customer and service of a request, reads its body and charges the quota.
    pub(super) async fn admit(
        &self,
        configuration: &ServiceConfiguration,
        request: &mut CallerRequest,
        body: Incoming,
        memory: &RequestMemory,
        log: &mut RequestLog<C>,
    ) -> Result<Admitted, Refusal> {
        let route = configuration.find_route(&request.host, request.path());
        let route = Rc::clone(route.ok_or(Refusal::NoRoute)?);
        log.route = route.id.as_str().into();
        let customer = find_customer(configuration, request, route.is_public)?;
        if let Some(customer) = &customer {
            log.organisation = customer.organisation.as_str().into();
        }
        let service = route.select_service(rand::rng().random());
        let service = service.and_then(|id| configuration.service(id));
        let service = Rc::clone(service.ok_or_else(|| self.no_capacity(route.kind))?);
        let limits = configuration.limits();
        if !memory.reserve_forwarding() {
            return Err(Refusal::overloaded("request_memory"));
        }
        request.body = read_body(body, &limits, memory).await?;
        if !memory.reserve_window() {
            return Err(Refusal::overloaded("request_memory"));
        }
        if self.is_closed.get() {
            return Err(Refusal::Leaving);
        }
        self.refuse_crashing(&service.id, request)?;
        let charge = self.charge(customer.as_deref(), request)?;
        let priority = customer.as_ref().and_then(|customer| customer.priority);
        let rank =
            configuration.has_ranks(&service.id).then(|| Rank::new(route.priority, priority));
        Ok(Admitted { route, service, customer, rank, charge })
    }

    pub(super) fn context(
        &self,
        request: CallerRequest,
        admitted: Admitted,
        memory: RequestMemory,
        log: RequestLog<C>,
    ) -> RequestContext<C> {
        let Admitted { route, service, customer, rank, charge } = admitted;
        let wait_ms = request.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let deadline = log.started_at.plus_ms(wait_ms);
        let now = self.parts.clock.now();
        let limits = &self.parts.retry_limits;
        self.with_retry_window(&service.id, |window| window.record_request(now, limits));
        self.parts.rollouts.borrow_mut().record_request(&service.id, now);
        RequestContext {
            request,
            route,
            service,
            customer,
            rank,
            deadline,
            charge,
            memory,
            log,
            sends: SendCount::default(),
            runs: 0,
            excluded: Vec::new(),
            versions: None,
        }
    }

    /// Charges the customer's quota for the request's tokens. Requests without a customer are free.
    fn charge(
        &self,
        customer: Option<&Customer>,
        request: &CallerRequest,
    ) -> Result<QuotaCharge, Refusal> {
        let quotas = Rc::clone(&self.parts.quotas);
        let Some(customer) = customer else {
            return Ok(QuotaCharge {
                quotas,
                organisation: None,
                tokens: Tokens(0),
                charged_at: self.parts.clock.now(),
                has_run: true,
            });
        };
        let tokens = match &request.generation {
            Some(size) => Tokens(size.prompt_tokens + size.max_output_tokens),
            None => customer.plain_tokens,
        };
        let now = self.parts.clock.now();
        let acquired = quotas.borrow_mut().try_acquire(&customer.organisation, tokens, now);
        if let Err(over_quota) = acquired {
            let spread_ms = rand::rng().random_range(0..=MIN_RETRY_AFTER_MS);
            let retry_after_ms = over_quota.retry_after_ms.max(MIN_RETRY_AFTER_MS) + spread_ms;
            return Err(Refusal::OverQuota { retry_after_ms });
        }
        let organisation = Some(customer.organisation.clone());
        Ok(QuotaCharge { quotas, organisation, tokens, charged_at: now, has_run: false })
    }
}

/// Returns the customer of the request's key. Fails for an unknown key unless the route is public
/// or the configuration has no keys.
fn find_customer(
    configuration: &ServiceConfiguration,
    request: &CallerRequest,
    allows_anonymous: bool,
) -> Result<Option<Rc<Customer>>, Refusal> {
    if !configuration.requires_keys() {
        return Ok(None);
    }
    let customer = request.key.as_deref().and_then(|key| configuration.customer_by_key(key));
    match customer {
        Some(customer) => Ok(Some(Rc::clone(customer))),
        None if allows_anonymous => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}
