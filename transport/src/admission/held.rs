//! Bytes that are held for a request.

use std::time::Instant;

use crate::admission::Client;
use crate::admission::Event;
use crate::admission::Exhausted;
use crate::admission::client::cost;
use crate::clock;

/// Bytes that are held for a request. They are free again once this is dropped.
pub struct Held {
    client: Client,
    bytes: usize,
    since: Instant,
}

impl Held {
    pub(super) fn new(client: Client) -> Held {
        Held { client, bytes: 0, since: clock::now() }
    }

    /// Holds further bytes. At the limit, other connections are closed first.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no room, and this request has cost more than each of those whose
    /// clients are waited for.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// use std::sync::Arc;
    /// use spokelift_transport::admission::Control;
    /// use spokelift_transport::admission::Exhausted;
    /// use spokelift_transport::admission::Limits;
    /// let control = Control::new(Limits { connections: 2, bytes: 100 }, Arc::new(|_| {}));
    /// let connection = control.admit().await.unwrap();
    /// let client = connection.client();
    /// let (mut first, mut second) = (client.hold(), client.hold());
    /// assert_eq!(first.grow(80).await, Ok(()));
    /// assert_eq!(second.grow(30).await, Err(Exhausted));
    /// drop(first);
    /// assert_eq!(second.grow(30).await, Ok(()));
    /// # });
    /// ```
    pub async fn grow(&mut self, by: usize) -> Result<(), Exhausted> {
        let control = self.client.control.clone();
        loop {
            let freed = control.shared.freed.notified();
            if self.grow_now(by) {
                return Ok(());
            }
            if !self.make_room(by) {
                return Err(self.refuse());
            }
            freed.await;
        }
    }

    /// Holds further bytes without waiting for room: for bytes that exist already. At the limit,
    /// another connection is closed, but these bytes are refused.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no room.
    pub fn try_grow(&mut self, by: usize) -> Result<(), Exhausted> {
        if self.grow_now(by) {
            return Ok(());
        }
        self.make_room(by);
        Err(self.refuse())
    }

    /// Holds further bytes if there is room.
    fn grow_now(&mut self, by: usize) -> bool {
        let has_room = self.client.control.try_hold(&self.client, by);
        if has_room {
            self.bytes += by;
        }
        has_room
    }

    /// Has a connection closed that has cost more than this request. Returns whether one is closing.
    fn make_room(&self, by: usize) -> bool {
        let own = cost(self.bytes + by, self.since);
        self.client.control.close_one(Event::RequestClosed, |in_use| in_use.most_costly(own))
    }

    fn refuse(&self) -> Exhausted {
        (self.client.control.shared.on_event)(Event::RequestRefused);
        Exhausted
    }

    /// Frees a part of the bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.bytes -= freed;
        self.client.control.free(&self.client, freed);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.client.control.free(&self.client, self.bytes);
    }
}
