//! The ways out: the node's end, and the end of a process whose node goes on.

use super::*;

impl Hub {
    /// The notice to leave. What still comes is served until [`Hub::close`].
    pub fn drain(&mut self, left: Micros) {
        self.draining = true;
        self.leaving.give();
        // The level that keeps callers away is told once nothing new is taken.
        let before = self.core.load_level();
        self.tell(|core, now| core.begin_shutdown(now, left));
        self.last_level = self.core.replace_load_level(before);
    }

    /// From now on no gateway is to send anything new.
    pub fn close(&mut self) {
        self.closing = true;
        self.core.replace_load_level(self.last_level);
        for id in self.places.gateways() {
            self.places.send(id, jsonrpc::write_goaway);
        }
    }

    /// The end of this process, while the node goes on in another one: those who are connected have
    /// been told to go over.
    pub fn superseded(&mut self, left: Micros) {
        (self.draining, self.superseded) = (true, true);
        self.leaving.give();
        self.tell(|core, now| core.begin_retirement(now, left));
    }

    /// Whether the node goes on in another process after this one.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Nothing new is accepted, as another process does that; or again.
    pub fn take_clients(&mut self, taking: bool) {
        self.taking = taking;
        if !taking {
            for id in self.places.gateways() {
                self.places.send(id, jsonrpc::write_goaway);
            }
        }
    }

    /// Whether the node is on its way out.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Whether gateways have been told to send nothing new, as the node is about to end.
    pub fn closing(&self) -> bool {
        self.closing
    }

    /// Has all connections closed, each once nothing is open on it.
    pub fn retire_all(&mut self) {
        (self.closing, self.ending) = (true, true);
        self.places.retire_all();
    }

    /// Whether all that was read is answered and written.
    pub fn settled(&self) -> bool {
        // What its successor does not hear of a keyed run nobody will know.
        let told = !self.superseded
            || !(self.core.has_keyed_runs() || self.core.has_key_updates() || self.telling > 0);
        self.core.unanswered() == 0
            && self.places.queued() == 0
            && self.core.is_store_idle()
            && told
    }
}
