//! Connections kept between requests, by address, with when each last answered.
//!
//! A connection can go silent without a reset: what is sent is lost and nothing comes back. Nobody
//! tells, so a request that has no answer casts doubt on every connection to its address that has
//! not answered since that request was sent. They are all given up then: if each had to fail by
//! itself, 64 of them would cost 64 times the time limit of a call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use hyper::client::conn::http1::SendRequest;

use crate::dial::Body;

/// Idle connections kept for one address.
const MAX_IDLE: usize = 64;

/// A connection without a request under way.
pub(super) struct Kept {
    pub(super) sender: SendRequest<Body>,
    /// When it last answered.
    proven_at: Instant,
}

/// Connections without a request under way.
#[derive(Default)]
pub(super) struct Idle {
    /// Those of each address, the one that answered last at the end.
    lists: Mutex<HashMap<SocketAddr, Vec<Kept>>>,
}

impl Idle {
    fn lists(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Kept>>> {
        self.lists.lock().expect("no holder of the idle list panics")
    }

    /// Takes the connection that answered last.
    pub(super) fn take(&self, addr: SocketAddr) -> Option<Kept> {
        self.lists().get_mut(&addr)?.pop()
    }

    /// Keeps a connection that has just answered.
    pub(super) fn put(&self, addr: SocketAddr, sender: SendRequest<Body>) {
        let mut lists = self.lists();
        let list = lists.entry(addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(Kept { sender, proven_at: Instant::now() });
        }
    }

    /// Gives up the connections to an address that have not answered since; returns how many.
    pub(super) fn give_up_unproven(&self, addr: SocketAddr, since: Instant) -> usize {
        let mut lists = self.lists();
        let Some(list) = lists.get_mut(&addr) else { return 0 };
        let before = list.len();
        list.retain(|kept| kept.proven_at >= since);
        before - list.len()
    }
}
