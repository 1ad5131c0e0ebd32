#!/usr/bin/env bash
# Breaks one rule of versions at a time, as crates/membership/mutants.sh does. usage: crates/config-versions/mutants.sh [WORDS]
source "$(dirname "$0")/../cluster-testing/mutants.sh"
register='-p pipitlever-config-versions --test register'
lease='-p pipitlever-config-versions --test lease'
disks='-p pipitlever-config-versions --test disks'
nodes='-p pipitlever-config-versions --test nodes'
unit='-p pipitlever-config-versions --lib'
src=crates/config-versions/src
mutant 'a publisher prefers its own version' $src/publisher.rs 'latest.or(self.own.clone())' 'self.own.clone().or(latest)' $register
mutant 'an elector heeds every attempt' $src/elector.rs '} else if has(version)' '} else if false { } if has(version)' $register
mutant 'a promise is forgotten' $src/elector.rs 'self.kept.promised = ballot.clone();
                            self.vote(&mut said);' 'self.vote(&mut said);' $register
mutant 'what was accepted is not told' $src/elector.rs 'let (accepted, floor, seal) = (accepted.clone(), *floor, *seal);' 'let (accepted, floor, seal) = (accepted.clone().filter(|_| false), *floor, *seal);' $register
mutant 'one of two is a majority' $src/version.rs '> electors.len()' '>= electors.len() - 1' $register
mutant 'a vote is said before its write' $src/elector.rs 'self.kept.seal.count += 1;
        self.write += 1;' 'self.kept.seal.count += 1;' $disks
mutant 'a disk that was lost is not noticed' $src/elector.rs 'of.token != ours.token || of.count > ours.count' 'of.count > ours.count + 1000' $disks
mutant 'a disk that was put back is not noticed' $src/elector.rs '|| of.count > ours.count' '' $disks
mutant 'new electors know nothing of what is closed' $src/elector.rs 'self.kept.floor.max(*floor)' 'self.kept.floor' $disks
mutant 'an elector without a disk says that it lives' $src/elector.rs '(self.voting == Voting::Yes).then_some' '(true).then_some' $disks
mutant 'the one that closes waits for nothing' $src/closer.rs 'now + rates.longest(lease)' 'now' $lease
mutant 'it waits by its own clock alone' $src/closer.rs 'rates.longest(lease)' 'lease' $lease
mutant 'a beat is as old as its clock says' $src/lease.rs 'told.ours + rates.least(passed)' 'told.ours + passed' $lease
mutant 'an old beat counts again' $src/lease.rs 'is_none_or(|b| beat.follows(b))' 'is_none_or(|_| true)' $unit
mutant 'a beat of before a restart counts' $src/lease.rs 'if beat.start != told.start {' 'if false {' $unit
mutant 'a closed version is leased' $src/lease.rs 'beat.floor <= acting && ' '' $unit
mutant 'a node acts as long as nobody objects' $src/node/act.rs 'Some(until) if now < until' 'Some(until) if now < until || true' $nodes
mutant 'a content is not checked' $src/node/contents.rs 'if Digest::of(&bytes) != digest {' 'if false {' $nodes
mutant 'who builds on an old version is not told' $src/node/publish.rs 'if draft.base != self.newest.number {' 'if false {' $nodes
mutant 'attempts of two starts are the same' $src/elector.rs 'by: self.name.clone(), start: self.kept.start }' 'by: self.name.clone(), start: 0 }' $disks
exit "$missed"
