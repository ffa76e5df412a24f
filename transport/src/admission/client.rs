//! The client of a connection, as far as admission is concerned.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use tokio::sync::Notify;

use crate::admission::Control;
use crate::admission::Held;
use crate::clock;

/// What a request has cost: its bytes, times how long they are held, in microseconds.
pub(super) type Cost = u128;

pub(super) fn cost(bytes: usize, since: Instant) -> Cost {
    bytes as Cost * clock::since(since).as_micros()
}

/// Whether a connection waits for its client, and what is held for it. Clones share the state.
#[derive(Clone)]
pub struct Client {
    pub(super) control: Control,
    state: Arc<Mutex<State>>,
    closing: Arc<Notify>,
}

#[derive(Clone, Copy, Default)]
pub(super) struct State {
    /// `None` if the connection does not wait for its client.
    waiting_since: Option<Instant>,
    pub(super) is_closing: bool,
    /// Bytes held for its requests.
    pub(super) bytes: usize,
}

impl Client {
    pub(super) fn new(control: &Control) -> Client {
        Client { control: control.clone(), state: Arc::default(), closing: Arc::default() }
    }

    /// Bytes that are held for a request of the client, none at first.
    pub fn hold(&self) -> Held {
        Held::new(self.clone())
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the client lock")
    }

    /// Since when the connection waits for its client; `None` if it does not, or is closing.
    pub(super) fn waiting_since(&self) -> Option<Instant> {
        let state = self.lock();
        state.waiting_since.filter(|_| !state.is_closing)
    }

    /// What its requests have cost so far; `None` if the connection does not wait for it, or is
    /// closing.
    pub(super) fn cost(&self) -> Option<Cost> {
        let since = self.waiting_since()?;
        Some(cost(self.lock().bytes, since))
    }

    /// Records that the connection has been waiting for its client since this time: to send a
    /// request or the rest of one, or to read an answer.
    pub fn wait_since(&self, since: Instant) {
        self.lock().waiting_since = Some(since);
    }

    /// Records that the client waits for the connection.
    pub fn stop_waiting(&self) {
        self.lock().waiting_since = None;
    }

    pub(super) fn close(&self) {
        self.lock().is_closing = true;
        self.closing.notify_one();
    }

    /// Waits until the connection is to be closed in favour of another one.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }
}
