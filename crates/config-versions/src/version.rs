//! What a version is.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// The longest content, in bytes.
pub const MOST_CONTENT: usize = 256 << 10;
/// The longest sentence why, in bytes.
pub const MOST_WHY: usize = 200;
/// The longest name of a member, as in the view of the fleet, in bytes.
pub const MOST_NAME: usize = 64;
/// How many electors the operator's file may name. Between two of these there are four or six for a
/// while.
pub const ELECTORS: [usize; 3] = [3, 5, 7];

/// The SHA-256 of a content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// That of these bytes.
    pub fn of(content: &[u8]) -> Digest {
        Digest(Sha256::digest(content).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0[..8].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// One version. Number 0 is the one before the first: every node acts on its own files.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Its number, one more than that of the version that it builds on.
    pub number: u64,
    /// Of its content.
    pub digest: Digest,
    /// How long the content is, in bytes.
    pub length: u32,
    /// Who decides about the next one.
    pub electors: Vec<String>,
    /// The version with which these became the electors.
    pub electors_since: u64,
    /// The version that it takes back, if it does.
    pub withdraws: Option<u64>,
    /// Tells apart two that were published at once.
    pub nonce: u64,
    /// The elector at which it was published.
    pub by: String,
    /// When, by that one's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// Why, in a sentence.
    pub why: String,
}

impl Version {
    /// The one before the first.
    pub fn genesis(electors: &[String]) -> Version {
        Version {
            number: 0,
            digest: Digest::of(b""),
            length: 0,
            electors: electors.to_vec(),
            electors_since: 0,
            withdraws: None,
            nonce: 0,
            by: String::new(),
            at_ms: 0,
            why: String::new(),
        }
    }

    /// Whether it keeps the bounds, whoever made it.
    pub fn sane(&self) -> bool {
        let name = |n: &String| !n.is_empty() && n.len() <= MOST_NAME;
        self.length as usize <= MOST_CONTENT
            && self.why.len() <= MOST_WHY
            && self.electors_since <= self.number
            && (self.number == 0 || name(&self.by))
            && check_electors(&self.electors).is_ok()
    }
}

/// Whether these can be electors.
pub fn check_electors(electors: &[String]) -> Result<(), String> {
    let most = ELECTORS[2];
    if electors.len() < ELECTORS[0] || electors.len() > most {
        return Err(format!(
            "{} of them: there are {} to {most}",
            electors.len(),
            ELECTORS[0]
        ));
    }
    let mut sorted: Vec<&String> = electors.iter().collect();
    sorted.sort();
    if let Some(twice) = sorted.windows(2).find(|w| w[0] == w[1]) {
        return Err(format!("{} twice", twice[0]));
    }
    match electors
        .iter()
        .find(|n| n.is_empty() || n.len() > MOST_NAME)
    {
        Some(_) => Err(format!("a name has 1 to {MOST_NAME} bytes")),
        None => Ok(()),
    }
}

/// Whether the next electors may follow these. One may come or one may go, no more at once: any
/// majority of the old ones and any of the new ones then share an elector. With one in another
/// one's place they would not: of a, b, c and a, b, d these are b, c and a, d.
pub fn may_follow(before: &[String], next: &[String]) -> Result<(), String> {
    check_electors(next)?;
    let come = next.iter().filter(|n| !before.contains(n)).count();
    let gone = before.iter().filter(|n| !next.contains(n)).count();
    match come + gone {
        0 | 1 => Ok(()),
        _ => Err(format!(
            "{come} come and {gone} go: one may come or one may go at once"
        )),
    }
}

/// Whether so many of the electors are more than half of them.
pub fn majority(electors: &[String], holds: impl Fn(&str) -> bool) -> bool {
    2 * electors.iter().filter(|e| holds(e)).count() > electors.len()
}
