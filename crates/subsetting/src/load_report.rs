//! The load report that a node attaches to its record in the membership view: its load in each
//! shared pool, and the workers that it has ejected.
//!
//! The encoding is bounded, and decoding rejects malformed bytes from the network.

use crate::hash;
use crate::load::MAX_LEVEL;

/// The maximum length of an encoded report, in bytes.
pub const MAX_REPORT_BYTES: usize = 55;
/// The maximum number of pools in a report.
pub const MAX_POOLS: usize = 8;
/// The maximum number of ejected workers in a report. With more, nodes do not
/// coordinate their probes.
pub const MAX_EJECTED: usize = 14;

/// The length of an encoded pool load, in bytes.
const POOL_LOAD_BYTES: usize = 3;
/// The length of an encoded worker id, in bytes.
const WORKER_ID_BYTES: usize = 2;

/// Returns the short id of a pool, or of a pool and a worker. Collisions only make loads and probe
/// turns less even.
pub fn short_id(names: &[&str]) -> u16 {
    hash(names) as u16
}

/// The load of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PoolLoad {
    /// The short id of the pool.
    pub pool: u16,
    /// The load as a level of [`crate::load`].
    pub level: u8,
}

/// A load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoadReport {
    /// The load of each shared pool.
    pub loads: Vec<PoolLoad>,
    /// The short ids of the ejected workers.
    pub ejected: Vec<u16>,
}

impl LoadReport {
    /// Encodes the report. Pools and workers beyond the maxima are omitted.
    pub fn encode(&self) -> Vec<u8> {
        let loads = &self.loads[..self.loads.len().min(MAX_POOLS)];
        let ejected = &self.ejected[..self.ejected.len().min(MAX_EJECTED)];
        let mut bytes = vec![loads.len() as u8];
        for load in loads {
            bytes.extend(load.pool.to_le_bytes());
            bytes.push(load.level);
        }
        bytes.push(ejected.len() as u8);
        for worker in ejected {
            bytes.extend(worker.to_le_bytes());
        }
        bytes
    }

    /// Decodes a report. Returns `None` for malformed bytes, and for the empty payload of a node
    /// that shares no pool.
    pub fn decode(bytes: &[u8]) -> Option<LoadReport> {
        let (&pool_count, rest) = bytes.split_first()?;
        let (loads, rest) = rest.split_at_checked(usize::from(pool_count) * POOL_LOAD_BYTES)?;
        let (&ejected_count, ejected) = rest.split_first()?;
        let is_valid = usize::from(pool_count) <= MAX_POOLS
            && usize::from(ejected_count) <= MAX_EJECTED
            && ejected.len() == usize::from(ejected_count) * WORKER_ID_BYTES;
        if !is_valid {
            return None;
        }
        let decode_id = |bytes: &[u8]| u16::from_le_bytes([bytes[0], bytes[1]]);
        let decode_load = |bytes: &[u8]| PoolLoad {
            pool: decode_id(bytes),
            level: bytes[2].min(MAX_LEVEL),
        };
        Some(LoadReport {
            loads: loads
                .chunks_exact(POOL_LOAD_BYTES)
                .map(decode_load)
                .collect(),
            ejected: ejected
                .chunks_exact(WORKER_ID_BYTES)
                .map(decode_id)
                .collect(),
        })
    }

    /// Returns the load level of a pool, 0 if it is not in the report.
    pub fn level(&self, pool: u16) -> u8 {
        self.loads
            .iter()
            .find(|load| load.pool == pool)
            .map_or(0, |load| load.level)
    }
}
