//! Orders to an engine to change its role or to load a model or an adapter.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::StatusCode;
use smol_str::SmolStr;

use super::service::EngineService;
use super::settings::EngineRole;
use super::stats::LoadRecord;
use crate::engine::{EngineState, Order, OrderRequest};
use crate::standin::launch::spawn_until;
use crate::standin::response::{HandlerResult, Refusal, json_response};

impl EngineService {
    /// Current roles, models, adapters and running load of the engine.
    pub(super) fn engine_state(&self) -> EngineState {
        let state = self.state.borrow();
        let models = state.stats.models.iter().map(|name| {
            let revision = state.stats.revisions.get(name).cloned().unwrap_or_default();
            (name.as_str().parse(), revision)
        });
        let models = models.filter_map(|(name, revision)| Some((name.ok()?, revision))).collect();
        EngineState {
            roles: state.role().roles(),
            models: (!self.settings.models.is_empty()).then_some(models),
            adapters: state.stats.adapters.clone(),
            loading: state.stats.loading.clone(),
        }
    }

    pub(super) fn order(self: Rc<Self>, request: OrderRequest) -> HandlerResult {
        self.check_fencing(&request)?;
        match &request.order {
            Order::SetRole { role } => {
                let malformed = Refusal::new(StatusCode::BAD_REQUEST, "unknown_role");
                let role = EngineRole::from_name(role).ok_or(malformed)?;
                self.set_role(role);
            }
            load => self.start_load(load)?,
        }
        self.state.borrow_mut().stats.orders.push(request);
        json_response(&())
    }

    /// Rejects an order whose fencing token is lower than the highest one seen.
    fn check_fencing(&self, request: &OrderRequest) -> Result<(), Refusal> {
        let mut state = self.state.borrow_mut();
        let newest = state.stats.newest_fencing;
        if self.settings.checks_fencing && request.fencing < newest {
            state.stats.orders_fenced += 1;
            let refusal = Refusal::new(StatusCode::CONFLICT, "fenced");
            return Err(Refusal { newest_fencing: newest, ..refusal });
        }
        state.stats.newest_fencing = newest.max(request.fencing);
        Ok(())
    }

    /// Changes the role; has no effect if the engine already has it.
    fn set_role(&self, role: EngineRole) {
        let mut state = self.state.borrow_mut();
        if state.stats.role != role {
            state.stats.role = role;
            state.add_cold_period(self.settings.cold_ms);
        }
    }

    /// Starts a load; only one runs at a time. Has no effect if the load is running or complete.
    fn start_load(self: &Rc<Self>, order: &Order) -> Result<(), Refusal> {
        let mut state = self.state.borrow_mut();
        if state.stats.is_loaded(order) || state.stats.loading.as_ref() == Some(order) {
            return Ok(());
        }
        if state.stats.loading.is_some() {
            return Err(Refusal::new(StatusCode::CONFLICT, "loading"));
        }
        state.stats.loading = Some(order.clone());
        let started_unix_ms = unix_ms();
        state.stats.loads.push(LoadRecord { order: order.clone(), started_unix_ms });
        drop(state);
        let (service, order) = (Rc::clone(self), order.clone());
        spawn_until(&self.stop, async move {
            tokio::time::sleep(Duration::from_millis(service.settings.load_model_ms)).await;
            service.finish_load(&order);
        });
        Ok(())
    }

    /// Adds what was loaded to the engine, which is cold afterwards.
    fn finish_load(&self, order: &Order) {
        let mut state = self.state.borrow_mut();
        match order {
            Order::SetRole { .. } => {}
            Order::LoadModel { model, revision } => {
                let name = SmolStr::from(model.as_str());
                state.stats.models.retain(|other| *other != name);
                state.stats.models.push(name.clone());
                state.stats.revisions.insert(name, revision.clone());
            }
            Order::LoadAdapter { adapter, revision } => {
                state.stats.adapters.insert(adapter.clone(), revision.clone());
            }
        }
        state.stats.loading = None;
        state.add_cold_period(self.settings.cold_ms);
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}
