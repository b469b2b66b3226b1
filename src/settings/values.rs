//! Deserializers that check the format and range of settings. Errors describe the expected value.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use smol_str::SmolStr;

pub(super) fn body_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let range = IntegerRange { min: 1, max: 64 << 20, unit: "bytes" };
    Ok(deserializer.deserialize_u64(range)? as usize)
}

/// Requests may not last longer, because refunds of older requests have no value.
pub(super) fn request_timeout<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    d.deserialize_u64(IntegerRange { min: 1, max: 600_000, unit: "milliseconds" })
}

/// A request cannot wait longer than the maximum request timeout.
pub(super) fn queue_wait<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    d.deserialize_u64(IntegerRange { min: 1, max: 600_000, unit: "milliseconds" })
}

/// The range is limited because a planned shutdown waits until cached responses have expired.
pub(super) fn addresses_ttl<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    d.deserialize_u64(IntegerRange { min: 100, max: 60_000, unit: "milliseconds" })
}

pub(super) fn request_count<'de, D: Deserializer<'de>>(d: D) -> Result<u32, D::Error> {
    Ok(d.deserialize_u64(IntegerRange { min: 1, max: 100_000, unit: "requests" })? as u32)
}

pub(super) fn listen_address<'de, D: Deserializer<'de>>(d: D) -> Result<SocketAddr, D::Error> {
    let text = SmolStr::deserialize(d)?;
    let expected = || D::Error::custom(format!("expected IP address:PORT, found \"{text}\""));
    text.parse().map_err(|_| expected())
}

pub(super) fn optional_address<'de, D: Deserializer<'de>>(
    d: D,
) -> Result<Option<SocketAddr>, D::Error> {
    listen_address(d).map(Some)
}

pub(super) fn host_and_port<'de, D: Deserializer<'de>>(d: D) -> Result<SmolStr, D::Error> {
    let text = SmolStr::deserialize(d)?;
    let parts = text.rsplit_once(':');
    let is_port = |port: &str| port.parse::<u16>().is_ok_and(|port| port > 0);
    if !parts.is_some_and(|(host, port)| !host.is_empty() && !host.contains('/') && is_port(port)) {
        return Err(D::Error::custom(format!("expected HOST:PORT, found \"{text}\"")));
    }
    Ok(text)
}

/// Visitor for an integer in a range. Its errors give the range and the unit.
struct IntegerRange {
    min: u64,
    max: u64,
    unit: &'static str,
}

impl Visitor<'_> for IntegerRange {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let IntegerRange { min, max, unit } = self;
        write!(f, "a whole number of {unit}, {min} to {max}")
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<u64, E> {
        if value < self.min || value > self.max {
            return Err(E::invalid_value(Unexpected::Unsigned(value), &self));
        }
        Ok(value)
    }
}
