use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    future::poll_fn,
    net::IpAddr,
    rc::Rc,
    task::{Poll, Waker},
};

/// Fraction of the idle connections from which on an address gives way first.
const LARGE_FRACTION: usize = 4;

#[derive(Debug)]
struct IdleEntry {
    address: IpAddr,
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

/// Idle connections in the order in which they are closed, also by address.
#[derive(Debug, Default)]
struct IdleTable {
    entries: BTreeMap<IdleKey, Rc<IdleEntry>>,
    by_address: HashMap<IpAddr, BTreeSet<IdleKey>>,
    /// Addresses by the number of their connections.
    counts: BTreeSet<(usize, IpAddr)>,
}

impl IdleTable {
    fn insert(
        &mut self,
        key: IdleKey,
        entry: Rc<IdleEntry>,
    ) {
        let keys = self.by_address.entry(entry.address).or_default();
        self.counts.remove(&(keys.len(), entry.address));
        keys.insert(key);
        self.counts.insert((keys.len(), entry.address));
        self.entries.insert(key, entry);
    }

    fn remove(
        &mut self,
        key: IdleKey,
    ) -> Option<Rc<IdleEntry>> {
        let entry = self.entries.remove(&key)?;
        let keys = self.by_address.get_mut(&entry.address)?;
        self.counts.remove(&(keys.len(), entry.address));
        keys.remove(&key);
        match keys.len() {
            0 => drop(self.by_address.remove(&entry.address)),
            count => drop(self.counts.insert((count, entry.address))),
        }
        Some(entry)
    }

    /// The connection that is closed next. One address that holds many gives way to others, but no
    /// connection that has had a request gives way to one that has not.
    fn next(&self) -> Option<IdleKey> {
        let (first, _) = self.entries.first_key_value()?;
        let (count, address) = self.counts.last()?;
        let largest = self.by_address.get(address)?.first()?;
        let is_large = count * LARGE_FRACTION > self.entries.len();
        match is_large && largest.0 == first.0 {
            true => Some(*largest),
            false => Some(*first),
        }
    }
}

/// Connections that wait for a request: first those that never had one, then by the time for which
/// they have waited, those of an address that holds many before others.
#[derive(Debug, Default)]
pub struct IdleConnections {
    table: RefCell<IdleTable>,
    next_number: Cell<u64>,
}

impl IdleConnections {
    /// Adds a connection of `address` that has had no request, until the returned period is dropped.
    pub fn enter(
        self: &Rc<Self>,
        address: IpAddr,
    ) -> IdlePeriod {
        self.add(ConnectionUse::Unused, address)
    }

    /// Adds a connection of `address` that has had a request, until the returned period is dropped.
    pub fn enter_again(
        self: &Rc<Self>,
        address: IpAddr,
    ) -> IdlePeriod {
        self.add(ConnectionUse::Used, address)
    }

    fn add(
        self: &Rc<Self>,
        connection_use: ConnectionUse,
        address: IpAddr,
    ) -> IdlePeriod {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (connection_use, number);
        let entry = Rc::new(IdleEntry {
            address,
            is_evicted: Cell::new(false),
            waker: RefCell::default(),
        });
        self.table.borrow_mut().insert(key, entry.clone());
        IdlePeriod {
            connections: self.clone(),
            key,
            entry,
        }
    }

    /// Whether the connection that is closed next has had a request, or there is none.
    pub fn are_all_used(&self) -> bool {
        let table = self.table.borrow();
        let first = table.entries.first_key_value();
        first.is_none_or(|((connection_use, _), _)| *connection_use == ConnectionUse::Used)
    }

    /// Tells the first connection in the order of this list to close; false if there is none.
    pub fn evict_oldest(&self) -> bool {
        let mut table = self.table.borrow_mut();
        let next = table.next();
        let Some(entry) = next.and_then(|key| table.remove(key)) else {
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
        self.table.borrow().entries.len()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
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
        self.connections.table.borrow_mut().remove(self.key);
    }
}
