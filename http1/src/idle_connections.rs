use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
};

#[derive(Debug, Default)]
struct IdleEntry {
    is_evicted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// Whether an idle connection has had a request; those without one are closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionUse {
    Unused,
    Used,
}

/// Order in which idle connections are closed.
type IdleKey = (ConnectionUse, u64);

/// Connections that wait for a request: first those that never had one, then by the time for which
/// they have waited.
#[derive(Debug, Default)]
pub struct IdleConnections {
    entries: RefCell<BTreeMap<IdleKey, Rc<IdleEntry>>>,
    next_number: Cell<u64>,
}

impl IdleConnections {
    /// Adds a connection that has had no request, until the returned period is dropped.
    pub fn enter(self: &Rc<Self>) -> IdlePeriod {
        self.add(ConnectionUse::Unused)
    }

    /// Adds a connection that has had a request, until the returned period is dropped.
    pub fn enter_again(self: &Rc<Self>) -> IdlePeriod {
        self.add(ConnectionUse::Used)
    }

    fn add(
        self: &Rc<Self>,
        connection_use: ConnectionUse,
    ) -> IdlePeriod {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (connection_use, number);
        let entry = Rc::<IdleEntry>::default();
        self.entries.borrow_mut().insert(key, entry.clone());
        IdlePeriod {
            connections: self.clone(),
            key,
            entry,
        }
    }

    /// Tells the first connection in the order of this list to close; false if there is none.
    pub fn evict_oldest(&self) -> bool {
        let oldest = self.entries.borrow_mut().pop_first();
        let Some((_, entry)) = oldest else {
            return false;
        };
        entry.is_evicted.set(true);
        if let Some(waker) = entry.waker.take() {
            waker.wake();
        }
        true
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }
}

/// Time in which a connection waits for a request.
#[derive(Debug)]
pub struct IdlePeriod {
    connections: Rc<IdleConnections>,
    key: IdleKey,
    entry: Rc<IdleEntry>,
}

impl IdlePeriod {
    /// Whether the connection is to be closed to make room for others.
    pub fn is_evicted(&self) -> bool {
        self.entry.is_evicted.get()
    }

    /// Waits until the connection is to be closed.
    pub async fn evicted(&self) {
        poll_fn(|context| {
            if self.is_evicted() {
                return Poll::Ready(());
            }
            self.entry.waker.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

impl Drop for IdlePeriod {
    fn drop(&mut self) {
        self.connections.entries.borrow_mut().remove(&self.key);
    }
}
