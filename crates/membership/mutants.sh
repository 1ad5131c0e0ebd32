#!/usr/bin/env bash
# Mutation tests: breaks one rule of membership at a time in a copy of the repository and runs the test that has to fail.
# Exits with 1 if a mutant survives. Run by hand; takes some minutes.
# usage: crates/membership/mutants.sh [TEXT]: only the mutants whose description contains TEXT
source "$(dirname "$0")/../cluster-testing/mutants.sh"
src=crates/membership/src
record='-p pipitlever-membership --test record'
message='-p pipitlever-membership --test message'
local_member='-p pipitlever-membership --test local_member'
model='-p pipitlever-membership --test model'
sim='-p pipitlever-cluster-testing --test membership'
mutant 'an earlier state wins a merge' $src/record.rs 'other.state > self.state' 'other.state < self.state' $record
mutant 'processes of one incarnation are not ordered by token' $src/record.rs '(other.incarnation, other.token).cmp(&(self.incarnation, self.token))' 'other.incarnation.cmp(&self.incarnation)' $record
mutant 'a refutation keeps its incarnation' $src/local_member.rs 'self.record.incarnation = received.incarnation + 1;
        SelfUpdateOutcome::Refuted' 'self.record.incarnation = received.incarnation;
        SelfUpdateOutcome::Refuted' $model
mutant 'rivals are never named' $src/local_member.rs 'if self.overridden_tokens.contains(&received.token) {' 'if false {' $local_member
mutant 'a process that yielded its name refutes old claims' $src/local_member.rs '(received.incarnation, received.token) < (overriding.incarnation, overriding.token)' 'false' $model
mutant 'a process does not override its predecessor' $src/local_member.rs 'self.record.incarnation = received.incarnation + 1;' '' $model
mutant 'a reported failure is applied at once' $src/update_rules.rs 'State::Down if current.state.is_active() && !is_suspect' 'State::Down if false' $sim
mutant 'expired members leave no tombstone' $src/membership/timers.rs 'self.members
                .update(&name, |member| member.is_tombstone = true);' 'self.members.remove(&name);' $sim
mutant 'members that are down are not pinged' $src/membership/reconnect.rs 'member.record.state == State::Down && !member.is_tombstone' 'false' $sim
mutant 'a delayed process does not extend suspicions' $src/membership/suspicions.rs 'suspicion.extend(delay);' '' $sim
mutant 'push-pull synchronization never happens' $src/membership/convergence.rs 'self.convergence.sync_target = Some(target);' '' $sim
mutant 'ping-reqs are not sent' $src/membership/probing.rs 'self.prober.schedule.random_members(
            MembershipConfig::INDIRECT_PROBES,
            &[&probe.name],
            &mut self.rng,
        )' 'Vec::new()' $sim
mutant 'unverified members evict others' $src/members.rs 'inactive
            .or_else(|| is_self_announced.then(unverified).flatten())' 'inactive
            .or_else(|| others().next())' $sim
mutant 'a damaged datagram is accepted' $src/message/codec.rs 'if !rest.is_empty()' 'if false' $message
exit $missed
