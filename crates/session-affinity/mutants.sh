#!/usr/bin/env bash
# Mutation tests of session affinity, as in crates/membership/mutants.sh. usage: crates/session-affinity/mutants.sh [TEXT]
source "$(dirname "$0")/../cluster-testing/mutants.sh"
unit='-p pipitlever-session-affinity --lib'
placement='-p pipitlever-session-affinity --test placement'
lookup='-p pipitlever-session-affinity --test lookup'
cluster='-p pipitlever-cluster-testing --test sessions'
processes='-p pipitlever-node --test sessions'
src=crates/session-affinity/src
mutant 'the newer placement takes precedence' $src/placement.rs 'key(self) < key(other)' 'key(self) > key(other)' $placement
mutant 'a move takes precedence over nothing' $src/placement.rs 'u8::MAX - placement.moves,' '0,' $placement
mutant 'a joining node places sessions' $src/directory/resolution.rs 'if !self.is_ready() {' 'if false {' $unit
mutant 'a joining node is a replica at once' $src/directory/state_transfer.rs 'if self.has_view_converged && has_all || is_timed_out {' 'if true {' $unit
mutant 'placements are never verified with the replicas' $src/directory/resolution.rs 'if known.is_verified {' 'if true {' $cluster
mutant 'an update is transmitted once' $src/unacknowledged.rs 'const MAX_TRANSMISSIONS: u32 = 7' 'const MAX_TRANSMISSIONS: u32 = 1' $cluster
mutant 'a lookup is transmitted once' $src/lookup.rs 'pub const RETRY_INTERVAL: Micros = 8_000' 'pub const RETRY_INTERVAL: Micros = 1 << 40' $cluster
mutant 'the first reply completes a lookup' $src/lookup.rs 'if (is_replica && placement.is_some())' 'if placement.is_some()' $lookup
mutant 'new replicas receive nothing' $src/directory/chunked_scan.rs '.filter(|name| !previous_replicas.contains(name)' '.filter(|name| false && !previous_replicas.contains(name)' $cluster
mutant 'outdated placements are not corrected' $src/directory/inbound.rs 'if let MergeOutcome::Outdated(current) = outcome {' 'if let (MergeOutcome::Outdated(current), false) = (outcome, true) {' $unit
mutant 'sessions move off an ejected worker at once' $src/directory/pools.rs 'has_elapsed(self.ejected.get(&worker), self.pool.failure_grace)' 'has_elapsed(self.ejected.get(&worker), 0)' $cluster
mutant 'a removed worker retains its sessions' $src/directory/pools.rs 'if !is_retaining || has_elapsed(self.draining.get(&worker), self.pool.drain_grace) {' 'if false {' $cluster
mutant 'a worker of a later version counts as removed' $src/directory/resolution.rs 'Some(MoveCause::Removed) if placement.is_newer_than(self.version)' 'Some(MoveCause::Removed) if false' $unit
mutant 'a renamed pool loses its sessions' $src/directory/pools.rs 'pool.previous_names.first().unwrap_or(&pool.name)' '&pool.name' $processes
exit "$missed"
