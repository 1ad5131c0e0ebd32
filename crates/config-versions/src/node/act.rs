//! Whether this node may act, and on what.

use super::*;

impl Node {
    /// The version that is to be acted on now, with its content: the newest, once that is here. To
    /// be told of with `acted`.
    pub fn offer(&self) -> Option<(Version, Rc<[u8]>)> {
        let number = self.newest.number;
        if number <= self.acting || self.unfit.as_ref().is_some_and(|(n, _)| *n == number) {
            return None;
        }
        Some((self.newest.clone(), self.content(self.newest.digest)?))
    }

    /// A version was taken as a whole, or can't be.
    pub fn acted(&mut self, number: u64, taken: Result<(), String>) {
        match taken {
            Ok(()) => {
                (self.acting, self.unfit) = (number, None);
                self.floor.raise(number);
                self.event(Event::Acting(number));
            }
            Err(why) => {
                self.unfit = Some((number, why.clone()));
                self.event(Event::Unfit(number, why));
            }
        }
    }

    // Acting.

    /// Until when it may act on its version under its lease.
    pub fn leased_until(&self) -> Option<Micros> {
        self.leases
            .until(self.acting, &self.newest, self.settings.lease, self.rates)
    }

    /// Whether it may act now. To be asked before each act: what was true a while ago is not known
    /// to be.
    pub fn may_act(&self, now: Micros) -> May {
        match self.settings.unknown {
            Unknown::Serve if !self.floor.open() && self.acting >= self.floor.floor() => {}
            _ if !self.floor.open() => return May::Unknown,
            _ if !self.floor.allows(self.acting) => return May::Below,
            _ => {}
        }
        match self.leased_until() {
            Some(until) if now < until => May::Act(until),
            _ if self.leases.closed(self.acting, &self.newest.electors) => May::Closed,
            _ => match self.settings.without {
                Without::Serve => May::Act(now),
                Without::Refuse => May::NoLease,
            },
        }
    }

    /// Whether it acts without a lease, too, while nothing that it knows of is closed.
    pub fn serves(&self) -> bool {
        self.settings.without == Without::Serve
    }
}
