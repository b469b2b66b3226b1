use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use smol_str::SmolStr;

use super::service::EngineService;
use super::settings::EngineRole;
use crate::engine::{Order, OrderRequest};
use crate::standin::answer::{Answer, Refusal, json};
use crate::standin::launch::spawn_until;

impl EngineService {
    pub(super) fn order(self: Rc<Self>, request: OrderRequest) -> Answer {
        self.accept_order(&request)?;
        match &request.order {
            Order::SetRole { role } => {
                let malformed = Refusal::new(StatusCode::BAD_REQUEST, "unknown_role");
                let role = EngineRole::of_name(role).ok_or(malformed)?;
                self.state.borrow_mut().stats.role = role;
            }
            Order::LoadModel { model, .. } => self.load_model(model.as_str().into()),
            Order::LoadAdapter { .. } => {}
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

    /// Serves the model after the time of its load, cold.
    fn load_model(self: &Rc<Self>, model: SmolStr) {
        let service = Rc::clone(self);
        spawn_until(&self.stop, async move {
            tokio::time::sleep(Duration::from_millis(service.settings.load_model_ms)).await;
            let mut state = service.state.borrow_mut();
            state.stats.models.retain(|other| *other != model);
            state.stats.models.push(model);
            state.go_cold(service.settings.cold_ms);
        });
    }
}
