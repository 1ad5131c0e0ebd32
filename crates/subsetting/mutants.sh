#!/usr/bin/env bash
# Breaks one rule of subsetting at a time, as crates/membership/mutants.sh does. usage: crates/subsetting/mutants.sh [WORDS]
source "$(dirname "$0")/../cluster-testing/mutants.sh"
unit='-p pipitlever-subsetting --lib'
load='-p pipitlever-subsetting --test load'
model='-p pipitlever-subsetting --test share_lease_model'
node='-p pipitlever-subsetting --test node'
subset='-p pipitlever-subsetting --test subset'
fitting='-p pipitlever-subsetting --test proportional_fitting'
turns='-p pipitlever-subsetting --test probe_turn'
processes='-p pipitlever-node --test share'
src=crates/subsetting/src
mutant 'a larger share takes effect at once' $src/share_lease.rs 'if self.entries.len() == 1 {' 'if true {' $model
mutant 'nodes that have left are forgotten' $src/share_lease.rs 'for known in &self.entries {' 'for known in self.entries.iter().rev().take(1) {' $unit
mutant 'the own load counts as it is now' $src/share_lease.rs 'f64::MAX, f64::min' '0.0, f64::max' $model
mutant 'a smaller share takes effect later' $src/share_lease.rs 'while self.entries.back().is_some_and(|last| last.share >= share) {' 'while false {' $unit
mutant 'a joining node takes its share at once' $src/share_lease.rs 'known.levels.get(node).map_or(0.0' 'known.levels.get(node).map_or(f64::MAX' $unit
mutant 'the share of a failed node is given away' $src/node/mod.rs 'is_none_or(|since| since > reserved_since)' 'is_none()' $node
mutant 'an isolated node keeps its share' $src/node/pool.rs 'let share = if is_isolated {' 'let share = if false {' $node
mutant 'nodes have no capacity' $src/subset.rs 'missing[peer] > 0 && capacity[worker] > 0' 'capacity[worker] > 0' $subset
mutant 'workers have no capacity' $src/subset.rs 'missing[peer] > 0 && capacity[worker] > 0' 'missing[peer] > 0' $subset
mutant 'no worker is exchanged' $src/subset.rs 'while *missing > 0 && matrix' 'while false && matrix' $subset
mutant 'zones are ignored' $src/subset.rs 'u64::from(is_same_zone) << SAME_ZONE_BIT' '0' $subset
mutant 'loads are ignored' $src/proportional_fitting.rs 'total_load * weights[i] / total_weight / borne[i]' '1.0' $fitting
mutant 'all nodes have the turn' $src/probe_turn.rs 'Some(name) if name != own_name => ProbeTurn::Other' 'Some(name) if name != own_name && false => ProbeTurn::Other' $turns
mutant 'a failed node proves a recovery' $src/probe_turn.rs '!ejected_now.contains(&node) && is_member(node)' '!ejected_now.contains(&node)' $turns
mutant 'a node reports twice within the propagation time' $src/node/mod.rs 'let may_report = now > earliest;' 'let may_report = true || now > earliest;' $node
mutant 'a report costs nothing' $src/load.rs 'self.tokens -= 1.0;' '' $load
mutant 'a process that was stopped goes on' crates/node/src/net/worker_pools/pool_entry.rs 'if now < self.share.expires_at {' 'if true {' -p pipitlever-node --lib pools
mutant 'no node waits for its turn' crates/node/src/net/subsetting.rs 'node.probe_turn(i, worker) == ProbeTurn::Other' 'false' $processes subsets
exit "$missed"
