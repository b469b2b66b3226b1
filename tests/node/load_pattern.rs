//! A burst of generations that need twice the engines' memory, placed by several instances that
//! exchange their loads every 150 ms, on engines that track their own memory.

use almondroad::balance::{Balancer, Load};
use almondroad::catalog::EndpointRole;
use almondroad::clock::Instant;
use almondroad::units::EndpointId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::support::{ENGINE, at, balancer, decode, endpoint, service};

const INSTANCES: usize = 8;
const ENGINES: usize = 11;
const SEED: u64 = 20_261_204;
/// Requests per second, each of which holds its memory for `RUN_MS`.
const ARRIVALS_PER_S: u64 = 60;
const RUN_MS: u64 = 3_000;
const SIMULATED_MS: u64 = 12_000;

struct Running {
    instance: usize,
    engine: EndpointId,
    load: Load,
    ends_at: Instant,
}

#[derive(Default)]
struct Outcome {
    started: u64,
    /// Prompts that were prefilled before the engine rejected the generation.
    wasted_prefills: u64,
}

/// Simulates the burst. With `is_reserved`, memory is reserved at the engine before the prefill.
fn simulate(is_reserved: bool) -> Outcome {
    let engines: Vec<_> =
        (0..ENGINES).map(|n| endpoint(&format!("d{n}"), "a", Some(EndpointRole::Decode))).collect();
    let mut instances: Vec<Balancer> = (0..INSTANCES).map(|_| balancer(&engines)).collect();
    let mut running: Vec<Running> = Vec::new();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut outcome = Outcome::default();
    for ms in 0..SIMULATED_MS {
        let now = at(ms);
        running.retain(|run| {
            let is_over = run.ends_at <= now;
            if is_over {
                instances[run.instance].release_load(&run.engine, &run.load);
            }
            !is_over
        });
        if ms % 150 == 0 {
            exchange_loads(&mut instances, now);
        }
        if rng.random_range(0..1_000) >= ARRIVALS_PER_S {
            continue;
        }
        let instance = rng.random_range(0..INSTANCES);
        let tokens = rng.random_range(1_500..6_500);
        let service = service();
        let Ok(placement) = instances[instance].choose_decode(&decode(&service, tokens), now)
        else {
            continue;
        };
        let engine = placement.endpoint.id.clone();
        let used: u64 = running
            .iter()
            .filter(|run| run.engine == engine)
            .map(|run| run.load.memory_tokens)
            .sum();
        if used + tokens > ENGINE.kv_capacity.get() {
            outcome.wasted_prefills += u64::from(!is_reserved);
            instances[instance].endpoint_mut(&engine).unwrap().record_full(now);
            continue;
        }
        let load = Load { requests: 1, prompt_tokens: 0, memory_tokens: tokens };
        instances[instance].start_request(&engine, &load, now);
        running.push(Running { instance, engine, load, ends_at: now.plus_ms(RUN_MS) });
        outcome.started += 1;
    }
    outcome
}

fn exchange_loads(instances: &mut [Balancer], now: Instant) {
    let reports: Vec<_> = instances.iter().map(|instance| instance.local_loads(now)).collect();
    for (to, instance) in instances.iter_mut().enumerate() {
        for (from, loads) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            instance.set_peer_loads([10, 0, 0, from as u8].into(), loads.clone(), now);
        }
    }
}

/// Guards against wasted prefills, the largest cost in nmha-router scale-1: instances with the same
/// stale view count on the same free memory, so that only a reservation at the engine prevents
/// conflicts.
#[test]
fn reservations_at_the_engine_prevent_wasted_prefills_in_a_burst() {
    let without_reservation = simulate(false);
    let with_reservation = simulate(true);
    assert!(
        without_reservation.wasted_prefills > 0,
        "the load pattern no longer reproduces the fault"
    );
    assert_eq!(with_reservation.wasted_prefills, 0);
    let capacity = ENGINES as u64 * ENGINE.kv_capacity.get() / 4_000 * SIMULATED_MS / RUN_MS;
    let arrivals = ARRIVALS_PER_S * SIMULATED_MS / 1_000;
    let min_started = capacity.min(arrivals) * 8 / 10;
    assert!(
        with_reservation.started > min_started,
        "{} of {arrivals} started, seed {SEED}",
        with_reservation.started
    );
}
