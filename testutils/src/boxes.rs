//! Stand-in for the platform's box list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use hyper::Request;
use hyper::Response;
use spokelift_lib::protocol::boxes::List;
use spokelift_lib::protocol::boxes::ListedBox;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::serve::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::log::json_response;
use crate::log::query_number;
use crate::serve::serve;

/// A running box list. Clones share the same list.
#[derive(Clone)]
pub struct Boxes {
    /// The address on which it serves.
    pub addr: SocketAddr,
    inner: Arc<Mutex<State>>,
    stop: Arc<watch::Sender<bool>>,
}

struct State {
    version: u64,
    /// Each box with the list version at which it last changed.
    boxes: Vec<(u64, ListedBox)>,
}

impl State {
    /// Boxes that changed after `version`; the whole list for version 0.
    fn changed_since(&self, version: u64) -> List {
        let changed = self.boxes.iter().filter(|(at, _)| *at > version);
        let boxes = changed.map(|(_, listed)| listed.clone());
        List {
            version: self.version,
            whole: version == 0,
            boxes: boxes.collect(),
            gone: Vec::new(),
        }
    }
}

impl Boxes {
    /// Starts a list on a port that the system chooses.
    pub async fn start(boxes: Vec<ListedBox>) -> std::io::Result<Boxes> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(State {
            version: 1,
            boxes: boxes.into_iter().map(|listed| (1, listed)).collect(),
        }));
        let (stop, stop_rx) = watch::channel(false);
        let state = inner.clone();
        let handler = move |request: Request<Incoming>| {
            let state = state.clone();
            async move { answer(&state, &request) }
        };
        tokio::spawn(serve(listener, stop_rx, handler));
        Ok(Boxes { addr, inner, stop: Arc::new(stop) })
    }

    /// Sets whether a box is listed as leaving.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        let mut state = self.inner.lock().expect("no thread panics while it holds the lock");
        state.version += 1;
        let version = state.version;
        for (at, listed) in &mut state.boxes {
            if listed.name.as_ref() == name {
                listed.leaving = leaving;
                *at = version;
            }
        }
    }

    /// Stops serving.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

fn answer(inner: &Mutex<State>, request: &Request<Incoming>) -> Response<Body> {
    let state = inner.lock().expect("no thread panics while it holds the lock");
    json_response(&state.changed_since(query_number(request, "after").unwrap_or(0)))
}
