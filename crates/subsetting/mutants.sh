#!/usr/bin/env bash
# Breaks one rule of dividing pools at a time, as crates/membership/mutants.sh does. usage: crates/subsetting/mutants.sh [WORDS]
source "$(dirname "$0")/../cluster-testing/mutants.sh"
unit='-p pipitlever-subsetting --lib'
model='-p pipitlever-subsetting --test model'
processes='-p pipitlever-node --test share'
src=crates/subsetting/src
mutant 'more holds at once' $src/grant.rs 'if self.held.len() == 1 {' 'if true {' $model
mutant 'who was there before is forgotten' $src/grant.rs 'for (levels, _) in &self.held {' 'for (levels, _) in self.held.iter().rev().take(1) {' $unit
mutant 'its own load counts as it is now' $src/grant.rs 'f64::MAX, f64::min' '0.0, f64::max' $model
mutant 'less holds later' $src/grant.rs 'while self.held.back().is_some_and(|(more, _)| *more >= part) {' 'while false {' $unit
mutant 'a newcomer takes its part at once' $src/grant.rs 'levels.get(me).map_or(0.0' 'levels.get(me).map_or(f64::MAX' $unit
mutant 'what a dead node had is given away' $src/node.rs 'm.down.is_none_or(|since| since > gone)' 'm.down.is_none()' $unit
mutant 'one that is cut off keeps all' $src/node.rs '() if alone => 1,' '() if false => 1,' $unit
mutant 'nodes have no room' $src/subset.rs 'room[j] > 0 && places[i] > 0' 'places[i] > 0' $unit
mutant 'workers have no room' $src/subset.rs 'room[j] > 0 && places[i] > 0' 'room[j] > 0' $unit
mutant 'nobody exchanges' $src/subset.rs 'while *room > 0 && uses' 'while false && uses' $unit
mutant 'zones are alike' $src/subset.rs 'u64::from(near) << 63' '0' $unit
mutant 'loads are alike' $src/flow.rs 'load * weights[i] / sum / borne[i]' '1.0' $unit
mutant 'all have the turn' $src/turn.rs 'Some(name) if name != me => Turn::Behind' 'Some(name) if name != me && false => Turn::Behind' $unit
mutant 'who died found it well' $src/turn.rs '!now.contains(&name) && here(name)' '!now.contains(&name)' $unit
mutant 'two things are told at once' $src/node.rs 'let may = now > self.told_at' 'let may = true || now > self.told_at' $unit
mutant 'a word costs nothing' $src/demand.rs 'self.tokens -= 1.0;' '' $unit
mutant 'a process that stood still goes on' crates/node/src/net/workers/pools.rs 'if now >= entry.parts.until {' 'if false {' -p pipitlever-node --lib pools
mutant 'nobody waits for its turn' crates/node/src/net/subsetting.rs 'node.turn(i, worker) == Turn::Behind' 'false' $processes subsets
exit "$missed"
