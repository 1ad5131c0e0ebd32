#!/usr/bin/env bash
# Breaks one rule of the fleet at a time, in a copy, and runs the check that is to notice. Prints who was caught; ends with 1 if one
# was not. By hand: some minutes.
# usage: crates/membership/mutants.sh [WORDS]: those whose description has these words
source "$(dirname "$0")/../cluster-testing/mutants.sh"
join='-p pipitlever-membership --test join'
unit='-p pipitlever-membership --lib'
model='-p pipitlever-membership --test model'
sim='-p pipitlever-cluster-testing --test sim'
mutant 'the better state wins' crates/membership/src/record.rs 'other.state > self.state' 'other.state < self.state' $join
mutant 'processes of one number are not told apart' crates/membership/src/record.rs '(other.incarnation, other.token).cmp(&(self.incarnation, self.token))' 'other.incarnation.cmp(&self.incarnation)' $join
mutant 'a refutation keeps its number' crates/membership/src/local_member.rs 'self.record.incarnation = incarnation + 1;
        Reply::Refuted' 'self.record.incarnation = *incarnation;
        Reply::Refuted' $model
mutant 'rivals are never named' crates/membership/src/local_member.rs 'if !again {' 'if true {' $unit
mutant 'who has left its name refutes what is old' crates/membership/src/local_member.rs '(said.incarnation, said.token) < (other.incarnation, other.token)' 'false' $model
mutant 'a process does not out-bid the one before it' crates/membership/src/local_member.rs 'self.record.incarnation = said.incarnation + 1;' '' $model
mutant 'news of a death is believed at once' crates/membership/src/update_rules.rs 'State::Down if held.state.takes_part() && !suspected' 'State::Down if false' $sim
mutant 'who is forgotten is not kept for a while' crates/membership/src/membership/timers.rs 'self.members.change(&name, |m| m.fading = true);' 'self.members.remove(&name);' $sim
mutant 'the dead are not tried' crates/membership/src/membership/timers.rs 'm.record.state == State::Down && !m.fading' 'false' $sim
mutant 'a sleeper blames others' crates/membership/src/membership/mod.rs 'suspicion.put_off(late);' '' $sim
mutant 'views are never made equal' crates/membership/src/membership/messages.rs 'self.sync = Some(to);' '' $sim
mutant 'helpers are not asked' crates/membership/src/membership/timers.rs 'self.ring.some(Rules::HELPERS, &[&probe.name], &mut self.rng)' 'Vec::new()' $sim
mutant 'hearsay pushes members out' crates/membership/src/members.rs 'done.or_else(|| itself.then(unheard).flatten())' 'done.or_else(|| others().next())' $sim
mutant 'a spoilt datagram is read' crates/membership/src/message.rs 'if !rest.is_empty()' 'if false' $join
exit $missed
