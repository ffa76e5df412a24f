//! Follows the platform's box list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Request;
use tokio::time::sleep;

use crate::coordination::node::Node;
use crate::protocol::boxes::BOXES;
use crate::protocol::boxes::List;
use crate::state::config::Shapes;
use crate::state::id::BoxId;
use crate::transport::dial::ExchangeError;
use crate::transport::dial::full;

/// How long the box list may take to answer.
const WAIT: Duration = Duration::from_secs(3);
/// Largest box list, in bytes.
const MAX_LIST: usize = 16 * 1024 * 1024;

/// The box list as last read; it lags, and is kept when it cannot be read.
#[derive(Debug, Default)]
pub struct Listing {
    inner: Mutex<Listed>,
}

#[derive(Debug, Default, Clone)]
struct Listed {
    shapes: Arc<Shapes>,
    leaving: Arc<BTreeSet<BoxId>>,
}

impl Listing {
    /// Boxes that are not leaving.
    pub fn shapes(&self) -> Arc<Shapes> {
        self.inner.lock().expect("no holder panics").shapes.clone()
    }

    /// Boxes that are on their way out.
    pub fn leaving(&self) -> Arc<BTreeSet<BoxId>> {
        self.inner.lock().expect("no holder panics").leaving.clone()
    }

    fn set(&self, list: List) {
        let (leaving, staying): (Vec<_>, Vec<_>) =
            list.boxes.into_iter().partition(|listed| listed.leaving);
        let shapes = staying
            .iter()
            .map(|listed| (listed.name.clone(), listed.shape()));
        let shapes = Arc::new(shapes.collect());
        let leaving = Arc::new(leaving.into_iter().map(|listed| listed.name).collect());
        *self.inner.lock().expect("no holder panics") = Listed { shapes, leaving };
    }
}

/// Follows the box list for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    loop {
        match read(&node).await {
            Ok(list) => {
                node.listing.set(list);
                node.routes.set_leaving(&node.listing.leaving());
            }
            Err(_) => node.counters.count("boxes.read.failed"),
        }
        sleep(node.settings.poll).await;
    }
}

async fn read(node: &Node) -> Result<List, ExchangeError> {
    let request = Request::get(BOXES).body(full(""))?;
    let answer = node
        .dialer
        .exchange(node.settings.boxes, request, MAX_LIST, WAIT)
        .await?;
    if !answer.status().is_success() {
        return Err(ExchangeError::Status(answer.status().as_u16()));
    }
    Ok(serde_json::from_slice(answer.body())?)
}
