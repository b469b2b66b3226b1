use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::StatusCode;
use smol_str::SmolStr;

use super::service::EngineService;
use super::settings::EngineRole;
use super::stats::LoadRecord;
use crate::engine::{EngineState, Order, OrderRequest};
use crate::standin::answer::{Answer, Refusal, json};
use crate::standin::launch::spawn_until;

impl EngineService {
    /// What the engine has now.
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

    pub(super) fn order(self: Rc<Self>, request: OrderRequest) -> Answer {
        self.accept_order(&request)?;
        match &request.order {
            Order::SetRole { role } => {
                let malformed = Refusal::new(StatusCode::BAD_REQUEST, "unknown_role");
                let role = EngineRole::of_name(role).ok_or(malformed)?;
                self.set_role(role);
            }
            load => self.begin_load(load)?,
        }
        self.state.borrow_mut().stats.orders.push(request);
        json(&())
    }

    /// Refuses an order whose fencing number is older than the newest one seen.
    fn accept_order(&self, request: &OrderRequest) -> Result<(), Refusal> {
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

    /// A repeated order changes nothing.
    fn set_role(&self, role: EngineRole) {
        let mut state = self.state.borrow_mut();
        if state.stats.role != role {
            state.stats.role = role;
            state.go_cold(self.settings.cold_ms);
        }
    }

    /// Loads one at a time. Repeating the order of a load that is done or runs changes nothing.
    fn begin_load(self: &Rc<Self>, order: &Order) -> Result<(), Refusal> {
        let mut state = self.state.borrow_mut();
        if state.stats.has(order) || state.stats.loading.as_ref() == Some(order) {
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
            service.end_load(&order);
        });
        Ok(())
    }

    /// Serves what was loaded, cold.
    fn end_load(&self, order: &Order) {
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
        state.go_cold(self.settings.cold_ms);
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}
