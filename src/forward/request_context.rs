use std::cell::RefCell;
use std::rc::Rc;

use crate::admission::Rank;
use crate::balance::{ANY_VERSION, Balancer, Load, MemoryEstimate, SendCount, VersionFilter};
use crate::catalog::{Customer, Route, Service};
use crate::clock::{Clock, Instant};
use crate::forward::CallerRequest;
use crate::forward::request_log::RequestLog;
use crate::http::RequestMemory;
use crate::quota::Quotas;
use crate::rollout::VersionChoice;
use crate::units::{EndpointId, OrganisationId, Tokens};

/// Queue penalty for each token that a request is expected to generate, because it occupies its
/// memory for as long as it generates.
const QUEUE_PENALTY_MS_PER_TOKEN: f64 = 0.3;

/// State of an admitted request until it ends.
pub struct RequestContext<C: Clock> {
    pub request: CallerRequest,
    pub route: Rc<Route>,
    pub service: Rc<Service>,
    pub customer: Option<Rc<Customer>>,
    /// `None` if all requests have the same priority.
    pub rank: Option<Rank>,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    pub charge: QuotaCharge,
    /// Memory that is held for the request and its response.
    pub memory: RequestMemory,
    pub log: RequestLog<C>,
    /// Sends that count against the service's retry limit.
    pub sends: SendCount,
    /// Number of endpoints that ran or may have run the request.
    pub runs: u32,
    /// Endpoints that the request is not sent to again.
    pub excluded: Vec<EndpointId>,
    /// Versions that the next attempt may go to; `None` before the first one is prepared.
    pub versions: Option<VersionChoice>,
}

impl<C: Clock> RequestContext<C> {
    pub fn organisation(&self) -> Option<&OrganisationId> {
        self.customer.as_ref().map(|customer| &customer.organisation)
    }

    /// Returns the organisation that shares the room with others of its rank, and its rate; `None`
    /// if all requests have the same priority.
    pub fn share(&self) -> Option<(&OrganisationId, Option<u64>)> {
        self.rank?;
        let customer = self.customer.as_ref()?;
        Some((&customer.organisation, customer.rate.map(|rate| rate.get())))
    }

    /// Returns whether the request may be sent to another endpoint if the current one fails.
    pub fn may_run_elsewhere(&self) -> bool {
        self.route.kind.is_retryable() && self.runs + 1 < self.route.max_endpoints
    }

    /// Returns whether the request may be sent again after it ran or may have run.
    pub fn may_run_again(&self) -> bool {
        self.route.kind.is_retryable() && self.runs < self.route.max_endpoints
    }

    /// Versions that the next attempt may go to.
    pub fn version_filter(&self) -> &VersionFilter {
        self.versions.as_ref().map_or(&ANY_VERSION, |choice| &choice.filter)
    }

    /// Tokens of the prompt; 0 unless the request is a generation.
    pub fn prompt_tokens(&self) -> u64 {
        self.request.generation.as_ref().map_or(0, |size| size.prompt_tokens)
    }

    /// Returns the queue penalty that orders a request behind smaller ones.
    pub fn queue_penalty_ms(&self) -> u64 {
        let size = self.request.generation.as_ref();
        let tokens = size.and_then(|size| size.expected_output_tokens).unwrap_or(0);
        (tokens as f64 * QUEUE_PENALTY_MS_PER_TOKEN) as u64
    }

    /// Returns the KV cache memory that the generation needs at a decode engine.
    pub fn memory_estimate(&self) -> MemoryEstimate {
        let capacity = self.service.engine.map_or(u64::MAX, |engine| engine.kv_capacity.get());
        self.request.generation.as_ref().map_or(MemoryEstimate::new(0, None, 0, capacity), |size| {
            let expected_output = size.expected_output_tokens;
            MemoryEstimate::new(
                size.prompt_tokens,
                expected_output,
                size.max_output_tokens,
                capacity,
            )
        })
    }
}

/// Quota tokens charged for a request. Dropping it refunds them unless the request may have run.
pub struct QuotaCharge {
    pub quotas: Rc<RefCell<Quotas>>,
    pub organisation: Option<OrganisationId>,
    pub tokens: Tokens,
    pub charged_at: Instant,
    pub has_run: bool,
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if let (false, Some(organisation)) = (self.has_run, &self.organisation) {
            self.quotas.borrow_mut().refund(organisation, self.tokens, self.charged_at);
        }
    }
}

/// Accounts for a request's load at an endpoint until it is dropped.
pub struct LoadGuard {
    balancer: Rc<RefCell<Balancer>>,
    pub endpoint: EndpointId,
    load: Load,
}

impl LoadGuard {
    pub fn begin(
        balancer: &Rc<RefCell<Balancer>>,
        endpoint: &EndpointId,
        load: Load,
        now: Instant,
    ) -> LoadGuard {
        balancer.borrow_mut().start_request(endpoint, &load, now);
        LoadGuard { balancer: Rc::clone(balancer), endpoint: endpoint.clone(), load }
    }

    /// Raises the accounted memory to `memory_tokens` if the request uses more than was reserved.
    pub fn grow_to(&mut self, memory_tokens: u64) {
        let more = memory_tokens.saturating_sub(self.load.memory_tokens);
        if more > 0 {
            let grown = Load { memory_tokens: more, ..Load::default() };
            self.balancer.borrow_mut().increase_load(&self.endpoint, &grown);
            self.load.memory_tokens += more;
        }
    }

    /// Removes the prompt tokens from the load after the endpoint has completed the prefill.
    pub fn remove_prompt_load(&mut self) {
        let prompt_load = Load { prompt_tokens: self.load.prompt_tokens, ..Load::default() };
        self.balancer.borrow_mut().release_load(&self.endpoint, &prompt_load);
        self.load.prompt_tokens = 0;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.balancer.borrow_mut().release_load(&self.endpoint, &self.load);
    }
}
