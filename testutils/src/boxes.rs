//! Stand-in for the platform's box list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use spokelift_lib::protocol::boxes::List;
use spokelift_lib::protocol::boxes::ListedBox;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::serve::serve;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::log::json_response;
use crate::log::query_number;

/// A running box list. Clones are the same list.
#[derive(Clone)]
pub struct Boxes {
    /// Where it serves.
    pub addr: SocketAddr,
    inner: Arc<Mutex<State>>,
    stop: Arc<watch::Sender<bool>>,
}

struct State {
    version: u64,
    /// Each box with the version at which it last changed.
    boxes: Vec<(u64, ListedBox)>,
}

impl State {
    /// Boxes that changed after a version.
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
    /// Starts a list on a port chosen by the system.
    pub async fn start(boxes: Vec<ListedBox>) -> std::io::Result<Boxes> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(State {
            version: 1,
            boxes: boxes.into_iter().map(|listed| (1, listed)).collect(),
        }));
        let (stop, stopped) = watch::channel(false);
        let shared = inner.clone();
        let handler = move |request: Request<Incoming>| {
            let shared = shared.clone();
            async move { answer(&shared, &request) }
        };
        tokio::spawn(serve(listener, stopped, handler));
        Ok(Boxes { addr, inner, stop: Arc::new(stop) })
    }

    /// Marks a box as leaving, or not.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        let mut state = self.inner.lock().expect("no holder panics");
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
    let state = inner.lock().expect("no holder panics");
    json_response(&state.changed_since(query_number(request, "after").unwrap_or(0)))
}
