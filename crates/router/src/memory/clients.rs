//! Clients' connections as the rest of the program sees them.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// One connection of a client. Its driver owns the socket; what is to be written stands in `out`.
#[derive(Default)]
pub struct Client {
    pub out: RefCell<Vec<u8>>,
    pub wake: Notify,
    /// The open query, one at a time.
    pub query: Cell<Option<u64>>,
    /// Ends after the present answer.
    pub closes: Cell<bool>,
    /// Is to close now, as it is idle.
    pub dismissed: Cell<bool>,
    /// Has sent a request, and since when it stands idle; `None` in the midst of one.
    pub used: Cell<bool>,
    pub idle: Cell<Option<f64>>,
}

impl Client {
    fn dismiss(&self) {
        self.dismissed.set(true);
        self.wake.notify_one();
    }
}

#[derive(Default)]
pub struct Clients {
    all: BTreeMap<u64, Rc<Client>>,
    next: u64,
}

impl Clients {
    pub fn arrive(&mut self, now: f64) -> (u64, Rc<Client>) {
        let client = Rc::new(Client::default());
        client.idle.set(Some(now));
        self.next += 1;
        self.all.insert(self.next, client.clone());
        (self.next, client)
    }

    pub fn depart(&mut self, id: u64) {
        self.all.remove(&id);
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Dismisses the connection that has been idle longest, to make room for a new one.
    pub fn dismiss_oldest(&self) -> bool {
        let idle = self.all.values().filter(|c| !c.dismissed.get());
        let idle = idle.filter_map(|c| Some((c.idle.get()?, c)));
        let oldest = idle.min_by(|a, b| a.0.total_cmp(&b.0));
        oldest.inspect(|(_, client)| client.dismiss()).is_some()
    }

    /// Dismisses idle connections; those that have not sent a request yet only with `unused`.
    pub fn dismiss_idle(&self, unused: bool) {
        let idle = self.all.values().filter(|c| c.idle.get().is_some() && (unused || c.used.get()));
        idle.for_each(|c| c.dismiss());
    }
}
