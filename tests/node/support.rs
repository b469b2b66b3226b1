//! Fixtures shared by the tests of this folder.

use std::rc::Rc;

use almondroad::balance::{ANY_VERSION, Balancer, DecodeQuery, PrefillQuery};
use almondroad::catalog::{Endpoint, EndpointChange, EndpointRole, EngineProperties};
use almondroad::clock::Instant;
use almondroad::units::{EndpointId, ServiceId, Tokens, ZoneId};
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const ENGINE: EngineProperties = EngineProperties {
    slots: 128,
    kv_capacity: Tokens(34_000),
    tokens_per_event: 13,
    handle_ttl_ms: 500,
    role_change_ms: 6_000,
};

pub fn at(ms: u64) -> Instant {
    Instant::from_ms(1_000_000 + ms)
}

pub fn service() -> ServiceId {
    ServiceId::new("reports")
}

pub fn endpoint(id: &str, zone: &str, role: Option<EndpointRole>) -> Endpoint {
    let port = 1_000 + id.bytes().map(u16::from).sum::<u16>();
    Endpoint {
        id: EndpointId::new(id),
        service: service(),
        address: ([127, 0, 0, 1], port).into(),
        zone: ZoneId::new(zone),
        version: "v1".into(),
        slots: 6,
        is_leaving: false,
        role,
        cold_until: Instant::default(),
        started_unix_ms: Some(1),
    }
}

pub fn balancer(endpoints: &[Endpoint]) -> Balancer {
    seeded_balancer(endpoints, 0)
}

pub fn seeded_balancer(endpoints: &[Endpoint], seed: u64) -> Balancer {
    let mut balancer = Balancer::with_rng(ZoneId::new("a"), StdRng::seed_from_u64(seed));
    for endpoint in endpoints {
        balancer.apply(&EndpointChange::Set(Rc::new(endpoint.clone())));
    }
    balancer
}

pub fn prefill<'a>(service: &'a ServiceId, prompt_tokens: u64) -> PrefillQuery<'a> {
    PrefillQuery { service, prompt_tokens, excluded: &[], versions: &ANY_VERSION }
}

pub fn decode<'a>(service: &'a ServiceId, memory_tokens: u64) -> DecodeQuery<'a> {
    DecodeQuery {
        service,
        memory_tokens,
        prompt_tokens: 0,
        fill_fraction: 1.0,
        preferred_zone: None,
        engine: ENGINE,
        excluded: &[],
        versions: &ANY_VERSION,
    }
}
