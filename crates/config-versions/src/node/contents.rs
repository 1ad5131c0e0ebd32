//! Contents: kept, asked for, handed out in pieces.

use super::*;

impl Node {
    // Contents.

    pub(super) fn content(&self, digest: Digest) -> Option<Rc<[u8]>> {
        self.contents
            .iter()
            .find(|(d, _)| *d == digest)
            .map(|(_, c)| c.clone())
    }

    pub(super) fn keep(&mut self, digest: Digest, content: Rc<[u8]>) {
        if self.content(digest).is_none() {
            self.contents.push_back((digest, content));
        }
        while self.contents.len() > MOST_CONTENTS {
            self.contents.pop_front();
        }
    }

    pub(super) fn want(&mut self, now: Micros, digest: Digest, from: &str) {
        if self.content(digest).is_some() || self.fetch.as_ref().is_some_and(|f| f.digest == digest)
        {
            return;
        }
        let from = (from != self.name).then(|| from.to_owned());
        self.fetch = Some(Fetch {
            digest,
            bytes: Vec::new(),
            from,
            again: now,
        });
    }

    /// Whether a content is wanted.
    pub fn fetching(&self) -> bool {
        self.fetch.is_some()
    }

    /// The next piece that is wanted: of which content, from which byte on, and of which of these
    /// members. It is wanted again a while later: of whom it was heard of or came last, and of
    /// anybody where that one is not there any more.
    pub fn take_fetch(&mut self, now: Micros, members: &[&str]) -> Option<(Digest, usize, String)> {
        let fetch = self.fetch.as_mut().filter(|f| now >= f.again)?;
        fetch.again = now + FETCH_AGAIN;
        let best = fetch
            .from
            .clone()
            .filter(|from| members.contains(&from.as_str()));
        let of = best.or_else(|| self.rng.choice(members).map(|m| (*m).to_owned()))?;
        Some((fetch.digest, fetch.bytes.len(), of))
    }

    /// A piece of a content that this node has, and the length of all of it.
    pub fn piece(&self, digest: Digest, at: usize) -> Option<(Vec<u8>, usize)> {
        let content = self.content(digest)?;
        let piece = content.get(at..)?.iter().take(PIECE).copied().collect();
        Some((piece, content.len()))
    }

    /// A piece came, or word that there is none. Whether the content is whole.
    pub fn fetched(
        &mut self,
        now: Micros,
        from: &str,
        digest: Digest,
        at: usize,
        piece: Option<(&[u8], usize)>,
    ) -> bool {
        let Some(fetch) = self
            .fetch
            .as_mut()
            .filter(|f| f.digest == digest && f.bytes.len() == at)
        else {
            return false;
        };
        // An empty piece would be asked for again and again, at once.
        let sane = |(p, all): &(&[u8], usize)| {
            *all <= MOST_CONTENT && at + p.len() <= *all && (!p.is_empty() || *all == 0)
        };
        let Some((piece, all)) = piece.filter(sane) else {
            // Somebody else is asked.
            fetch.from = None;
            return false;
        };
        fetch.bytes.extend_from_slice(piece);
        (fetch.from, fetch.again) = (Some(from.to_owned()), now);
        if fetch.bytes.len() < all {
            return false;
        }
        let bytes = std::mem::take(&mut fetch.bytes);
        if Digest::of(&bytes) != digest {
            // Whoever it was that sent other bytes: all of it again, of somebody else.
            (fetch.from, fetch.again) = (None, now + FETCH_AGAIN);
            return false;
        }
        self.fetch = None;
        self.keep(digest, bytes.into());
        if self.newest.digest == digest {
            self.event(Event::Fetched(self.newest.number, from.to_owned()));
        }
        true
    }
}
