//! Contents of versions: cached, fetched in chunks, and served to other nodes.

use super::{Event, Node};
use crate::version::{Digest, MAX_CONTENT_BYTES};
use crate::Micros;
use fastrand::Rng;
use std::collections::VecDeque;
use std::rc::Rc;

/// The maximum length of a chunk, in bytes, so that it fits into a datagram.
pub const MAX_CHUNK_BYTES: usize = 900;
/// The interval between retries of a chunk request. Short, as a lost chunk delays all later ones.
const CHUNK_RETRY_INTERVAL: Micros = 100_000;
/// The maximum number of cached contents.
const MAX_CACHED_CONTENTS: usize = 4;

/// A request for a chunk of a content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkRequest {
    /// The digest of the content.
    pub digest: Digest,
    /// The offset of the chunk, in bytes.
    pub offset: usize,
    /// The member to send the request to.
    pub recipient: String,
}

/// A chunk of a content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// The length of the whole content, in bytes.
    pub content_length: usize,
}

/// A content that is being fetched.
#[derive(Debug)]
struct Fetch {
    digest: Digest,
    bytes: Vec<u8>,
    /// The member to request chunks from; any member if `None`.
    source: Option<String>,
    next_request: Micros,
}

/// A cached content.
#[derive(Debug)]
struct CachedContent {
    digest: Digest,
    content: Rc<[u8]>,
}

/// The cached contents, and the one that is being fetched.
#[derive(Debug, Default)]
pub(super) struct ContentStore {
    /// The contents, oldest first.
    cached: VecDeque<CachedContent>,
    fetch: Option<Fetch>,
}

impl ContentStore {
    /// Returns a cached content.
    pub(super) fn get(&self, digest: Digest) -> Option<Rc<[u8]>> {
        self.cached
            .iter()
            .find(|cached| cached.digest == digest)
            .map(|cached| cached.content.clone())
    }

    /// Returns whether a content is cached.
    pub(super) fn contains(&self, digest: Digest) -> bool {
        self.cached.iter().any(|cached| cached.digest == digest)
    }

    /// Caches a content, and evicts the oldest ones.
    pub(super) fn insert(&mut self, digest: Digest, content: Rc<[u8]>) {
        if !self.contains(digest) {
            self.cached.push_back(CachedContent { digest, content });
        }
        while self.cached.len() > MAX_CACHED_CONTENTS {
            self.cached.pop_front();
        }
    }

    /// Starts to fetch a content that is neither cached nor being fetched, instead of the one that
    /// is being fetched.
    fn start_fetch(&mut self, now: Micros, digest: Digest, source: Option<String>) {
        let is_being_fetched = self.fetch.as_ref().is_some_and(|f| f.digest == digest);
        if is_being_fetched || self.contains(digest) {
            return;
        }
        self.fetch = Some(Fetch {
            digest,
            bytes: Vec::new(),
            source,
            next_request: now,
        });
    }

    /// Returns when the next chunk request is due, if a content is being fetched.
    pub(super) fn next_wakeup(&self) -> Option<Micros> {
        self.fetch.as_ref().map(|fetch| fetch.next_request)
    }

    fn next_request(
        &mut self,
        now: Micros,
        members: &[&str],
        rng: &mut Rng,
    ) -> Option<ChunkRequest> {
        let fetch = self.fetch.as_mut().filter(|f| now >= f.next_request)?;
        fetch.next_request = now + CHUNK_RETRY_INTERVAL;
        let source = fetch
            .source
            .clone()
            .filter(|source| members.contains(&source.as_str()));
        let recipient =
            source.or_else(|| rng.choice(members).map(|member| (*member).to_owned()))?;
        Some(ChunkRequest {
            digest: fetch.digest,
            offset: fetch.bytes.len(),
            recipient,
        })
    }

    /// Appends a chunk. Returns whether it completes the content.
    fn append(
        &mut self,
        now: Micros,
        sender: &str,
        digest: Digest,
        offset: usize,
        chunk: Option<Chunk>,
    ) -> bool {
        let Some(fetch) = self
            .fetch
            .as_mut()
            .filter(|f| f.digest == digest && f.bytes.len() == offset)
        else {
            return false;
        };
        let Some(chunk) = chunk.filter(|chunk| is_valid_chunk(chunk, offset)) else {
            fetch.source = None;
            return false;
        };
        fetch.bytes.extend_from_slice(&chunk.bytes);
        fetch.source = Some(sender.to_owned());
        fetch.next_request = now;
        if fetch.bytes.len() < chunk.content_length {
            return false;
        }
        let bytes = std::mem::take(&mut fetch.bytes);
        if Digest::of(&bytes) != digest {
            // It is unknown which sender's bytes were corrupt: fetch the whole content again, from
            // any member.
            fetch.source = None;
            fetch.next_request = now + CHUNK_RETRY_INTERVAL;
            return false;
        }
        self.fetch = None;
        self.insert(digest, bytes.into());
        true
    }
}

/// Returns whether a chunk lies within the content. An empty chunk of a longer content is invalid:
/// the same offset would be requested again at once, in an endless loop.
fn is_valid_chunk(chunk: &Chunk, offset: usize) -> bool {
    chunk.content_length <= MAX_CONTENT_BYTES
        && offset + chunk.bytes.len() <= chunk.content_length
        && (!chunk.bytes.is_empty() || chunk.content_length == 0)
}

impl Node {
    /// Starts to fetch a content unless it is present, first from this member.
    pub(super) fn fetch_content(&mut self, now: Micros, digest: Digest, source: &str) {
        let source = (source != self.name).then(|| source.to_owned());
        self.contents.start_fetch(now, digest, source);
    }

    /// Returns whether a content is being fetched.
    pub fn is_fetching(&self) -> bool {
        self.contents.fetch.is_some()
    }

    /// Returns the next chunk request that is due, to one of these members.
    ///
    /// The recipient is the member that sent the last chunk, or at first the one that announced the
    /// version; a random member if that one has left or does not have the content.
    pub fn next_chunk_request(&mut self, now: Micros, members: &[&str]) -> Option<ChunkRequest> {
        self.contents.next_request(now, members, &mut self.rng)
    }

    /// Returns a chunk of a cached content.
    pub fn content_chunk(&self, digest: Digest, offset: usize) -> Option<Chunk> {
        let content = self.contents.get(digest)?;
        let bytes = content
            .get(offset..)?
            .iter()
            .take(MAX_CHUNK_BYTES)
            .copied()
            .collect();
        Some(Chunk {
            bytes,
            content_length: content.len(),
        })
    }

    /// Handles the response to a chunk request: `None` if the sender does not have the content.
    pub fn handle_chunk(
        &mut self,
        now: Micros,
        sender: &str,
        digest: Digest,
        offset: usize,
        chunk: Option<Chunk>,
    ) {
        let is_complete = self.contents.append(now, sender, digest, offset, chunk);
        if is_complete && self.newest.digest == digest {
            self.emit(Event::Fetched {
                number: self.newest.number,
                sender: sender.to_owned(),
            });
        }
    }
}
