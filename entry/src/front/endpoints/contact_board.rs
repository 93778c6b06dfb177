use {
    pitchhitch_core::{
        serving::{ContactStage, EndpointKey, LOST_AFTER},
        time::Micros,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        task::{Context, Poll, Waker},
    },
};

/// Requests that wait for endpoints, to be notified when their endpoint stops responding.
#[derive(Debug, Default)]
pub(crate) struct ContactBoard {
    waiting: RefCell<HashMap<EndpointKey, Vec<Rc<ContactFlag>>>>,
}

/// Whether one request has to leave its endpoint, and the task to be woken then.
#[derive(Debug)]
struct ContactFlag {
    leaves_at: Cell<ContactStage>,
    /// When the endpoint last sent something for the request, or received it.
    heard_at: Cell<Micros>,
    is_raised: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ContactBoard {
    /// Registers a request that is sent to an endpoint now, until the result is dropped. It is
    /// notified from the stage `leaves_at` on.
    pub fn register(
        self: &Rc<Self>,
        endpoint: EndpointKey,
        leaves_at: ContactStage,
        now: Micros,
    ) -> ContactWatch {
        let flag = Rc::new(ContactFlag {
            leaves_at: Cell::new(leaves_at),
            heard_at: Cell::new(now),
            is_raised: Cell::new(false),
            waker: RefCell::new(None),
        });
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(endpoint).or_default().push(flag.clone());
        ContactWatch {
            board: self.clone(),
            endpoint,
            flag,
        }
    }

    /// Notifies the requests at an endpoint of a stage at which it does not respond: those that
    /// leave at that stage, and those that have waited for so long that they count as lost. Returns
    /// their number.
    pub fn notify(
        &self,
        endpoint: EndpointKey,
        stage: ContactStage,
        now: Micros,
    ) -> usize {
        let waiting = self.waiting.borrow();
        let flags = waiting.get(&endpoint).into_iter().flatten();
        let notified = flags.filter(|flag| {
            let is_due =
                flag.leaves_at.get() <= stage || now.since(flag.heard_at.get()) >= LOST_AFTER;
            is_due && !flag.is_raised.get()
        });
        notified.map(|flag| flag.raise()).count()
    }
}

impl ContactFlag {
    fn raise(&self) {
        self.is_raised.set(true);
        let waker = self.waker.take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Registration of a request at the endpoint that it waits for.
#[derive(Debug)]
pub(crate) struct ContactWatch {
    board: Rc<ContactBoard>,
    endpoint: EndpointKey,
    flag: Rc<ContactFlag>,
}

impl ContactWatch {
    /// Ready once the endpoint no longer responds.
    pub fn poll_unresponsive(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        if self.flag.is_raised.get() {
            return Poll::Ready(());
        }
        let mut waker = self.flag.waker.borrow_mut();
        let is_current = |known: &Waker| known.will_wake(context.waker());
        if !waker.as_ref().is_some_and(is_current) {
            *waker = Some(context.waker().clone());
        }
        Poll::Pending
    }

    /// Records that the endpoint has sent something, and withdraws a notification.
    pub fn record_heard(
        &self,
        now: Micros,
    ) {
        self.flag.heard_at.set(now);
        self.flag.is_raised.set(false);
    }

    /// Withdraws a notification until the endpoint reaches a later stage; false if it was notified
    /// of that stage already.
    pub fn postpone(
        &self,
        leaves_at: ContactStage,
    ) -> bool {
        let is_later = self.flag.leaves_at.replace(leaves_at) < leaves_at;
        if is_later {
            self.flag.is_raised.set(false);
        }
        is_later
    }
}

impl Drop for ContactWatch {
    fn drop(&mut self) {
        let mut waiting = self.board.waiting.borrow_mut();
        let Some(flags) = waiting.get_mut(&self.endpoint) else {
            return;
        };
        flags.retain(|flag| !Rc::ptr_eq(flag, &self.flag));
        if flags.is_empty() {
            waiting.remove(&self.endpoint);
        }
    }
}
