//! Activation of versions, and the permission to act on the active version.

use super::{Event, Node, WithoutLease};
use crate::minimum_version::UnknownMinimum;
use crate::version::Version;
use crate::Micros;
use std::rc::Rc;

/// A version and its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionWithContent {
    /// The version.
    pub version: Version,
    /// Its content.
    pub content: Rc<[u8]>,
}

/// A version that could not be activated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVersion {
    /// The version number.
    pub number: u64,
    /// The reason.
    pub reason: String,
}

/// Whether a node may act on its active version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The node may act on the active version.
    Granted {
        /// When the permission ends unless it is renewed; the time of the check if the node serves
        /// without a lease.
        until: Micros,
    },
    /// The active version is retired.
    Retired,
    /// The lease has expired, and the settings require one.
    LeaseExpired,
    /// The minimum version is unknown.
    MinimumUnknown,
    /// The active version is below the minimum version.
    BelowMinimum,
}

impl Node {
    /// Returns the newest version once its content is present, unless it is active or was rejected.
    /// The caller activates it and reports [`Node::version_activated`] or
    /// [`Node::version_rejected`].
    pub fn version_to_activate(&self) -> Option<VersionWithContent> {
        let number = self.newest.number;
        let is_rejected = self
            .rejected_version
            .as_ref()
            .is_some_and(|rejected| rejected.number == number);
        if number <= self.active_version || is_rejected {
            return None;
        }
        Some(VersionWithContent {
            version: self.newest.clone(),
            content: self.contents.get(self.newest.digest)?,
        })
    }

    /// Records that a version became active.
    pub fn version_activated(&mut self, number: u64) {
        self.active_version = number;
        self.rejected_version = None;
        self.minimum_version.raise(number);
        self.emit(Event::Activated { number });
    }

    /// Records that a version could not be activated.
    pub fn version_rejected(&mut self, number: u64, reason: String) {
        self.rejected_version = Some(RejectedVersion {
            number,
            reason: reason.clone(),
        });
        self.emit(Event::ActivationRejected { number, reason });
    }

    /// Takes over the active version of the node's previous process, if this process has it.
    pub fn inherit_version(&mut self, number: u64) {
        if self.active_version >= number {
            self.minimum_version.inherit(number);
        }
    }

    /// Returns when the lease on the active version expires, or `None` without a lease.
    pub fn lease_expires_at(&self) -> Option<Micros> {
        self.leases.expires_at(
            self.active_version,
            &self.newest,
            self.settings.lease,
            self.drift,
        )
    }

    /// Returns whether the node may act now. Must be checked before each action, since permissions
    /// expire.
    pub fn permission(&self, now: Micros) -> Permission {
        if !self.minimum_version.is_known() {
            let may_serve = self.settings.unknown_minimum == UnknownMinimum::Serve
                && self.active_version >= self.minimum_version.number();
            if !may_serve {
                return Permission::MinimumUnknown;
            }
        } else if !self.minimum_version.allows(self.active_version) {
            return Permission::BelowMinimum;
        }
        let is_retired = || {
            self.leases
                .is_retired(self.active_version, &self.newest.acceptors)
        };
        match (self.lease_expires_at(), self.settings.without_lease) {
            (Some(until), _) if now < until => Permission::Granted { until },
            _ if is_retired() => Permission::Retired,
            (_, WithoutLease::Serve) => Permission::Granted { until: now },
            (_, WithoutLease::Refuse) => Permission::LeaseExpired,
        }
    }

    /// Returns whether the node keeps serving without a lease.
    pub fn serves_without_lease(&self) -> bool {
        self.settings.without_lease == WithoutLease::Serve
    }
}
