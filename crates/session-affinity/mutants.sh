#!/usr/bin/env bash
# Breaks one rule of sessions at a time, as crates/membership/mutants.sh does. usage: crates/session-affinity/mutants.sh [WORDS]
source "$(dirname "$0")/../cluster-testing/mutants.sh"
unit='-p pipitlever-session-affinity --lib'
fleet='-p pipitlever-cluster-testing --test sessions'
processes='-p pipitlever-node --test sessions'
src=crates/session-affinity/src
mutant 'the newer placement holds' $src/placement.rs 'key(self) < key(other)' 'key(self) > key(other)' $unit
mutant 'a move holds over nothing' $src/placement.rs 'u8::MAX - p.moves, u16' '0, u16' $unit
mutant 'a newcomer places sessions' $src/directory/mod.rs 'if !self.fill.ready() {' 'if false {' $unit
mutant 'a newcomer is a home at once' $src/directory/state_transfer.rs 'if fill.settled && all || long {' 'if true {' $unit
mutant 'what one holds is never held against its homes' $src/directory/mod.rs 'if fresh {' 'if true {' $fleet
mutant 'a home is told once' $src/unacknowledged.rs 'const TIMES: u32 = 7' 'const TIMES: u32 = 1' $fleet
mutant 'a home is asked once' $src/lookup.rs 'pub const AGAIN: Micros = 8_000' 'pub const AGAIN: Micros = 1 << 40' $fleet
mutant 'whoever answers first is believed' $src/lookup.rs 'let home = placement.is_some() && question.homes.iter().any(|h| h == from);' 'let home = placement.is_some();' $unit
mutant 'new homes are told nothing' $src/directory/chunked_scan.rs 'have.filter(|h| !had.contains(h)' 'have.filter(|h| false && !had.contains(h)' $fleet
mutant 'the older one is not told of' $src/directory/messages.rs 'if let Joined::Older(ours) = joined {' 'if let (Joined::Older(ours), false) = (joined, true) {' $unit
mutant 'a failure moves at once' $src/directory/pools.rs 'now - since >= self.pool.patience' 'now - since >= 0' $fleet
mutant 'a removed worker keeps its sessions' $src/directory/pools.rs '!keeps || lingered' 'false' $fleet
mutant 'a worker of a later version is gone' $src/directory/mod.rs 'Some(Cause::Removed) if placement.after(self.version)' 'Some(Cause::Removed) if false' $unit
mutant 'a renamed pool is another one' $src/directory/pools.rs 'pool.was.first().unwrap_or(&pool.name)' '&pool.name' $processes nobody
exit "$missed"
