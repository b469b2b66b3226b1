//! Sends the orders that bring engines to their configured state.

use std::rc::Rc;
use std::time::Duration;

use smol_str::ToSmolStr;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::engine::{Engine, EngineError, Order, OrderRequest};
use crate::pool::PoolError;
use crate::pool::shard::Shard;
use crate::units::EndpointId;

impl<E: Engine, C: Clock> Shard<E, C> {
    /// Time within which engines report the effect of the previous owner's last order.
    const STATE_VISIBLE_MS: u64 = 2000;

    /// Sends an order with this owner's fencing number.
    pub async fn order(&self, id: &EndpointId, order: Order) -> Result<(), PoolError> {
        let unknown = || PoolError::UnknownEndpoint { endpoint: id.clone() };
        let checks_fencing = {
            let state = self.state.borrow();
            state.endpoints.get(id).ok_or_else(unknown)?.entry.checks_fencing
        };
        if !checks_fencing {
            tokio::time::sleep(self.orders_after.remaining(self.clock.now())).await;
        }
        if !self.is_held() {
            return Err(PoolError::NotHolder);
        }
        let engine = self.engine(id).ok_or_else(unknown)?;
        let request = OrderRequest { fencing: self.fencing, order };
        let limit = Duration::from_millis(Self::COMMAND_TIMEOUT_MS);
        let result = timeout(limit, engine.order(&request)).await;
        if !self.is_held() {
            return Err(PoolError::NotHolder);
        }
        Ok(result.map_err(|_| PoolError::TimedOut)??)
    }

    /// Advances the pool's changes and starts the orders that are due.
    pub(super) fn advance_changes(self: &Rc<Self>) {
        let begin_after = self.orders_after.plus_ms(Self::STATE_VISIBLE_MS);
        let work = self.state.borrow_mut().advance_changes(self.clock.now(), begin_after);
        work.cancels.into_iter().for_each(|(id, attempt)| self.spawn_cancel(id, attempt));
        for (id, order, bytes) in work.orders {
            if self.orders_in_flight.borrow_mut().insert(id.clone()) {
                let shard = self.clone();
                spawn_local(async move {
                    shard.execute_order(&id, order, bytes).await;
                    shard.orders_in_flight.borrow_mut().remove(&id);
                });
            }
        }
    }

    async fn execute_order(&self, id: &EndpointId, order: Order, bytes: u64) {
        if !self.acquire_weight_bytes(id, bytes).await {
            return;
        }
        // The lease or the due order may have changed while waiting for the weight store.
        if !self.is_held() || !self.state.borrow_mut().is_due(id, &order, self.clock.now()) {
            return;
        }
        let kind = kind_of(&order);
        log::info!(target: "pool", "sending order to endpoint {id}: {order:?}");
        let result = self.order(id, order).await;
        let outcome = outcome_of(&result);
        metrics::counter!("pool_orders", "order" => kind, "result" => outcome).increment(1);
        let failure = result.err().map(|error| error.to_smolstr());
        if let Some(failure) = &failure {
            log::warn!(target: "pool", "order to endpoint {id} failed: {failure}");
        }
        if self.is_held() {
            let is_refused = matches!(outcome, "refused" | "fenced");
            self.state.borrow_mut().record_order_result(id, failure, is_refused, self.clock.now());
        }
    }

    async fn acquire_weight_bytes(&self, id: &EndpointId, bytes: u64) -> bool {
        let Some(limiter) = self.load_limiter.clone().filter(|_| bytes > 0) else { return true };
        self.state.borrow_mut().set_waits_for(id, Some("weight store"));
        let is_granted = limiter(bytes).await;
        if is_granted {
            self.state.borrow_mut().set_waits_for(id, None);
        }
        is_granted
    }
}

fn kind_of(order: &Order) -> &'static str {
    match order {
        Order::SetRole { .. } => "role",
        Order::LoadModel { .. } => "model",
        Order::LoadAdapter { .. } => "adapter",
    }
}

fn outcome_of(result: &Result<(), PoolError>) -> &'static str {
    match result {
        Ok(()) => "accepted",
        Err(PoolError::Engine(EngineError::Fenced { .. })) => "fenced",
        Err(PoolError::Engine(EngineError::Refused { .. })) => "refused",
        Err(_) => "unanswered",
    }
}
