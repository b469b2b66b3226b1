//! Role planning under the loads of real deployments: prefill engines at a quarter of their
//! capacity with decode engines short of memory, and the reverse.

use almondroad::balance::{Balancer, Load};
use almondroad::catalog::{Endpoint, EndpointRole};
use almondroad::roles::{PoolSample, PoolUsage, RoleChange, plan_role_changes};
use almondroad::units::EndpointId;

use super::support::{ENGINE, at, balancer, endpoint, service};

const SAMPLE_MS: u64 = 250;

struct Pool {
    balancer: Balancer,
    pool_usage: PoolUsage,
    prefill: usize,
    decode: usize,
}

impl Pool {
    /// Creates engines spread over three zones.
    fn new(prefill: usize, decode: usize) -> Pool {
        let engine = |role: EndpointRole, number: usize| -> Endpoint {
            let zone = ["a", "b", "c"][number % 3];
            endpoint(&name(role, number), zone, Some(role))
        };
        let mut engines: Vec<Endpoint> =
            (0..prefill).map(|number| engine(EndpointRole::Prefill, number)).collect();
        engines.extend((0..decode).map(|number| engine(EndpointRole::Decode, number)));
        for (number, engine) in engines.iter_mut().enumerate() {
            engine.address = ([127, 0, 0, 1], 2_000 + number as u16).into();
        }
        Pool { balancer: balancer(&engines), pool_usage: PoolUsage::default(), prefill, decode }
    }

    /// Simulates load for some seconds with `busy` prefill engines on average and a fraction `fill`
    /// of the decode engines' memory in use. Returns the last plan.
    fn run(&mut self, seconds: u64, busy: f64, fill: f64) -> Vec<RoleChange> {
        let memory_tokens = (ENGINE.kv_capacity.get() as f64 * fill) as u64;
        let generations = Load { requests: 8, prompt_tokens: 0, memory_tokens };
        for number in 0..self.decode {
            let id = EndpointId::new(name(EndpointRole::Decode, number));
            self.balancer.start_request(&id, &generations, at(0));
        }
        let prompt = Load { requests: 1, prompt_tokens: 3_000, memory_tokens: 3_000 };
        let samples = seconds * 1_000 / SAMPLE_MS;
        let mut pending_prompts = 0.0;
        let mut plan = Vec::new();
        for sample in 1..=samples {
            let now = at(sample * SAMPLE_MS);
            pending_prompts += busy;
            let reading = (pending_prompts as usize).min(self.prefill);
            pending_prompts -= reading as f64;
            let ids = (0..reading).map(|number| name(EndpointRole::Prefill, number));
            let ids: Vec<EndpointId> = ids.map(EndpointId::new).collect();
            ids.iter().for_each(|id| self.balancer.start_request(id, &prompt, now));
            let service = service();
            let engines = || self.balancer.in_service(&service, now);
            let sample = PoolSample::new(engines(), ENGINE.kv_capacity, now);
            self.pool_usage.add_sample(&sample, now);
            plan = plan_role_changes(engines(), &sample, &self.pool_usage, now);
            ids.iter().for_each(|id| self.balancer.release_load(id, &prompt));
        }
        plan
    }
}

fn name(role: EndpointRole, number: usize) -> String {
    format!("{role:?}-{number}")
}

fn count(plan: &[RoleChange], role: EndpointRole) -> usize {
    plan.iter().filter(|change| change.role == role).count()
}

/// Guards against idle prefill engines while generations wait for memory: in nmha-router prompts
/// keep 1.6 of 6 prefill engines busy, and every burst fills all 12 decode engines.
#[test]
fn spare_prefill_engines_become_decode_engines() {
    let plan = Pool::new(6, 12).run(5, 1.6, 0.5);
    assert_eq!(count(&plan, EndpointRole::Decode), 3, "{plan:?}");
    assert_eq!(plan.len(), 3);
    let mut zones: Vec<&str> = plan.iter().map(|change| change.endpoint.zone.as_str()).collect();
    zones.sort_unstable();
    assert_eq!(zones, ["a", "b", "c"], "taken from the zones with the most prefill engines");
}

/// Guards against oscillating roles: a plan leaves headroom on the prefill engines, so that the
/// next round plans no change in either direction.
#[test]
fn a_balanced_pool_is_not_changed() {
    assert_eq!(Pool::new(3, 15).run(8, 1.6, 0.5).len(), 0);
    assert_eq!(Pool::new(3, 15).run(8, 2.4, 0.9).len(), 0);
    assert_eq!(Pool::new(2, 7).run(8, 1.1, 0.5).len(), 0);
}

/// Guards against removing the last prefill engines of a service at low load.
#[test]
fn a_pool_with_low_load_is_not_changed() {
    assert_eq!(Pool::new(6, 12).run(10, 0.1, 0.1).len(), 0);
    assert_eq!(Pool::new(2, 10).run(10, 0.1, 0.9).len(), 0);
}

/// Guards against orders based on the first batch of requests alone.
#[test]
fn nothing_is_planned_before_enough_samples() {
    assert_eq!(Pool::new(6, 12).run(2, 0.5, 0.6).len(), 0);
}

/// Guards against prompts that wait forever after the loss of prefill engines, and against removing
/// decode engines while generations wait for memory.
#[test]
fn lost_prefill_engines_are_replaced_if_memory_allows() {
    let plan = Pool::new(1, 8).run(5, 1.0, 0.3);
    assert_eq!((count(&plan, EndpointRole::Prefill), plan.len()), (1, 1));
    let plan = Pool::new(0, 8).run(5, 0.0, 0.3);
    assert_eq!((count(&plan, EndpointRole::Prefill), plan.len()), (1, 1));
    assert_eq!(Pool::new(1, 8).run(5, 1.0, 0.8).len(), 0);
}

/// Guards against averages that include the time before the first request or before a role change.
#[test]
fn averages_start_with_the_first_request() {
    let mut pool_usage = PoolUsage::default();
    let busy = PoolSample { busy_prefill_engines: 2, ..PoolSample::default() };
    (0..400)
        .for_each(|sample| pool_usage.add_sample(&PoolSample::default(), at(sample * SAMPLE_MS)));
    assert!(!pool_usage.has_enough_samples(at(100_000)));
    (400..420).for_each(|sample| pool_usage.add_sample(&busy, at(sample * SAMPLE_MS)));
    assert!(pool_usage.has_enough_samples(at(105_000)));
    assert!((pool_usage.busy_prefill_engines() - 2.0).abs() < 1e-9);
    pool_usage.reset();
    assert!(!pool_usage.has_enough_samples(at(105_000)));
}
