//! A proxy between two machines: it passes bytes on, holds them back as a cut does, or turns callers
//! away. Datagrams are lost in a cut.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    Open,
    /// Nothing arrives in either direction until the link has healed.
    Cut,
    /// Connections end, new ones too.
    TurnedAway,
}

/// Link to one address.
#[derive(Clone)]
pub struct Link {
    shared: Arc<(Mutex<LinkState>, Condvar)>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let link = Link {
            shared: Arc::new((Mutex::new(LinkState::Open), Condvar::new())),
            streams: Arc::default(),
        };
        let listener = TcpListener::bind(from)?;
        let served = link.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let link = served.clone();
                thread::spawn(move || link.pass(caller, to));
            }
        });
        Ok(link)
    }

    pub fn set(&self, state: LinkState) {
        *self.shared.0.lock().expect("lock") = state;
        if state == LinkState::TurnedAway {
            for stream in self.streams.lock().expect("lock").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.shared.1.notify_all();
    }

    /// Waits until the link is not cut; whether it is open.
    fn wait(&self) -> bool {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("lock");
        while *state == LinkState::Cut {
            state = changed.wait(state).expect("lock");
        }
        *state == LinkState::Open
    }

    /// Passes datagrams on as well. Each caller gets an address of its own on the other side, out of
    /// these; the answers to it come from `from`.
    pub fn pass_datagrams(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        mut own_addresses: Vec<SocketAddr>,
    ) -> io::Result<()> {
        let socket = UdpSocket::bind(from)?;
        let link = self.clone();
        thread::spawn(move || {
            let mut callers: BTreeMap<SocketAddr, UdpSocket> = BTreeMap::new();
            let mut buffer = vec![0; 65_536];
            loop {
                let Ok((count, caller)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                if let (false, Some(own)) = (callers.contains_key(&caller), own_addresses.pop()) {
                    let (Ok(side), Ok(back)) = (UdpSocket::bind(own), socket.try_clone()) else {
                        continue;
                    };
                    if let Ok(reader) = side.try_clone() {
                        let link = link.clone();
                        thread::spawn(move || link.pass_back(&reader, &back, caller));
                    }
                    callers.insert(caller, side);
                }
                if let (true, Some(side)) = (link.is_open(), callers.get(&caller)) {
                    let _ = side.send_to(&buffer[..count], to);
                }
            }
        });
        Ok(())
    }

    fn pass_back(&self, side: &UdpSocket, back: &UdpSocket, caller: SocketAddr) {
        let mut buffer = vec![0; 65_536];
        loop {
            let received = side.recv(&mut buffer);
            if let (true, Ok(count)) = (self.is_open(), received) {
                let _ = back.send_to(&buffer[..count], caller);
            }
        }
    }

    fn is_open(&self) -> bool {
        *self.shared.0.lock().expect("lock") == LinkState::Open
    }

    fn pass(&self, caller: TcpStream, to: SocketAddr) {
        if !self.wait() {
            return;
        }
        let Ok(called) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            return;
        };
        let pairs = [(&caller, &called), (&called, &caller)];
        let mut copies = Vec::new();
        for (source, target) in pairs {
            let (Ok(source), Ok(target)) = (source.try_clone(), target.try_clone()) else {
                return;
            };
            let _ = target.set_nodelay(true);
            if let Ok(stream) = source.try_clone() {
                self.streams.lock().expect("lock").push(stream);
            }
            let link = self.clone();
            copies.push(thread::spawn(move || link.copy(source, target)));
        }
        for copy in copies {
            let _ = copy.join();
        }
    }

    fn copy(&self, mut source: TcpStream, mut target: TcpStream) {
        let mut buffer = [0; 16_384];
        while let Ok(count) = source.read(&mut buffer) {
            if !self.wait() || count == 0 || target.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = target.shutdown(Shutdown::Write);
        let _ = source.shutdown(Shutdown::Read);
    }
}
