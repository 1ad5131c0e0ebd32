#!/usr/bin/env bash
# Breaks one rule of config versions at a time, as crates/membership/mutants.sh does. usage: crates/config-versions/mutants.sh [WORDS]
source "$(dirname "$0")/../cluster-testing/mutants.sh"
consensus='-p pipitlever-config-versions --test consensus_model'
lease_model='-p pipitlever-config-versions --test lease_model --test lease_drift'
lease_expiry='-p pipitlever-config-versions --test lease_expiry'
persistence='-p pipitlever-config-versions --test persistence'
nodes='-p pipitlever-config-versions --test nodes'
src=crates/config-versions/src
mutant 'a proposer prefers its own version' $src/proposer.rs 'latest.or(self.proposal.clone())' 'self.proposal.clone().or(latest)' $consensus
mutant 'an acceptor accepts every ballot' $src/acceptor.rs '} else if has_content(version)' '} else if false { } if has_content(version)' $consensus
mutant 'a promise is forgotten' $src/acceptor.rs 'self.state.promised = ballot.clone();
            self.record_vote(out);' 'self.record_vote(out);' $consensus
mutant 'a promise does not report the accepted version' $src/acceptor.rs 'accepted: self.state.accepted.clone(),' 'accepted: None,' $consensus
mutant 'one of two is a quorum' $src/version.rs '> acceptors.len()' '>= acceptors.len() - 1' $consensus
mutant 'a vote is sent before its write' $src/acceptor.rs 'self.state.disk.vote_count += 1;
        self.last_write += 1;' 'self.state.disk.vote_count += 1;' $persistence
mutant 'a replaced disk is not noticed' $src/acceptor.rs 'recorded.disk_id != disk.disk_id' 'false' $persistence
mutant 'a restored disk is not noticed' $src/acceptor.rs 'recorded.vote_count > disk.vote_count' 'false' $persistence
mutant 'new acceptors do not learn of a retirement' $src/acceptor.rs 'self.state.minimum_version.max(minimum_version)' 'self.state.minimum_version' $persistence
mutant 'an acceptor that does not vote sends heartbeats' $src/acceptor.rs '(self.voting == Voting::Enabled).then_some' '(true).then_some' $persistence
mutant 'a retirement does not wait for leases' $src/retirement.rs 'now + drift.max_elapsed(lease)' 'now' $lease_model
mutant 'a retirement waits by its own clock alone' $src/retirement.rs 'drift.max_elapsed(lease)' 'lease' $lease_model
mutant 'a heartbeat is as old as its clock says' $src/lease.rs 'reading.requested_at + drift.min_elapsed(elapsed)' 'reading.requested_at + elapsed' $lease_model
mutant 'an old heartbeat counts again' $src/lease.rs 'is_none_or(|known| heartbeat.is_newer_than(known))' 'is_none_or(|_| true)' $lease_expiry
mutant 'a heartbeat from before a restart counts' $src/lease.rs 'if heartbeat.incarnation != reading.incarnation {' 'if false {' $lease_expiry
mutant 'a retired version is leased' $src/lease.rs 'heartbeat.minimum_version <= active' 'true' $lease_expiry
mutant 'a node acts without a lease' $src/node/activation.rs '(Some(until), _) if now < until' '(Some(until), _) if now < until || true' $nodes
mutant 'a content is not verified' $src/node/contents.rs 'if Digest::of(&bytes) != digest {' 'if false {' $nodes
mutant 'a stale base is not rejected' $src/node/operator.rs 'if proposal.base != self.newest.number {' 'if false {' $nodes
mutant 'ballots of two incarnations are the same' $src/acceptor.rs 'incarnation: self.state.incarnation,
        }
    }

    /// Returns the version that it has accepted' 'incarnation: 0,
        }
    }

    /// Returns the version that it has accepted' $persistence
exit "$missed"
