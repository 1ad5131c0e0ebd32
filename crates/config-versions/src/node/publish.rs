//! What an operator has an elector do.

use super::*;

impl Node {
    // What an operator asks for.

    /// Begins to publish. How it ends is told by an event.
    pub fn publish(&mut self, now: Micros, draft: Draft) -> Result<u64, Unpublished> {
        let voting = self.elector.as_ref().map(|e| e.voting().clone());
        match voting {
            // Its start is to be on the disk: its attempts name it.
            Some(Voting::Yes) if self.newest.electors.contains(&self.name) && self.synced > 0 => {}
            Some(Voting::Never(_)) => {
                return Err(Unpublished::NoElector(
                    "its disk is not the one that others remember".into(),
                ))
            }
            Some(_) if self.newest.electors.contains(&self.name) => {
                let why = "it hasn't written its start or heard from a majority yet";
                return Err(Unpublished::NoElector(why.into()));
            }
            _ => {
                return Err(Unpublished::NoElector(format!(
                    "electors: {}",
                    self.newest.electors.join(", ")
                )))
            }
        }
        if draft.base != self.newest.number {
            return Err(Unpublished::Newest(Box::new(self.newest.clone())));
        }
        if self.publisher.is_some() {
            return Err(Unpublished::Busy);
        }
        if draft.content.len() > MOST_CONTENT {
            return Err(Unpublished::Unfit(format!(
                "{} bytes, at most {MOST_CONTENT}",
                draft.content.len()
            )));
        }
        if draft.why.is_empty() || draft.why.len() > MOST_WHY {
            return Err(Unpublished::Unfit(format!("why: 1 to {MOST_WHY} bytes")));
        }
        let electors = draft
            .electors
            .unwrap_or_else(|| self.newest.electors.clone());
        may_follow(&self.newest.electors, &electors)
            .map_err(|e| Unpublished::Unfit(format!("electors: {e}")))?;
        let number = self.newest.number + 1;
        let same = electors == self.newest.electors;
        let version = Version {
            number,
            digest: Digest::of(&draft.content),
            length: draft.content.len() as u32,
            electors_since: if same {
                self.newest.electors_since
            } else {
                number
            },
            electors,
            withdraws: draft.withdraws,
            nonce: self.rng.u64(..),
            by: self.name.clone(),
            at_ms: draft.at_ms,
            why: draft.why,
        };
        self.keep(version.digest, draft.content.into());
        self.begin(now, Some(version));
        Ok(number)
    }

    pub(super) fn begin(&mut self, now: Micros, own: Option<Version>) {
        if let Some(ballot) = self.elector.as_ref().map(Elector::ballot) {
            let until = now + PUBLISH_MOST;
            self.publisher = Some(Publisher::new(self.newest.clone(), own, ballot, now, until));
        }
    }

    /// Begins to close all versions below this one.
    pub fn close(&mut self, now: Micros, floor: u64) -> Result<(), String> {
        if floor == 0 || floor > self.newest.number {
            return Err(format!(
                "the newest version is {}: only what is before it can be closed",
                self.newest.number
            ));
        }
        if self.elector.is_none() || !self.newest.electors.contains(&self.name) {
            return Err(format!(
                "this node is no elector; these are: {}",
                self.newest.electors.join(", ")
            ));
        }
        match &self.closer {
            Some(closer) if closer.floor() > floor => {
                Err(format!("all below {} are being closed", closer.floor()))
            }
            Some(closer) if closer.floor() == floor => Ok(()),
            _ => {
                self.closer = Some(Closer::new(floor, self.newest.clone(), now));
                Ok(())
            }
        }
    }
}
