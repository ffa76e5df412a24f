//! Follows the platform's box list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::Request;
use tokio::time::sleep;

use crate::coordination::node::Node;
use crate::protocol::boxes::List;
use crate::protocol::boxes::ListedBox;
use crate::protocol::boxes::boxes_path;
use crate::state::config::Shapes;
use crate::state::id::BoxId;
use crate::transport::dial::ExchangeError;
use crate::transport::dial::Limits;
use crate::transport::dial::full;

/// How long a read of the box list may take.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest box list, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// The box list as last read. It lags behind the platform's, and is kept while reads fail.
#[derive(Debug, Default)]
pub struct BoxList {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    shapes: Arc<Shapes>,
    leaving: Arc<BTreeSet<BoxId>>,
}

impl BoxList {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while it holds the box list lock")
    }

    /// Boxes that are not leaving.
    pub fn shapes(&self) -> Arc<Shapes> {
        self.inner().shapes.clone()
    }

    /// Boxes that are leaving.
    pub fn leaving(&self) -> Arc<BTreeSet<BoxId>> {
        self.inner().leaving.clone()
    }

    fn version(&self) -> u64 {
        self.inner().version
    }

    /// Applies a whole list or a list of changes. Returns whether anything changed.
    fn apply_update(&self, list: List) -> bool {
        let mut inner = self.inner();
        let changed = list.whole || !list.boxes.is_empty() || !list.gone.is_empty();
        inner.version = list.version;
        if !changed {
            return false;
        }
        if list.whole {
            inner.shapes = Arc::default();
            inner.leaving = Arc::default();
        }
        for listed in list.boxes {
            inner.put(listed);
        }
        for id in list.gone {
            inner.remove(&id);
        }
        true
    }
}

impl Inner {
    fn put(&mut self, listed: ListedBox) {
        self.remove(&listed.name);
        if listed.leaving {
            Arc::make_mut(&mut self.leaving).insert(listed.name);
        } else {
            let shape = listed.shape();
            Arc::make_mut(&mut self.shapes).insert(listed.name, shape);
        }
    }

    fn remove(&mut self, id: &BoxId) {
        if self.shapes.contains_key(id) {
            Arc::make_mut(&mut self.shapes).remove(id);
        }
        if self.leaving.contains(id) {
            Arc::make_mut(&mut self.leaving).remove(id);
        }
    }
}

/// Follows the box list for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    loop {
        match read_list(&node).await {
            Ok(list) => {
                if node.box_list.apply_update(list) {
                    node.routes.set_leaving(&node.box_list.leaving());
                }
            }
            Err(_) => node.counters.count("boxes.read.failed"),
        }
        sleep(node.settings.poll_interval).await;
    }
}

async fn read_list(node: &Node) -> Result<List, ExchangeError> {
    let path = boxes_path(node.box_list.version());
    let request = || Request::get(&path).body(full(""));
    let limits =
        Limits { max_bytes: MAX_LIST_BYTES, timeout: READ_TIMEOUT, long_poll: Duration::ZERO };
    let response =
        node.dialer.exchange_hedged(node.settings.box_list_addr, request, limits).await?.response;
    if !response.status().is_success() {
        return Err(ExchangeError::Status(response.status().as_u16()));
    }
    Ok(serde_json::from_slice(response.body())?)
}
